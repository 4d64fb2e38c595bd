// Package lease lets one VM at a time give orders to an engine, and numbers
// the holders so that an engine can refuse an earlier one.
//
// A lease is an object of the platform's store. Its version is the fencing
// number: each write raises it, so an order of a later holder always carries a
// larger number. Nobody compares clocks of two VMs. A holder counts its span
// from before it sent the write; a rival counts a longer span from when it
// first saw the version that stands. The holder's time therefore ends first.
//
// That alone does not exclude two holders: one may be frozen between the look
// at its clock and the order. What excludes the harm is the engine, which
// refuses the old number. An engine that ignores the number therefore gets no
// automatic order at all; see Allowed.
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

// Kind is the collection of the store that holds the leases.
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

// PauseDetector notices that this process stood still; its callback calls Drop.
type PauseDetector interface {
	Check() bool
}

// Rules set the times of a lease.
type Rules struct {
	// Span is how long a holder may act after a renewal.
	Span clock.Milli
	// Margin is what a rival waits beyond Span. It covers clocks that run at
	// different speeds and the last order under way.
	Margin clock.Milli
	// Renew is the time between renewals.
	Renew clock.Milli
}

// DefaultRules renew three times in a span, so that two lost answers in a row
// lose no lease; after the death of a holder orders rest for 15 s at most.
// Orders change what an engine serves and can wait that long.
var DefaultRules = Rules{Span: 9 * clock.Second, Margin: 3 * clock.Second, Renew: 3 * clock.Second}

// owner is the value of a lease.
type owner struct {
	VM          peer.VM          `json:"vm"`
	Incarnation peer.Incarnation `json:"incarnation"`
}

// Allowed tells whether an engine may be sent automatic orders: only one that
// refuses an old fencing number. To any other an operator gives orders by hand.
func Allowed(fenced bool) bool { return fenced }

// hold is what this VM knows of one lease.
type hold struct {
	// version is the newest that this VM saw, whoever wrote it.
	version platform.Version
	// seen is when this VM first saw that version.
	seen clock.Milli
	// fence is the version under which this VM holds the lease; zero if it doesn't.
	fence platform.Version
	// until is when this VM stops acting on it.
	until clock.Milli
	// doubt is when a write began whose outcome is not known; zero if none.
	doubt clock.Milli
}

// mayTake tells whether the time of whoever wrote the version is surely over.
func (h *hold) mayTake(now clock.Milli, r Rules) bool {
	return h.version == 0 || now-h.seen > r.Span+r.Margin
}

// holds tells whether this VM may act, and until when.
func (h *hold) holds(now clock.Milli) bool { return h.fence != 0 && now < h.until }

// won notes a write that took effect; begun is when it was sent.
func (h *hold) won(v platform.Version, begun clock.Milli, r Rules) {
	h.version, h.seen, h.doubt = v, begun, 0
	h.fence, h.until = v, begun+r.Span
}

// saw notes what the store shows. A version below a known one is a stale read.
func (h *hold) saw(v platform.Version, mine bool, now clock.Milli, r Rules) {
	if v <= h.version {
		return
	}
	if mine && h.doubt != 0 {
		// The write whose answer was lost took effect, after doubt at the earliest.
		h.won(v, h.doubt, r)
		return
	}
	h.version, h.seen, h.fence, h.doubt = v, now, 0, 0
}

// Leases holds and renews the leases of one VM.
type Leases struct {
	store Store
	clock Clock
	rules Rules
	guard PauseDetector
	self  owner

	mu    sync.Mutex
	holds map[platform.Name]*hold
	// wanted are the leases that this VM tries to hold.
	wanted map[platform.Name]bool
}

// New returns leases for one life of a VM.
func New(s Store, k Clock, r Rules, g PauseDetector, self peer.Member) *Leases {
	return &Leases{
		store: s, clock: k, rules: r, guard: g, self: owner{self.VM, self.Incarnation},
		holds: map[platform.Name]*hold{}, wanted: map[platform.Name]bool{},
	}
}

// SetWanted makes Run try to hold exactly these leases.
func (l *Leases) SetWanted(names ...platform.Name) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.wanted = map[platform.Name]bool{}
	for _, n := range names {
		l.wanted[n] = true
	}
	for n, h := range l.holds {
		if !l.wanted[n] {
			h.fence = 0
		}
	}
}

// Drop gives all leases up at once, without a word to the store. It is called
// after a pause of this process, before anything else is done.
func (l *Leases) Drop() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, h := range l.holds {
		h.fence, h.doubt = 0, 0
	}
}

// Fence returns the number for an order and the time left to send it; false
// if this VM may give none. An order must end, or be given up, in that time.
func (l *Leases) Fence(n platform.Name) (f Fence, left clock.Milli, ok bool) {
	l.guard.Check()
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.clock.Now()
	h := l.holds[n]
	if h == nil || !h.holds(now) {
		return 0, 0, false
	}
	return Fence(h.fence), h.until - now, true
}

// Run takes and renews the wanted leases until ctx ends.
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

// Tick takes or renews each wanted lease once. Errors need no word: a lease
// that could not be renewed ends by itself.
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
	h, renew := l.look(n)
	if !renew {
		l.read(ctx, n)
		h, _ = l.look(n)
		if !h.mayTake(l.clock.Now(), l.rules) && h.fence == 0 {
			return
		}
	}
	l.write(ctx, n, h.version)
}

// look copies what is known of a lease; renew tells that no read is needed.
func (l *Leases) look(n platform.Name) (h hold, renew bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	p := l.holds[n]
	if p == nil {
		p = &hold{}
		l.holds[n] = p
	}
	return *p, p.holds(l.clock.Now()) && p.doubt == 0
}

func (l *Leases) read(ctx context.Context, n platform.Name) {
	o, err := l.store.Get(ctx, Kind, n)
	if err != nil {
		return
	}
	var by owner
	mine := json.Unmarshal(o.Value, &by) == nil && by == l.self
	l.mu.Lock()
	defer l.mu.Unlock()
	l.holds[n].saw(o.Version, mine, l.clock.Now(), l.rules)
}

// write takes or renews a lease, if nobody wrote it since the known version.
func (l *Leases) write(ctx context.Context, n platform.Name, known platform.Version) {
	value, err := json.Marshal(l.self)
	if err != nil {
		panic(fmt.Sprint("lease: ", err)) // no value of this type fails to encode
	}
	begun := l.clock.Now()
	v, err := l.store.Put(ctx, Kind, n, value, platform.At(known))
	l.mu.Lock()
	defer l.mu.Unlock()
	h := l.holds[n]
	switch {
	case err == nil && l.wanted[n]:
		h.won(v, begun, l.rules)
	case errors.Is(err, platform.ErrUnknown) && h.doubt == 0:
		h.doubt = begun
	case errors.Is(err, platform.ErrConflict) && h.doubt == 0:
		h.fence = 0
	}
}
