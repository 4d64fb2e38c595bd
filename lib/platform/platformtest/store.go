// Package platformtest is an in-memory fake of the platform's store for tests, which can inject the
// faults of the real store.
package platformtest

import (
	"context"
	"sort"
	"strings"
	"sync"

	"snipeshift.example/lib/clock"
	"snipeshift.example/lib/platform"
)

type objectKey struct {
	kind platform.Kind
	name platform.Name
}

// Store is an in-memory store. As in the platform's store, conditions of writes are always checked
// against the latest state, while reads may return an older one.
type Store struct {
	mu      sync.Mutex
	version platform.Version
	objects map[objectKey]platform.Object
	vms     []platform.VM
	// changed is closed and replaced at every write.
	changed chan struct{}

	// stale, if not nil, is the state that reads return.
	stale  map[objectKey]platform.Object
	outage bool
	// watchesHang makes watches miss all changes.
	watchesHang bool
	// blocked, if not nil, is the channel that every call waits on.
	blocked chan struct{}
	// lostResponses, lostWrites and delayedWrites are the numbers of coming writes to which each
	// fault applies.
	lostResponses, lostWrites, delayedWrites int
	// undelivered are the writes that DeliverDelayed applies.
	undelivered []func()
	counts      platform.Counts
}

// New returns an empty store.
func New() *Store {
	return &Store{objects: map[objectKey]platform.Object{}, changed: make(chan struct{})}
}

// SetOutage makes every call fail with ErrUnavailable while on.
func (s *Store) SetOutage(on bool) { s.mu.Lock(); defer s.mu.Unlock(); s.outage = on }

// SetWatchesHang makes watches miss all changes and wait for their whole time while on.
func (s *Store) SetWatchesHang(on bool) { s.mu.Lock(); defer s.mu.Unlock(); s.watchesHang = on }

// LoseResponses makes the next n writes take effect but return ErrUnknown.
func (s *Store) LoseResponses(n int) { s.mu.Lock(); defer s.mu.Unlock(); s.lostResponses = n }

// LoseWrites makes the next n writes return ErrUnknown without taking effect.
func (s *Store) LoseWrites(n int) { s.mu.Lock(); defer s.mu.Unlock(); s.lostWrites = n }

// DelayWrites makes the next n writes return ErrUnknown and take effect only at DeliverDelayed.
func (s *Store) DelayWrites(n int) { s.mu.Lock(); defer s.mu.Unlock(); s.delayedWrites = n }

// DeliverDelayed applies the writes delayed by DelayWrites whose conditions hold.
func (s *Store) DeliverDelayed() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, apply := range s.undelivered {
		apply()
	}
	s.undelivered = nil
}

// SetStale makes reads return the state at the time of this call while on, without later writes.
func (s *Store) SetStale(on bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stale = nil
	if !on {
		return
	}
	s.stale = map[objectKey]platform.Object{}
	for k, o := range s.objects {
		s.stale[k] = o
	}
}

// BlockCalls blocks every call until release is called or the context of the call ends.
func (s *Store) BlockCalls() (release func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	c := make(chan struct{})
	s.blocked = c
	return func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.blocked = nil
		close(c)
	}
}

// SetVMs sets the VM list.
func (s *Store) SetVMs(vs ...platform.VM) { s.mu.Lock(); defer s.mu.Unlock(); s.vms = vs }

// Counts returns the numbers of calls so far.
func (s *Store) Counts() platform.Counts { s.mu.Lock(); defer s.mu.Unlock(); return s.counts }

// lockForCall waits while calls are blocked by BlockCalls and fails during an outage. Without an error it
// returns with the lock held.
func (s *Store) lockForCall(ctx context.Context) error {
	s.mu.Lock()
	for s.blocked != nil {
		c := s.blocked
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

func (s *Store) readView() map[objectKey]platform.Object {
	if s.stale != nil {
		return s.stale
	}
	return s.objects
}

// Get reads an object.
func (s *Store) Get(ctx context.Context, k platform.Kind, n platform.Name) (platform.Object, error) {
	if err := s.lockForCall(ctx); err != nil {
		return platform.Object{}, err
	}
	defer s.mu.Unlock()
	s.counts.Reads++
	o, ok := s.readView()[objectKey{k, n}]
	if !ok {
		return platform.Object{}, platform.ErrNotFound
	}
	return o, nil
}

// List reads the objects of a kind, sorted by name.
func (s *Store) List(ctx context.Context, k platform.Kind, prefix string) ([]platform.Object, error) {
	if err := s.lockForCall(ctx); err != nil {
		return nil, err
	}
	defer s.mu.Unlock()
	s.counts.Reads++
	var os []platform.Object
	for key, o := range s.readView() {
		if key.kind == k && strings.HasPrefix(string(key.name), prefix) {
			os = append(os, o)
		}
	}
	sort.Slice(os, func(i, j int) bool { return os[i].Name < os[j].Name })
	return os, nil
}

// VMs reads the VM list.
func (s *Store) VMs(ctx context.Context) ([]platform.VM, error) {
	if err := s.lockForCall(ctx); err != nil {
		return nil, err
	}
	defer s.mu.Unlock()
	s.counts.Reads++
	return append([]platform.VM(nil), s.vms...), nil
}

// Watch waits until the version of an object is above after, for at most wait.
func (s *Store) Watch(ctx context.Context, k platform.Kind, n platform.Name, after platform.Version, wait clock.Milli) (platform.Object, bool, error) {
	ctx, cancel := context.WithTimeout(ctx, wait.Duration())
	defer cancel()
	for {
		if err := s.lockForCall(ctx); err != nil {
			return platform.Object{}, false, err
		}
		s.counts.Watches++
		o, ok := s.readView()[objectKey{k, n}]
		changed := s.changed
		if s.watchesHang {
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

// Put writes an object if the condition holds.
func (s *Store) Put(ctx context.Context, k platform.Kind, n platform.Name, value []byte, cond platform.Condition) (platform.Version, error) {
	if len(value) > platform.MaxValueSize {
		return 0, platform.ErrRefused
	}
	key := objectKey{k, n}
	var v platform.Version
	err := s.write(ctx, key, cond, func() {
		s.version++
		v = s.version
		s.objects[key] = platform.Object{Name: n, Version: v, Value: append([]byte(nil), value...)}
	})
	if err != nil {
		return 0, err
	}
	return v, nil
}

// Delete deletes an object if the condition holds.
func (s *Store) Delete(ctx context.Context, k platform.Kind, n platform.Name, cond platform.Condition) error {
	key := objectKey{k, n}
	found := true
	err := s.write(ctx, key, cond, func() {
		_, found = s.objects[key]
		delete(s.objects, key)
	})
	if err == nil && !found {
		return platform.ErrNotFound
	}
	return err
}

// write applies a change if its condition holds, subject to the faults that are set.
func (s *Store) write(ctx context.Context, key objectKey, cond platform.Condition, change func()) error {
	if err := s.lockForCall(ctx); err != nil {
		return err
	}
	defer s.mu.Unlock()
	s.counts.Writes++
	apply := func() bool {
		if !cond.Holds(s.objects[key].Version) {
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
	case s.delayedWrites > 0:
		s.delayedWrites--
		s.undelivered = append(s.undelivered, func() { apply() })
		return platform.ErrUnknown
	case s.lostResponses > 0:
		s.lostResponses--
		apply()
		return platform.ErrUnknown
	case !apply():
		return platform.ErrConflict
	}
	return nil
}
