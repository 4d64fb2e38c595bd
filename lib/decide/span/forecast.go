package span

import (
	"cmp"
	"slices"

	"snipeshift.example/lib/clock"
	"snipeshift.example/lib/decide"
	"snipeshift.example/lib/decide/forecast"
	"snipeshift.example/lib/decide/ratelimit"
)

// This file handles overload that begins or ends faster than averages of the served requests show.
// Where the forecast is switched on, the wait of a queued request is derived from the work in
// progress: short requests wait for places on engines, long prompts for prefill time. A request
// whose wait is longer than its client's is refused in its first scan.

// forecaster keeps what the forecast needs besides the grants. It is empty while it is off.
type forecaster struct {
	on bool
	// shortDemand counts arriving short requests, longDemand the prefill time in milliseconds of
	// arriving long prompts.
	shortDemand, longDemand forecast.Demand
	// shortAim and longAim are the average times from arrival to the aim, for which arriving requests
	// go before late ones.
	shortAim, longAim forecast.Ratio
	// tokens is the average KV memory that a short request needs.
	tokens forecast.Ratio
	// knownServiceTime and boundedServiceTime correct the estimated times for which requests hold their
	// places, for requests whose likely output is known and for those of which only its bound is.
	knownServiceTime, boundedServiceTime forecast.Ratio
	// ends counts the grants that hold places by their expected ends.
	ends forecast.Ends
	// shortServiceTime is the average time for which the arriving short requests will hold their places.
	shortServiceTime forecast.Ratio
	// short and long are the capacities for short requests and for long prompts, computed at the
	// time at; valid is false before the first computation.
	short, long forecast.Curve
	at          clock.Milli
	valid       bool
	// first counts the short requests of the present scan that stay queued and go before late ones,
	// and longInTime and longLate are the prefill times of the long prompts that stay queued.
	first                int
	longInTime, longLate float64
	// late lists the late short requests that stay queued. previousLate is that list of the last scan,
	// sorted: shares of workspaces may have changed the order of placing.
	late, previousLate []lateOrderKey
	// errors are the errors of forecasts that nobody has taken yet.
	errors []clock.Milli
}

// lateOrderKey is what the order of late short requests depends on, apart from shares of workspaces.
type lateOrderKey struct {
	urgency    decide.Urgency
	bookedRank int
	occupancy  float64
}

// lateKey returns the key of a request once it is late.
func (w *queuedRequest) lateKey() lateOrderKey {
	rank := 1
	if w.booked {
		rank = 0
	}
	return lateOrderKey{w.Urgency, rank, w.occupancy()}
}

// compareLate orders late short requests as compare does.
func compareLate(x, y lateOrderKey) int {
	return cmp.Or(cmp.Compare(x.urgency, y.urgency), cmp.Compare(x.bookedRank, y.bookedRank), cmp.Compare(x.occupancy, y.occupancy))
}

// maxForecastErrors bounds the errors kept for the metric.
const maxForecastErrors = 4096

// SetForecast sets whether requests are refused by the forecast of their wait instead of by averages
// of the last seconds.
func (p *Pool) SetForecast(on bool) {
	if p.forecast.on != on {
		p.forecast = forecaster{on: on}
		for _, r := range p.upstreams {
			r.holders, r.holderEnds = nil, nil
			p.listHolders(r)
		}
	}
}

// TakeForecastErrors returns the differences between the estimated and the observed starts of queued
// requests that were granted since the last call.
func (p *Pool) TakeForecastErrors() []clock.Milli {
	errors := p.forecast.errors
	p.forecast.errors = nil
	return errors
}

// noteDemand counts a request that arrives. A request that has begun is no new demand.
func (p *Pool) noteDemand(now clock.Milli, w *queuedRequest) {
	f := &p.forecast
	if !f.on || w.prefillTime == 0 || w.Begun {
		return
	}
	if w.long {
		f.longDemand.Add(now, w.prefillTime)
		f.longAim.Note(float64(w.Aim-now), 1)
		return
	}
	f.shortDemand.Add(now, 1)
	f.shortAim.Note(float64(w.Aim-now), 1)
	f.tokens.Note(float64(w.Prompt+w.Output), 1)
	f.shortServiceTime.Note(f.serviceTimeRatio(&w.Ask).Apply(p.engine.DecodeTime(w.outputTokens(), w.Prompt)), 1)
}

// noteEnded learns from the time for which a complete response held its place.
func (f *forecaster) noteEnded(now clock.Milli, g *grantState, o Outcome) {
	if !f.on || o != Done || g.presented || len(g.upstreams) == 0 || g.upstreams[0].engine == nil {
		return
	}
	r := g.upstreams[0]
	f.serviceTimeRatio(&g.ask).Note(float64(now-g.grantedAt), g.plannedServiceTime(r, max(r.pace, 1)))
}

