package registry

import (
	"context"
	"time"

	"snipeshift.example/lib/clock"
	"snipeshift.example/lib/logline"
	"snipeshift.example/lib/peer"
	"snipeshift.example/lib/route"
)

// Name is the name under which the receiver is registered with net/rpc.
const Name = "Registry"

// Limits of what peers are trusted with.
const (
	// beatTime is the most by which a heartbeat may be older than it says: a
	// beat that takes longer is given up by its sender.
	beatTime = 500 * clock.Milli(1)
	// fetchTimeout bounds the fetching from a peer, which is milliseconds away.
	fetchTimeout = 400 * time.Millisecond
	// staleAfter is how old our own list may grow before that of a peer is
	// taken. A watch that works is at most two waits behind: news proves only
	// the time at which the watch began.
	staleAfter = 2*watchWait + 300
)

// Fill implements member.Part.
func (r *Registry) Fill(_ peer.VM, b *peer.BeatArgs) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.clock.Now()
	if r.table != nil {
		b.Registry.Revision, b.Registry.RevisionAge = r.table.Revision(), now-r.tableAt
	}
	if r.upstreamsAt > 0 && len(r.gone) == 0 {
		b.Registry.Digest, b.Registry.DigestAge = r.digest, now-r.upstreamsAt
	}
}

// Learn implements member.Part. A peer that knows the same as we do, and knows
// it to be newer, proves ours as new; one that knows more is asked.
func (r *Registry) Learn(b *peer.BeatArgs, _ bool) {
	w := b.Registry
	r.mu.Lock()
	now := r.clock.Now()
	ask := false
	if w.Revision > 0 {
		switch {
		case r.table == nil || w.Revision > r.table.Revision():
			ask = true
		case w.Revision == r.table.Revision():
			r.confirmDocument(now - w.RevisionAge - beatTime)
		}
	}
	if w.Digest > 0 {
		at := now - w.DigestAge - beatTime
		switch {
		case w.Digest == r.digest && at > r.upstreamsAt:
			r.settle(at)
		case w.Digest != r.digest && at > r.upstreamsAt && now-r.upstreamsAt > staleAfter:
			ask = true
		}
	}
	r.mu.Unlock()
	if ask && r.fetching.CompareAndSwap(false, true) {
		go r.fetch(b.From)
	}
}

// fetch takes over what a peer knows.
func (r *Registry) fetch(from peer.Member) {
	defer r.fetching.Store(false)
	ctx, cancel := context.WithTimeout(context.Background(), fetchTimeout)
	defer cancel()
	args := &peer.RegistryWord{}
	r.mu.Lock()
	if r.table != nil {
		args.Revision = r.table.Revision()
	}
	args.Digest = r.digest
	r.mu.Unlock()
	sent := r.clock.Now()
	var reply peer.RegistryReply
	if err := r.peers.Call(ctx, from.Address, Name+".Tell", args, &reply); err != nil {
		r.log.Warn().Str(logline.Key, logline.Unreachable).Str("dependency", string(from.VM)).Err(err).Msg("a peer that knows more does not tell")
		return
	}
	if reply.Document != nil {
		r.learnDocument(reply.Document, sent-reply.DocumentAge, string(from.VM))
	}
	if len(reply.Upstreams) == 0 {
		return
	}
	at := sent - reply.UpstreamsAge
	r.mu.Lock()
	newer := at > r.upstreamsAt
	r.mu.Unlock()
	if newer {
		r.learnPeers(reply.Upstreams, at)
	}
}

// Receiver answers peers over net/rpc.
type Receiver struct{ registry *Registry }

// NewReceiver returns the receiver to register under Name.
func NewReceiver(r *Registry) *Receiver { return &Receiver{registry: r} }

// Tell answers with what the asker does not have.
func (v *Receiver) Tell(args *peer.RegistryWord, reply *peer.RegistryReply) error {
	r := v.registry
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.clock.Now()
	if r.table != nil && r.table.Revision() > args.Revision {
		reply.Document, reply.DocumentAge = r.table.Document(), now-r.tableAt
	}
	if r.upstreamsAt > 0 && len(r.gone) == 0 && r.digest != args.Digest {
		reply.UpstreamsAge = now - r.upstreamsAt
		reply.Upstreams = make([]route.Upstream, 0, len(r.upstreams))
		for _, u := range r.upstreams {
			reply.Upstreams = append(reply.Upstreams, u)
		}
	}
	return nil
}
