package operator

import (
	"snipeshift.example/lib/clock"
	"snipeshift.example/lib/decide"
	"snipeshift.example/lib/peer"
	"snipeshift.example/lib/route"
)

// PathServices is the path of the services page, which a VM in relay mode serves on its metrics
// address.
const PathServices = "/services"

// PathParts is the path of the page of suspect parts of prompts, on the metrics address of a VM in relay mode. GET lists
// them, PUT of a Part clears it.
const PathParts = "/parts"

// Part is a part of prompts under which several upstreams crashed. Requests that hold it run one at a time, and are refused
// from the third or fourth crash on.
type Part struct {
	Service route.ServiceID `json:"service"`
	// Part is a hash of the part's name, in hexadecimal digits, as in log lines.
	Part string `json:"part"`
	// Upstreams are those that crashed, by the times of their crashes.
	Upstreams []decide.UpstreamID `json:"upstreams"`
	// First and Last are the times since the first and the last crash, in milliseconds.
	First clock.Milli `json:"first"`
	Last  clock.Milli `json:"last"`
	// Cleared is set in the response to PUT if the part was suspect.
	Cleared bool `json:"cleared,omitempty"`
}

// RelayStatus is the response of the services page: the services and statements that one VM in relay
// mode has recorded.
type RelayStatus struct {
	VM peer.VM `json:"vm"`
	// Era is the era of the platform's store: it rises each time the store restarts from an older
	// copy.
	Era route.Era `json:"era"`
	// Evacuated are the failure domains that the operator evacuates: their upstreams get no new requests.
	Evacuated  []route.Domain `json:"evacuated,omitempty"`
	Services   []Service      `json:"services"`
	Statements []Statement    `json:"statements"`
}

// Service describes which VM holds a service, that is, decides which upstreams its requests are sent
// to.
type Service struct {
	Service route.ServiceID `json:"service"`
	// Holder is the VM that decides in this epoch; empty if none is known yet.
	Holder peer.VM `json:"holder"`
	Epoch  uint64  `json:"epoch"`
	// Since is how long the responding VM has recognized the holder, in milliseconds.
	Since clock.Milli `json:"since"`
	// Successor is the VM that takes over if the holder fails; empty if there is no other VM.
	Successor peer.VM `json:"successor"`
	// Upstreams is the number of upstreams of the service in the responding VM's registry.
	Upstreams int `json:"upstreams"`
}

// Statement is what an upstream has declared about itself in a response, as recorded by the responding
// VM.
type Statement struct {
	Service  route.ServiceID   `json:"service"`
	Upstream decide.UpstreamID `json:"upstream"`
	// Kind is limit (a rate limit), rest (a back-off) or leaving (a drain notice).
	Kind string `json:"kind"`
	// Gate is the VM, in one incarnation, that received the statement; empty for a limit, which applies
	// to all VMs.
	Gate decide.GateID `json:"gate"`
	// Rate is the limit in requests per second, Left the remaining time of a back-off in milliseconds.
	// Each is zero for the other kinds.
	Rate float64     `json:"rate"`
	Left clock.Milli `json:"left"`
	// Age is the time since the statement was last known to apply, in milliseconds.
	Age clock.Milli `json:"age"`
}
