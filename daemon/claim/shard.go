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

// shard writes the journal of one shard. Operations that arrive while a write is under
// way are queued and committed together by the next write.
type shard struct {
	id    shardID
	store Store
	clock Clock
	rules Rules
	// breaker is shared by all shards of a VM.
	breaker *breaker

	mu sync.Mutex
	// queue has the operations for the next writes.
	queue []*op
	// committing is set while a goroutine executes run.
	committing bool

	// The fields below are used only by the committing goroutine.

	// loaded is set while version, page and index describe one committed state of the
	// journal.
	loaded  bool
	version platform.Version
	page    page
	index   *index
	// loadedArchives has the versions of the archives whose records are in index.
	loadedArchives map[platform.Version]bool
	// lastWrite is when the last write was started.
	lastWrite clock.Milli
}

func newShard(id shardID, s Store, k Clock, r Rules, b *breaker) *shard {
	return &shard{id: id, store: s, clock: k, rules: r, breaker: b, index: newIndex(), loadedArchives: map[platform.Version]bool{}}
}

// do queues an operation and waits until it ends or ctx ends.
func (s *shard) do(ctx context.Context, o *op) peer.ClaimReply {
	o.finished = make(chan struct{})
	s.mu.Lock()
	s.enqueue(o)
	s.mu.Unlock()
	select {
	case <-o.finished:
		return o.reply
	case <-ctx.Done():
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if o.completed {
		return o.reply
	}
	// The request will not run, so if the claim is still won, it is released.
	o.abandoned = true
	return unknownReply("the claim was not confirmed in time")
}

// enqueue queues an operation and starts the committing goroutine if it is not running.
// The caller holds mu.
func (s *shard) enqueue(o *op) {
	s.queue = append(s.queue, o)
	if !s.committing {
		s.committing = true
		go s.run()
	}
}

// run commits queued operations until the queue is empty.
func (s *shard) run() {
	for {
		s.waitToWrite()
		s.mu.Lock()
		ops := s.queue[:min(len(s.queue), s.rules.MaxBatch)]
		s.queue = s.queue[len(ops):]
		if len(ops) == 0 {
			s.queue, s.committing = nil, false
			s.mu.Unlock()
			return
		}
		s.mu.Unlock()
		s.commit(ops)
	}
}

// waitToWrite waits until the next write is allowed, so that the 64 shards together leave
// some of the store's several hundred writes per second to other uses. A shard that has
// been idle writes at once.
func (s *shard) waitToWrite() {
	wait := s.lastWrite + s.rules.WriteInterval - s.clock.Now()
	if wait > 0 {
		time.Sleep(wait.Duration())
	}
}

// commit runs a batch of operations and completes each of them.
func (s *shard) commit(ops []*op) {
	ctx, cancel := context.WithTimeout(context.Background(), s.commitTimeout(ops).Duration())
	defer cancel()
	c := &commit{shard: s, ops: ops}
	for range s.rules.MaxAttempts {
		if c.attempt(ctx) {
			s.breaker.recordSuccess()
			s.completeAll(ops, c.verdicts)
			return
		}
		if c.giveUp || ctx.Err() != nil {
			break
		}
	}
	if c.noResponse {
		s.breaker.recordFailure(s.clock.Now(), s.rules.ProbeInterval)
	}
	// The state of the journal is unknown, so it is read again before the next write.
	s.loaded = false
	s.fail(ops, c.ambiguous)
}

// commitTimeout returns the timeout for a commit: the short one only if all its operations are
// brief.
func (s *shard) commitTimeout(ops []*op) clock.Milli {
	for _, o := range ops {
		if !o.brief {
			return s.rules.CommitTimeout
		}
	}
	return s.rules.BriefTimeout
}

// completeAll completes operations with their verdicts, and releases claims that were won
// after their caller had stopped waiting.
func (s *shard) completeAll(ops []*op, vs []verdict) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for i, o := range ops {
		s.complete(o, vs[i])
		if o.abandoned && vs[i].reply.State == peer.ClaimWon && o.want == claimed {
			s.withdraw(o)
		}
	}
}

// fail completes operations whose outcome is unknown. A claim that may have been written
// is withdrawn once the store responds again; otherwise its key would remain claimed by
// a request that never ran.
func (s *shard) fail(ops []*op, ambiguous bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, o := range ops {
		if v := s.index.evaluate(o, s.clock.Now()); v.final {
			// Records committed earlier determine the reply, whatever the outcome of
			// this write.
			s.complete(o, v)
			continue
		}
		s.complete(o, verdict{reply: unknownReply("the platform's store did not confirm the claim")})
		if o.finished == nil || o.want == claimed && (ambiguous || len(o.voidNonces) > 0) {
			s.withdrawLater(o)
		}
	}
}

// complete completes an operation with its verdict. The caller holds mu.
func (s *shard) complete(o *op, v verdict) {
	if o.finished == nil {
		return
	}
	o.reply, o.archive, o.completed = v.reply, s.archiveOf(v.archiveVersion), true
	close(o.finished)
}

