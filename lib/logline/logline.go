// Package logline defines the events in the log of a daemon in relay mode. Each line on standard output
// is a JSON object with the event under Key, the VM, the decision or observation, its inputs and
// their age. Ages and durations are in milliseconds.
package logline

// Key is the name of the field that contains the event.
const Key = "event"

// All events. No daemon writes any other.
const (
	// Request summarizes a request when it ends.
	Request = "request"
	// Started, Stopping and Stopped are the start and the graceful stop of a process; Failed is the
	// failure of one of its components.
	Started  = "started"
	Stopping = "stopping"
	Stopped  = "stopped"
	Failed   = "failed"
	// Accept is a listener that cannot accept connections.
	Accept = "accept"
	// Applied and Rejected are the result of validating a new configuration document.
	Applied  = "applied"
	Rejected = "rejected"
	// Engine reports the performance data of a service's engines.
	Engine = "engine"
	// Upstreams is the first list of upstreams received, or a change of many upstreams of a service;
	// Upstream is a change of one upstream.
	Upstreams = "upstreams"
	Upstream  = "upstream"
	// Evacuation is the beginning or the end of the evacuation of a failure domain.
	Evacuation = "evacuation"
	// Unusable is an entry of the store from which no upstream can be derived.
	Unusable = "unusable"
	// Unreachable is the loss of a dependency (the store, an owner, a peer), Reached its recovery.
	Unreachable = "unreachable"
	Reached     = "reached"
	// Reader is a change of a VM's role in reading the store for the other VMs.
	Reader = "reader"
	// Holder is a change of the VM that owns a service, with the source of the information.
	Holder = "holder"
	// Gathered is logged when a VM that has taken a service over starts to decide: it has waited for
	// gates to present their live grants.
	Gathered = "gathered"
	// Spread is the time from which an owner spreads short requests because it does not know all
	// grants, or from which it knows them again.
	Spread = "spread"
	// Report is an upstream's report of work that no grant accounts for, or the lack of a report.
	Report = "report"
	// Unresponsive is an upstream that neither responds nor accepts connections.
	Unresponsive = "silent"
	// Excluded is a failed send after which an owner grants an upstream to no gate for a while.
	Excluded = "excluded"
	// Crashed is the crash of an upstream that a gate attributes to a request.
	Crashed = "crashed"
	// Blame is a change of what is known of a part of prompts that crashes upstreams.
	Blame = "blame"
	// Paths is the loss or the return of this VM's direct paths to upstreams.
	Paths = "paths"
	// Bookings summarizes the bookings of a service for the retries of refused clients.
	Bookings = "bookings"
	// Recovery is the beginning or the end of the time after a loss in which an owner limits late requests.
	Recovery = "recovery"
	// Reserve and Release are failed orders to reserve or free memory of an engine.
	Reserve = "reserve"
	Release = "release"
	// Limit is a change of the rate limit, in requests per second, that an upstream declares for all
	// VMs together.
	Limit = "limit"
	// BackOff is an upstream's request for a back-off of a VM; Leaving is its drain notice.
	BackOff = "rest"
	Leaving = "leaving"
	// Withheld is a send that was skipped because of a statement of the upstream.
	Withheld = "withheld"
	// Unreadable is a malformed statement of an upstream, Unknown a response header field that no
	// adapter interprets.
	Unreadable = "unreadable"
	Unknown    = "unknown"
	// Era is a restart of the store from an older copy.
	Era = "era"
	// Pace is a change of the pace that an owner has learned for an upstream.
	Pace = "pace"
	// Shares is a weight of a workspace that the document in force does not contain.
	Shares = "shares"
)

