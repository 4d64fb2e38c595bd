// Package peer is the protocol between daemons: typed messages over net/rpc.
//
// Instants never travel: a message carries remaining spans in milliseconds, and
// the receiver adds its own clock.
package peer

import (
	"snipeshift.example/lib/clock"
	"snipeshift.example/lib/decide"
	"snipeshift.example/lib/fault"
	"snipeshift.example/lib/route"
	"snipeshift.example/lib/timeline"
)

// VM names an entry VM; Incarnation tells two lives of it apart.
type (
	// VM is the name of an entry VM.
	VM string
	// Incarnation is larger for a later life of the same VM.
	Incarnation uint64
	// Revision numbers configuration documents; a larger one is newer.
	Revision uint64
	// Domain names a failure domain.
	Domain string
	// PoolID names a pool: a model or plain service in one failure domain, "model@domain".
	PoolID string
)

// Fault is a fault.Error on the wire; net/rpc errors are plain strings.
type Fault struct {
	Kind  fault.Kind
	Ran   fault.Ran
	Retry clock.Milli
	Text  string
}

// AcquireArgs asks the owner of a pool for a grant. The call waits for the decision.
type AcquireArgs struct {
	Stamp timeline.Stamp
	Pool  PoolID
	// Serial rises with each question of a gate.
	Serial uint64
	// Left is what remains of the allowed time.
	Left    clock.Milli
	Request decide.Request // Deadline is ignored: Left replaces it
}

// AcquireReply carries a grant or a fault.
type AcquireReply struct {
	Stamp timeline.Stamp
	Fault *Fault
	Grant decide.Grant // Until and Deadline are remaining spans
	// Summary is the pool after the decision, so that gates far from the owner's
	// heartbeats know it too.
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
	// First is the span from the grant to the first token, zero if none came.
	First clock.Milli
}

// Usage is what one request or a sum of requests consumed.
type Usage struct {
	Requests       uint64
	Prompt, Cached decide.Tokens
	Output         decide.Tokens
}

// Progress is what a gate has seen of one live grant.
type Progress struct {
	Grant decide.Grant // Until and Deadline are remaining spans
	// First is the span from the grant to the first token, zero before it came.
	First clock.Milli
	// Output counts tokens so far.
	Output decide.Tokens
}

// Renewal is what a gate has seen of one live grant that its owner knows.
type Renewal struct {
	Grant   decide.GrantID
	Request decide.RequestID
	// First is the span from the grant to the first token, zero before it came.
	First clock.Milli
	// Output counts tokens so far.
	Output decide.Tokens
}

// RenewArgs presents all live grants of a gate on one pool, about once a second.
type RenewArgs struct {
	Pool PoolID
	Gate decide.GateID
	// Grants are whole: for an owner that has not said yet that it knows them.
	Grants []Progress
	// Known are those that the owner granted or adopted itself.
	Known []Renewal
}

// RenewReply lists grants of Known that the owner does not know; the gate sends them whole.
type RenewReply struct{ Unknown []decide.RequestID }

// WithdrawArgs takes a queued request back, when its caller left.
type WithdrawArgs struct {
	Pool    PoolID
	Request decide.RequestID
	// Serial is that of the question taken back; a later one for the request stands.
	Serial uint64
}

// Empty is a reply without content.
type Empty struct{}

// Member is one daemon as its peers see it.
type Member struct {
	VM          VM
	Incarnation Incarnation
	Domain      Domain
	// Address is host:port of the peer door, Operator that of the operator door.
	Address, Operator string
	// Stopping members take no new duty.
	Stopping bool
	// Seq orders words about one incarnation. Only the member itself raises it:
	// when its state changes, and when it learns that others doubt it.
	Seq uint64
	// Health is what the sender believes; of two words with one Seq the worse holds.
	Health Health
	// Cores is its share of the processor in thousandths of a core, Link its network link in megabits
	// a second; zero where its settings do not say.
	Cores, Link int
}

// Health is the belief about a member.
type Health uint8

// The beliefs, from best to worst.
const (
	Live      Health = iota // it answers, or nobody has said otherwise
	Suspected               // somebody's heartbeats to it were missed; it still counts as live
	Gone                    // it did not contradict in time
)

// BeatArgs is one heartbeat. The reply has the same shape.
type BeatArgs struct {
	Stamp    timeline.Stamp
	From     Member
	Revision Revision
	// Quarantine lists fingerprints of requests that killed upstreams.
	Quarantine []Suspect
	// Pools summarises the pools that the sender owns.
	Pools []PoolSummary
	// Known lists members of whom the sender has news, so that it spreads without the store.
	Known []Member
	// View is a digest of the members that the sender believes live; where two
	// differ, both send more of Known.
	View uint64
	// Usage holds the sender's absolute counters that changed since the last beat that was answered.
	Usage []WorkspaceUsage
	// Registry is how far the sender's knowledge of routes and upstreams goes.
	Registry RegistrySummary
	// Holders names who places the requests of each service, as far as the sender knows.
	Holders []Holder
}