// withdraw queues the release of a claim whose request will not run. The caller holds
// mu.
func (s *shard) withdraw(o *op) {
	for _, nonce := range append([]string{o.nonce}, o.voidNonces...) {
		if len(s.queue) < s.rules.MaxQueue {
			s.enqueue(&op{key: o.key, nonce: nonce, want: released, brief: true})
		}
	}
}

// withdrawLater withdraws a claim after the retry interval.
func (s *shard) withdrawLater(o *op) {
	time.AfterFunc(s.rules.RetryInterval.Duration(), func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.withdraw(o)
	})
}

// commit is the state of committing one batch.
type commit struct {
	shard    *shard
	ops      []*op
	verdicts []verdict
	// journalRead is set once the journal was read for this batch.
	journalRead bool
	// ambiguous is set when a write of this batch may have taken effect.
	ambiguous bool
	// giveUp is set when another attempt can't succeed.
	giveUp bool
	// noResponse is set when the store did not answer the last call.
	noResponse bool
}

// attempt tries once to commit the batch, and reports whether the verdicts are valid.
func (c *commit) attempt(ctx context.Context) bool {
	s := c.shard
	if !s.loaded {
		if err := s.load(ctx); err != nil {
			// A read that was stale, or that missed an archive just merged into another,
			// may succeed next time.
			c.noResponse = errors.Is(err, platform.ErrUnavailable)
			c.giveUp = c.noResponse && !c.ambiguous
			return false
		}
		c.journalRead = true
	}
	records, final := c.evaluate()
	if len(records) == 0 && !final && !c.journalRead {
		// Another VM may have released a key since this VM last read the journal.
		s.loaded = false
		return false
	}
	if len(records) == 0 {
		return true
	}
	return c.write(ctx, records)
}

// evaluate evaluates the operations in order, each against the index with the records of
// those before it applied. It returns the records to be written, and whether all verdicts
// hold without reading the journal again.
func (c *commit) evaluate() (records []record, final bool) {
	s := c.shard
	c.verdicts = c.verdicts[:0]
	final = true
	scratch := newIndex()
	for _, o := range c.ops {
		scratch.copyFrom(s.index, o)
		v := scratch.evaluate(o, s.clock.Now())
		for _, r := range v.records {
			scratch.apply(r, 0)
		}
		records = append(records, v.records...)
		final = final && v.final
		c.verdicts = append(c.verdicts, v)
	}
	return records, final
}

// copyFrom copies the entries that evaluating o needs from another index, unless they were
// copied before.
func (x *index) copyFrom(from *index, o *op) {
	if _, ok := x.voidNonces[o.nonce]; !ok {
		if at, void := from.voidNonces[o.nonce]; void {
			x.voidNonces[o.nonce] = at
		}
	}
	if x.copied == nil {
		x.copied = map[digest]bool{}
	}
	if x.copied[o.key] {
		return
	}
	x.copied[o.key] = true
	if e, ok := from.keys[o.key]; ok {
		x.keys[o.key] = e
	}
}

// write appends records under the condition that the page has not been written since it
// was read. This condition alone ensures that only one claim on a key is won.
func (c *commit) write(ctx context.Context, records []record) bool {
	s := c.shard
	next, err := s.extend(ctx, records)
	if err != nil {
		c.noResponse, c.giveUp = true, !c.ambiguous
		return false
	}
	s.lastWrite = s.clock.Now()
	v, err := s.store.Put(ctx, Kind, s.id.page(), next.page.encode(), platform.IfVersion(s.version))
	c.noResponse = errors.Is(err, platform.ErrUnavailable) || errors.Is(err, platform.ErrUnknown)
	switch {
	case err == nil:
		s.applyWrite(v, next, records)
		return true
	case errors.Is(err, platform.ErrConflict):
		s.loaded = false
	case errors.Is(err, platform.ErrUnknown):
		// The write may have taken effect or may still do so. The next attempt reads
		// the page; if the nonces are missing, it writes again under the same
		// condition. Of two writes based on the same version, one fails.
		c.ambiguous, s.loaded = true, false
	default:
		c.giveUp = !c.ambiguous
	}
	return false
}

// applyWrite updates the in-memory state after a successful write.
func (s *shard) applyWrite(v platform.Version, next extension, records []record) {
	if next.rotated {
		s.index.markArchived(s.page.Records, s.version)
		s.loadedArchives[s.version] = true
	}
	s.version, s.page, s.loaded = v, next.page, true
	for _, r := range records {
		s.index.apply(r, 0)
	}
	for _, a := range next.expired {
		s.index.expire(a.Until)
	}
	unlisted := slices.Concat(next.expired, next.merged)
	for _, a := range unlisted {
		delete(s.loadedArchives, a.Version)
	}
	if len(unlisted) > 0 {
		go s.deleteArchives(unlisted)
	}
}

// deleteArchives deletes archives that the page no longer lists. An archive that can't be
// deleted because the store is unavailable uses space but does no harm.
func (s *shard) deleteArchives(unlisted []archive) {
	for _, a := range unlisted {
		ctx, cancel := context.WithTimeout(context.Background(), s.rules.CommitTimeout.Duration())
		_ = s.store.Delete(ctx, Kind, s.id.archive(a), platform.Unconditional)
		cancel()
	}
}