// Descriptions describes each event in one line. The operations manual repeats these lines.
var Descriptions = map[string]string{
	Request:      "a request has ended: route, workspace, document with its age, parts of the prompt, placement with the queue at the decision, each send, outcome",
	Started:      "a process accepts requests of clients",
	Stopping:     "a planned stop has begun, or a response that had begun is cut off at the end of the stop; requests without a response are refused before that, as `draining`, or as `expired` if they were sent",
	Stopped:      "a planned stop is complete",
	Failed:       "a component of the process has failed; the process stops",
	Accept:       "a listener cannot accept connections, for want of descriptors or of the kernel's memory; it tries again, and the VM is not ready meanwhile",
	Applied:      "a document has been applied, with the age and source of the information",
	Rejected:     "a document has been rejected, with the reason",
	Engine:       "the performance data of a service's engines, on which placement is based, are new or have changed",
	Upstreams:    "the first list of upstreams has been received, or many upstreams of a service have changed at once: how many it has now, how many are new, leaving, gone or changed, and the names of some",
	Upstream:     "an upstream is new, changed, leaving or removed",
	Evacuation:   "the evacuation of a failure domain has begun or ended: its upstreams get no new requests meanwhile",
	Unusable:     "an entry of the store does not describe a usable upstream, with the reason; logged once for each reason",
	Unreachable:  "a dependency does not respond: the store, an owner, a peer",
	Reached:      "a dependency that was unreachable responds again",
	Reader:       "the role of a VM in reading the store has changed: its rank, how many VMs that rank before it can reach the store, the age of its document",
	Holder:       "another VM now owns a service: its epoch and the source of the information",
	Spread:       "an owner begins (`on`) to spread short requests because VMs that it does not reach may use the same upstreams, or ends to; with the live and the lost members",
	Gathered:     "a VM that took a service over begins to decide: how many of its members have presented their grants, and the requests and retries that its budget of retries counts",
	Report:       "an upstream reports work that no grant accounts for, or does not report",
	Unresponsive: "an upstream neither responds nor accepts connections; the send is abandoned",
	Excluded:     "an upstream gets no requests from any VM for a while after a failed send: whose send, how it ended, for how long",
	Crashed:      "an upstream is taken to have crashed while it ran a request: the error of the send and that of the probe, whether the response had a header by then and how many events, and whether the request is suspected from then on",
	Blame:        "a part of prompts is blamed for crashes of upstreams and its requests are refused, or that has ended: by an answer (acquitted), after a long time without such requests (lapsed), by the operator (pardoned); with the crashes, and whether the part had been answered shortly before (familiar)",
	Paths:        "the direct paths of this VM to upstreams, all of them or those of the failure domains named, are lost, so that it connects through other VMs, or work again",
	Bookings:     "bookings of capacity for the retries of refused clients within the last ten seconds, if there were any: made, kept by the retry, lapsed, kept but refused again, and refusals for which there was nothing to book (full)",
	Recovery:     "an owner begins (`on`) to limit late requests because all clients return after a loss of VMs, or ends to: how many late requests it placed and refused meanwhile, and how many requests are queued",
	Reserve:      "memory for a part of a prompt could not be reserved",
	Release:      "reserved memory could not be freed; the reservation expires by itself",
	Limit:        "an upstream declares, changes or withdraws its rate limit, in requests per second from all VMs together; with the source of the information",
	BackOff:      "an upstream asks a VM for a back-off: the VM, the remaining time and the source of the information",
	Leaving:      "an upstream announces in a response that it will shut down soon: the VM that received the response and the source of the information",
	Withheld:     "a send is skipped because of a statement of its upstream: the statement and its age",
	Unreadable:   "a statement of an upstream is malformed and is ignored",
	Unknown:      "responses have a header field that no adapter interprets; logged once for each name",
	Era:          "the store was restored from an older copy: its new and previous era, the position and age of the data known before, and the source of the information",
	Pace:         "the pace that an owner has learned for an upstream from its own requests has become slow (`slow`), from 1.5 times the planned time, or is usual again, below 1.25",
	Shares:       "a workspace with a weight in the setting `shares` is not in the document in force; logged once for each",
}
