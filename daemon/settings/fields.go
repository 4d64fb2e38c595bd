package settings

import "snipeshift.example/lib/strict"

// fields is the one table of what each field means: the reader takes its
// bounds and defaults from it.
var fields = strict.Table{
	"name":           {Need: true, Text: "name of this VM"},
	"domain":         {Need: true, Min: 1, Max: maxName, Text: "failure domain of this VM"},
	"caller":         {Need: true, Text: "where callers connect, IP number and port"},
	"operator":       {Need: true, Text: "where operators connect, IP number and port"},
	"peer":           {Need: true, Text: "where other daemons connect, IP number and port"},
	"advertise":      {Text: "what other daemons connect to, where it differs from peer"},
	"contact":        {Text: "what operators connect to, where it differs from operator"},
	"platform":       {Need: true, Text: "the platform's store and VM list, IP number and port"},
	"peers":          {Text: "peers to try first"},
	"grace":          {Unit: "milliseconds", Min: 0, Max: float64(maxGrace), Default: 3000, Text: "how long a stopping daemon still takes requests"},
	"level":          {Only: []string{"trace", "debug", "info", "warn", "error"}, Default: "info", Text: "lowest level of log lines"},
	"tls":            {Text: "certificates"},
	"tls.ca":         {Text: "file with the certificates that sign peers and operators"},
	"tls.cert":       {Text: "file with this daemon's certificate"},
	"tls.key":        {Text: "file with the certificate's key"},
	"tls.callercert": {Text: "file with the certificate shown to callers"},
	"tls.callerkey":  {Text: "file with the key of callercert"},
}
