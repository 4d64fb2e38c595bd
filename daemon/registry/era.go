package registry

import (
	"context"
	"maps"
	"slices"

	"github.com/zeebo/errs"

	"snipeshift.example/lib/clock"
	"snipeshift.example/lib/decide"
	"snipeshift.example/lib/logline"
	"snipeshift.example/lib/route"
)

// The store may be restored from a copy that is seconds old. For a moment it then lacks the latest
// writes: it lists upstreams that have left, lacks some that are alive, and has an earlier
// document. Each writer writes its own entries again. The store's era shows that this is a
// different history, in which revision numbers are used a second time. Until the writers have had
// time to write again, the state known before the restore takes precedence over the copy.

// errEra is returned for an answer that the store gave before it was restored from an older copy.
var errEra = errs.New("answer belongs to an earlier era of the store")

// unverifiedTime is how long the entry of a restored copy is not accepted for an upstream that had
// left or was leaving. Writers write again within two seconds, and the entry of an upstream without
// heartbeats expires after three of them.
const unverifiedTime = entryTTL + outageHold

// fromPeer is the cause of an era that a peer reported.
const fromPeer = "peer"

// Era returns the latest known era of the store.
func (r *Registry) Era() route.Era { r.mu.Lock(); defer r.mu.Unlock(); return r.era }

// EraChanges returns the number of changes of the store's era that this VM observed.
func (r *Registry) EraChanges() uint64 { return r.eras.Load() }

const (
	// firstEra is the era of a store that was never restored from a copy.
	firstEra route.Era = 1
	// documentPeerWait is how long a VM without a document waits for a peer that has one before it
	// accepts the document of a store that was restored from a copy. aloneWait is the same while no
	// peer has answered at all: the time an operator needs to write the document again.
	documentPeerWait = 400 * clock.Milli(1)
	aloneWait        = 2 * clock.Second
)

// awaitPeer waits, at a VM that has just started, until a peer has reported the revision of its
// document. The store may just have been restored from a copy with an earlier document that still
// accepts a revoked API key. It waits at most once, and reports whether it did.
func (r *Registry) awaitPeer(ctx context.Context, era route.Era) bool {
	if era <= firstEra || r.readers == nil || r.View().Table != nil || r.awaitedPeer.Swap(true) {
		return false
	}
	for began := r.clock.Now(); ctx.Err() == nil; pause(ctx, bootstrapInterval) {
		select {
		case <-r.peerDocument:
			return true
		default:
		}
		waited := r.clock.Now() - began
		if waited >= aloneWait || waited >= documentPeerWait && r.peerAnswered.Load() {
			return true
		}
	}
	return true
}

// checkEra starts a new era if an answer of the store carries a later one. It returns errEra for an
// answer of an earlier era.
func (r *Registry) checkEra(era route.Era) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	switch {
	case era < r.era:
		return errEra
	case era > r.era:
		r.startEra(era, fromStore)
	}
	return nil
}

// startEra sets the era and cancels all watches, so that both feeds list again. On a registry
// without any state it only sets the era. The lock must be held.
func (r *Registry) startEra(era route.Era, cause string) {
	before := r.era
	r.era = era
	if r.table == nil && r.upstreamsVerified == 0 {
		return
	}
	now := r.clock.Now()
	r.eraStart, r.storeBack = now, now
	r.missingBefore = make(map[decide.UpstreamID]bool, len(r.expiring))
	for id := range r.expiring {
		r.missingBefore[id] = true
	}
	r.eras.Add(1)
	r.log.Warn().Str(logline.Key, logline.Era).Uint64("era", uint64(era)).Uint64("before", uint64(before)).Uint64("position", uint64(r.position.Mark)).
		Int64("age", int64(now-r.upstreamsVerified)).Str("cause", cause).Msg("the store was restored from an older copy")
	for _, w := range r.watches {
		w.cancel()
	}
}

// withoutUnverified returns a list of the store without the entries that contradict the state known
// before the store was restored, and records these as unverified. For an upstream that is known to
// be leaving and listed as ready, it returns the known entry. A listed upstream counts as having left
// or as missing only if it had left or was missing when the era began: if only a list of this era
// lacked it, its writer has written the entry again since. The lock must be held.
func (r *Registry) withoutUnverified(us []route.Upstream) []route.Upstream {
	if !r.inVerification() {
		return us
	}
	// Upstreams of a service that are missing together expired during an outage and are alive.
	expired := r.massRemoval(slices.Collect(maps.Keys(r.expiring)))
	verified := make([]route.Upstream, 0, len(us))
	for _, u := range us {
		d, hasLeft := r.departed[u.ID]
		hasLeft = hasLeft && (d.at <= r.eraStart || r.missingBefore[u.ID])
		_, missing := r.expiring[u.ID]
		missing = missing && r.missingBefore[u.ID]
		old, known := r.upstreams[u.ID]
		switch {
		case hasLeft && !known && u.Born <= d.born, missing && !expired[u.ID] && u.Born <= old.Born:
			r.unverified[u.ID] = u
		case known && old.Leaving && !u.Leaving && u.Born <= old.Born:
			r.unverified[u.ID] = u
			verified = append(verified, old)
		default:
			delete(r.unverified, u.ID)
			verified = append(verified, u)
		}
	}
	return verified
}

// inVerification reports whether the store was restored less than unverifiedTime ago, so that
// writers may still have to write their entries again. The lock must be held.
func (r *Registry) inVerification() bool {
	return r.eraStart > 0 && r.clock.Now()-r.eraStart < unverifiedTime
}

// acceptUnverified adds the unverified entries once unverifiedTime has passed, and reports whether
// there were any. The lock must be held.
func (r *Registry) acceptUnverified() bool {
	if len(r.unverified) == 0 || r.inVerification() {
		return false
	}
	for id, u := range r.unverified {
		delete(r.unverified, id)
		r.putUpstream(u, true)
	}
	return true
}
