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

// IsWatcher reports whether a member is one of the watchers of its failure domain.
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

// pollsAsWatcher reports whether this VM watches the store and polls it at the rate of a watcher.
// It does so as a watcher, and also while it has no document or no contact with a peer, since no
// peer announces documents to it then.
func (f *Follower) pollsAsWatcher() bool {
	revision, _ := f.Newest()
	alone := f.clock.Now()-f.peers.LastWritten() > f.rules.MaxContactAge
	return revision == 0 || alone || IsWatcher(f.peers.Self(), f.peers.Live(), f.rules.Watchers)
}

// watch delivers a change within milliseconds as long as watches work.
func (f *Follower) watch(ctx context.Context) {
	for ctx.Err() == nil {
		if !f.pollsAsWatcher() {
			pause(ctx, f.rules.WatcherPoll)
			continue
		}
		revision, sent := f.highestSeen(), f.clock.Now()
		o, changed, err := f.store.Watch(ctx, DocumentKind, DocumentName, platform.Version(revision), f.rules.WatchWait)
		switch {
		case err != nil:
			pause(ctx, f.rules.WatcherPoll)
		case changed:
			f.noteStoreContact(sent)
			f.Offer(peer.Revision(o.Version), o.Value)
			if f.highestSeen() == revision {
				// The store returned no newer revision, against its protocol. Pause to avoid a busy
				// loop.
				pause(ctx, f.rules.WatcherPoll)
			}
		}
	}
}

// highestSeen returns the highest revision seen, whether in force or rejected.
func (f *Follower) highestSeen() peer.Revision {
	f.mu.Lock()
	defer f.mu.Unlock()
	return max(f.revision, f.rejected)
}

// poll finds changes that the watch misses: a watch can hang without an error, which looks like a
// watch without changes.
func (f *Follower) poll(ctx context.Context) {
	last := f.clock.Now() - f.pollInterval()
	for ctx.Err() == nil {
		if f.pollsAsWatcher() || f.clock.Now()-last >= f.pollInterval() {
			last = f.clock.Now()
			f.readStore(ctx)
		}
		pause(ctx, f.rules.WatcherPoll)
	}
}

// pollInterval returns the time between two polls of a member that is not a watcher.
//
// If the watchers cannot reach the store but other members can, only these polls find a change. All
// members together make the same few reads a second at any fleet size. So in a small fleet each
// member polls as often as a watcher, and a change comes into force within the 8 s of DefaultRules
// even if the watchers cannot reach the store.
func (f *Follower) pollInterval() clock.Milli {
	return max(f.rules.WatcherPoll, f.rules.MemberPoll*clock.Milli(len(f.peers.Live()))/fullFleet)
}

func (f *Follower) readStore(ctx context.Context) {
	sent := f.clock.Now()
	o, err := f.store.Get(ctx, DocumentKind, DocumentName)
	if errors.Is(err, platform.ErrNotFound) {
		f.noteStoreContact(sent)
	}
	if err != nil {
		return
	}
	f.noteStoreContact(sent)
	f.Offer(peer.Revision(o.Version), o.Value)
}

// fetch fetches documents that peers' heartbeats announce.
func (f *Follower) fetch(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-f.wake:
			f.fetchOnce(ctx)
		}
	}
}

func (f *Follower) fetchOnce(ctx context.Context) {
	f.mu.Lock()
	above, address := max(f.revision, f.rejected), f.peerAddress
	// If this request fails, the next heartbeat names a peer again.
	f.peerRevision = 0
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
