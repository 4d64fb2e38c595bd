package span

import (
	"cmp"
	"slices"

	"snipeshift.example/lib/clock"
	"snipeshift.example/lib/decide"
	"snipeshift.example/lib/exchange"
)

// After a loss of power of all VMs engines go on writing for callers who are gone. So a new owner, whose books are empty, asks engines for their
// load and counts what they report beyond its own grants.

// limitedPolls is the least time between two polls of an upstream that names a limit: it may count them as requests.
const limitedPolls = clock.Second

// turnedRest is how long an upstream that had no room is left alone: about until a
// report on it is there.
const turnedRest clock.Milli = 150

// pollEvery is the least time between two polls of one upstream: its reports are some 200 ms old, and each poll costs it a little.
const pollEvery = 300 * clock.Milli(1)

// TakeDuePolls lists upstreams whose reports are wanted, up to so many, and takes them for asked now: all of a new owner's, those that turned a
// request away, those that held work which no grant explains, and those that are slow or
// may be. Engines of the first two sorts get nothing until they have reported, or are known
// not to, so they come first; behind them comes who was asked longest ago. The VM that asks is named: it must not ask one that wants a
// rest from it.
func (p *Pool) TakeDuePolls(now clock.Milli, gate decide.GateID, most int) []decide.UpstreamID {
	if !scans(p.listed, now, len(p.order)) {
		return nil
	}
	p.listed = now
	var rows []*row
	for _, r := range p.asks() {
		switch {
		case !r.doubtful && r.foreign == 0 && !r.suspected && !r.slow():
		case r.leaves() || !r.pollable(now):
		case now < r.declared.rest(gate):
			p.AssumeVerified(r.ID)
		default:
			rows = append(rows, r)
		}
	}
	if len(rows) > most {
		slices.SortStableFunc(rows, func(x, y *row) int {
			if x.doubtful != y.doubtful {
				return sign(x.doubtful)
			}
			return cmp.Compare(x.polled, y.polled)
		})
		rows = rows[:most]
	}
	var ids []decide.UpstreamID
	for _, r := range rows {
		r.polled = now
		ids = append(ids, r.ID)
	}
	return ids
}

// sign is -1 for what comes first.
func sign(first bool) int {
	if first {
		return -1
	}
	return 1
}

// UrgentPollsDue reports whether reports are due of engines that get nothing, or less than they could take, until they come.
func (p *Pool) UrgentPollsDue(now clock.Milli) bool {
	return slices.ContainsFunc(p.asks(), func(r *row) bool {
		return (r.doubtful || r.foreign > 0) && !r.leaves() && r.pollable(now)
	})
}

// asks lists the upstreams that the owner asks for their load.
func (p *Pool) asks() []*row {
	if p.isolation.on {
		return p.own()
	}
	return p.order
}

// pollable reports whether an upstream may be polled again.
func (r *row) pollable(now clock.Milli) bool {
	least := pollEvery
	if r.declared.limit.Limited(now) {
		least = limitedPolls
	}
	return r.polled == 0 || now-r.polled >= least
}

// MarkUnverified marks all upstreams as holding work that the books may miss: the pool has a new owner.
func (p *Pool) MarkUnverified() {
	for _, r := range p.order {
		r.doubtful = true
	}
}

// arrives is what passes between a grant and its request's arrival at the upstream, in
// milliseconds: two ways among VMs of a region, and one to the upstream.
const arrives clock.Milli = 10

// Report takes an upstream's own word on its load. It is some hundred milliseconds old: what was granted since
// is not in it, and what has ended since still is. Only what it counts beyond the books of that
// moment is work for which there is no grant.
func (p *Pool) Report(now clock.Milli, id decide.UpstreamID, l exchange.Load) {
	r := p.rows[id]
	if r == nil || r.earlier(l.Born) {
		return
	}
	if r.newer(l.Born) {
		r.renew(l.Born)
	}
	doubted := r.doubtful || r.foreign > 0 || r.suspected
	r.doubtful, r.suspected, r.pace = false, false, max(1, l.Pace)
	if !doubted {
		// It was asked for its pace alone, and the books are right.
		return
	}
	requests, used := r.known(now)
	r.foreign, r.foreignUsed = max(0, l.Requests-requests), 0
	if r.foreign > 0 {
		r.foreignUsed = max(0, l.Used-used)
	}
}

// known is how many requests and how much memory a report of now tells of that grants explain. Whether
// engines count the parts that they read for others, nothing says: they are taken as counted.
func (r *row) known(now clock.Milli) (requests int, used decide.Tokens) {
	at := now
	if r.engine != nil {
		at -= r.engine.Lag
	}
	for _, g := range r.grants {
		if !g.presented && g.at+arrives > at {
			continue
		}
		requests++
		if !g.leads(r) {
			used += g.reserved(r)
			continue
		}
		used += g.Grant.Prompt + g.Grant.Output - reserved(g.Grant.Helpers)
	}
	for _, end := range r.ended {
		if end > at {
			requests++
		}
	}
	return requests, used
}

// ends notes that a request, or its part, has ended here.
func (r *row) ends(now clock.Milli) {
	if r.engine == nil {
		return
	}
	keep := 0
	for keep < len(r.ended) && r.ended[keep] <= now-r.engine.Lag-arrives {
		keep++
	}
	r.ended = append(r.ended[keep:], now)
}

// AssumeVerified ends the doubt about an upstream that does not report.
func (p *Pool) AssumeVerified(id decide.UpstreamID) {
	if r := p.rows[id]; r != nil {
		r.doubtful, r.suspected, r.foreign, r.foreignUsed = false, false, 0, 0
	}
}

// turned notes that an upstream had no room although the books say so.
func (r *row) turned(now clock.Milli) {
	r.doubtful = true
	r.health.until = max(r.health.until, now+turnedRest)
}
