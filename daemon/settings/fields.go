package settings

import "snipeshift.example/lib/strict"

// settingsFields describes each field of Settings. The parser applies its bounds and defaults.
var settingsFields = strict.Table{
	"name":           {Required: true, Description: "name of this VM"},
	"domain":         {Required: true, Min: 1, Max: maxNameLength, Description: "failure domain of this VM"},
	"caller":         {Required: true, Description: "listen address for clients, IP address and port"},
	"operator":       {Required: true, Description: "listen address for operators, IP address and port"},
	"peer":           {Required: true, Description: "listen address for other daemons, IP address and port"},
	"advertise":      {Description: "address that other daemons connect to, if it differs from peer"},
	"contact":        {Description: "address that operators connect to, if it differs from operator"},
	"platform":       {Required: true, Description: "address of the platform's store and VM list, IP address and port"},
	"peers":          {Description: "addresses of peers to contact first"},
	"grace":          {Unit: "milliseconds", Min: 0, Max: float64(maxGrace), Default: 3000, Description: "how long a stopping daemon still accepts requests"},
	"level":          {Enum: []string{"trace", "debug", "info", "warn", "error"}, Default: "info", Description: "lowest level of log lines that are written"},
	"descriptors":    {Min: 0, Max: 1 << 20, Description: "descriptors that the process may open, if fewer than the system allows; half of them are for connections of clients, three sixteenths for those of other VMs, a quarter, and what clients leave, for those to upstreams"},
	"tls":            {Description: "certificates and keys"},
	"tls.ca":         {Description: "file with the certificates that sign peers and operators"},
	"tls.cert":       {Description: "file with this daemon's certificate"},
	"tls.key":        {Description: "file with the certificate's key"},
	"tls.callercert": {Description: "file with the certificate presented to clients"},
	"tls.callerkey":  {Description: "file with the key of callercert"},
}
