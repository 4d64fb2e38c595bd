package timeline

import "github.com/zeebo/errs"

// Class is the error class of this package.
var Class = errs.Class("timeline")

// Kind is the kind of an event.
type Kind uint8

// All event kinds, grouped by subject.
const (
	KindNone Kind = iota

	// A request, on its gate: the VM that holds the client's connection.
	Arrived
	Refused
	Sent
	Streaming // the first token arrived
	Finished
	Failed
	Retried
	Canceled
	Expired

	// A request in its pool, on the owner: the VM that queues and places the requests of the pool.
	Queued
	Granted
	Withdrawn
	Returned
	Lapsed      // the lease of a grant expired
	Presented   // a gate reported a live grant to a new owner
	Quarantined // the request was refused since it is suspected of crashing upstreams

	// The claim of a request that must not be repeated: the stored record that one attempt may run it.
	Claimed
	Taken   // the request was refused as a duplicate of another attempt
	Settled // the request of the claim is complete; its outcome is being stored

	// Membership and ownership.
	Started
	Stopping
	Joined
	Silent // heartbeats are missing
	Left
	Owned    // this VM became the owner of a pool
	Disowned // this VM stopped being the owner of a pool
	Paused   // the process detected that it had been suspended

	// Configuration.
	Applied
	Rejected
	Drained
	Leveled // an operator changed the log level

	// Orders to engines.
	Ordered
	Obeyed   // the engine confirmed the order
	Outdated // the order failed, for example because its fencing number is outdated

	// Calls to the platform's store.
	Read
	Wrote
	Conflicted
	Ambiguous // the outcome of a write is unknown
	Unreachable

	kindCount // the number of kinds
)

var kindNames = [kindCount]string{
	KindNone:    "none",
	Arrived:     "arrived",
	Refused:     "refused",
	Sent:        "sent",
	Streaming:   "streaming",
	Finished:    "finished",
	Failed:      "failed",
	Retried:     "retried",
	Canceled:    "canceled",
	Expired:     "expired",
	Queued:      "queued",
	Granted:     "granted",
	Withdrawn:   "withdrawn",
	Returned:    "returned",
	Lapsed:      "lapsed",
	Presented:   "presented",
	Quarantined: "quarantined",
	Claimed:     "claimed",
	Taken:       "taken",
	Settled:     "settled",
	Started:     "started",
	Stopping:    "stopping",
	Joined:      "joined",
	Silent:      "silent",
	Left:        "left",
	Owned:       "owned",
	Disowned:    "disowned",
	Paused:      "paused",
	Applied:     "applied",
	Rejected:    "rejected",
	Drained:     "drained",
	Leveled:     "leveled",
	Ordered:     "ordered",
	Obeyed:      "obeyed",
	Outdated:    "outdated",
	Read:        "read",
	Wrote:       "wrote",
	Conflicted:  "conflicted",
	Ambiguous:   "ambiguous",
	Unreachable: "unreachable",
}

// String returns the kind's name.
func (k Kind) String() string {
	if k >= kindCount {
		return "unknown"
	}
	return kindNames[k]
}

// MarshalText implements encoding.TextMarshaler.
func (k Kind) MarshalText() ([]byte, error) { return []byte(k.String()), nil }

// UnmarshalText implements encoding.TextUnmarshaler. A name unknown to this program, for example
// one that a newer daemon added, is an error rather than an event of another kind.
func (k *Kind) UnmarshalText(text []byte) error {
	for i, n := range kindNames {
		if n == string(text) {
			*k = Kind(i)
			return nil
		}
	}
	return Class.New("unknown event kind %q: use a command of the same version as the daemon", text)
}
