package registry

import (
	"slices"

	"snipeshift.example/lib/decide"
	"snipeshift.example/lib/logline"
	"snipeshift.example/lib/route"
)

// Limits of the log lines about changes of the list of upstreams. If each VM wrote a line for each of a
// thousand upstreams that register while all start, the log would grow with the square of the fleet.
const (
	// maxSingleLines is the number of changes of one update up to which each has a line of its own.
	maxSingleLines = 16
	// maxNamed bounds the upstreams that a line about many names.
	maxNamed = 64
)

// upstreamChange is one change of the list of upstreams.
type upstreamChange struct {
	upstream route.Upstream
	// added is set if the upstream was not listed before, reborn if the entry shows a later incarnation,
	// gone if the upstream was removed.
	added, reborn, gone bool
}

// logChanges logs the changes since the last call: each in a line of its own, or in one line for each
// service if there are many. The lock must be held.
func (r *Registry) logChanges() {
	cs := r.unlogged
	r.unlogged = nil
	if len(cs) <= maxSingleLines {
		for i := range cs {
			r.logChange(&cs[i])
		}
		return
	}
	byService := map[route.ServiceID][]upstreamChange{}
	for _, c := range cs {
		byService[c.upstream.Service] = append(byService[c.upstream.Service], c)
	}
	for s, cs := range byService {
		r.logManyChanges(s, cs)
	}
}

func (r *Registry) logChange(c *upstreamChange) {
	u := &c.upstream
	if c.gone {
		r.log.Info().Str(logline.Key, logline.Upstream).Str("upstream", string(u.ID)).Bool("gone", true).Msg("upstream removed")
		return
	}
	r.log.Info().Str(logline.Key, logline.Upstream).Str("upstream", string(u.ID)).Str("service", string(u.Service)).
		Str("address", u.Address).Bool("leaving", u.Leaving).Bool("new", c.added).Int64("born", int64(u.Born)).
		Bool("reborn", c.reborn).Msg("upstream changed")
}

// logManyChanges logs the changes of one service in one line, which names the upstreams that are leaving
// or gone first.
func (r *Registry) logManyChanges(s route.ServiceID, cs []upstreamChange) {
	added, gone, leaving := 0, 0, 0
	var ending, others []string
	for _, c := range cs {
		switch {
		case c.gone:
			gone++
			ending = append(ending, string(c.upstream.ID))
			continue
		case c.upstream.Leaving:
			leaving++
			ending = append(ending, string(c.upstream.ID))
			continue
		case c.added:
			added++
		}
		others = append(others, string(c.upstream.ID))
	}
	names := slices.Concat(ending, others)
	r.log.Info().Str(logline.Key, logline.Upstreams).Str("service", string(s)).Int("count", r.presentIn(s)).
		Int("new", added).Int("leaving", leaving).Int("gone", gone).Int("changed", len(cs)-added-leaving-gone).
		Strs("names", names[:min(len(names), maxNamed)]).Msg("many upstreams changed")
}

// presentIn counts the upstreams of a service that are not leaving. The lock must be held.
func (r *Registry) presentIn(s route.ServiceID) int {
	n := 0
	for _, u := range r.upstreams {
		if u.Service == s && !u.Leaving {
			n++
		}
	}
	return n
}

// noteChange records a change of the list for the log. The lock must be held.
func (r *Registry) noteChange(c upstreamChange) { r.unlogged = append(r.unlogged, c) }

// noteRemoved records the removal of an upstream for the log. The lock must be held.
func (r *Registry) noteRemoved(id decide.UpstreamID) {
	r.noteChange(upstreamChange{upstream: r.upstreams[id], gone: true})
}
