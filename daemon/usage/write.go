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

// Kind is the collection of the store that holds the sheets.
const Kind platform.Kind = "usage"

// Store is the part of the platform's store that a book needs.
type Store interface {
	Get(ctx context.Context, k platform.Kind, n platform.Name) (platform.Object, error)
	Put(ctx context.Context, k platform.Kind, n platform.Name, value []byte, cond platform.Condition) (platform.Version, error)
}

// Lister lists the sheets for totals.
type Lister interface {
	List(ctx context.Context, k platform.Kind, prefix string) ([]platform.Object, error)
}

// Clock reads the time of this process.
type Clock interface {
	Now() clock.Milli
}

// Membership is the part of the membership that a book needs.
type Membership interface {
	Self() peer.Member
	Live() []peer.Member
	RingSuccessors() []peer.Member
}

// line is one workspace of a stored sheet.
type line struct {
	Workspace decide.WorkspaceID `json:"workspace"`
	Requests  uint64             `json:"requests"`
	Prompt    decide.Tokens      `json:"prompt"`
	Cached    decide.Tokens      `json:"cached,omitempty"`
	Output    decide.Tokens      `json:"output"`
}

func (l life) object() platform.Name {
	return platform.Name(fmt.Sprintf("%s-%d", l.vm, l.incarnation))
}

func (s sheet) encode() []byte {
	ls := make([]line, 0, len(s))
	for w, u := range s {
		ls = append(ls, line{Workspace: w, Requests: u.Requests, Prompt: u.Prompt, Cached: u.Cached, Output: u.Output})
	}
	sort.Slice(ls, func(i, j int) bool { return ls[i].Workspace < ls[j].Workspace })
	value, err := json.Marshal(ls)
	if err != nil {
		panic(err) // no value of these types fails to encode
	}
	return value
}

func decodeSheet(value []byte) (sheet, error) {
	var ls []line
	if err := json.Unmarshal(value, &ls); err != nil {
		return nil, fmt.Errorf("usage: %w", err)
	}
	s := sheet{}
	for _, l := range ls {
		s[l.Workspace] = peer.Usage{Requests: l.Requests, Prompt: l.Prompt, Cached: l.Cached, Output: l.Output}
	}
	return s, nil
}

// Totals sums the sheets in the store by workspace. They lag by what the
// running VMs have not written yet.
func Totals(ctx context.Context, l Lister) (map[decide.WorkspaceID]peer.Usage, error) {
	os, err := l.List(ctx, Kind, "")
	if err != nil {
		return nil, err
	}
	totals := map[decide.WorkspaceID]peer.Usage{}
	for _, o := range os {
		s, err := decodeSheet(o.Value)
		if err != nil {
			return nil, fmt.Errorf("%s: %w", o.Name, err)
		}
		for w, u := range s {
			totals[w] = Sum(totals[w], u)
		}
	}
	return totals, nil
}

// Run writes until ctx ends, and does not write then; see Flush.
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
	b.writing.Lock()
	defer b.writing.Unlock()
	if b.clock.Now() >= b.next {
		// What could not be written now is written by a later tick.
		_ = b.writeOwn(ctx)
	}
	b.writeTails(ctx)
}

// Flush writes what the store lacks, at the end of a planned stop.
func (b *Meter) Flush(ctx context.Context) error {
	b.writing.Lock()
	defer b.writing.Unlock()
	b.writeTails(ctx)
	return b.writeOwn(ctx)
}

// writeOwn writes this VM's sheet if it changed.
func (b *Meter) writeOwn(ctx context.Context) error {
	b.mu.Lock()
	change, s := b.change, sheet{}
	for w, c := range b.own {
		s[w] = c.usage
	}
	b.mu.Unlock()
	if change == b.stored {
		return nil
	}
	value := s.encode()
	b.next = b.clock.Now() + max(b.rules.MinInterval, clock.Milli(len(value))*clock.Second/clock.Milli(b.rules.MaxBytesPerSecond))
	v, err := b.put(ctx, b.self, s, b.version)
	if err != nil {
		// Whatever became of it, the next try reads first.
		b.version, b.next = 0, b.clock.Now()+b.rules.MinInterval
		return err
	}
	b.version, b.stored = v, change
	return nil
}

// put raises a stored sheet to s. The write is tied to the version that was
// read, so that a write that got stuck can't undo a later one.
func (b *Meter) put(ctx context.Context, l life, s sheet, known platform.Version) (platform.Version, error) {
	if known == 0 {
		o, err := b.store.Get(ctx, Kind, l.object())
		if err != nil && !errors.Is(err, platform.ErrNotFound) {
			return 0, err
		}
		if err == nil {
			old, err := decodeSheet(o.Value)
			if err != nil {
				return 0, err
			}
			if !old.merge(s) {
				return o.Version, nil
			}
			s, known = old, o.Version
		}
	}
	return b.store.Put(ctx, Kind, l.object(), s.encode(), platform.IfVersion(known))
}

// writeTails writes the copies of lives that are over.
func (b *Meter) writeTails(ctx context.Context) {
	live := map[life]bool{}
	for _, m := range b.peers.Live() {
		live[life{m.VM, m.Incarnation}] = true
	}
	for l, s := range b.tails(live) {
		_, err := b.put(ctx, l, s, 0)
		if err == nil {
			b.written(l, s)
		}
	}
}

// tails copies what is to be written, and forgets what has long been.
func (b *Meter) tails(live map[life]bool) map[life]sheet {
	now := b.clock.Now()
	todo := map[life]sheet{}
	b.mu.Lock()
	defer b.mu.Unlock()
	for l, t := range b.copies {
		switch {
		case live[l]:
		case t.dirty:
			s := sheet{}
			s.merge(t.sheet)
			todo[l] = s
		case now-t.since > b.rules.Retention:
			delete(b.copies, l)
		}
	}
	return todo
}

func (b *Meter) written(l life, s sheet) {
	b.mu.Lock()
	defer b.mu.Unlock()
	t := b.copies[l]
	if t == nil {
		return
	}
	t.since = b.clock.Now()
	// More may have come while it was written.
	t.dirty = s.merge(t.sheet)
}
