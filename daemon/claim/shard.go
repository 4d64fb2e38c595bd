package claim

import (
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"snipeshift.example/lib/clock"
	"snipeshift.example/lib/peer"
	"snipeshift.example/lib/platform"
)

// shard writes one journal. Many ops wait while one write is under way, and
// the next write carries them all.
type shard struct {
	id    shardID
	store Store
	clock Clock
	rules Rules
	// breaker is shared by all shards of a VM.
	breaker *breaker

	mu sync.Mutex
	// waiting are ops for the next write.
	waiting []*op
	// running is set while a goroutine commits.
	running bool

	// The rest belongs to the committing goroutine.

	// loaded is set while version, page and index are one committed state.
	loaded  bool
	version platform.Version
	page    page
	index   *index
	// folded are the archives that index holds.
	folded map[platform.Version]bool
	// written is when the last write began.
	written clock.Milli
}

func newShard(id shardID, s Store, k Clock, r Rules, b *breaker) *shard {
	return &shard{id: id, store: s, clock: k, rules: r, breaker: b, index: newIndex(), folded: map[platform.Version]bool{}}
}

// do runs one op and waits for its end.
func (s *shard) do(ctx context.Context, o *op) peer.ClaimReply {
	o.ended = make(chan struct{})
	s.mu.Lock()
	s.enqueue(o)
	s.mu.Unlock()
	select {
	case <-o.ended:
		return o.reply
	case <-ctx.Done():
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if o.over {
		return o.reply
	}
	// Nobody will act on this claim, so if it still wins it is released.
	o.left = true
	return unknown("the claim was not confirmed in time")
}

// enqueue needs the lock.
func (s *shard) enqueue(o *op) {
	s.waiting = append(s.waiting, o)
	if !s.running {
		s.running = true
		go s.run()
	}
}

// run commits until nothing waits.
func (s *shard) run() {
	for {
		s.pace()
		s.mu.Lock()
		ops := s.waiting[:min(len(s.waiting), s.rules.MaxBatch)]
		s.waiting = s.waiting[len(ops):]
		if len(ops) == 0 {
			s.waiting, s.running = nil, false
			s.mu.Unlock()
			return
		}
		s.mu.Unlock()
		s.commit(ops)
	}
}

// pace spaces writes out: 64 shards must not take more of the store's several
// hundred writes a second than the rest can spare. An idle shard writes at once.
func (s *shard) pace() {
	left := s.written + s.rules.WriteInterval - s.clock.Now()
	if left > 0 {
		time.Sleep(left.Duration())
	}
}

// commit ends each of the ops.
func (s *shard) commit(ops []*op) {
	ctx, cancel := context.WithTimeout(context.Background(), s.limit(ops).Duration())
	defer cancel()
	c := &commit{shard: s, ops: ops}
	for range s.rules.MaxAttempts {
		if c.attempt(ctx) {
			s.breaker.worked()
			s.finish(ops, c.verdicts)
			return
		}
		if c.hopeless || ctx.Err() != nil {
			break
		}
	}
	if c.silent {
		s.breaker.failed(s.clock.Now(), s.rules.ProbeInterval)
	}
	// What stands in the journal is not known: read it again before the next write.
	s.loaded = false
	s.fail(ops, c.ambiguous)
}

// limit is the time for a commit: a brief one only if all of its ops are.
func (s *shard) limit(ops []*op) clock.Milli {
	for _, o := range ops {
		if !o.brief {
			return s.rules.CommitTimeout
		}
	}
	return s.rules.BriefTimeout
}

// finish hands out the verdicts.
func (s *shard) finish(ops []*op, vs []verdict) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for i, o := range ops {
		s.end(o, vs[i])
		if o.left && vs[i].reply.State == peer.ClaimWon && o.want == claimed {
			s.withdraw(o)
		}
	}
}

// fail ends ops whose outcome is not known. A claim that may have been written
// is withdrawn as soon as the store answers again, or its key would stay taken
// by a request that never ran.
func (s *shard) fail(ops []*op, ambiguous bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, o := range ops {
		if v := s.index.judge(o, s.clock.Now()); v.firm {
			// What was committed earlier answers it, whatever became of this write.
			s.end(o, v)
			continue
		}
		s.end(o, verdict{reply: unknown("the platform's store did not confirm the claim")})
		if o.ended == nil || o.want == claimed && (ambiguous || len(o.void) > 0) {
			s.withdrawLater(o)
		}
	}
}

// end needs the lock.
func (s *shard) end(o *op, v verdict) {
	if o.ended == nil {
		return
	}
	o.reply, o.in, o.over = v.reply, s.covering(v.in), true
	close(o.ended)
}

