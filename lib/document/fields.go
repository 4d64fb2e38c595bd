package document

import "snipeshift.example/lib/strict"

// Bounds of the document.
const (
	// MaxSize is the largest text of a document in bytes, which is the largest value that the
	// platform's store accepts.
	MaxSize    = 1 << 20
	maxNameLen = 128

	dayMillis = 24 * 3600 * 1000
	million   = 1_000_000
)

// fieldTable describes each field of the document. Parse takes its checks from this table, Schema its
// bounds and descriptions; a test compares the list of fields in the documentation with it.
var fieldTable = strict.Table{
	"domains":        {Text: "failure domains; without any, upstreams may name any domain"},
	"domains.name":   {Need: true, Min: 1, Max: maxNameLen, Text: "name of the failure domain"},
	"domains.region": {Min: 1, Max: maxNameLen, Text: "region that the domain lies in"},

	"models":         {Text: "language models that callers name in requests"},
	"models.name":    {Need: true, Min: 1, Max: maxNameLen, Text: "name as callers write it"},
	"models.context": {Need: true, Unit: "tokens", Min: 1, Max: 100 * million, Text: "longest prompt plus output"},

	"services":      {Text: "plain services, reached under /services/NAME/"},
	"services.name": {Need: true, Min: 1, Max: maxNameLen, Text: "name in the path"},
	"services.kind": {Ref: "kinds", Need: true, Min: 1, Max: maxNameLen, Text: "kind of its requests unless the caller names one"},

	"kinds":         {Text: "kinds of request; the first is the default for models"},
	"kinds.name":    {Need: true, Min: 1, Max: maxNameLen, Text: "name as callers write it in Snipeshift-Kind"},
	"kinds.urgency": {Need: true, Min: 0, Max: 3, Text: "0 for answers needed immediately, up to 3 for work that can wait"},
	"kinds.allowed": {Need: true, Unit: "milliseconds", Min: 10, Max: dayMillis, Text: "time from arrival to the end of the answer"},
	"kinds.output":  {Unit: "tokens", Min: 1, Max: million, Default: 512, Text: "usual output length, for requests that name no limit"},
	"kinds.repeat":  {Default: false, Text: "false for requests that must run at most once; they need an Idempotency-Key"},

	"workspaces":        {Text: "teams that are charged for what they use"},
	"workspaces.name":   {Need: true, Min: 1, Max: maxNameLen, Text: "name of the workspace"},
	"workspaces.weight": {Min: 1, Max: 1000, Default: 1, Text: "share relative to other workspaces of the same urgency"},
	"workspaces.keys":   {Text: "hashes of the workspace's API keys, as printed by snipeshift hash"},
	"workspaces.rate":   {Unit: "tokens per second", Min: 0, Max: 1000 * million, Default: 0, Text: "most tokens per second, 0 for no limit"},
	"workspaces.kinds":  {Ref: "kinds", Text: "kinds it may send; none for all"},
	"workspaces.models": {Ref: "models", Text: "models it may use; none for all"},

	"upstreams":         {Text: "engines and plain services"},
	"upstreams.name":    {Need: true, Min: 1, Max: maxNameLen, Text: "name of the upstream"},
	"upstreams.model":   {Ref: "models", Min: 1, Max: maxNameLen, Text: "model that the engine serves; an upstream has either a model or a service"},
	"upstreams.service": {Ref: "services", Min: 1, Max: maxNameLen, Text: "plain service that it is; an upstream has either a model or a service"},
	"upstreams.domain":  {Ref: "domains", Need: true, Min: 1, Max: maxNameLen, Text: "failure domain it stands in"},
	"upstreams.address": {Need: true, Min: 1, Max: maxNameLen, Text: "IP number and port"},
	"upstreams.memory":  {Unit: "tokens", Min: 0, Max: 1000 * million, Text: "KV memory of the engine; not for a plain service"},
	"upstreams.slots":   {Need: true, Unit: "requests", Min: 1, Max: 100_000, Text: "most requests at once"},
	"upstreams.prefill": {Unit: "tokens per second", Min: 0, Max: 100 * million, Text: "rated prompt tokens per second of the engine; not for a plain service"},
	"upstreams.decode":  {Unit: "tokens per second", Min: 0, Max: million, Text: "rated output tokens per second of one request; not for a plain service"},
	"upstreams.fenced":  {Default: false, Text: "true when the engine refuses orders with an old fencing number"},
	"upstreams.drain":   {Default: false, Text: "true to give it no new work"},

	"limits":      {Text: "bounds on what callers may send"},
	"limits.body": {Unit: "bytes", Min: 256, Max: 1 << 30, Default: 32 << 20, Text: "largest request body"},
	"limits.idle": {Unit: "milliseconds", Min: 10, Max: dayMillis, Default: 30_000, Text: "longest silence between two tokens"},
}
