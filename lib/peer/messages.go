// Package peer is the protocol between daemons: typed messages over net/rpc.
//
// Messages carry no instants for the receiver, since the clocks of VMs differ: they carry remaining durations in
// milliseconds, to which the receiver adds its own clock. A message may have been held up on its way for any time, by a cut
// or by a process that stood still; Echo bounds when a heartbeat was written.
package peer

import (
	"snipeshift.example/lib/clock"
	"snipeshift.example/lib/decide"
	"snipeshift.example/lib/fault"
	"snipeshift.example/lib/route"
	"snipeshift.example/lib/timeline"
)

// Identifiers in messages.
type (
	// VM is the name of an entry VM.
	VM string
	// Incarnation distinguishes two runs of the daemon of a VM; a later run has a larger one.
	Incarnation uint64
	// Revision numbers configuration documents; a larger one is newer.
	Revision uint64
	// Domain names a failure domain.
	Domain string
	// PoolID names a pool: a model or plain service in one failure domain, "model@domain".
	PoolID string
)

// Fault is a fault.Error in a message. It is needed since net/rpc transfers errors as plain strings.
type Fault struct {
	Kind  fault.Kind
	Ran   fault.Ran
	Retry clock.Milli
	Text  string
}

// AcquireArgs requests a grant from the owner of a pool. The call returns once the owner has decided.
type AcquireArgs struct {
	Stamp timeline.Stamp
	Pool  PoolID
	// Serial increases with each AcquireArgs of a gate.
	Serial uint64
	// Left is the remaining part of the request's allowed time.
	Left    clock.Milli
	Request decide.Request // Deadline is ignored: Left replaces it
}

// AcquireReply carries a grant or a fault.
type AcquireReply struct {
	Stamp timeline.Stamp
	Fault *Fault
	Grant decide.Grant // Until and Deadline are remaining durations
	// Summary is the state of the pool after the decision, for gates that do not receive
	// heartbeats of the owner.
	Summary decide.Summary
}

// ReturnArgs ends a grant.
type ReturnArgs struct {
	Stamp   timeline.Stamp
	Pool    PoolID
	Gate    decide.GateID
	Grant   decide.GrantID
	Request decide.RequestID
	Outcome decide.Outcome
	Usage   Usage
	// First is the time from the grant to the first token; zero if there was no token.
	First clock.Milli
}

// Usage is the consumption of one request or the sum over several.
type Usage struct {
	Requests       uint64
	Prompt, Cached decide.Tokens
	Output         decide.Tokens
}

// Progress is a live grant and the progress of its request as observed by the gate.
type Progress struct {
	Grant decide.Grant // Until and Deadline are remaining durations
	// First is the time from the grant to the first token; zero before the first token.
	First clock.Milli
	// Output is the number of output tokens so far.
	Output decide.Tokens
}

// Renewal is like Progress, for a grant that the owner has recorded: it names the grant by its ids only.
type Renewal struct {
	Grant   decide.GrantID
	Request decide.RequestID
	// First is the time from the grant to the first token; zero before the first token.
	First clock.Milli
	// Output is the number of output tokens so far.
	Output decide.Tokens
}

// RenewArgs lists all live grants of a gate on one pool. A gate sends it about once a second.
type RenewArgs struct {
	Pool PoolID
	Gate decide.GateID
	// Grants are complete grants, sent until the owner has confirmed that it has recorded them.
	Grants []Progress
	// Known are the grants that the owner has issued itself or confirmed.
	Known []Renewal
}

// RenewReply lists the requests of RenewArgs.Known that the owner has not recorded. The gate then sends their
// grants complete.
type RenewReply struct{ Unknown []decide.RequestID }

// WithdrawArgs removes a queued request whose client has disconnected.
type WithdrawArgs struct {
	Pool    PoolID
	Request decide.RequestID
	// Serial is that of the withdrawn AcquireArgs. A later AcquireArgs for the same request stays queued.
	Serial uint64
}

// WhereArgs asks the owner of a pool what would become of a request now. Nothing changes at the owner.
type WhereArgs struct {
	Pool PoolID
	// Left is the remaining part of the request's allowed time.
	Left    clock.Milli
	Request decide.Request // Deadline is ignored: Left replaces it
	// Queued is the request that the question is about, if it is queued already; empty for Request.
	Queued decide.RequestID
}

// WhereReply is the answer to WhereArgs.
type WhereReply struct {
	// Fault is set if the owner hands its pools over; nothing else is set then.
	Fault *Fault
	// Epoch is that of the pool; zero if it is not open.
	Epoch decide.Epoch
	// Found is false if Queued is neither queued nor running; Waiting names some requests that are queued.
	Found       bool
	Waiting     []decide.RequestID
	Explanation decide.Explanation // the times in its Decision are meaningless to others
	// DocumentAge is the time since the document of the owner was known to be current, ReportAge the age of the oldest of
	// the engines' last load reports; zero if there is none.
	DocumentAge, ReportAge clock.Milli
}

