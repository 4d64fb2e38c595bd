package registry

import (
	"context"
	"maps"
	"slices"

	"snipeshift.example/lib/clock"
	"snipeshift.example/lib/logline"
	"snipeshift.example/lib/peer"
	"snipeshift.example/lib/route"
)

// The operator evacuates a failure domain by an object of its name in the store. From then on, until
// the object is removed, nothing more may be sent to the upstreams of the domain, although they are
// running and their entries say ready. So the View shows them as leaving, which every part of the VM
// respects already. Requests that are running end as usual.
//
// The list of evacuated domains is short, so each version summary contains all of it. It reaches all
// VMs by heartbeats and by the answers of readers, as fast as the revision of the document does.

// EvacuationStore lists the evacuated failure domains. A watch returns like those of Store.
type EvacuationStore interface {
	Evacuations(ctx context.Context) (route.EvacuationUpdate, route.Position, error)
	WatchEvacuations(ctx context.Context, after route.Position, wait clock.Milli) (route.EvacuationUpdate, route.Position, error)
}

// evacuations is this VM's copy of the store's list of evacuated failure domains.
type evacuations struct {
	// store is nil if the deployment has no evacuations.
	store EvacuationStore
	// listed are the domains that the store lists, as of position. The zero position means that no
	// list is known. verified is the latest instant at which the list was verified as current.
	listed   map[route.Domain]bool
	position route.Position
	verified clock.Milli
	// retained are domains that were evacuated when the store was restored from an older copy that
	// lacks their evacuation, each with the instant by which the operator has written it again.
	retained map[route.Domain]clock.Milli
}

// FollowEvacuations makes the registry follow the evacuations of failure domains. It must be called
// before Run.
func (r *Registry) FollowEvacuations(s EvacuationStore) {
	r.evacuations = evacuations{store: s, listed: map[route.Domain]bool{}, retained: map[route.Domain]clock.Milli{}}
}

func (r *Registry) evacuationFeed() feed {
	return feed{name: "evacuations", list: r.listEvacuations, watch: r.watchEvacuations, wait: upstreamWatchWait, verified: r.evacuationsVerified}
}

func (r *Registry) evacuationsVerified() clock.Milli { return r.evacuations.verified }

func (r *Registry) listEvacuations(ctx context.Context) (route.Position, error) {
	sent := r.clock.Now()
	update, at, err := r.evacuations.store.Evacuations(ctx)
	if err != nil {
		return route.Position{}, err
	}
	if err := r.checkEra(at.Era); err != nil {
		return route.Position{}, err
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.learnEvacuations(update.Evacuated, at, sent)
	return at, nil
}

func (r *Registry) watchEvacuations(ctx context.Context, after route.Position, wait clock.Milli) (route.Position, error) {
	sent := r.clock.Now()
	update, at, err := r.evacuations.store.WatchEvacuations(ctx, after, wait)
	if err != nil {
		return route.Position{}, err
	}
	if at.Era != after.Era {
		return route.Position{}, r.checkEra(at.Era)
	}
	verified := sent
	if len(update.Evacuated) == 0 && len(update.Restored) == 0 {
		verified = r.verifiedUntil(sent, wait)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	listed := maps.Clone(r.evacuations.listed)
	for _, d := range update.Evacuated {
		listed[d] = true
	}
	for _, d := range update.Restored {
		delete(listed, d)
		// The operator has ended this evacuation in the present era.
		delete(r.evacuations.retained, d)
	}
	r.learnEvacuations(slices.Collect(maps.Keys(listed)), at, verified)
	return at, nil
}

// learnEvacuations applies a whole list of evacuated domains that was current at an instant and has a
// position. A list of an earlier position than the known one is ignored. The lock must be held.
func (r *Registry) learnEvacuations(domains []route.Domain, position route.Position, at clock.Milli) {
	e := &r.evacuations
	if position.Era < r.era || e.position.After(position) {
		return
	}
	before := r.evacuatedDomains()
	listed := make(map[route.Domain]bool, len(domains))
	for _, d := range domains {
		listed[d] = true
	}
	if r.inVerification() {
		for d := range e.listed {
			if !listed[d] && position.Era > e.position.Era {
				e.retained[d] = r.eraStart + unverifiedTime
			}
		}
	}
	e.listed, e.position, e.verified = listed, position, max(e.verified, at)
	r.applyEvacuations(before)
}

// applyEvacuations publishes and logs what has changed since the domains in before were evacuated. The
// lock must be held.
func (r *Registry) applyEvacuations(before []route.Domain) {
	now := r.evacuatedDomains()
	if slices.Equal(before, now) {
		return
	}
	for _, d := range now {
		if !slices.Contains(before, d) {
			r.logEvacuation(d, true)
		}
	}
	for _, d := range before {
		if !slices.Contains(now, d) {
			r.logEvacuation(d, false)
		}
	}
	r.generation++
	r.publish()
}

func (r *Registry) logEvacuation(d route.Domain, begins bool) {
	r.log.Warn().Str(logline.Key, logline.Evacuation).Str("domain", string(d)).Bool("evacuated", begins).
		Int64("age", int64(r.clock.Now()-r.evacuations.verified)).Msg("evacuation of a failure domain changed")
}

// evacuatedDomains returns the evacuated domains in order. The lock must be held.
func (r *Registry) evacuatedDomains() []route.Domain {
	all := maps.Clone(r.evacuations.listed)
	for d := range r.evacuations.retained {
		all[d] = true
	}
	return slices.Sorted(maps.Keys(all))
}

// expireEvacuations drops the retained domains that the operator has not evacuated again in time. The
// lock must be held.
func (r *Registry) expireEvacuations() {
	if len(r.evacuations.retained) == 0 {
		return
	}
	now, before := r.clock.Now(), r.evacuatedDomains()
	maps.DeleteFunc(r.evacuations.retained, func(_ route.Domain, until clock.Milli) bool { return now >= until })
	r.applyEvacuations(before)
}

// evacuationSummary returns what to tell peers of the evacuations. The lock must be held.
func (r *Registry) evacuationSummary() peer.Evacuations {
	e := &r.evacuations
	if e.position == (route.Position{}) {
		return peer.Evacuations{}
	}
	return peer.Evacuations{Domains: slices.Sorted(maps.Keys(e.listed)), Position: e.position, Age: r.clock.Now() - e.verified}
}

// learnPeerEvacuations applies what a peer told of the evacuations; written is the earliest instant at
// which it can have written that. The lock must be held.
func (r *Registry) learnPeerEvacuations(s peer.Evacuations, written clock.Milli) {
	if r.evacuations.store == nil || s.Position == (route.Position{}) {
		return
	}
	r.learnEvacuations(s.Domains, s.Position, written-s.Age)
}

// withEvacuations returns the upstreams by service, with those in evacuated domains as leaving. The lock
// must be held.
func (r *Registry) withEvacuations(listed map[route.ServiceID][]route.Upstream) map[route.ServiceID][]route.Upstream {
	domains := r.evacuatedDomains()
	if len(domains) == 0 {
		return listed
	}
	out := make(map[route.ServiceID][]route.Upstream, len(listed))
	for s, us := range listed {
		us = slices.Clone(us)
		for i := range us {
			us[i].Leaving = us[i].Leaving || slices.Contains(domains, us[i].Domain)
		}
		out[s] = us
	}
	return out
}