// serviceTimeRatio returns the correction for the planned service time of a request.
func (f *forecaster) serviceTimeRatio(a *Ask) *forecast.Ratio {
	if a.Likely > 0 {
		return &f.knownServiceTime
	}
	return &f.boundedServiceTime
}

// outputTokens returns the expected length of the answer, or its bound if that is unknown.
func (a *Ask) outputTokens() decide.Tokens {
	if a.Likely > 0 {
		return a.Likely
	}
	return a.Output
}

// beginRound resets the counts of one scan of the queue.
func (f *forecaster) beginRound() {
	f.first, f.longInTime, f.longLate = 0, 0, 0
	f.late, f.previousLate = f.previousLate[:0], f.late
	slices.SortFunc(f.previousLate, compareLate)
}

// noteForecast records the result of one request in a scan: the error of its forecast if it was
// granted, and its place before others if it stays queued.
func (p *Pool) noteForecast(now clock.Milli, w *queuedRequest, d Decision, decided bool) {
	f := &p.forecast
	switch {
	case !f.on || w.prefillTime == 0:
	case decided:
		if w.expectedStart > 0 && d.Action == Granted && len(f.errors) < maxForecastErrors {
			f.errors = append(f.errors, w.expectedStart-now)
		}
	default:
		p.noteExpected(now, w)
		f.noteQueued(w, w.late(now))
	}
}

// noteExpected stores the forecast of a request in its first scan.
func (p *Pool) noteExpected(now clock.Milli, w *queuedRequest) {
	if w.passedOver {
		return
	}
	wait, ok := p.expectedWait(now, w)
	if ok && wait < forecast.Horizon {
		w.expectedStart = now + max(1, clock.Milli(wait))
	}
}

// noteQueued counts a request that stays queued.
func (f *forecaster) noteQueued(w *queuedRequest, late bool) {
	switch {
	case w.long && !late:
		f.longInTime += w.prefillTime
	case w.long:
		f.longLate += w.prefillTime
	case late && w.begunRank() > 0:
		f.late = append(f.late, w.lateKey())
	default:
		f.first++
	}
}

// forecastWait returns the time in milliseconds until there is capacity for a request: for a short
// one behind this many late short requests, for a long prompt behind this many milliseconds of
// prefill of late prompts. Requests in time that stay queued in the present scan go before these.
// The wait is at most the horizon of the forecast, which stands for all longer ones. The second
// result is false if nothing is known: the forecast is off, or the request has no engine.
func (p *Pool) forecastWait(now clock.Milli, w *queuedRequest, ahead int) (wait float64, ok bool) {
	f := &p.forecast
	if !f.on || w.prefillTime == 0 || p.isolation.on {
		return 0, false
	}
	p.refreshForecast(now)
	if w.long {
		before := f.longInTime + float64(ahead)
		start := f.timeLeft(now, f.long.Wait, before)
		done := f.timeLeft(now, f.long.Wait, before+w.prefillTime)
		if done >= forecast.Horizon {
			return forecast.Horizon, true
		}
		return max(start, done-w.groupPrefillTime), true
	}
	return f.timeLeft(now, f.short.Wait, float64(f.first+ahead+1)), true
}

// timeLeft returns the time in milliseconds until a curve reaches n units, or the horizon if it does
// not within that. The curve may have been computed some milliseconds ago.
func (f *forecaster) timeLeft(now clock.Milli, curve func(float64) (float64, bool), n float64) float64 {
	wait, ok := curve(n)
	if !ok {
		return forecast.Horizon
	}
	return max(0, wait-float64(now-f.at))
}

// expectedWait returns the expected wait of a queued request in its present place. A request in time
// that will not be placed by its aim continues among the late ones.
func (p *Pool) expectedWait(now clock.Milli, w *queuedRequest) (float64, bool) {
	f := &p.forecast
	switch {
	case w.long:
		return p.forecastWait(now, w, int(f.longLate))
	case w.late(now):
		return p.forecastWait(now, w, len(f.late))
	}
	ahead, _ := slices.BinarySearchFunc(f.previousLate, w.lateKey(), compareLate)
	late, ok := p.forecastWait(now, w, ahead)
	if !ok {
		return 0, false
	}
	first := f.timeLeft(now, f.short.WaitFirst, float64(f.first+1))
	if first <= float64(w.Aim-now)-startDelay-w.groupPrefillTime {
		return first, true
	}
	return max(first, late), true
}

// refuseShortInTime refuses a short request in time that will be late, and will then not be served
// before its latest useful first byte. It reports whether it refused the request.
func (p *Pool) refuseShortInTime(now clock.Milli, w *queuedRequest) (Decision, bool) {
	wait, ok := p.expectedWait(now, w)
	if !ok {
		return Decision{}, false
	}
	return p.refuseAfter(now, w, wait)
}

