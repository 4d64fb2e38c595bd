// Package lease grants one VM at a time the right to send orders to an engine, and numbers the
// holders so that an engine can refuse orders of an earlier holder.
//
// A lease is an object of the platform's store. Its version is the fencing number: each write
// raises it, so orders of a later holder always carry a larger number. Clocks of different VMs are
// never compared. A holder measures its time from before it sent the write; a rival measures a
// longer time from when it first saw the current version. The holder's time therefore ends first.
//
// That alone does not exclude two holders: one may be frozen between reading its clock and sending
// an order. The engine prevents the harm by refusing the old number. An engine that ignores the
// number is therefore sent no automatic orders at all; see Allowed.
package lease

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"sync"
	"time"

	"snipeshift.example/lib/clock"
	"snipeshift.example/lib/peer"
	"snipeshift.example/lib/platform"
)

// Kind is the collection of the store in which leases are kept.
const Kind platform.Kind = "leases"

// Fence is the fencing number of an order.
type Fence uint64

// Store is the part of the platform's store that leases need.
type Store interface {
	Get(ctx context.Context, k platform.Kind, n platform.Name) (platform.Object, error)
	Put(ctx context.Context, k platform.Kind, n platform.Name, value []byte, cond platform.Condition) (platform.Version, error)
}

// Clock reads the time of this process.
type Clock interface {
	Now() clock.Milli
}

// PauseDetector detects pauses of this process. Check reports whether the process was paused since
// the last check and, if so, runs the callback that calls Drop.
type PauseDetector interface {
	Check() bool
}

// Rules set the times of a lease.
type Rules struct {
	// Span is how long a holder may act after it sent a renewal.
	Span clock.Milli
	// Margin is how long a rival waits beyond Span. It covers clocks that run at different speeds
	// and the last order in flight.
	Margin clock.Milli
	// Renew is the time between renewals.
	Renew clock.Milli
}

// DefaultRules renew three times in a span, so that two lost answers in a row do not lose the
// lease. After the crash of a holder no orders are sent for up to 15 s, which is acceptable: orders
// change what an engine serves and can wait that long.
var DefaultRules = Rules{Span: 9 * clock.Second, Margin: 3 * clock.Second, Renew: 3 * clock.Second}

// holderID is the stored value of a lease.
type holderID struct {
	VM          peer.VM          `json:"vm"`
	Incarnation peer.Incarnation `json:"incarnation"`
}

// Allowed reports whether an engine may be sent automatic orders: only if it refuses old fencing
// numbers (fenced). An operator has to send orders to other engines.
func Allowed(fenced bool) bool { return fenced }

// leaseState is what this VM knows of one lease.
type leaseState struct {
	// version is the newest version that this VM saw, whichever VM wrote it.
	version platform.Version
	// firstSeen is when this VM first saw that version.
	firstSeen clock.Milli
	// fence is the version under which this VM holds the lease; zero if it does not hold it.
	fence platform.Version
	// until is when the lease expires for this VM.
	until clock.Milli
	// uncertainSince is when the write was sent whose outcome is unknown; zero if there is none.
	uncertainSince clock.Milli
}

// mayAcquire reports whether the lease of the VM that wrote the version has certainly expired.
func (h *leaseState) mayAcquire(now clock.Milli, r Rules) bool {
	return h.version == 0 || now-h.firstSeen > r.Span+r.Margin
}

// valid reports whether this VM may act under the lease at now.
func (h *leaseState) valid(now clock.Milli) bool { return h.fence != 0 && now < h.until }

// acquired records a write that succeeded; begun is when it was sent.
func (h *leaseState) acquired(v platform.Version, begun clock.Milli, r Rules) {
	h.version, h.firstSeen, h.uncertainSince = v, begun, 0
	h.fence, h.until = v, begun+r.Span
}

// observed records a version read from the store. A version below a known one is a stale read.
func (h *leaseState) observed(v platform.Version, mine bool, now clock.Milli, r Rules) {
	if v <= h.version {
		return
	}
	if mine && h.uncertainSince != 0 {
		// The write whose answer was lost took effect, at uncertainSince at the earliest.
		h.acquired(v, h.uncertainSince, r)
		return
	}
	h.version, h.firstSeen, h.fence, h.uncertainSince = v, now, 0, 0
}

