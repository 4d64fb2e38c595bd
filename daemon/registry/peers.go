package registry

import (
	"context"
	"maps"
	"slices"
	"time"

	"snipeshift.example/daemon/changes"
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
	// askAfter is how old the proof of our document grows in a small fleet before a reader is asked, and
	// checkEvery the time between two checks of its age.
	askAfter   = watchWait
	checkEvery = 200 * time.Millisecond
	// pollEvery is the time between two questions of a VM that keeps no watch of its own, and
	// pollExpiry how long it relies on the last answer. Members are asked in turn, so with one of them silent or shut
	// off, news passes one layer after 0.8 s at the most, and two layers within the two seconds in which a leaving
	// upstream and a new document must be obeyed.
	pollEvery  = 300 * clock.Milli(1)
	pollExpiry = 1200 * clock.Milli(1)
	// readerAge is the most that the word of a reader is old whose way to the store is open: one
	// watch and the pause after news, and a tenth of a second on the way.
	readerAge = watchWait + newsBusy + 100
	// restLimit is how old the proof grows before the first VM behind the readers reads for itself, if they answer and their
	// own ways to the store are shut: a reader's age, and two questions in each of two layers.
	restLimit = readerAge + 2*(pollEvery+100)
	// rankStep is added to it for each VM that stands before, or all VMs would call a store that is away. The first one that gets through
	// is asked by all, since it stands before them.
	rankStep = 300 * clock.Milli(1)
	// proofLimit is how old the proof grows in a small fleet before a VM reads for itself.
	proofLimit = readerAge + 650
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
	w := peer.RegistryWord{Shut: r.lost, Era: r.era}
	now := r.clock.Now()
	if r.table != nil {
		w.Revision, w.RevisionAge = r.table.Revision(), now-r.tableAt
	}
	if r.upstreamsAt > 0 && len(r.gone) == 0 {
		w.Digest, w.DigestAge = r.digest, now-r.upstreamsAt
		w.MarkEra, w.Mark = r.position.Era, r.position.Mark
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
	if w.Era > r.era {
		r.change(w.Era, fromPeer)
	}
	r.answered.Store(true)
	if w.Revision > 0 {
		r.told = max(r.told, w.Revision)
		r.heardOnce.Do(func() { close(r.heard) })
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
			r.settle(w.Position(), at)
		case w.Digest != r.digest && w.Position().After(r.position):
			ask = true
		}
	}
	return ask
}

// fetch takes over what a peer knows, and tells whether it answered.
func (r *Registry) fetch(ctx context.Context, from peer.Member) bool {
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	args := &peer.RegistryWord{Packs: true}
	r.mu.Lock()
	if r.table != nil {
		args.Revision = r.table.Revision()
	}
	args.Digest = r.digest
	own := r.view.Load()
	if c, ok := r.changes.Hash(); ok && !r.askAll.Swap(false) {
		args.Content = uint64(c)
	}
	r.mu.Unlock()
	sent := r.clock.Now()
	var reply peer.RegistryReply
	err := r.peers.Call(ctx, from.Address, Name+".Tell", args, &reply)
	r.mu.Lock()
	r.noteShut(from.VM, err != nil || reply.Word.Shut)
	r.mu.Unlock()
	if err != nil {
		r.log.Warn().Str(logline.Key, logline.Unreachable).Str("dependency", string(from.VM)).Err(err).Msg("a peer that knows more does not tell")
		return false
	}
	r.learnWord(reply.Word, sent)
	if reply.Busy {
		return false
	}
	if !r.takeDocument(&reply, sent, from.VM) {
		return false
	}
	r.mu.Lock()
	newer := reply.Word.Position().After(r.position)
	r.mu.Unlock()
	if !newer {
		return true
	}
	us, ok := listOf(&reply, args.Content, own)
	if !ok {
		r.askAll.Store(true)
		r.log.Error().Str(logline.Key, logline.Rejected).Str("from", string(from.VM)).Msg("a peer's changes do not make its list")
		return false
	}
	if len(us) > 0 {
		r.learnPeers(route.UpstreamUpdate{Upstreams: us, Unusable: reply.Unusable, Unverified: reply.Doubted}, reply.Word.Position(), sent-reply.UpstreamsAge)
	}
	return true
}

// listOf is the whole list of upstreams that a reply tells of, made of the list that was known here when it was asked for; false if its changes
// were made for another one.
func listOf(reply *peer.RegistryReply, asked uint64, own *View) ([]route.Upstream, bool) {
	if reply.Base == 0 {
		return reply.Upstreams, true
	}
	if reply.Base != asked {
		return nil, false
	}
	us := changes.Apply(slices.Concat(slices.Collect(maps.Values(own.Upstreams))...), reply.Upstreams, reply.Without)
	return us, uint64(changes.HashOf(us)) == reply.Content
}

// takeDocument takes the document of a reply, and tells whether it could be read.
func (r *Registry) takeDocument(reply *peer.RegistryReply, sent clock.Milli, from peer.VM) bool {
	d := reply.Document
	if len(reply.Packed) > 0 {
		var err error
		if d, err = peer.UnpackDocument(reply.Packed); err != nil {
			r.log.Error().Str(logline.Key, logline.Rejected).Str("from", string(from)).Err(err).Msg("a peer's document cannot be read")
			return false
		}
	}
	if d != nil {
		r.learnDocument(d, sent-reply.DocumentAge, string(from))
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
	newer := r.table != nil && r.table.Revision() > args.Revision
	if newer && args.Packs && !r.handover.admit() {
		reply.Busy = true
		return nil
	}
	reply.Word = r.word()
	if newer {
		reply.DocumentAge = now - r.tableAt
		if err := r.hand(args, reply); err != nil {
			return err
		}
	}
	if r.upstreamsAt > 0 && len(r.gone) == 0 && r.digest != args.Digest {
		reply.UpstreamsAge = now - r.upstreamsAt
		r.addUpstreams(args, reply)
		for _, u := range r.doubted {
			reply.Doubted = append(reply.Doubted, u)
		}
		for id, reason := range r.unusable {
			reply.Unusable = append(reply.Unusable, route.Unusable{ID: id, Reason: reason})
		}
	}
	return nil
}

// addUpstreams adds the list of upstreams to a reply: what changed if the asker has an earlier one that is known here, or all of them. The lock
// is held.
func (r *Registry) addUpstreams(args *peer.RegistryWord, reply *peer.RegistryReply) {
	if ids, ok := r.changes.Since(changes.Hash(args.Content)); ok && 2*len(ids) < len(r.upstreams) {
		c, _ := r.changes.Hash()
		reply.Base, reply.Content = args.Content, uint64(c)
		for _, id := range ids {
			if u, there := r.upstreams[id]; there {
				reply.Upstreams = append(reply.Upstreams, u)
			} else {
				reply.Without = append(reply.Without, id)
			}
		}
		return
	}
	reply.Upstreams = slices.Collect(maps.Values(r.upstreams))
}
