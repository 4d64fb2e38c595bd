package follow

import (
	"context"
	"errors"
	"time"

	"golang.org/x/sync/errgroup"

	"snipeshift.example/daemon/member"
	"snipeshift.example/lib/clock"
	"snipeshift.example/lib/peer"
	"snipeshift.example/lib/platform"
)

// Run follows the document until ctx ends.
func (f *Follower) Run(ctx context.Context, p Peers) error {
	f.mu.Lock()
	f.peers = p
	f.mu.Unlock()
	g, ctx := errgroup.WithContext(ctx)
	g.Go(func() error { f.watch(ctx); return nil })
	g.Go(func() error { f.poll(ctx); return nil })
	g.Go(func() error { f.fetch(ctx); return nil })
	return g.Wait()
}

// IsWatcher tells whether a member is among the watchers of its failure domain.
func IsWatcher(self peer.Member, live []peer.Member, watchers int) bool {
	var own []peer.Member
	for _, m := range live {
		if m.Domain == self.Domain {
			own = append(own, m)
		}
	}
	for i, m := range member.Rank("config/document", own) {
		if i == watchers {
			break
		}
		if m.VM == self.VM {
			return true
		}
	}
	return false
}

// watching tells whether this VM asks the store often: as a watcher, and also
// while it has no document or no peer, since then nobody else tells it.
func (f *Follower) watching() bool {
	revision, _ := f.Newest()
	alone := f.clock.Now()-f.peers.Reached() > f.rules.MaxContactAge
	return revision == 0 || alone || IsWatcher(f.peers.Self(), f.peers.Live(), f.rules.Watchers)
}

// watch learns of a change within milliseconds while watches work.
func (f *Follower) watch(ctx context.Context) {
	for ctx.Err() == nil {
		if !f.watching() {
			pause(ctx, f.rules.WatcherPoll)
			continue
		}
		revision := f.highest()
		o, news, err := f.store.Watch(ctx, DocumentKind, DocumentName, platform.Version(revision), f.rules.WatchWait)
		switch {
		case err != nil:
			pause(ctx, f.rules.WatcherPoll)
		case news:
			f.reachedStore()
			f.Offer(peer.Revision(o.Version), o.Value)
			if f.highest() == revision {
				// An answer without news, against the protocol: do not spin.
				pause(ctx, f.rules.WatcherPoll)
			}
		}
	}
}

// highest is the highest revision seen, in force or not.
func (f *Follower) highest() peer.Revision {
	f.mu.Lock()
	defer f.mu.Unlock()
	return max(f.revision, f.refused)
}

// poll backs the watch up: a watch can die without a sign, and then it looks
// just like one that has nothing to tell.
func (f *Follower) poll(ctx context.Context) {
	last := f.clock.Now() - f.slow()
	for ctx.Err() == nil {
		if f.watching() || f.clock.Now()-last >= f.slow() {
			last = f.clock.Now()
			f.read(ctx)
		}
		pause(ctx, f.rules.WatcherPoll)
	}
}

// slow is the time between two polls of a member that is no watcher.
//
// When the watchers are cut off from the store while others reach it, only these
// polls find a change. All of them together cost the store the same few reads a
// second at any size, so in a small fleet each can poll as often as a watcher,
// and a change is in force in time although both watchers are blind.
func (f *Follower) slow() clock.Milli {
	return max(f.rules.WatcherPoll, f.rules.MemberPoll*clock.Milli(len(f.peers.Live()))/fullFleet)
}

func (f *Follower) read(ctx context.Context) {
	o, err := f.store.Get(ctx, DocumentKind, DocumentName)
	if errors.Is(err, platform.ErrNotFound) {
		f.reachedStore()
	}
	if err != nil {
		return
	}
	f.reachedStore()
	f.Offer(peer.Revision(o.Version), o.Value)
}

// fetch gets from a peer what its heartbeat told of.
func (f *Follower) fetch(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-f.hints:
			f.ask(ctx)
		}
	}
}

func (f *Follower) ask(ctx context.Context) {
	f.mu.Lock()
	above, address := max(f.revision, f.refused), f.address
	// The next heartbeat names a peer again if this one fails.
	f.ahead = 0
	f.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, f.rules.FetchTimeout.Duration())
	defer cancel()
	var reply peer.DocumentReply
	err := f.caller.Call(ctx, address, member.Name+".Document", &peer.DocumentArgs{Above: above}, &reply)
	if err != nil || reply.Revision <= above {
		return
	}
	text, err := peer.Expand(reply.Packed)
	if err == nil {
		f.Offer(reply.Revision, text)
	}
}

func pause(ctx context.Context, d clock.Milli) {
	t := time.NewTimer(d.Duration())
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}