// Leases acquires and renews the leases of one VM.
type Leases struct {
	store         Store
	clock         Clock
	rules         Rules
	pauseDetector PauseDetector
	self          holderID

	mu     sync.Mutex
	states map[platform.Name]*leaseState
	// wanted is the set of leases that this VM tries to hold.
	wanted map[platform.Name]bool
}

// New returns the leases of one incarnation of a VM.
func New(s Store, k Clock, r Rules, g PauseDetector, self peer.Member) *Leases {
	return &Leases{
		store: s, clock: k, rules: r, pauseDetector: g, self: holderID{self.VM, self.Incarnation},
		states: map[platform.Name]*leaseState{}, wanted: map[platform.Name]bool{},
	}
}

// SetWanted sets the leases that Run tries to hold, and gives up all others.
func (l *Leases) SetWanted(names ...platform.Name) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.wanted = map[platform.Name]bool{}
	for _, n := range names {
		l.wanted[n] = true
	}
	for n, h := range l.states {
		if !l.wanted[n] {
			h.fence = 0
		}
	}
}

// Drop gives up all leases at once, without writing to the store. It must be called after a pause
// of this process before anything else is done.
func (l *Leases) Drop() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, h := range l.states {
		h.fence, h.uncertainSince = 0, 0
	}
}

// Fence returns the fencing number for an order and the time left to send it. ok is false if this
// VM may send no order. An order must end, or be abandoned, within that time.
func (l *Leases) Fence(n platform.Name) (f Fence, left clock.Milli, ok bool) {
	l.pauseDetector.Check()
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.clock.Now()
	st := l.states[n]
	if st == nil || !st.valid(now) {
		return 0, 0, false
	}
	return Fence(st.fence), st.until - now, true
}

// Run acquires and renews the wanted leases until ctx ends.
func (l *Leases) Run(ctx context.Context) error {
	t := time.NewTicker(l.rules.Renew.Duration())
	defer t.Stop()
	for {
		l.Tick(ctx)
		select {
		case <-ctx.Done():
			return nil
		case <-t.C:
		}
	}
}

// Tick acquires or renews each wanted lease once. Errors are not reported: a lease that could not
// be renewed expires.
func (l *Leases) Tick(ctx context.Context) {
	l.mu.Lock()
	var names []platform.Name
	for n := range l.wanted {
		names = append(names, n)
	}
	l.mu.Unlock()
	for _, n := range names {
		l.step(ctx, n)
	}
}

func (l *Leases) step(ctx context.Context, n platform.Name) {
	h, renew := l.state(n)
	if !renew {
		l.read(ctx, n)
		h, _ = l.state(n)
		if !h.mayAcquire(l.clock.Now(), l.rules) && h.fence == 0 {
			return
		}
	}
	l.write(ctx, n, h.version)
}

// state returns a copy of what is known of a lease. renew is true if the lease can be renewed
// without reading it first.
func (l *Leases) state(n platform.Name) (h leaseState, renew bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	p := l.states[n]
	if p == nil {
		p = &leaseState{}
		l.states[n] = p
	}
	return *p, p.valid(l.clock.Now()) && p.uncertainSince == 0
}

func (l *Leases) read(ctx context.Context, n platform.Name) {
	o, err := l.store.Get(ctx, Kind, n)
	if err != nil {
		return
	}
	var writer holderID
	mine := json.Unmarshal(o.Value, &writer) == nil && writer == l.self
	l.mu.Lock()
	defer l.mu.Unlock()
	l.states[n].observed(o.Version, mine, l.clock.Now(), l.rules)
}

// write acquires or renews a lease, unless another VM has written it since the known version.
func (l *Leases) write(ctx context.Context, n platform.Name, known platform.Version) {
	value, err := json.Marshal(l.self)
	if err != nil {
		panic(fmt.Sprint("lease: ", err)) // no value of this type fails to encode
	}
	begun := l.clock.Now()
	v, err := l.store.Put(ctx, Kind, n, value, platform.IfVersion(known))
	l.mu.Lock()
	defer l.mu.Unlock()
	h := l.states[n]
	switch {
	case err == nil && l.wanted[n]:
		h.acquired(v, begun, l.rules)
	case errors.Is(err, platform.ErrUnknown) && h.uncertainSince == 0:
		h.uncertainSince = begun
	case errors.Is(err, platform.ErrConflict) && h.uncertainSince == 0:
		h.fence = 0
	}
}
