package span

import (
	"maps"
	"slices"

	"snipeshift.example/lib/clock"
	"snipeshift.example/lib/decide"
	"snipeshift.example/lib/decide/ratelimit"
	"snipeshift.example/lib/decide/statement"
	"snipeshift.example/lib/fault"
)

// declared is what one upstream says of itself.
type declared struct {
	// limit bounds the requests that all VMs give it together.
	limit ratelimit.Limiter
	// leaving is its word that it ends soon, if it is named.
	leaving statement.Statement
	// rests holds the last rest that each VM was asked for.
	rests map[decide.GateID]statement.Statement
	// shed is set from the word of a rest until a request is seen to run again. Meanwhile one is granted at a time, which is the trial: what
	// waited for the end of a rest must not all come at once.
	shed  bool
	trial decide.RequestID
	// served is when a request ran here of a VM that need not rest while another one had to.
	served clock.Milli
	// at is an instant at which the newest word of a rest or a leaving held.
	at clock.Milli
}

// wayTime is by how much a message may move the end of a rest: it holds what is left, and takes its time.
const wayTime = 100 * clock.Milli(1)

// restLives is how long a rest that is over is remembered, to tell an upstream that has too much of one VM from one that has too much.
const restLives = 10 * clock.Second

// learnRest takes a rest and reports whether it is a new one.
func (d *declared) learnRest(now clock.Milli, s statement.Statement) bool {
	before, known := d.rests[s.Gate]
	at := before.At
	before.Until += wayTime
	if now >= s.Until || known && !s.Supersedes(before) {
		return false
	}
	if d.rests == nil {
		d.rests = map[decide.GateID]statement.Statement{}
	}
	maps.DeleteFunc(d.rests, func(_ decide.GateID, r statement.Statement) bool { return now >= r.Until+restLives })
	d.rests[s.Gate] = s
	// Others were served since it last asked this VM for rest: it has too much of this VM alone.
	d.shed = d.shed || !known || d.served <= at
	return true
}

// learn takes a statement and reports whether it changes what the upstream says.
func (d *declared) learn(now clock.Milli, s statement.Statement) bool {
	switch s.Kind {
	case statement.BackOff:
		if !d.learnRest(now, s) {
			return false
		}
	case statement.Leaving:
		if d.leaving.Named && !s.Supersedes(d.leaving) {
			return false
		}
		d.leaving = s
	default:
		return d.limit.Learn(now, s)
	}
	d.at = max(d.at, s.At)
	return true
}

// rest is when the rest ends that a VM was asked for; zero for none.
func (d *declared) rest(gate decide.GateID) clock.Milli { return d.rests[gate].Until }

// renew forgets what an earlier life than one of the upstream said. What came from a life that did not tell when it began is of an earlier
// one only if before is set.
func (d *declared) renew(born decide.Incarnation, before bool) {
	earlier := func(b decide.Incarnation) bool { return b < born && (b > 0 || before) }
	if s, known := d.limit.Statement(); known && earlier(s.Born) {
		d.limit.Reset()
	}
	if earlier(d.leaving.Born) {
		d.leaving = statement.Statement{}
	}
	maps.DeleteFunc(d.rests, func(_ decide.GateID, r statement.Statement) bool { return earlier(r.Born) })
	d.shed = d.shed && len(d.rests) > 0
}

// idle reports whether nothing that the upstream said is of use once it is not listed.
func (d *declared) idle(now clock.Milli) bool {
	s, known := d.limit.Statement()
	return (!known || now-s.At > statement.AbsentRetention) && now-d.at > statement.AbsentRetention
}

// statements lists what is known, for the next owner.
func (d *declared) statements(now clock.Milli, u decide.UpstreamID) []statement.Message {
	var out []statement.Message
	if s, known := d.limit.Statement(); known {
		out = append(out, s.Message(now, u))
	}
	if d.leaving.Named {
		out = append(out, d.leaving.Message(now, u))
	}
	for _, r := range d.rests {
		out = append(out, r.Message(now, u))
	}
	return out
}

// declarations hold what upstreams say of themselves.
type declarations struct {
	// rows holds each upstream, also one that the list lacks for a moment.
	rows map[decide.UpstreamID]*declared
	// part is the share of each limit that is granted here; zero for all of it.
	part float64
}

// of returns what an upstream says.
func (l *declarations) of(u decide.UpstreamID) *declared {
	d := l.rows[u]
	if d == nil {
		d = &declared{}
		d.limit.SetFraction(0, l.part)
		l.rows[u] = d
	}
	return d
}

// absentKept is how many more upstreams than are listed are kept at least.
const absentKept = 64

// forget drops what upstreams said that are gone, once there are many.
func (p *Pool) forget(now clock.Milli) {
	if len(p.declared.rows) <= 2*len(p.rows)+absentKept {
		return
	}
	maps.DeleteFunc(p.declared.rows, func(u decide.UpstreamID, d *declared) bool { return p.rows[u] == nil && d.idle(now) })
}

// Learn takes what an upstream says of itself and reports whether that is something else now.
func (p *Pool) Learn(now clock.Milli, u decide.UpstreamID, s statement.Statement) bool {
	r := p.rows[u]
	if r != nil && r.earlier(s.Born) {
		return false
	}
	d := p.declared.of(u)
	changed := d.learn(now, s)
	if changed && s.Kind == statement.BackOff && d.shed && r != nil {
		// One that has too much of one VM probably has too much, until a request of another one shows otherwise.
		r.health.shut(now)
	}
	return changed
}

// SetLimitShare tells the pool which part of the limits it may grant: other VMs, which it cannot ask, may grant at the same upstreams.
func (p *Pool) SetLimitShare(now clock.Milli, part float64) {
	if p.declared.part == part {
		return
	}
	p.declared.part = part
	for _, d := range p.declared.rows {
		d.limit.SetFraction(now, part)
	}
}

// leaves reports whether the upstream leaves or is gone, by the list or by its own word.
func (r *row) leaves() bool { return r.Leaving || r.declared.leaving.Named }

// restsFor reports whether any upstream wants a rest from a VM, which others may send to.
func (p *Pool) restsFor(now clock.Milli, gate decide.GateID) bool {
	return slices.ContainsFunc(p.order, func(r *row) bool { return now < r.declared.rest(gate) })
}

// onTrial reports whether one request is to show first whether the upstream takes requests again.
func (r *row) onTrial() bool { return r.declared.shed && r.grants[r.declared.trial] != nil }

// begins notes a grant, which is the trial of an upstream that has shed.
func (r *row) begins(now clock.Milli, id decide.RequestID) {
	r.declared.limit.Take(now)
	if r.declared.shed {
		r.declared.trial = id
	}
}

// runs notes that a request of a VM runs or ran at the upstream: if it was the trial, all may come again.
func (r *row) runs(now clock.Milli, id decide.RequestID, gate decide.GateID) {
	d := r.declared
	if d.trial == id {
		d.shed = false
	}
	for g, s := range d.rests {
		if g != gate && now < s.Until {
			d.served = now
		}
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
		if r.leaves() || !r.health.open(now) {
			continue
		}
		if !r.declared.limit.Limited(now) {
			return supply{}
		}
		s.bounded = true
		s.atOnce += r.declared.limit.Level(now)
		s.rate += r.declared.limit.Rate(now)
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