// Empty is a message without content.
type Empty struct{}

// Member describes one daemon in heartbeats.
type Member struct {
	VM          VM
	Incarnation Incarnation
	Domain      Domain
	// Address is the host:port for peers, Operator that for operators.
	Address, Operator string
	// Stopping is set once a graceful stop has begun: the member takes no new role, such as owner of a pool.
	Stopping bool
	// Seq orders the descriptions of one incarnation. Only the member itself increases it:
	// when its state changes, and when it learns that others suspect it to have failed.
	Seq uint64
	// Health is the sender's view. Of two descriptions with the same Seq the one with the worse health prevails.
	Health Health
	// Cores is the member's share of the processor in thousandths of a core, Link the bandwidth of its
	// network link in megabits per second; zero if not set in its settings.
	Cores, Link int
}

// Health is a view of whether a member works.
type Health uint8

// The states of a member, from best to worst.
const (
	Live      Health = iota // the member responds, or no failure has been reported
	Suspected               // the member did not answer the heartbeats of some peer; it still counts as live
	Gone                    // the member left, or did not refute the suspicion within the time limit
)

// BeatArgs is one heartbeat. The reply has the same shape.
type BeatArgs struct {
	Stamp    timeline.Stamp
	From     Member
	Revision Revision
	// Quarantine lists fingerprints of requests during which upstreams crashed.
	Quarantine []Suspect
	// Pools summarizes the pools that the sender owns.
	Pools []PoolSummary
	// Known lists members whose state changed recently, and others if the Views of sender and receiver
	// differ. It spreads the state of members without the store.
	Known []Member
	// View is a digest of the members that the sender considers live. If the Views of two members
	// differ, both send more of Known.
	View uint64
	// Buckets are digests of the parts of the sender's list of live members, by the first bits of the hash of
	// their names; empty if the Views agree. Known then lists members from the parts that differ.
	Buckets []uint32
	// Usage lists those of the sender's cumulative counters that changed since its last answered heartbeat.
	Usage []WorkspaceUsage
	// Registry is the version summary of the sender's registry.
	Registry RegistrySummary
	// Holders lists the holder of each service, as far as known to the sender; empty if the receiver knows the
	// same ones. HolderDigest is a digest of all of them.
	Holders      []Holder
	HolderDigest uint64
	// Sent is the sender's clock as it wrote the message. It means nothing to the receiver, which returns it in Echo.
	Sent clock.Milli
	// Echo names the last message that the sender had from the receiver; zero if it had none, and from earlier versions.
	Echo Echo
}

// Echo names a message of the receiver that the sender had before it wrote its own, which is therefore the later one.
type Echo struct {
	// Incarnation is that of the receiver in that message, Sent the field Sent of it.
	Incarnation Incarnation
	Sent        clock.Milli
	// Held is the time from the arrival of that message to the writing of this one.
	Held clock.Milli
}

// Holder names the VM that places the requests of a service.
type Holder struct {
	Service     route.ServiceID
	VM          VM
	Incarnation Incarnation
	// Address is the host:port for peers. A VM that starts may learn of the holder before it knows all members.
	Address string
	// Epoch increases with each change of holder.
	Epoch uint64
	// Cores is the holder's share of the processor in thousandths of a core. It is the tie-break between two VMs that
	// became holder in the same epoch independently.
	Cores int
}

// RegistrySummary is the version summary of a daemon's registry, its copy of the store. Ages count back
// from the time of sending. Zero revisions and digests mean that the daemon has no copy.
type RegistrySummary struct {
	Revision    route.Revision
	RevisionAge clock.Milli
	// Digest is a hash of the set of upstreams, Mark the store's revision at which this set
	// was current.
	Digest    uint64
	DigestAge clock.Milli
	Mark      route.StoreRevision
	// MarkEra is the era of the store that Mark belongs to, Era the latest era known to the daemon.
	MarkEra, Era route.Era
	// Shut is set if the daemon's own last call to the store failed.
	Shut bool
	// Packs is set in a request by a daemon that accepts packed documents; earlier versions do not set it.
	Packs bool
	// Content is, in a request, the hash of the sender's list of upstreams, to which the reply may list
	// only the changes; zero if it has no list.
	Content uint64
	// Evacuations are the evacuated failure domains.
	Evacuations Evacuations
}