// withdraw needs the lock. It releases a claim that nobody will act on.
func (s *shard) withdraw(o *op) {
	for _, nonce := range append([]string{o.nonce}, o.void...) {
		if len(s.waiting) < s.rules.MaxQueue {
			s.enqueue(&op{key: o.key, nonce: nonce, want: released, brief: true})
		}
	}
}

func (s *shard) withdrawLater(o *op) {
	time.AfterFunc(s.rules.RetryInterval.Duration(), func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.withdraw(o)
	})
}

// commit is the work on one batch.
type commit struct {
	shard    *shard
	ops      []*op
	verdicts []verdict
	// confirmed is set once the journal was read or written for this batch.
	confirmed bool
	// ambiguous is set when a write of this batch may have taken effect.
	ambiguous bool
	// hopeless is set when another attempt can't help.
	hopeless bool
	// silent is set when the last call of the store was not answered.
	silent bool
}

// attempt tells whether the verdicts are true.
func (c *commit) attempt(ctx context.Context) bool {
	s := c.shard
	if !s.loaded {
		if err := s.load(ctx); err != nil {
			// A read that was stale, or met an archive that was just merged
			// into another, may be right the next time.
			c.silent = errors.Is(err, platform.ErrUnavailable)
			c.hopeless = c.silent && !c.ambiguous
			return false
		}
		c.confirmed = true
	}
	add, firm := c.judge()
	if len(add) == 0 && !firm && !c.confirmed {
		// Another VM may have released the key since this one last looked.
		s.loaded = false
		return false
	}
	if len(add) == 0 {
		return true
	}
	return c.write(ctx, add)
}

// judge decides the ops one after the other, each on top of those before.
func (c *commit) judge() (add []record, firm bool) {
	s := c.shard
	c.verdicts = c.verdicts[:0]
	firm = true
	scratch := newIndex()
	for _, o := range c.ops {
		scratch.borrow(s.index, o)
		v := scratch.judge(o, s.clock.Now())
		for _, r := range v.add {
			scratch.fold(r, 0)
		}
		add = append(add, v.add...)
		firm = firm && v.firm
		c.verdicts = append(c.verdicts, v)
	}
	return add, firm
}

// borrow copies what an op is judged by, unless an earlier op did.
func (x *index) borrow(from *index, o *op) {
	if _, ok := x.void[o.nonce]; !ok {
		if at, void := from.void[o.nonce]; void {
			x.void[o.nonce] = at
		}
	}
	if x.seen == nil {
		x.seen = map[digest]bool{}
	}
	if x.seen[o.key] {
		return
	}
	x.seen[o.key] = true
	if e, ok := from.keys[o.key]; ok {
		x.keys[o.key] = e
	}
}

// write appends records under the condition that nobody wrote since the page
// was read. That condition is the only thing that excludes a second winner.
func (c *commit) write(ctx context.Context, add []record) bool {
	s := c.shard
	next, err := s.extend(ctx, add)
	if err != nil {
		c.silent, c.hopeless = true, !c.ambiguous
		return false
	}
	s.written = s.clock.Now()
	v, err := s.store.Put(ctx, Kind, s.id.page(), next.page.encode(), platform.IfVersion(s.version))
	c.silent = errors.Is(err, platform.ErrUnavailable) || errors.Is(err, platform.ErrUnknown)
	switch {
	case err == nil:
		s.adopt(v, next, add)
		return true
	case errors.Is(err, platform.ErrConflict):
		s.loaded = false
	case errors.Is(err, platform.ErrUnknown):
		// It may have taken effect or may yet do so. The next attempt reads
		// the page back; if the nonces are not there it writes again under
		// the same condition, and of two writes at one version one fails.
		c.ambiguous, s.loaded = true, false
	default:
		c.hopeless = !c.ambiguous
	}
	return false
}

// adopt makes a confirmed write the state of this shard.
func (s *shard) adopt(v platform.Version, next extension, add []record) {
	if next.moved {
		s.index.archived(s.page.Records, s.version)
		s.folded[s.version] = true
	}
	s.version, s.page, s.loaded = v, next.page, true
	for _, r := range add {
		s.index.fold(r, 0)
	}
	for _, a := range next.expired {
		s.index.forget(a.Until)
	}
	gone := slices.Concat(next.expired, next.merged)
	for _, a := range gone {
		delete(s.folded, a.Version)
	}
	if len(gone) > 0 {
		go s.remove(gone)
	}
}

// remove deletes archives that nobody lists any more. One that stays, because
// the store was out, takes room and does no harm.
func (s *shard) remove(gone []archive) {
	for _, a := range gone {
		ctx, cancel := context.WithTimeout(context.Background(), s.rules.CommitTimeout.Duration())
		_ = s.store.Delete(ctx, Kind, s.id.archive(a), platform.Unconditional)
		cancel()
	}
}
