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

// Limits on the use of peers' state, in time and age.
const (
	// fetchTimeout bounds one request to a peer, which normally takes milliseconds.
	fetchTimeout = 400 * time.Millisecond
	// askAge is the age of the last verification of the document at which a VM of a small fleet
	// asks a reader. checkPeriod is the maximum time between two checks of that age.
	askAge      = watchWait
	checkPeriod = 200 * time.Millisecond
	// pollInterval is the time between two polls of a VM that has no watch of its own, and
	// pollExpiry how long that VM relies on the last answer. Members are asked in turn, so if one
	// of them does not respond or is cut off from the store, an update takes at most 0.8 s from one
	// layer of members to the next (watchers, relayers, all others; see package readers). It passes
	// both layers of polls within the two seconds in which a leaving upstream and a new document
	// must take effect.
	pollInterval = 300 * clock.Milli(1)
	pollExpiry   = 1200 * clock.Milli(1)
	// readerMaxAge is the maximum age of the copy of a reader that can reach the store: one watch,
	// the pause after an update, and 100 ms for the transfer.
	readerMaxAge = watchWait + busyWatchInterval + 100
	// delegationLimit is the age of the last verification at which the first VM behind the readers
	// reads for itself, if the readers answer but cannot reach the store: the maximum age at a
	// reader, and two polls in each of two layers.
	delegationLimit = readerMaxAge + 2*(pollInterval+100)
	// rankDelay is added to delegationLimit for each further rank, or all VMs would call a store
	// that is unreachable. The first VM that gets through is asked by all others, since it ranks
	// before them.
	rankDelay = 300 * clock.Milli(1)
	// verificationLimit is the age of the last verification at which a VM of a small fleet reads for
	// itself.
	verificationLimit = readerMaxAge + 650
)

// Fill implements member.Part. It adds the version summary to a heartbeat.
func (r *Registry) Fill(_ peer.VM, b *peer.BeatArgs) {
	r.mu.Lock()
	defer r.mu.Unlock()
	b.Registry = r.summary()
}

// summary returns the versions and ages of this VM's state. A list with upstreams that are only
// retained is omitted, since it verifies nothing for others. The lock must be held.
func (r *Registry) summary() peer.RegistrySummary {
	s := peer.RegistrySummary{Shut: r.storeDown, Era: r.era, Evacuations: r.evacuationSummary()}
	now := r.clock.Now()
	if r.table != nil {
		s.Revision, s.RevisionAge = r.table.Revision(), now-r.tableVerified
	}
	if r.upstreamsVerified > 0 && len(r.expiring) == 0 {
		s.Digest, s.DigestAge = r.digest, now-r.upstreamsVerified
		s.MarkEra, s.Mark = r.position.Era, r.position.Mark
	}
	return s
}

// Learn implements member.Part. A peer with the same state and a later verification verifies the
// state of this VM. A peer with later state is asked for it.
func (r *Registry) Learn(b *peer.BeatArgs, written clock.Milli) {
	if r.learnSummary(b.Registry, written) && r.fetching.CompareAndSwap(false, true) {
		go func() {
			defer r.fetching.Store(false)
			r.fetch(context.Background(), b.From)
		}()
	}
}

// learnSummary applies a peer's version summary and reports whether the peer has later state than
// this VM. written is the earliest instant at which the peer can have written the summary; zero if unknown, and the
// summary then verifies nothing.
func (r *Registry) learnSummary(s peer.RegistrySummary, written clock.Milli) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	ask := false
	if s.Era > r.era {
		r.startEra(s.Era, fromPeer)
	}
	r.peerAnswered.Store(true)
	r.learnPeerEvacuations(s.Evacuations, written)
	if s.Revision > 0 {
		r.peerRevision = max(r.peerRevision, s.Revision)
		r.peerDocumentOnce.Do(func() { close(r.peerDocument) })
		switch {
		case r.table == nil || s.Revision > r.table.Revision():
			ask = true
		case s.Revision == r.table.Revision():
			r.confirmDocument(written - s.RevisionAge)
		}
	}
	if s.Digest > 0 {
		at := written - s.DigestAge
		switch {
		case s.Digest == r.digest && at > r.upstreamsVerified:
			r.commit(s.Position(), at)
		case s.Digest != r.digest && s.Position().After(r.position):
			ask = true
		}
	}
	return ask
}

