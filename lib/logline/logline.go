// Package logline is the closed table of events in the log of a relaying daemon. Each
// line on standard output is one JSON object with the event under Key, the VM, what was
// decided or believed, the inputs and their age. Ages and spans are milliseconds.
package logline

// Key is the field that names the event.
const Key = "event"

// The closed list of events.
const (
	// Request tells the whole story of one request at its end.
	Request = "request"
	// Started, Stopping and Stopped are the life of a process, Failed the end of one of its parts.
	Started  = "started"
	Stopping = "stopping"
	Stopped  = "stopped"
	Failed   = "failed"
	// Applied and Rejected are about documents.
	Applied  = "applied"
	Rejected = "rejected"
	// Engine tells the data of a service's engines.
	Engine = "engine"
	// Upstreams is the first list, Upstream a change of one.
	Upstreams = "upstreams"
	Upstream  = "upstream"
	// Unusable is an entry of the store that names no upstream to use.
	Unusable = "unusable"
	// Unreachable and Reached are about dependencies: the store, an owner, a peer.
	Unreachable = "unreachable"
	Reached     = "reached"
	// Reader is a change of a VM's part in reading the store.
	Reader = "reader"
	// Holder tells that another VM holds a service, and how this VM knows.
	Holder = "holder"
	// Report is an upstream's word on work that no grant explains.
	Report = "report"
	// Unresponsive tells that an upstream neither answers nor takes connections.
	Unresponsive = "silent"
	// Reserve and Release are orders about memory that failed.
	Reserve = "reserve"
	Release = "release"
	// Limit is a change of the requests a second that an upstream takes from all VMs together.
	Limit = "limit"
	// BackOff is a time in which an upstream wants nothing from this VM, Leaving its word that it ends soon.
	BackOff = "rest"
	Leaving = "leaving"
	// Withheld is a send that what its upstream says of itself forbids.
	Withheld = "withheld"
	// Unreadable is something that an upstream says of itself in a form that cannot be read, Unknown a header field that nobody reads.
	Unreadable = "unreadable"
	Unknown    = "unknown"
	// Era is a return of the store from an older copy of itself.
	Era = "era"
)

// Descriptions has one line for each event.
var Descriptions = map[string]string{
	Request:      "the end of a request: route, workspace, document with its age, place with the queue at the decision, each send, outcome",
	Started:      "a process takes callers",
	Stopping:     "a planned stop has begun, or an answer is cut off at its end",
	Stopped:      "a planned stop is over",
	Failed:       "a part of the process failed; it stops",
	Applied:      "a document is in force, with the age and source of the word",
	Rejected:     "a document is not taken, and why",
	Engine:       "the data of a service's engines, by which its decisions go, are new or changed",
	Upstreams:    "the first list of upstreams is known",
	Upstream:     "an upstream is new, changed, leaving or gone",
	Unusable:     "an entry of the store names no upstream to use, and why; once for each reason",
	Unreachable:  "a dependency does not answer: the store, an owner, a peer",
	Reached:      "a lost dependency answers again",
	Reader:       "a VM has another part in reading the store: its rank, how many before it have an open way, the age of its document",
	Holder:       "another VM holds a service: its epoch, and how this VM knows",
	Report:       "an upstream's word on work that no grant explains, or its silence",
	Unresponsive: "an upstream neither answers nor takes connections; the send is given up",
	Reserve:      "memory for a part of a prompt could not be reserved",
	Release:      "reserved memory could not be freed; it lapses by itself",
	Limit:        "an upstream names how many requests a second it takes from all VMs together, changes that or names it no more; and how this VM knows",
	BackOff:      "an upstream wants nothing from a VM for a time: which VM, how much is left, and how this VM knows",
	Leaving:      "an upstream says in an answer that it ends soon: to which VM, and how this VM knows",
	Withheld:     "a send does not happen, by what its upstream says of itself: which statement, and its age",
	Unreadable:   "an upstream says something of itself in a form that cannot be read; nothing changes",
	Unknown:      "answers have a header field that nobody reads; once for each name",
	Era:          "the store came back from an older copy: its era and the one before, the position and age of what was known, and how this VM knows",
}