// Holder names the VM that places the requests of a service.
type Holder struct {
	Service     route.ServiceID
	VM          VM
	Incarnation Incarnation
	// Address is that of its peer door: a VM that starts hears of the holder before it knows all members.
	Address string
	// Epoch rises with each change of holder.
	Epoch uint64
	// Cores is the holder's share of the processor in thousandths of a core. It decides between two VMs that became
	// holder at the same epoch without knowing of each other.
	Cores int
}

// RegistrySummary is how far a daemon's knowledge of the store goes. Ages are spans
// before the sending; zero revisions and digests mean that nothing is known.
type RegistrySummary struct {
	Revision    route.Revision
	RevisionAge clock.Milli
	// Digest is equal for equal sets of upstreams, Mark the position in the store's
	// history at which the set was right.
	Digest    uint64
	DigestAge clock.Milli
	Mark      route.StoreRevision
	// MarkEra is the era of the store in which Mark was given out, Era the latest one that the daemon knows of.
	MarkEra, Era route.Era
	// Shut is set by a daemon whose own last call of the store failed.
	Shut bool
	// Packs is set by an asker that takes documents packed; daemons of an earlier version do not.
	Packs bool
	// Content is that of the asker's list of upstreams, to which changes may be told; zero for none.
	Content uint64
}

// Position is the place in the store's history at which the set of upstreams was right.
func (w *RegistrySummary) Position() route.Position {
	return route.Position{Era: w.MarkEra, Mark: w.Mark}
}

// RegistryReply is what a daemon knows of the store, whole.
type RegistryReply struct {
	// Busy is set where the asker is to ask another peer, since many ask at once. The rest is then empty.
	Busy bool
	// Document is nil where the asker has it already, or takes it packed.
	Document *route.Document
	// Packed is the document as PackDocument made it.
	Packed      []byte
	DocumentAge clock.Milli
	// Upstreams is empty where the asker has the same ones. Where Base is set it holds those that changed or came since the
	// asker's list, which has this content, and Without those that went; otherwise it is the whole list.
	Upstreams    []route.Upstream
	UpstreamsAge clock.Milli
	Base         uint64
	Without      []decide.UpstreamID
	// Content is that of the list that results.
	Content uint64
	// Unusable are entries that name no upstream to use; told with Upstreams. Those that such an entry
	// replaced have not left: they are back with their next heartbeat.
	Unusable []route.Unusable
	// Doubted are entries of a copy of the store that the teller doubts: Upstreams lacks them, and does not say that they are gone.
	Doubted []route.Upstream
	// Word is how far the knowledge goes from which the reply is made.
	Word RegistrySummary
}

// Suspect is a request's fingerprint with the number of upstreams that died running it.
type Suspect struct {
	Fingerprint uint64
	Deaths      int
	// Left is how long the entry still holds.
	Left clock.Milli
	// Last is the upstream of the newest death counted, Born its life, Ago the time since.
	Last decide.UpstreamID
	Born decide.Incarnation
	Ago  clock.Milli
}

// PoolSummary is a pool's summary with its id.
type PoolSummary struct {
	Pool    PoolID
	Summary decide.Summary
}

// WorkspaceUsage is one absolute counter of one incarnation.
type WorkspaceUsage struct {
	VM          VM
	Incarnation Incarnation
	Workspace   decide.WorkspaceID
	Usage       Usage
}

// DocumentArgs asks for the newest document above a revision.
type DocumentArgs struct{ Above Revision }

// DocumentReply carries the document's text, or revision zero when there is none newer.
type DocumentReply struct {
	Revision Revision
	// Packed is the text as Compress made it.
	Packed []byte
}

// ClaimArgs asks the home of a key's shard to write a claim.
type ClaimArgs struct {
	Workspace decide.WorkspaceID
	Key       string
	Nonce     string
	// Void lists earlier nonces of the same request, withdrawn in the same write.
	Void []string
	Left clock.Milli
}

// ClaimState tells what became of a claim.
type ClaimState uint8

// The answers to a claim.
const (
	ClaimUnknown ClaimState = iota // the write's outcome is not known: do not dispatch
	ClaimWon                       // the nonce stands in the journal: dispatch once
	ClaimTaken                     // another nonce holds the key
	ClaimDone                      // the key was answered; Answer holds what was kept
)

// ClaimReply is the answer to a claim.
type ClaimReply struct {
	State  ClaimState
	Status int
	Answer []byte
	Fault  *Fault
}

// SettleArgs records the end of a claim: done with an answer, or released because nothing was sent.
type SettleArgs struct {
	Workspace decide.WorkspaceID
	Key       string
	Nonce     string
	Released  bool
	Status    int
	Answer    []byte
}

// HoldsArgs asks a gate which of these requests it still holds.
type HoldsArgs struct{ Requests []decide.RequestID }

// HoldsReply answers in the order of the question.
type HoldsReply struct{ Held []bool }

// Demand is what callers of a workspace asked of one VM lately.
type Demand struct {
	Workspace decide.WorkspaceID
	Rate      decide.Rate
}

// ShareArgs asks the home of some workspaces for shares of their rates.
type ShareArgs struct {
	Gate    decide.GateID
	Demands []Demand
}

// ShareReply answers in the order of the question, in tokens per second.
type ShareReply struct{ Rates []decide.Rate }