// Evacuations is a daemon's copy of the store's list of evacuated failure domains.
type Evacuations struct {
	Domains []route.Domain
	// Position is where in the store's history the list was current; zero if the daemon has no list.
	Position route.Position
	// Age is the time since the list was last verified as current.
	Age clock.Milli
}

// Position returns the era and revision of the store at which the set of upstreams was current.
func (s *RegistrySummary) Position() route.Position {
	return route.Position{Era: s.MarkEra, Mark: s.Mark}
}

// RegistryReply transfers a daemon's copy of the store to the requester, without the parts that it already has.
type RegistryReply struct {
	// Busy is set if too many daemons send requests at once and the requester should try another peer. All other
	// fields are then empty.
	Busy bool
	// Document is nil if the requester already has it or accepts it packed.
	Document *route.Document
	// Packed is the document as returned by PackDocument.
	Packed      []byte
	DocumentAge clock.Milli
	// Upstreams is empty if the requester has the same list. If Base is set, it is the hash of the requester's list:
	// Upstreams then lists only entries that were added or changed since, and Without those that were removed.
	// Otherwise Upstreams is the complete list.
	Upstreams    []route.Upstream
	UpstreamsAge clock.Milli
	Base         uint64
	Without      []decide.UpstreamID
	// Content is the hash of the resulting list.
	Content uint64
	// Unusable lists invalid entries of the store, with the reasons; sent with Upstreams. An upstream whose entry was
	// replaced by an invalid one has not left: its next heartbeat restores the entry.
	Unusable []route.Unusable
	// Doubted lists entries of a copy of the store that the sender could not verify. Upstreams does not contain them,
	// which does not mean that they were removed.
	Doubted []route.Upstream
	// Word is the version summary of the copy from which the reply was made.
	Word RegistrySummary
}

// Suspect is the fingerprint of a request with the number of upstreams that crashed while running it.
type Suspect struct {
	Fingerprint uint64
	Deaths      int
	// Left is the time until the entry expires.
	Left clock.Milli
	// Last is the upstream of the latest crash counted, Born the start time of its incarnation, Ago the
	// time since the crash.
	Last decide.UpstreamID
	Born decide.Incarnation
	Ago  clock.Milli
}

// PoolSummary is the summary of the named pool.
type PoolSummary struct {
	Pool    PoolID
	Summary decide.Summary
}

// WorkspaceUsage is the usage of a workspace counted by one incarnation of a VM since its start.
type WorkspaceUsage struct {
	VM          VM
	Incarnation Incarnation
	Workspace   decide.WorkspaceID
	Usage       Usage
}

// DocumentArgs requests the newest document if its revision is larger than Above.
type DocumentArgs struct{ Above Revision }

// DocumentReply contains the document's text, or revision zero if there is no newer one.
type DocumentReply struct {
	Revision Revision
	// Packed is the text as returned by Compress.
	Packed []byte
}

// ClaimArgs requests a claim from the home of the key's shard.
type ClaimArgs struct {
	Workspace decide.WorkspaceID
	Key       string
	Nonce     string
	// Void lists earlier nonces of the same request, which the same write withdraws.
	Void []string
	// Left is the time within which the claim has to be written.
	Left clock.Milli
}

// ClaimState is the result of requesting a claim.
type ClaimState uint8

// The results of requesting a claim.
const (
	ClaimUnknown ClaimState = iota // the outcome of the write is unknown: do not dispatch
	ClaimWon                       // the nonce is recorded as claiming the key: dispatch once
	ClaimTaken                     // the key is claimed by another nonce
	ClaimDone                      // the key's request has completed; Answer is its stored response
)

// ClaimReply is the reply to ClaimArgs.
type ClaimReply struct {
	State  ClaimState
	Status int
	Answer []byte
	Fault  *Fault
}

// SettleArgs records the end of a claim: completed with a response, or released because nothing was sent.
type SettleArgs struct {
	Workspace decide.WorkspaceID
	Key       string
	Nonce     string
	Released  bool
	Status    int
	Answer    []byte
}

// HoldsArgs asks a gate which of these requests it is still serving.
type HoldsArgs struct{ Requests []decide.RequestID }

// HoldsReply answers in the order of HoldsArgs.Requests.
type HoldsReply struct{ Held []bool }

// Demand is the recent demand of a workspace's clients at one VM, in tokens per second.
type Demand struct {
	Workspace decide.WorkspaceID
	Rate      decide.Rate
}

// ShareArgs requests shares of the rate limits of some workspaces from their home.
type ShareArgs struct {
	Gate    decide.GateID
	Demands []Demand
}

// ShareReply contains the shares in the order of ShareArgs.Demands, in tokens per second.
type ShareReply struct{ Rates []decide.Rate }
