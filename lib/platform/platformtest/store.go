// Package platformtest is an in-memory stand-in of the platform's store for
// tests, with the store's faults at hand.
package platformtest

import (
	"context"
	"sort"
	"strings"
	"sync"

	"snipeshift.example/lib/clock"
	"snipeshift.example/lib/platform"
)

type key struct {
	kind platform.Kind
	name platform.Name
}

// Store keeps objects in memory. Conditions are always judged on the newest
// state, as the platform's store does; reads may be made stale.
type Store struct {
	mu      sync.Mutex
	version platform.Version
	objects map[key]platform.Object
	vms     []platform.VM
	// changed is closed and replaced with every write.
	changed chan struct{}

	// stale, if not nil, is what reads are answered from.
	stale  map[key]platform.Object
	outage bool
	deaf   bool
	// held, if not nil, is what every call waits for.
	held chan struct{}
	// lostAnswers, lostWrites and late count writes yet to be met by that fault.
	lostAnswers, lostWrites, late int
	delayed                       []func()
	counts                        platform.Counts
}

// New returns an empty store.
func New() *Store {
	return &Store{objects: map[key]platform.Object{}, changed: make(chan struct{})}
}

// SetOutage makes every call fail with ErrUnavailable while on.
func (s *Store) SetOutage(on bool) { s.mu.Lock(); defer s.mu.Unlock(); s.outage = on }

// SetWatchesHang makes watches wait in silence, whatever is written, while on.
func (s *Store) SetWatchesHang(on bool) { s.mu.Lock(); defer s.mu.Unlock(); s.deaf = on }

// LoseResponses makes the next n writes take effect and answer ErrUnknown.
func (s *Store) LoseResponses(n int) { s.mu.Lock(); defer s.mu.Unlock(); s.lostAnswers = n }

// LoseWrites makes the next n writes vanish and answer ErrUnknown.
func (s *Store) LoseWrites(n int) { s.mu.Lock(); defer s.mu.Unlock(); s.lostWrites = n }

// DelayWrites makes the next n writes answer ErrUnknown and wait for Deliver.
func (s *Store) DelayWrites(n int) { s.mu.Lock(); defer s.mu.Unlock(); s.late = n }

// DeliverDelayed applies the writes held back by DelayWrites, each under its condition.
func (s *Store) DeliverDelayed() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, apply := range s.delayed {
		apply()
	}
	s.delayed = nil
}

// SetStale answers reads from the present state while on, whatever is written later.
func (s *Store) SetStale(on bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stale = nil
	if !on {
		return
	}
	s.stale = map[key]platform.Object{}
	for k, o := range s.objects {
		s.stale[k] = o
	}
}

// BlockCalls makes every call wait until release is called or its context ends.
func (s *Store) BlockCalls() (release func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	c := make(chan struct{})
	s.held = c
	return func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.held = nil
		close(c)
	}
}

// SetVMs sets the VM list.
func (s *Store) SetVMs(vs ...platform.VM) { s.mu.Lock(); defer s.mu.Unlock(); s.vms = vs }

// Counts returns the calls so far.
func (s *Store) Counts() platform.Counts { s.mu.Lock(); defer s.mu.Unlock(); return s.counts }

// enter waits while calls are held, and returns with the lock taken.
func (s *Store) enter(ctx context.Context) error {
	s.mu.Lock()
	for s.held != nil {
		c := s.held
		s.mu.Unlock()
		select {
		case <-c:
		case <-ctx.Done():
			return platform.ErrUnavailable
		}
		s.mu.Lock()
	}
	if s.outage || ctx.Err() != nil {
		s.mu.Unlock()
		return platform.ErrUnavailable
	}
	return nil
}

func (s *Store) view() map[key]platform.Object {
	if s.stale != nil {
		return s.stale
	}
	return s.objects
}

// Get reads one object.
func (s *Store) Get(ctx context.Context, k platform.Kind, n platform.Name) (platform.Object, error) {
	if err := s.enter(ctx); err != nil {
		return platform.Object{}, err
	}
	defer s.mu.Unlock()
	s.counts.Reads++
	o, ok := s.view()[key{k, n}]
	if !ok {
		return platform.Object{}, platform.ErrNotFound
	}
	return o, nil
}

// List reads the objects of a kind in the order of their names.
func (s *Store) List(ctx context.Context, k platform.Kind, prefix string) ([]platform.Object, error) {
	if err := s.enter(ctx); err != nil {
		return nil, err
	}
	defer s.mu.Unlock()
	s.counts.Reads++
	var os []platform.Object
	for at, o := range s.view() {
		if at.kind == k && strings.HasPrefix(string(at.name), prefix) {
			os = append(os, o)
		}
	}
	sort.Slice(os, func(i, j int) bool { return os[i].Name < os[j].Name })
	return os, nil
}

// VMs reads the VM list.
func (s *Store) VMs(ctx context.Context) ([]platform.VM, error) {
	if err := s.enter(ctx); err != nil {
		return nil, err
	}
	defer s.mu.Unlock()
	s.counts.Reads++
	return append([]platform.VM(nil), s.vms...), nil
}

// Watch waits for a version above after.
func (s *Store) Watch(ctx context.Context, k platform.Kind, n platform.Name, after platform.Version, wait clock.Milli) (platform.Object, bool, error) {
	ctx, cancel := context.WithTimeout(ctx, wait.Duration())
	defer cancel()
	for {
		if err := s.enter(ctx); err != nil {
			return platform.Object{}, false, err
		}
		s.counts.Watches++
		o, ok := s.view()[key{k, n}]
		changed := s.changed
		if s.deaf {
			changed, ok = nil, false
		}
		s.mu.Unlock()
		if ok && o.Version > after {
			return o, true, nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return platform.Object{}, false, nil
		}
	}
}

// Put writes one object under a condition.
func (s *Store) Put(ctx context.Context, k platform.Kind, n platform.Name, value []byte, cond platform.Condition) (platform.Version, error) {
	if len(value) > platform.MaxValueSize {
		return 0, platform.ErrRefused
	}
	at := key{k, n}
	var v platform.Version
	err := s.write(ctx, at, cond, func() {
		s.version++
		v = s.version
		s.objects[at] = platform.Object{Name: n, Version: v, Value: append([]byte(nil), value...)}
	})
	if err != nil {
		return 0, err
	}
	return v, nil
}

// Delete removes one object under a condition.
func (s *Store) Delete(ctx context.Context, k platform.Kind, n platform.Name, cond platform.Condition) error {
	at := key{k, n}
	found := true
	err := s.write(ctx, at, cond, func() {
		_, found = s.objects[at]
		delete(s.objects, at)
	})
	if err == nil && !found {
		return platform.ErrNotFound
	}
	return err
}

// write applies a change under its condition and the faults that are set.
func (s *Store) write(ctx context.Context, at key, cond platform.Condition, change func()) error {
	if err := s.enter(ctx); err != nil {
		return err
	}
	defer s.mu.Unlock()
	s.counts.Writes++
	apply := func() bool {
		if !cond.Holds(s.objects[at].Version) {
			return false
		}
		change()
		close(s.changed)
		s.changed = make(chan struct{})
		return true
	}
	switch {
	case s.lostWrites > 0:
		s.lostWrites--
		return platform.ErrUnknown
	case s.late > 0:
		s.late--
		s.delayed = append(s.delayed, func() { apply() })
		return platform.ErrUnknown
	case s.lostAnswers > 0:
		s.lostAnswers--
		apply()
		return platform.ErrUnknown
	case !apply():
		return platform.ErrConflict
	}
	return nil
}
