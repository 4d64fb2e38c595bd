// Package follow keeps the newest configuration document in force on this VM.
//
// A document is identified by its revision, which is its version in the store. A document is
// applied only if its revision is higher than every revision seen before, whatever its source. So a
// stale read of the store or an outdated peer can never revert an accepted document.
package follow

import (
	"context"
	"sync"

	"snipeshift.example/lib/clock"
	"snipeshift.example/lib/peer"
	"snipeshift.example/lib/platform"
)

// Location of the document in the store.
const (
	DocumentKind platform.Kind = "config"
	DocumentName platform.Name = "document"
)

// Store is the part of the platform's store that a follower needs.
type Store interface {
	Get(ctx context.Context, k platform.Kind, n platform.Name) (platform.Object, error)
	Watch(ctx context.Context, k platform.Kind, n platform.Name, after platform.Version, wait clock.Milli) (platform.Object, bool, error)
}

// Caller calls net/rpc methods of a peer.
type Caller interface {
	Call(ctx context.Context, address, method string, args, reply any) error
}

// Clock reads the monotonic time of this process.
type Clock interface {
	Now() clock.Milli
}

// Peers is the part of the membership that a follower needs.
type Peers interface {
	Self() peer.Member
	Live() []peer.Member
	// LastWritten returns the latest time at which another member can be shown to have written a message to this one.
	LastWritten() clock.Milli
	// BeatNow sends the next heartbeats at once.
	BeatNow()
}

// Apply parses a document and puts it in force. If the document cannot be parsed or is inconsistent,
// it returns an error, and the document does not come into force.
type Apply func(r peer.Revision, text []byte) error

// Rules are the intervals and limits of a follower.
type Rules struct {
	// Watchers is the number of members in each failure domain that watch and poll the store.
	Watchers int
	// WatchWait is the maximum duration of one watch. WatcherPoll is the time between two polls of a
	// watcher, MemberPoll the time between two polls of any other member in a fleet of fullFleet
	// members. In a smaller fleet the other members poll more often, so that all of them together
	// make the same number of polls.
	WatchWait, WatcherPoll, MemberPoll clock.Milli
	// MaxContactAge is the maximum time since the last contact with the store or a peer for this VM
	// to be ready.
	MaxContactAge clock.Milli
	// FetchTimeout is the timeout of a request to a peer for a document.
	FetchTimeout clock.Milli
}

// DefaultRules put a document in force on all VMs within 8 s even if every watch hangs: a poll
// finds the document within 2 s, and heartbeats announce it to the other VMs. Two watchers in each
// of 8 failure domains make 16 open watches and 8 polls a second, and the 434 other members
// together poll 7 times a second. The store can serve 2,000 reads a second. If all 450 members
// polled at the rate of a watcher, they would make 225 polls a second.
var DefaultRules = Rules{
	Watchers:  2,
	WatchWait: 10 * clock.Second, WatcherPoll: 2 * clock.Second, MemberPoll: clock.Minute,
	MaxContactAge: 5 * clock.Second, FetchTimeout: clock.Second,
}

// fullFleet is the number of members for which Rules.MemberPoll is specified.
const fullFleet = 450

// Follower keeps the newest document. It is safe for concurrent use.
type Follower struct {
	store  Store
	caller Caller
	clock  Clock
	rules  Rules
	apply  Apply
	// wake starts a fetch from a peer.
	wake chan struct{}

	mu sync.Mutex
	// revision and text are the document in force. revision never decreases.
	revision peer.Revision
	text     []byte
	// rejected is the highest revision that apply refused, so that it is neither parsed nor fetched
	// again.
	rejected peer.Revision
	// rejectError is the error that apply returned for the rejected revision.
	rejectError error
	// storeContact is when the latest call that the store answered was sent. The answer itself may have been held up.
	storeContact clock.Milli
	// peerRevision is the highest revision that a peer has announced, peerAddress the address of
	// that peer.
	peerRevision peer.Revision
	peerAddress  string
	peers        Peers
}

// New returns a follower without a document.
func New(s Store, c Caller, k Clock, r Rules, apply Apply) *Follower {
	return &Follower{store: s, caller: c, clock: k, rules: r, apply: apply, wake: make(chan struct{}, 1)}
}

// Newest returns the document in force; revision zero means that there is none.
func (f *Follower) Newest() (peer.Revision, []byte) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.revision, f.text
}

// Rejected returns the highest revision that could not be applied, with the error, as long as it is
// higher than the one in force.
func (f *Follower) Rejected() (peer.Revision, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.rejected <= f.revision {
		return 0, nil
	}
	return f.rejected, f.rejectError
}

// Offer applies a document if its revision is higher than every one seen and it is valid. It
// reports whether the document is now in force.
func (f *Follower) Offer(r peer.Revision, text []byte) bool {
	f.mu.Lock()
	if r <= f.revision || r <= f.rejected {
		f.mu.Unlock()
		return false
	}
	// apply runs under the lock, so that two documents offered at once come into force in the order
	// of their revisions.
	err := f.apply(r, text)
	if err != nil {
		f.rejected, f.rejectError = r, err
	} else {
		f.revision, f.text = r, append([]byte(nil), text...)
	}
	peers := f.peers
	f.mu.Unlock()
	if err == nil && peers != nil {
		peers.BeatNow()
	}
	return err == nil
}

// Fill implements member.Part. It adds the revision in force to a heartbeat.
func (f *Follower) Fill(_ peer.VM, b *peer.BeatArgs) {
	b.Revision, _ = f.Newest()
}

// Learn implements member.Part. A higher revision in a peer's heartbeat starts a fetch from that
// peer.
func (f *Follower) Learn(b *peer.BeatArgs, _ clock.Milli) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if b.Revision <= f.revision || b.Revision <= f.rejected || b.Revision < f.peerRevision {
		return
	}
	f.peerRevision, f.peerAddress = b.Revision, b.From.Address
	select {
	case f.wake <- struct{}{}:
	default:
	}
}

// Ready reports whether a document is in force and the store or a peer was reached within the
// contact limit of its rules. A VM that is cut off from both may apply a document that is no longer
// in force anywhere else, so it must not serve clients.
func (f *Follower) Ready() bool {
	revision, contact := f.lastContact()
	return revision > 0 && contact > 0 && f.clock.Now()-contact <= f.rules.MaxContactAge
}

// ContactAge returns the time since the store or a peer was reached; the time since the epoch of the clock if neither was.
func (f *Follower) ContactAge() clock.Milli {
	_, contact := f.lastContact()
	return f.clock.Now() - contact
}

// lastContact returns the revision in force and the time of the last contact with the store or a peer, zero if there was none.
func (f *Follower) lastContact() (peer.Revision, clock.Milli) {
	f.mu.Lock()
	revision, contact, peers := f.revision, f.storeContact, f.peers
	f.mu.Unlock()
	if peers != nil {
		contact = max(contact, peers.LastWritten())
	}
	return revision, contact
}

// noteStoreContact records that the store answered a call that was sent at a time.
func (f *Follower) noteStoreContact(sent clock.Milli) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.storeContact = max(f.storeContact, sent)
}
