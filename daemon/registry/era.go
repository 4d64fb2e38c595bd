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

// The store may come back from a copy of itself that is seconds old. What was written since is missing for a moment: upstreams that had left
// stand in it, some that live don't, the document is an earlier one. Each writer writes its own again, and the store's era tells
// that it is another history, in which revisions are given out anew. Until the writers had their time, what was known before stands
// against the copy.

// errEra is an answer that was given before the store came back from a copy.
var errEra = errs.New("the answer is of an earlier era of the store")

// doubtTime is how long what a copy says of an upstream that had left, or was leaving, is not believed: writers write again within two
// seconds, and the entry of an upstream that is silent lapses after three heartbeats.
const doubtTime = lapseLeast + holdGone

// fromPeer is the cause of what a peer told.
const fromPeer = "peer"

// Era is the latest one of the store that is known.
func (r *Registry) Era() route.Era { r.mu.Lock(); defer r.mu.Unlock(); return r.era }

// EraChanges counts the changes of the store's era that this VM noticed.
func (r *Registry) EraChanges() uint64 { return r.eras.Load() }

const (
	// firstEra is that of a store that never came back from a copy.
	firstEra route.Era = 1
	// peerWait is how long a VM that knows no document waits for a peer that knows one before it believes a store that came back from a
	// copy once; aloneWait is the same while no peer has answered at all: the operator's time to write again.
	peerWait  = 400 * clock.Milli(1)
	aloneWait = 2 * clock.Second
)

// awaitPeer waits, at a VM that has just started, until a peer has told of the document that it knows. The store may just have come back from a
// copy, with an earlier document in which a key that was taken away still opens. It waits once, and reports whether it did.
func (r *Registry) awaitPeer(ctx context.Context, era route.Era) bool {
	if era <= firstEra || r.readers == nil || r.View().Table != nil || r.awaited.Swap(true) {
		return false
	}
	for began := r.clock.Now(); ctx.Err() == nil; pause(ctx, bootstrapPoll) {
		select {
		case <-r.heard:
			return true
		default:
		}
		waited := r.clock.Now() - began
		if waited >= aloneWait || waited >= peerWait && r.answered.Load() {
			return true
		}
	}
	return true
}

// enter takes the era of an answer of the store. An answer of an earlier one is an error.
func (r *Registry) enter(era route.Era) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	switch {
	case era < r.era:
		return errEra
	case era > r.era:
		r.change(era, fromStore)
	}
	return nil
}

// change begins an era: both feeds list anew. The first one that a VM hears of changes nothing. The lock is held.
func (r *Registry) change(era route.Era, cause string) {
	before := r.era
	r.era = era
	if r.table == nil && r.upstreamsAt == 0 {
		return
	}
	now := r.clock.Now()
	r.entered, r.back = now, now
	r.missed = make(map[decide.UpstreamID]bool, len(r.gone))
	for id := range r.gone {
		r.missed[id] = true
	}
	r.eras.Add(1)
	r.log.Warn().Str(logline.Key, logline.Era).Uint64("era", uint64(era)).Uint64("before", uint64(before)).Uint64("position", uint64(r.position.Mark)).
		Int64("age", int64(now-r.upstreamsAt)).Str("cause", cause).Msg("the store came back from an older copy")
	for _, w := range r.watches {
		w.end()
	}
}

// doubt leaves out what a list of the store's says against what was known before it came back from a copy. What the lists of this era
// lacked themselves is no such knowledge: its writer has written it again since. The lock is held.
func (r *Registry) doubt(us []route.Upstream) []route.Upstream {
	if !r.doubting() {
		return us
	}
	// All of a service that are missing at once lapsed, and live.
	lapsed := r.massOf(slices.Collect(maps.Keys(r.gone)))
	sure := make([]route.Upstream, 0, len(us))
	for _, u := range us {
		l, left := r.left[u.ID]
		left = left && (l.at <= r.entered || r.missed[u.ID])
		_, missing := r.gone[u.ID]
		missing = missing && r.missed[u.ID]
		old, known := r.upstreams[u.ID]
		switch {
		case left && !known && u.Born <= l.born, missing && !lapsed[u.ID] && u.Born <= old.Born:
			r.doubted[u.ID] = u
		case known && old.Leaving && !u.Leaving && u.Born <= old.Born:
			r.doubted[u.ID] = u
			sure = append(sure, old)
		default:
			delete(r.doubted, u.ID)
			sure = append(sure, u)
		}
	}
	return sure
}

// doubting tells whether the store's writers may not have written everything again. The lock is held.
func (r *Registry) doubting() bool {
	return r.entered > 0 && r.clock.Now()-r.entered < doubtTime
}

// believe takes what was doubted once its time is over, and tells whether there was any. The lock is held.
func (r *Registry) believe() bool {
	if len(r.doubted) == 0 || r.doubting() {
		return false
	}
	for id, u := range r.doubted {
		delete(r.doubted, id)
		r.put(u, true)
	}
	return true
}