// refuseAfter refuses a request that is of no use after a wait of this many milliseconds, and reports
// whether it refused the request. Nothing is known of the time after the horizon.
func (p *Pool) refuseAfter(now clock.Milli, w *queuedRequest, wait float64) (Decision, bool) {
	if float64(w.latestFirst-now) > min(wait+w.groupPrefillTime, forecast.Horizon) {
		return Decision{}, false
	}
	return overloadRefusal(w, wait), true
}

// refreshForecast computes the capacities if they are outdated. An owner with thousands of grants
// computes them at intervals only, as it does other scans.
func (p *Pool) refreshForecast(now clock.Milli) {
	f := &p.forecast
	if f.valid && (now == f.at || !scanDue(f.at, now, len(p.grants))) {
		return
	}
	f.at, f.valid = now, true
	var short, long forecast.Supply
	short.Begin(float64(now))
	long.Begin(float64(now))
	short.AddEnds(&f.ends)
	for _, r := range p.packOrder {
		if r.engine == nil {
			continue
		}
		if r.draining() {
			short.PostponeEnds(r.holderEnds, forecast.Horizon)
			continue
		}
		p.addPlaces(now, r, &short)
		long.AddRate(r.usableFrom(now)+r.backlog(now), p.prefillShare(r)/max(r.pace, 1))
	}
	f.short.Compute(&short, p.shortContention(now))
	f.long.Compute(&long, forecast.Contention{Rate: f.longDemand.Rate(now), Precedence: f.longAim.Apply(1), LeastShare: minHeadroom})
}

// shortContention describes the arriving short requests.
func (p *Pool) shortContention(now clock.Milli) forecast.Contention {
	f := &p.forecast
	rate, aim := f.shortDemand.Rate(now), f.shortAim.Apply(1)
	return forecast.Contention{
		ServiceTime: f.shortServiceTime.Apply(1), Rate: rate, Precedence: aim, LeastShare: minHeadroom + forecast.LullShare(rate*aim),
	}
}

// prefillShare returns the share of an engine's time that long prompts can have: all of it without
// short streams, and otherwise what placeInterleaved leaves them of each pass.
func (p *Pool) prefillShare(r *upstreamState) float64 {
	switch {
	case !r.hasShortStreams():
		return 1
	case r.external > 0:
		return 0 // nothing is interleaved with streams whose pauses are unknown
	}
	longest := p.rules.InterleavedFraction * float64(r.pause)
	return max(0, 1-r.pass(r.streams, r.context)/longest)
}

// usableFrom returns the time in milliseconds until an upstream accepts requests, apart from its
// load.
func (r *upstreamState) usableFrom(now clock.Milli) float64 {
	from := max(0, r.health.excludedUntil-now)
	if r.unverified {
		from = max(from, pollInterval)
	}
	return float64(from)
}

// limiter returns the limiter that bounds the requests to the upstream; nil for none.
func (r *upstreamState) limiter(now clock.Milli) *ratelimit.Limiter {
	switch {
	case r.warmUp.cold(now) && r.warmUp.limiter.Limited(now):
		return &r.warmUp.limiter
	case r.declared.limit.Limited(now):
		return &r.declared.limit
	default:
		return nil
	}
}

// addPlaces adds the places for short requests that an upstream has or will have once its grants
// end. An upstream whose rate limit lets its places stay unused supplies places at that rate.
func (p *Pool) addPlaces(now clock.Milli, r *upstreamState, s *forecast.Supply) {
	f, from := &p.forecast, r.usableFrom(now)
	serviceTime := f.shortServiceTime.Apply(1)
	if l := r.limiter(now); l != nil {
		perMilli := float64(l.Rate(now)) / float64(clock.Second)
		if perMilli*serviceTime < float64(r.engine.Slots) {
			s.PostponeEnds(r.holderEnds, forecast.Horizon)
			s.AddUnits(from, max(0, l.Level(now)))
			s.AddRate(from, perMilli)
			return
		}
	}
	free := float64(r.engine.Slots - r.streams - r.external)
	if free > 0 {
		free = min(free, float64(r.freeMemory())/max(f.tokens.Apply(1), 1))
	}
	if free > 0 {
		s.AddPlaces(max(from, r.backlog(now)), free)
	}
	if r.external > 0 {
		s.AddPlaces(max(from, serviceTime), float64(r.external))
	}
	if from > 0 {
		s.PostponeEnds(r.holderEnds, from)
	}
}

// clone returns a copy that shares nothing with f.
func (f *forecaster) clone() forecaster {
	c := *f
	c.ends = f.ends.Clone()
	c.late, c.previousLate, c.errors = slices.Clone(f.late), slices.Clone(f.previousLate), slices.Clone(f.errors)
	return c
}
