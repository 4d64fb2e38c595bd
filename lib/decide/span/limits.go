package span

import (
	"snipeshift.example/lib/clock"
	"snipeshift.example/lib/decide"
	"snipeshift.example/lib/decide/ratelimit"
	"snipeshift.example/lib/decide/statement"
	"snipeshift.example/lib/fault"
)

// limits bounds the requests of upstreams that say how many they take.
type limits struct {
	// rows holds what is known of each upstream, also of one that the list lacks for a moment.
	rows map[decide.UpstreamID]*ratelimit.Pace
	// others is how many other VMs grant at the same upstreams.
	others int
}

// of returns the pace of an upstream.
func (l *limits) of(u decide.UpstreamID) *ratelimit.Pace {
	p := l.rows[u]
	if p == nil {
		p = &ratelimit.Pace{}
		p.Divide(0, l.others)
		l.rows[u] = p
	}
	return p
}

const (
	// absentLives is how long the limit of an upstream that is not listed is kept: lists lose upstreams that live for seconds.
	absentLives = clock.Minute
	// absentKept is how many more upstreams than are listed are kept at least.
	absentKept = 64
)

// forget drops limits of upstreams that are gone, once there are many.
func (p *Pool) forget(now clock.Milli) {
	if len(p.limits.rows) <= 2*len(p.rows)+absentKept {
		return
	}
	for u, l := range p.limits.rows {
		if s, known := l.Statement(); p.rows[u] == nil && (!known || now-s.At > absentLives) {
			delete(p.limits.rows, u)
		}
	}
}

// Limit takes what an upstream says of its limit and reports whether that is another one now.
func (p *Pool) Limit(now clock.Milli, u decide.UpstreamID, s statement.Statement) bool {
	if r := p.rows[u]; r != nil && r.earlier(s.Born) {
		return false
	}
	return p.limits.of(u).Learn(now, s)
}

// Divide tells the pool how many other VMs grant at the same upstreams, each for itself: each keeps to its part of a limit.
func (p *Pool) Divide(now clock.Milli, others int) {
	if p.limits.others == others {
		return
	}
	p.limits.others = others
	for _, l := range p.limits.rows {
		l.Divide(now, others)
	}
}

// supply is what upstreams take together.
type supply struct {
	// bounded is set if each of them bounds its requests. At once is how many may be granted now, rate how many a second.
	bounded bool
	atOnce  float64
	rate    statement.PerSecond
}

// supplied sums up what upstreams take that may get work.
func (p *Pool) supplied(now clock.Milli) supply {
	var s supply
	for _, r := range p.order {
		if r.Leaving || !r.health.open(now) {
			continue
		}
		if !r.limit.Bounds(now) {
			return supply{}
		}
		s.bounded = true
		s.atOnce += r.limit.Level(now)
		s.rate += r.limit.Rate(now)
	}
	return s
}

// outpaced refuses a request that upstreams will not take before its time is over, behind those that are placed before it.
func (o *round) outpaced(w *waiting) (Decision, bool) {
	if !o.supply.bounded {
		return Decision{}, false
	}
	o.behind++
	wait := 1000 * max(0, float64(o.behind)-o.supply.atOnce) / float64(o.supply.rate)
	if float64(w.last-o.now) >= wait+w.least {
		return Decision{}, false
	}
	o.behind--
	retry := min(max(clock.Milli(wait), firstShut), longestRetry)
	return Decision{Action: Refused, Request: w.ID, Gate: w.Gate, Fault: fault.Overloaded, Retry: retry, Reason: "limit"}, true
}
