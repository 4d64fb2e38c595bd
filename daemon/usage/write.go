package usage

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"sort"
	"time"

	"snipeshift.example/lib/clock"
	"snipeshift.example/lib/decide"
	"snipeshift.example/lib/peer"
	"snipeshift.example/lib/platform"
)

// Kind is the collection of the store that contains the counters, one object per
// incarnation of a VM.
const Kind platform.Kind = "usage"

// Store is the part of the platform's store that a Meter needs.
type Store interface {
	Get(ctx context.Context, k platform.Kind, n platform.Name) (platform.Object, error)
	Put(ctx context.Context, k platform.Kind, n platform.Name, value []byte, cond platform.Condition) (platform.Version, error)
}

// Lister lists objects of the store.
type Lister interface {
	List(ctx context.Context, k platform.Kind, prefix string) ([]platform.Object, error)
}

// Clock reads the time of this process.
type Clock interface {
	Now() clock.Milli
}

// Membership is the part of the membership that a Meter needs.
type Membership interface {
	Self() peer.Member
	Live() []peer.Member
	RingSuccessors() []peer.Member
}

// storedCounter is the stored form of one workspace's counter.
type storedCounter struct {
	Workspace decide.WorkspaceID `json:"workspace"`
	Requests  uint64             `json:"requests"`
	Prompt    decide.Tokens      `json:"prompt"`
	Cached    decide.Tokens      `json:"cached,omitempty"`
	Output    decide.Tokens      `json:"output"`
}

func (i incarnation) objectName() platform.Name {
	return platform.Name(fmt.Sprintf("%s-%d", i.vm, i.incarnation))
}

func (s counters) encode() []byte {
	stored := make([]storedCounter, 0, len(s))
	for w, u := range s {
		stored = append(stored, storedCounter{Workspace: w, Requests: u.Requests, Prompt: u.Prompt, Cached: u.Cached, Output: u.Output})
	}
	sort.Slice(stored, func(i, j int) bool { return stored[i].Workspace < stored[j].Workspace })
	value, err := json.Marshal(stored)
	if err != nil {
		panic(err) // no value of these types fails to encode
	}
	return value
}

func decodeCounters(value []byte) (counters, error) {
	var stored []storedCounter
	if err := json.Unmarshal(value, &stored); err != nil {
		return nil, fmt.Errorf("usage: %w", err)
	}
	s := counters{}
	for _, l := range stored {
		s[l.Workspace] = peer.Usage{Requests: l.Requests, Prompt: l.Prompt, Cached: l.Cached, Output: l.Output}
	}
	return s, nil
}

// Totals returns the usage of each workspace, summed over all counters in the store. It
// lacks the usage that running VMs have not written yet.
func Totals(ctx context.Context, l Lister) (map[decide.WorkspaceID]peer.Usage, error) {
	os, err := l.List(ctx, Kind, "")
	if err != nil {
		return nil, err
	}
	totals := map[decide.WorkspaceID]peer.Usage{}
	for _, o := range os {
		s, err := decodeCounters(o.Value)
		if err != nil {
			return nil, fmt.Errorf("%s: %w", o.Name, err)
		}
		for w, u := range s {
			totals[w] = Sum(totals[w], u)
		}
	}
	return totals, nil
}

// Run writes counters to the store periodically until ctx ends. It writes nothing when
// ctx ends; see Flush.
func (b *Meter) Run(ctx context.Context) error {
	t := time.NewTicker(b.rules.CheckInterval.Duration())
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-t.C:
		}
		b.tick(ctx)
	}
}

func (b *Meter) tick(ctx context.Context) {
	b.writeMu.Lock()
	defer b.writeMu.Unlock()
	if b.clock.Now() >= b.nextWrite {
		// On failure a later tick tries again.
		_ = b.writeOwn(ctx)
	}
	b.writeReplicas(ctx)
}

// Flush writes everything that the store lacks. It is called at the end of a graceful
// stop.
func (b *Meter) Flush(ctx context.Context) error {
	b.writeMu.Lock()
	defer b.writeMu.Unlock()
	b.writeReplicas(ctx)
	return b.writeOwn(ctx)
}

// writeOwn writes this VM's counters if they changed.
func (b *Meter) writeOwn(ctx context.Context) error {
	b.mu.Lock()
	change, s := b.change, counters{}
	for w, c := range b.own {
		s[w] = c.usage
	}
	b.mu.Unlock()
	if change == b.storedChange {
		return nil
	}
	value := s.encode()
	b.nextWrite = b.clock.Now() + max(b.rules.MinInterval, clock.Milli(len(value))*clock.Second/clock.Milli(b.rules.MaxBytesPerSecond))
	v, err := b.put(ctx, b.self, s, b.version)
	if err != nil {
		// The write may have taken effect or not, so the next attempt reads first.
		b.version, b.nextWrite = 0, b.clock.Now()+b.rules.MinInterval
		return err
	}
	b.version, b.storedChange = v, change
	return nil
}

// put merges s into the stored counters of inc and returns the new version. The write is
// conditional on the version that was read, or on version known if it is not zero, so that a
// delayed write can't undo a later one.
func (b *Meter) put(ctx context.Context, inc incarnation, s counters, known platform.Version) (platform.Version, error) {
	if known == 0 {
		o, err := b.store.Get(ctx, Kind, inc.objectName())
		if err != nil && !errors.Is(err, platform.ErrNotFound) {
			return 0, err
		}
		if err == nil {
			old, err := decodeCounters(o.Value)
			if err != nil {
				return 0, err
			}
			if !old.merge(s) {
				return o.Version, nil
			}
			s, known = old, o.Version
		}
	}
	return b.store.Put(ctx, Kind, inc.objectName(), s.encode(), platform.IfVersion(known))
}

// writeReplicas writes the copies of counters whose incarnation is no longer live.
func (b *Meter) writeReplicas(ctx context.Context) {
	live := map[incarnation]bool{}
	for _, m := range b.peers.Live() {
		live[incarnation{m.VM, m.Incarnation}] = true
	}
	for inc, s := range b.unwrittenReplicas(live) {
		_, err := b.put(ctx, inc, s, 0)
		if err == nil {
			b.markWritten(inc, s)
		}
	}
}

// unwrittenReplicas returns copies of the counters to be written, and discards those that
// were written long ago. Counters of live incarnations are neither written nor discarded.
func (b *Meter) unwrittenReplicas(live map[incarnation]bool) map[incarnation]counters {
	now := b.clock.Now()
	unwritten := map[incarnation]counters{}
	b.mu.Lock()
	defer b.mu.Unlock()
	for inc, r := range b.replicas {
		switch {
		case live[inc]:
		case r.dirty:
			s := counters{}
			s.merge(r.counters)
			unwritten[inc] = s
		case now-r.writtenAt > b.rules.Retention:
			delete(b.replicas, inc)
		}
	}
	return unwritten
}

// markWritten records that s was written to the store.
func (b *Meter) markWritten(inc incarnation, s counters) {
	b.mu.Lock()
	defer b.mu.Unlock()
	r := b.replicas[inc]
	if r == nil {
		return
	}
	r.writtenAt = b.clock.Now()
	// The copy may have grown during the write.
	r.dirty = s.merge(r.counters)
}
