package operator

import (
	"snipeshift.example/lib/clock"
	"snipeshift.example/lib/decide"
	"snipeshift.example/lib/peer"
	"snipeshift.example/lib/route"
)

// PathServices is the page of a relaying VM, on its metrics address, with what it knows of services.
const PathServices = "/services"

// RelayStatus is what one relaying VM knows of services.
type RelayStatus struct {
	VM peer.VM `json:"vm"`
	// Era is that of the platform's store: it rises each time the store comes back from an older copy.
	Era        route.Era   `json:"era"`
	Services   []Service   `json:"services"`
	Statements []Statement `json:"statements"`
}

// Service is who decides which upstreams the requests of a service are sent to.
type Service struct {
	Service route.ServiceID `json:"service"`
	// Holder decides under an epoch; empty where none is known yet.
	Holder peer.VM `json:"holder"`
	Epoch  uint64  `json:"epoch"`
	// Since is how long the answering VM has followed it.
	Since clock.Milli `json:"since"`
	// Successor takes over if the holder is lost; empty where there is no other VM.
	Successor peer.VM `json:"successor"`
	// Upstreams is how many the answering VM lists.
	Upstreams int `json:"upstreams"`
}

// Statement is what an upstream has said of itself, as far as the answering VM has heard.
type Statement struct {
	Service  route.ServiceID   `json:"service"`
	Upstream decide.UpstreamID `json:"upstream"`
	// Kind is limit, rest or leaving.
	Kind string `json:"kind"`
	// Gate is the VM, in one life of its, that the upstream answered; empty for a limit, which binds all.
	Gate decide.GateID `json:"gate"`
	// Rate is the limit in requests a second, Left what remains of a rest; zero for the other kinds.
	Rate float64     `json:"rate"`
	Left clock.Milli `json:"left"`
	// Age is the time since it certainly held.
	Age clock.Milli `json:"age"`
}
