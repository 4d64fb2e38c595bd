package settings

import "snipeshift.example/lib/strict"

// settingsFields describes each field of Settings. The parser applies its bounds and defaults.
var settingsFields = strict.Table{
	"name":           {Need: true, Text: "name of this VM"},
	"domain":         {Need: true, Min: 1, Max: maxNameLength, Text: "failure domain of this VM"},
	"caller":         {Need: true, Text: "listen address for clients, IP address and port"},
	"operator":       {Need: true, Text: "listen address for operators, IP address and port"},
	"peer":           {Need: true, Text: "listen address for other daemons, IP address and port"},
	"advertise":      {Text: "address that other daemons connect to, if it differs from peer"},
	"contact":        {Text: "address that operators connect to, if it differs from operator"},
	"platform":       {Need: true, Text: "address of the platform's store and VM list, IP address and port"},
	"peers":          {Text: "addresses of peers to contact first"},
	"grace":          {Unit: "milliseconds", Min: 0, Max: float64(maxGrace), Default: 3000, Text: "how long a stopping daemon still accepts requests"},
	"level":          {Only: []string{"trace", "debug", "info", "warn", "error"}, Default: "info", Text: "lowest level of log lines that are written"},
	"tls":            {Text: "certificates and keys"},
	"tls.ca":         {Text: "file with the certificates that sign peers and operators"},
	"tls.cert":       {Text: "file with this daemon's certificate"},
	"tls.key":        {Text: "file with the certificate's key"},
	"tls.callercert": {Text: "file with the certificate presented to clients"},
	"tls.callerkey":  {Text: "file with the key of callercert"},
}
