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

// declared holds what one upstream declared about itself in its responses.
type declared struct {
	// limit is the rate limit of the upstream, which applies to the requests of all VMs together.
	limit ratelimit.Limiter
	// leaving is its drain notice; leaving.Named is false if there is none.
	leaving statement.Statement
	// backOffs maps each gate to the last back-off that the upstream asked it for.
	backOffs map[decide.GateID]statement.Statement
	// shedding is set when the upstream asks for a back-off, until a request is seen to run there
	// again. Meanwhile it is granted one request at a time, the probe, so that the requests that
	// waited for the end of the back-off do not all arrive at once.
	shedding bool
	probe    decide.RequestID
	// servedOthers is when the upstream last ran a request of one gate while another gate had to
	// back off.
	servedOthers clock.Milli
	// latestAt is the latest Statement.At of the back-offs and drain notices.
	latestAt clock.Milli
}

// transitTime is by how much the end of a back-off may move without being a new back-off. Messages
// carry the time that is left, so each transfer moves the end by the time in transit.
const transitTime = 100 * clock.Milli(1)

// backOffTTL is how long a back-off is remembered after its end. It is needed to tell an upstream
// that is overloaded by one gate from one that is overloaded in general.
const backOffTTL = 10 * clock.Second

// learnBackOff records a back-off and reports whether it is a new one.
func (d *declared) learnBackOff(now clock.Milli, s statement.Statement) bool {
	previous, known := d.backOffs[s.Gate]
	previousAt := previous.At
	previous.Until += transitTime
	if now >= s.Until || known && !s.Supersedes(previous) {
		return false
	}
	if d.backOffs == nil {
		d.backOffs = map[decide.GateID]statement.Statement{}
	}
	maps.DeleteFunc(d.backOffs, func(_ decide.GateID, r statement.Statement) bool { return now >= r.Until+backOffTTL })
	d.backOffs[s.Gate] = s
	// If the upstream served other gates since its last request for a back-off to this gate, it is
	// overloaded by this gate alone and is not shedding for all.
	d.shedding = d.shedding || !known || d.servedOthers <= previousAt
	return true
}

