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
	// askAfter is how old our knowledge grows before a reader is asked, and
	// lookEvery the time between two looks at its age.
	askAfter  = clock.Second
	lookEvery = 200 * time.Millisecond
	// tellEvery is the time between two questions of a VM that keeps no watch of its own, and
	// trustFor how long it relies on the last answer. With one reader silent or shut off, news
	// is known after 1.3 s at the most; with all silent the VM reads for itself 1.4 s after the last
	// answer. Both are within the two seconds in which a leaving upstream and a new document
	// must be obeyed.
	tellEvery = 300 * clock.Milli(1)
	trustFor  = 1200 * clock.Milli(1)
	// restLimit is how old the readers' word grows before a VM without watches reads for itself: a
	// reader's own age, and a question more. If the ways of all readers are shut, news is known
	// after as long.
	restLimit = 1800 * clock.Milli(1)
	// readerAge is the most that the word of a reader is old whose way to the store is open: one
	// watch and the pause after news, and a tenth of a second on the way.
	readerAge = watchWait + newsEvery + 100
	// proofLimit is how old it may grow before we read for ourselves. News reaches us
	// by a reader's word within askAfter and lookEvery, whatever the age that it
	// proves: after each change of an upstream a reader's own proof is up to two
	// waits old, and with a lower limit the whole fleet would read for itself then.
	proofLimit = 2*watchWait + 500
)

// Fill implements member.Part.
func (r *Registry) Fill(_ peer.VM, b *peer.BeatArgs) {
	r.mu.Lock()
	defer r.mu.Unlock()
	b.Registry = r.word()
}

// word is how far our knowledge goes. What is kept on suspicion is no knowledge. The
// lock is held.
func (r *Registry) word() peer.RegistryWord {
	var w peer.RegistryWord
	now := r.clock.Now()
	if r.table != nil {
		w.Revision, w.RevisionAge = r.table.Revision(), now-r.tableAt
	}
	if r.upstreamsAt > 0 && len(r.gone) == 0 {
		w.Digest, w.DigestAge, w.Mark = r.digest, now-r.upstreamsAt, r.mark
	}
	return w
}

// Learn implements member.Part. A peer that knows the same as we do, and knows
// it to be newer, proves ours as new; one that knows more is asked.
func (r *Registry) Learn(b *peer.BeatArgs, _ bool) {
	if r.learnWord(b.Registry, r.clock.Now()-beatTime) && r.fetching.CompareAndSwap(false, true) {
		go func() {
			defer r.fetching.Store(false)
			r.fetch(context.Background(), b.From)
		}()
	}
}

// learnWord takes how far a peer's knowledge went at an instant, and tells whether it
// goes further than ours.
func (r *Registry) learnWord(w peer.RegistryWord, now clock.Milli) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	ask := false
	if w.Revision > 0 {
		switch {
		case r.table == nil || w.Revision > r.table.Revision():
			ask = true
		case w.Revision == r.table.Revision():
			r.confirmDocument(now - w.RevisionAge)
		}
	}
	if w.Digest > 0 {
		at := now - w.DigestAge
		switch {
		case w.Digest == r.digest && at > r.upstreamsAt:
			r.settle(w.Mark, at)
		case w.Digest != r.digest && w.Mark > r.mark:
			ask = true
		}
	}
	return ask
}

// fetch takes over what a peer knows, and tells whether it answered.
func (r *Registry) fetch(ctx context.Context, from peer.Member) bool {
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
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
		return false
	}
	r.learnWord(reply.Word, sent)
	if reply.Document != nil {
		r.learnDocument(reply.Document, sent-reply.DocumentAge, string(from.VM))
	}
	r.mu.Lock()
	newer := reply.Word.Mark > r.mark
	r.mu.Unlock()
	if newer && len(reply.Upstreams) > 0 {
		r.learnPeers(route.News{Upstreams: reply.Upstreams, Unusable: reply.Unusable}, reply.Word.Mark, sent-reply.UpstreamsAge)
	}
	return true
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
	reply.Word = r.word()
	if r.table != nil && r.table.Revision() > args.Revision {
		reply.Document, reply.DocumentAge = r.table.Document(), now-r.tableAt
	}
	if r.upstreamsAt > 0 && len(r.gone) == 0 && r.digest != args.Digest {
		reply.UpstreamsAge = now - r.upstreamsAt
		reply.Upstreams = make([]route.Upstream, 0, len(r.upstreams))
		for _, u := range r.upstreams {
			reply.Upstreams = append(reply.Upstreams, u)
		}
		for id, reason := range r.unusable {
			reply.Unusable = append(reply.Unusable, route.Unusable{ID: id, Reason: reason})
		}
	}
	return nil
}
