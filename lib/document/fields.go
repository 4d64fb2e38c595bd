package document

import "snipeshift.example/lib/strict"

// Bounds of the document.
const (
	// MaxSize is the largest text in bytes: the platform's store holds no larger value.
	MaxSize = 1 << 20
	maxName = 128

	day     = 24 * 3600 * 1000
	million = 1_000_000
)

// fields is the one table of what each field means: the reader takes its
// checks from it, the schema its bounds, and a test holds the page of fields to it.
var fields = strict.Table{
	"domains":        {Description: "failure domains; without any, upstreams may name any domain"},
	"domains.name":   {Required: true, Min: 1, Max: maxName, Description: "name of the failure domain"},
	"domains.region": {Min: 1, Max: maxName, Description: "region that the domain lies in"},

	"models":         {Description: "language models that callers name in requests"},
	"models.name":    {Required: true, Min: 1, Max: maxName, Description: "name as callers write it"},
	"models.context": {Required: true, Unit: "tokens", Min: 1, Max: 100 * million, Description: "longest prompt plus output"},

	"services":      {Description: "plain services, reached under /services/NAME/"},
	"services.name": {Required: true, Min: 1, Max: maxName, Description: "name in the path"},
	"services.kind": {RefersTo: "kinds", Required: true, Min: 1, Max: maxName, Description: "kind of its requests unless the caller names one"},

	"kinds":         {Description: "kinds of request; the first is the default for models"},
	"kinds.name":    {Required: true, Min: 1, Max: maxName, Description: "name as callers write it in Snipeshift-Kind"},
	"kinds.urgency": {Required: true, Min: 0, Max: 3, Description: "0 for answers needed immediately, up to 3 for work that can wait"},
	"kinds.allowed": {Required: true, Unit: "milliseconds", Min: 10, Max: day, Description: "time from arrival to the end of the answer"},
	"kinds.output":  {Unit: "tokens", Min: 1, Max: million, Default: 512, Description: "usual output length, for requests that name no limit"},
	"kinds.repeat":  {Default: false, Description: "false for requests that must run at most once; they need an Idempotency-Key"},

	"workspaces":        {Description: "teams that are charged for what they use"},
	"workspaces.name":   {Required: true, Min: 1, Max: maxName, Description: "name of the workspace"},
	"workspaces.weight": {Min: 1, Max: 1000, Default: 1, Description: "share relative to other workspaces of the same urgency"},
	"workspaces.keys":   {Description: "hashes of the workspace's API keys, as printed by snipeshift hash"},
	"workspaces.rate":   {Unit: "tokens per second", Min: 0, Max: 1000 * million, Default: 0, Description: "most tokens per second, 0 for no limit"},
	"workspaces.kinds":  {RefersTo: "kinds", Description: "kinds it may send; none for all"},
	"workspaces.models": {RefersTo: "models", Description: "models it may use; none for all"},

	"upstreams":         {Description: "engines and plain services"},
	"upstreams.name":    {Required: true, Min: 1, Max: maxName, Description: "name of the upstream"},
	"upstreams.model":   {RefersTo: "models", Min: 1, Max: maxName, Description: "model that the engine serves; an upstream has either a model or a service"},
	"upstreams.service": {RefersTo: "services", Min: 1, Max: maxName, Description: "plain service that it is; an upstream has either a model or a service"},
	"upstreams.domain":  {RefersTo: "domains", Required: true, Min: 1, Max: maxName, Description: "failure domain it stands in"},
	"upstreams.address": {Required: true, Min: 1, Max: maxName, Description: "IP number and port"},
	"upstreams.memory":  {Unit: "tokens", Min: 0, Max: 1000 * million, Description: "KV memory of the engine; not for a plain service"},
	"upstreams.slots":   {Required: true, Unit: "requests", Min: 1, Max: 100_000, Description: "most requests at once"},
	"upstreams.prefill": {Unit: "tokens per second", Min: 0, Max: 100 * million, Description: "rated prompt tokens per second of the engine; not for a plain service"},
	"upstreams.decode":  {Unit: "tokens per second", Min: 0, Max: million, Description: "rated output tokens per second of one request; not for a plain service"},
	"upstreams.fenced":  {Default: false, Description: "true when the engine refuses orders with an old fencing number"},
	"upstreams.drain":   {Default: false, Description: "true to give it no new work"},

	"limits":      {Description: "bounds on what callers may send"},
	"limits.body": {Unit: "bytes", Min: 256, Max: 1 << 30, Default: 32 << 20, Description: "largest request body"},
	"limits.idle": {Unit: "milliseconds", Min: 10, Max: day, Default: 30_000, Description: "longest silence between two tokens"},
}