// fetch requests the state of a peer and applies what is newer. It reports whether the peer gave a
// usable answer.
func (r *Registry) fetch(ctx context.Context, from peer.Member) bool {
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	args := &peer.RegistrySummary{Packs: true}
	r.mu.Lock()
	if r.table != nil {
		args.Revision = r.table.Revision()
	}
	args.Digest = r.digest
	own := r.view.Load()
	if h, ok := r.changes.Hash(); ok && !r.fetchWhole.Swap(false) {
		args.Content = uint64(h)
	}
	r.mu.Unlock()
	sent := r.clock.Now()
	var reply peer.RegistryReply
	err := r.peers.Call(ctx, from.Address, Name+".Tell", args, &reply)
	r.mu.Lock()
	r.noteCutOff(from.VM, err != nil || reply.Word.Shut)
	r.mu.Unlock()
	if err != nil {
		r.log.Warn().Str(logline.Key, logline.Unreachable).Str("dependency", string(from.VM)).Err(err).Msg("request for a peer's registry state failed")
		return false
	}
	r.learnSummary(reply.Word, sent)
	if reply.Busy {
		return false
	}
	if !r.learnReplyDocument(&reply, sent, from.VM) {
		return false
	}
	r.mu.Lock()
	newer := reply.Word.Position().After(r.position)
	r.mu.Unlock()
	if !newer {
		return true
	}
	us, ok := replyUpstreams(&reply, args.Content, own)
	if !ok {
		r.fetchWhole.Store(true)
		r.log.Error().Str(logline.Key, logline.Rejected).Str("from", string(from.VM)).Msg("upstream changes from peer do not produce its list; the next request asks for the whole list")
		return false
	}
	if len(us) > 0 {
		r.learnPeerUpstreams(route.UpstreamUpdate{Upstreams: us, Unusable: reply.Unusable, Unverified: reply.Doubted}, reply.Word.Position(), sent-reply.UpstreamsAge)
	}
	return true
}

// replyUpstreams returns the whole list of upstreams that a reply describes, if need be by applying
// its changes to the list known here at the time of the request. It returns false if the changes
// were made for another list or give the wrong content hash.
func replyUpstreams(reply *peer.RegistryReply, asked uint64, own *View) ([]route.Upstream, bool) {
	if reply.Base == 0 {
		return reply.Upstreams, true
	}
	if reply.Base != asked {
		return nil, false
	}
	us := changes.Apply(slices.Concat(slices.Collect(maps.Values(own.listed))...), reply.Upstreams, reply.Without)
	return us, uint64(changes.HashOf(us)) == reply.Content
}

// learnReplyDocument applies the document of a reply, if any, and reports whether it could be
// unpacked.
func (r *Registry) learnReplyDocument(reply *peer.RegistryReply, sent clock.Milli, from peer.VM) bool {
	d := reply.Document
	if len(reply.Packed) > 0 {
		var err error
		if d, err = peer.UnpackDocument(reply.Packed); err != nil {
			r.log.Error().Str(logline.Key, logline.Rejected).Str("from", string(from)).Err(err).Msg("document from peer cannot be unpacked")
			return false
		}
	}
	if d != nil {
		r.learnDocument(d, sent-reply.DocumentAge, string(from))
	}
	return true
}

// Receiver answers requests of peers over net/rpc.
type Receiver struct{ registry *Registry }

// NewReceiver returns the receiver to register under Name.
func NewReceiver(r *Registry) *Receiver { return &Receiver{registry: r} }

// Tell replies with the document and the upstreams if they are newer than, or differ from, those in
// the requester's summary.
func (v *Receiver) Tell(args *peer.RegistrySummary, reply *peer.RegistryReply) error {
	r := v.registry
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.clock.Now()
	newer := r.table != nil && r.table.Revision() > args.Revision
	if newer && args.Packs && !r.handover.admit() {
		reply.Busy = true
		return nil
	}
	reply.Word = r.summary()
	if newer {
		reply.DocumentAge = now - r.tableVerified
		if err := r.addDocument(args, reply); err != nil {
			return err
		}
	}
	if r.upstreamsVerified > 0 && len(r.expiring) == 0 && r.digest != args.Digest {
		reply.UpstreamsAge = now - r.upstreamsVerified
		r.addUpstreams(args, reply)
		for _, u := range r.unverified {
			reply.Doubted = append(reply.Doubted, u)
		}
		for id, reason := range r.unusable {
			reply.Unusable = append(reply.Unusable, route.Unusable{ID: id, Reason: reason})
		}
	}
	return nil
}

// addUpstreams adds the upstreams to a reply: only the changes if the requester's list is an
// earlier one that is known here and they are few, otherwise the whole list. The lock must be held.
func (r *Registry) addUpstreams(args *peer.RegistrySummary, reply *peer.RegistryReply) {
	if ids, ok := r.changes.Since(changes.Hash(args.Content)); ok && 2*len(ids) < len(r.upstreams) {
		h, _ := r.changes.Hash()
		reply.Base, reply.Content = args.Content, uint64(h)
		for _, id := range ids {
			if u, present := r.upstreams[id]; present {
				reply.Upstreams = append(reply.Upstreams, u)
			} else {
				reply.Without = append(reply.Without, id)
			}
		}
		return
	}
	reply.Upstreams = slices.Collect(maps.Values(r.upstreams))
}
