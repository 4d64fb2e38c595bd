package settings

import "snipeshift.example/lib/strict"

// fields is the one table of what each field means: the reader takes its
// bounds and defaults from it.
var fields = strict.Table{
	"name":           {Required: true, Description: "name of this VM"},
	"domain":         {Required: true, Min: 1, Max: maxName, Description: "failure domain of this VM"},
	"caller":         {Required: true, Description: "where callers connect, IP number and port"},
	"operator":       {Required: true, Description: "where operators connect, IP number and port"},
	"peer":           {Required: true, Description: "where other daemons connect, IP number and port"},
	"advertise":      {Description: "what other daemons connect to, where it differs from peer"},
	"contact":        {Description: "what operators connect to, where it differs from operator"},
	"platform":       {Required: true, Description: "the platform's store and VM list, IP number and port"},
	"peers":          {Description: "peers to try first"},
	"grace":          {Unit: "milliseconds", Min: 0, Max: float64(maxGrace), Default: 3000, Description: "how long a stopping daemon still takes requests"},
	"level":          {Enum: []string{"trace", "debug", "info", "warn", "error"}, Default: "info", Description: "lowest level of log lines"},
	"tls":            {Description: "certificates"},
	"tls.ca":         {Description: "file with the certificates that sign peers and operators"},
	"tls.cert":       {Description: "file with this daemon's certificate"},
	"tls.key":        {Description: "file with the certificate's key"},
	"tls.callercert": {Description: "file with the certificate shown to callers"},
	"tls.callerkey":  {Description: "file with the key of callercert"},
}
