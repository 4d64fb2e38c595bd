// Package follow keeps the newest configuration document in force on this VM.
//
// A document is named by its revision, the store's version of it. The one rule
// that keeps an accepted document from being reverted is that a revision is
// taken only if it is above every one seen before, wherever it comes from: a
// stale read of the store or a peer that lags can then never win.
package follow

import (
	"context"
	"sync"

	"snipeshift.example/lib/clock"
	"snipeshift.example/lib/peer"
	"snipeshift.example/lib/platform"
)

// Where the document lives in the store.
const (
	DocumentKind platform.Kind = "config"
	DocumentName platform.Name = "document"
)

// Store is the part of the platform's store that a follower needs.
type Store interface {
	Get(ctx context.Context, k platform.Kind, n platform.Name) (platform.Object, error)
	Watch(ctx context.Context, k platform.Kind, n platform.Name, after platform.Version, wait clock.Milli) (platform.Object, bool, error)
}

// Caller calls a method of a peer.
type Caller interface {
	Call(ctx context.Context, address, method string, args, reply any) error
}

// Clock reads the time of this process.
type Clock interface {
	Now() clock.Milli
}

// Peers is the part of the membership that a follower needs.
type Peers interface {
	Self() peer.Member
	Live() []peer.Member
	Reached() clock.Milli
	// Kick sends the next heartbeats at once.
	Kick()
}

// Apply parses a document and puts it in force. An error means that it does
// not parse or does not hold together; it then stays out of force.
type Apply func(r peer.Revision, text []byte) error

// Rules set the pace of a follower.
type Rules struct {
	// Watchers is how many members of each failure domain watch and poll the store.
	Watchers int
	// WatchWait is how long one watch waits, Poll the time between two polls of a
	// watcher, Slow the same for all other members of a full fleet; in a smaller
	// one they poll more often, so that all of them together poll as much.
	WatchWait, WatcherPoll, MemberPoll clock.Milli
	// MaxContactAge is how long ago the store or a peer may have been reached for
	// this VM to count as ready.
	MaxContactAge clock.Milli
	// FetchTimeout is the timeout of asking a peer for a document.
	FetchTimeout clock.Milli
}

// DefaultRules put a document in force everywhere within 8 s, also when every
// watch is dead: a poll finds it within 2 s and heartbeats carry it on. Two
// watchers in each of 8 failure domains make 16 waiting watches and 8 polls a
// second, and 434 other members poll 7 times a second between them, of a store
// that takes 2,000 reads a second. All 450 polling would take 225.
var DefaultRules = Rules{
	Watchers:  2,
	WatchWait: 10 * clock.Second, WatcherPoll: 2 * clock.Second, MemberPoll: clock.Minute,
	MaxContactAge: 5 * clock.Second, FetchTimeout: clock.Second,
}

// fullFleet is the number of members that Slow is made for.
const fullFleet = 450

// Follower holds the newest document. It is safe for concurrent use.
type Follower struct {
	store  Store
	caller Caller
	clock  Clock
	rules  Rules
	take   Apply
	// hints wakes the fetching from peers.
	hints chan struct{}

	mu sync.Mutex
	// revision and text are the document in force; revision never falls.
	revision peer.Revision
	text     []byte
	// refused is the highest revision that did not parse, so that it is
	// neither tried again and again nor fetched.
	refused peer.Revision
	// problem is what was wrong with it.
	problem error
	// stored is when the store answered last.
	stored clock.Milli
	// ahead is the highest revision that a peer told, and where it is to be had.
	ahead   peer.Revision
	address string
	peers   Peers
}

// New returns a follower without a document.
func New(s Store, c Caller, k Clock, r Rules, take Apply) *Follower {
	return &Follower{store: s, caller: c, clock: k, rules: r, take: take, hints: make(chan struct{}, 1)}
}

// Newest is the document in force; revision zero means that there is none.
func (f *Follower) Newest() (peer.Revision, []byte) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.revision, f.text
}

// Rejected is the newest revision that does not parse, with its problem, while
// it is above the one in force.
func (f *Follower) Rejected() (peer.Revision, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.refused <= f.revision {
		return 0, nil
	}
	return f.refused, f.problem
}

// Offer takes a document if its revision is above every one seen and it
// parses. It tells whether the document is now in force.
func (f *Follower) Offer(r peer.Revision, text []byte) bool {
	f.mu.Lock()
	if r <= f.revision || r <= f.refused {
		f.mu.Unlock()
		return false
	}
	// take runs under the lock: two documents offered at once must come into
	// force in the order of their revisions.
	err := f.take(r, text)
	if err != nil {
		f.refused, f.problem = r, err
	} else {
		f.revision, f.text = r, append([]byte(nil), text...)
	}
	peers := f.peers
	f.mu.Unlock()
	if err == nil && peers != nil {
		peers.Kick()
	}
	return err == nil
}

// Fill implements member.Part: a beat carries the revision in force.
func (f *Follower) Fill(_ peer.VM, b *peer.BeatArgs) {
	b.Revision, _ = f.Newest()
}

// Learn implements member.Part: a peer with a higher revision has the document.
func (f *Follower) Learn(b *peer.BeatArgs, _ bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if b.Revision <= f.revision || b.Revision <= f.refused || b.Revision < f.ahead {
		return
	}
	f.ahead, f.address = b.Revision, b.From.Address
	select {
	case f.hints <- struct{}{}:
	default:
	}
}

// Ready tells whether a document is in force and the store or a peer was
// reached lately. A VM that is cut off from both may be obeying a document
// that is no longer in force anywhere else, so it must get no callers.
func (f *Follower) Ready() bool {
	f.mu.Lock()
	revision, contact, peers := f.revision, f.stored, f.peers
	f.mu.Unlock()
	if peers != nil {
		contact = max(contact, peers.Reached())
	}
	return revision > 0 && contact > 0 && f.clock.Now()-contact <= f.rules.MaxContactAge
}

func (f *Follower) reachedStore() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.stored = f.clock.Now()
}