// learn records a statement and reports whether it changes what is known of the upstream.
func (d *declared) learn(now clock.Milli, s statement.Statement) bool {
	switch s.Kind {
	case statement.BackOff:
		if !d.learnBackOff(now, s) {
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
	d.latestAt = max(d.latestAt, s.At)
	return true
}

// backOffUntil returns the end of the last back-off that the gate was asked for; zero for none.
func (d *declared) backOffUntil(gate decide.GateID) clock.Milli { return d.backOffs[gate].Until }

// restart removes statements of incarnations before the one that started at born. A statement
// without a start time counts as earlier only if includeUnknown is set.
func (d *declared) restart(born decide.Incarnation, includeUnknown bool) {
	earlier := func(b decide.Incarnation) bool { return b < born && (b > 0 || includeUnknown) }
	if s, known := d.limit.Statement(); known && earlier(s.Born) {
		d.limit.Reset()
	}
	if earlier(d.leaving.Born) {
		d.leaving = statement.Statement{}
	}
	maps.DeleteFunc(d.backOffs, func(_ decide.GateID, r statement.Statement) bool { return earlier(r.Born) })
	d.shedding = d.shedding && len(d.backOffs) > 0
}

// expired reports whether all statements are older than the retention time for an upstream that is
// no longer listed.
func (d *declared) expired(now clock.Milli) bool {
	s, known := d.limit.Statement()
	return (!known || now-s.At > statement.AbsentRetention) && now-d.latestAt > statement.AbsentRetention
}

// statements lists all known statements, for the next owner.
func (d *declared) statements(now clock.Milli, u decide.UpstreamID) []statement.Message {
	var out []statement.Message
	if s, known := d.limit.Statement(); known {
		out = append(out, s.Message(now, u))
	}
	if d.leaving.Named {
		out = append(out, d.leaving.Message(now, u))
	}
	for _, r := range d.backOffs {
		out = append(out, r.Message(now, u))
	}
	return out
}

// Limits lists the rate limits of all upstreams that declared one.
func (p *Pool) Limits(now clock.Milli) []statement.Message {
	var out []statement.Message
	for u, d := range p.declared.byUpstream {
		if s, known := d.limit.Statement(); known && s.Named {
			out = append(out, s.Message(now, u))
		}
	}
	return out
}

// declarations holds the statements of all upstreams.
type declarations struct {
	// byUpstream includes upstreams that are missing from the list for a moment.
	byUpstream map[decide.UpstreamID]*declared
	// share is the fraction of each rate limit that this pool may grant; zero for all of it.
	share float64
}

// get returns the entry of an upstream; a missing one is created.
func (l *declarations) get(u decide.UpstreamID) *declared {
	d := l.byUpstream[u]
	if d == nil {
		d = &declared{}
		d.limit.SetFraction(0, l.share)
		l.byUpstream[u] = d
	}
	return d
}

// minAbsentEntries is the number of entries, beyond twice the number of listed upstreams, up to
// which no entry is removed.
const minAbsentEntries = 64

// forgetAbsent removes outdated entries of upstreams that are no longer listed, once there are many
// entries.
func (p *Pool) forgetAbsent(now clock.Milli) {
	if len(p.declared.byUpstream) <= 2*len(p.upstreams)+minAbsentEntries {
		return
	}
	maps.DeleteFunc(p.declared.byUpstream, func(u decide.UpstreamID, d *declared) bool { return p.upstreams[u] == nil && d.expired(now) })
}

// Learn records a statement of an upstream and reports whether it changes what is known. Statements
// of past incarnations are ignored.
func (p *Pool) Learn(now clock.Milli, u decide.UpstreamID, s statement.Statement) bool {
	r := p.upstreams[u]
	if r != nil && r.pastIncarnation(s.Born) {
		return false
	}
	d := p.declared.get(u)
	changed := d.learn(now, s)
	if changed && s.Kind == statement.BackOff && d.shedding && r != nil {
		// An upstream that is overloaded by one gate is probably overloaded in general, until a
		// request of another gate shows otherwise.
		r.health.exclude(now)
	}
	return changed
}

// SetLimitShare sets the fraction of each rate limit, also of cold upstreams, that this pool may grant. The rest is left for
// VMs that can't be reached and may grant requests at the same upstreams.
func (p *Pool) SetLimitShare(now clock.Milli, share float64) {
	if p.declared.share == share {
		return
	}
	p.declared.share = share
	for _, d := range p.declared.byUpstream {
		d.limit.SetFraction(now, share)
	}
	for _, r := range p.upstreams {
		r.warmUp.limiter.SetFraction(now, share)
	}
}

// draining reports whether the upstream is leaving or gone, by the list of upstreams or by its own
// statement.
func (r *upstreamState) draining() bool { return r.Leaving || r.declared.leaving.Named }

// hasBackOff reports whether any upstream asked the gate for a back-off. Other gates may still send
// there.
func (p *Pool) hasBackOff(now clock.Milli, gate decide.GateID) bool {
	return slices.ContainsFunc(p.packOrder, func(r *upstreamState) bool { return now < r.declared.backOffUntil(gate) })
}

// probing reports whether a probe request is running that has to show whether the upstream accepts
// requests again.
func (r *upstreamState) probing() bool {
	return r.declared.shedding && r.grants[r.declared.probe] != nil
}

// noteGranted records a new grant, which is the probe if the upstream is shedding.
func (r *upstreamState) noteGranted(now clock.Milli, id decide.RequestID) {
	r.declared.limit.Take(now)
	r.warmUp.limiter.Take(now)
	if r.declared.shedding {
		r.declared.probe = id
	}
}

// noteServed records that a request of a gate runs or ran on the upstream. If it was the probe, the
// upstream is no longer shedding.
func (r *upstreamState) noteServed(now clock.Milli, id decide.RequestID, gate decide.GateID) {
	d := r.declared
	if d.probe == id {
		d.shedding = false
	}
	for g, s := range d.backOffs {
		if g != gate && now < s.Until {
			d.servedOthers = now
		}
	}
}

// supply is the request rate that the upstreams accept together.
type supply struct {
	// bounded is set if every upstream limits its requests. burst is how many may be granted now,
	// and rate how many per second.
	bounded bool
	burst   float64
	rate    statement.PerSecond
}

// totalSupply sums up the limits of the upstreams that can get requests.
func (p *Pool) totalSupply(now clock.Milli) supply {
	var s supply
	for _, r := range p.packOrder {
		if r.draining() || !r.health.available(now) {
			continue
		}
		if !r.declared.limit.Limited(now) {
			return supply{}
		}
		s.bounded = true
		s.burst += r.declared.limit.Level(now)
		s.rate += r.declared.limit.Rate(now)
	}
	return s
}

// refuseOverLimit refuses a request that the rate limits, after the requests placed before it, will
// not admit before its latest useful first byte.
func (o *round) refuseOverLimit(w *queuedRequest) (Decision, bool) {
	if !o.supply.bounded {
		return Decision{}, false
	}
	o.behind++
	wait := 1000 * max(0, float64(o.behind)-o.supply.burst) / float64(o.supply.rate)
	if float64(w.latestFirst-o.now) >= wait+w.groupPrefillTime || o.servedByShare(w) {
		return Decision{}, false
	}
	o.behind--
	retry := min(max(clock.Milli(wait), firstExclusion), maxRetry)
	return Decision{Action: Refused, Request: w.ID, Gate: w.Gate, Fault: fault.Overloaded, Retry: retry, Reason: "limit"}, true
}
