package span

import (
	"snipeshift.example/lib/clock"
	"snipeshift.example/lib/decide"
	"snipeshift.example/lib/exchange"
)

// What goes wrong without this file: all VMs lose power, and the engines go on writing the
// streams of callers who are gone, since nothing closes their connections. The new
// owner's books are empty, so it packs everything on the first engines, which turn most
// of it away. One notices that short requests are late for seconds after a
// restart while most engines idle. So an owner asks the engines whose load its books
// may not explain, and counts what they report beyond its own grants.

// turnedRest is how long an upstream that had no room is left alone: about until a
// report on it is there.
const turnedRest clock.Milli = 150

// Doubtful lists upstreams whose reports are wanted: all of a new owner's, those that turned a
// request away, those that held work which no grant explains, and those that are slow or
// may be. Engines of the first two sorts get nothing until they have reported, or are known
// not to.
func (p *Pool) Doubtful() []decide.UpstreamID {
	var ids []decide.UpstreamID
	for _, r := range p.order {
		if r.doubtful || r.foreign > 0 || r.suspected || r.slow() {
			ids = append(ids, r.ID)
		}
	}
	return ids
}

// Doubt marks all upstreams as holding work that the books may miss: the pool has a new owner.
func (p *Pool) Doubt() {
	for _, r := range p.order {
		r.doubtful = true
	}
}

// Report takes an upstream's own word on its load. It is some hundred
// milliseconds old, so grants newer than that are not in it, and what it counts
// may have ended: it only ever adds work for which there is no grant.
func (p *Pool) Report(id decide.UpstreamID, l exchange.Load) {
	r := p.rows[id]
	if r == nil || r.earlier(l.Born) {
		return
	}
	if r.newer(l.Born) {
		r.renew(l.Born)
	}
	doubted := r.doubtful || r.foreign > 0
	r.doubtful, r.suspected, r.pace = false, false, max(1, l.Pace)
	if !doubted {
		// It was asked for its pace alone. The books are right, and its count of requests is older.
		return
	}
	r.foreign = max(0, l.Requests-r.streams)
	r.foreignUsed = 0
	if r.foreign > 0 {
		r.foreignUsed = max(0, l.Used-r.known)
	}
}

// Unreported ends the doubt about an upstream that does not report.
func (p *Pool) Unreported(id decide.UpstreamID) {
	if r := p.rows[id]; r != nil {
		r.doubtful, r.suspected, r.foreign, r.foreignUsed = false, false, 0, 0
	}
}

// turned notes that an upstream had no room although the books say so.
func (r *row) turned(now clock.Milli) {
	r.doubtful = true
	r.health.until = max(r.health.until, now+turnedRest)
}
