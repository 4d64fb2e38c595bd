package decide

import (
	"math"

	"snipeshift.example/lib/clock"
)

const (
	// period is the interval at which the boundaries between the sides are adjusted.
	period = clock.Second
	// demandSmoothing is the weight of one period in the smoothed demand. Long prompts arrive about
	// once a second and differ tenfold in size, so averaging over less than a minute would follow
	// noise.
	demandSmoothing = 0.02
	// urgentSideUse is the share of time that upstreams of the urgent side are planned to spend on
	// urgent prefill while the pool is not saturated. A prefill slows all decoding on the same
	// engine; at a quarter, urgent answers take a tenth longer.
	urgentSideUse = 0.25
	// saturatedUse replaces urgentSideUse while the pool is saturated: then capacity matters more
	// than the last percent of latency of urgent answers.
	saturatedUse = 0.45
	// maxMemoryFactor bounds how far the need for memory extends the long side beyond its share of
	// prefill. The memory gained there is capacity lost for short work.
	maxMemoryFactor = 1.2
	// fillShare is the share of time that upstreams of the urgent side may spend on other short
	// prompts while the pool is saturated. fillLongest is the maximum length of such a prompt, and
	// fillBurst the maximum saved-up budget per upstream, both in milliseconds of prefill.
	fillShare, fillLongest, fillBurst = 0.4, 300.0, 300.0
	// maxUrgentSide bounds the share of healthy upstreams in the urgent side whatever the demand:
	// one of three would cost more capacity than the latency gained is worth.
	maxUrgentSide = 0.25
	// shrinkAfter is the number of consecutive periods for which the urgent side must be too large
	// before it shrinks.
	shrinkAfter = 10
	// growEvery is the number of periods between two steps that enlarge the long side; it may
	// shrink in every period. Too many upstreams on the long side delay every short request at
	// once, too few only delay work that can wait.
	growEvery = 5
	// learningPeriods is the number of periods in which a new owner adjusts the long side without
	// waiting: its first boundary is a guess from one second of demand.
	learningPeriods = 30
	// stepShare is the maximum share of upstreams that one step moves, so that no pool changes the
	// roles of many engines at once.
	stepShare = 1.0 / 32
)

// demand is the work that clients offer, by lane. Rates are in milliseconds of prefill per
// millisecond, that is, the number of upstreams kept busy.
type demand struct {
	// offered and admitted are the totals of this period, in milliseconds of prefill.
	offered, admitted [lanes]float64
	// offeredRate is the smoothed rate of offered work. recentOffered and recentAdmitted are the
	// rates of offered and admitted work over a shorter time.
	offeredRate, recentOffered, recentAdmitted [lanes]float64
	// offeredMemory is the memory times duration of long work offered in this period, in
	// token-milliseconds; memoryRate is its smoothed rate, in tokens.
	offeredMemory, memoryRate float64
	// servedRate is the rate of work granted to the short and the long lanes while any of them
	// queues.
	servedRate [2]float64
	periods    int
}

func (d *demand) offer(w *waiting) {
	i := laneOf(w.Urgency, w.flow.lane.long)
	d.offered[i] += w.work
	if w.flow.lane.long {
		d.offeredMemory += w.memoryTime()
	}
}

func (d *demand) admit(w *waiting) {
	d.admitted[laneOf(w.Urgency, w.flow.lane.long)] += w.work
}

// endPeriod ends a period of span milliseconds.
func (d *demand) endPeriod(span float64) {
	d.periods++
	weight := max(demandSmoothing, 1/float64(d.periods))
	for i := range d.offered {
		d.offeredRate[i] += weight * (d.offered[i]/span - d.offeredRate[i])
		d.recentOffered[i] += max(weight, rateSmoothing) * (d.offered[i]/span - d.recentOffered[i])
		d.recentAdmitted[i] += max(weight, rateSmoothing) * (d.admitted[i]/span - d.recentAdmitted[i])
		d.offered[i], d.admitted[i] = 0, 0
	}
	d.memoryRate += weight * (d.offeredMemory/span - d.memoryRate)
	d.offeredMemory = 0
}

// moreUrgentShare is the share of servers that more urgent work of the same side takes.
func (d *demand) moreUrgentShare(l *lane, servers float64) float64 {
	sum := 0.0
	for i := laneOf(l.urgency, l.long) - 2; i >= 0; i -= 2 {
		sum += d.recentAdmitted[i]
	}
	return min(sum/servers, maxUrgentShare)
}

// updateRates updates, at the end of a period, the rates at which the sides and the lanes are
// served.
func (p *Pool) updateRates(span float64) {
	var granted [2]float64
	var contended [2]bool
	for _, l := range p.lanes[2:] {
		i := sideOf(l.long)
		granted[i] += l.granted / span
		contended[i] = contended[i] || l.contended
	}
	for i := range granted {
		fair := p.servers(p.lanes[2+i])
		if !contended[i] {
			granted[i] = max(granted[i], fair)
		}
		p.demand.servedRate[i] = smoothRate(p.demand.servedRate[i], granted[i])
	}
	for _, l := range p.lanes {
		servers := p.servers(l)
		l.endPeriod(span, servers*(1-p.demand.moreUrgentShare(l, servers)))
	}
}

// smoothRate updates a smoothed rate; a rate of zero has no observations yet.
func smoothRate(rate, observed float64) float64 {
	if rate == 0 {
		rate = observed
	}
	return max(rate+rateSmoothing*(observed-rate), minRate)
}

// endPeriod updates the rate of the lane at the end of a period. The work granted while requests
// queued is what the next ones can expect. A lane that did not queue throughout could have obtained
// more, so its rate moves toward fair, the upstreams that more urgent work of its side leaves over.
func (l *lane) endPeriod(span, fair float64) {
	observed := l.granted / span
	if !l.contended {
		observed = max(observed, fair)
	}
	l.rate = smoothRate(l.rate, observed)
	l.granted, l.contended = 0, l.count > 0
	l.activeWeight, l.admittedRate = 0, 0
	l.periods++
	weight := max(rateSmoothing, 1/float64(l.periods))
	kept := l.active[:0]
	for _, f := range l.active {
		f.idle++
		f.admittedRate += weight * (f.admitted/span - f.admittedRate)
		f.admitted = 0
		f.active = f.heapIndex >= 0 || f.idle <= idlePeriods
		if f.active {
			kept = append(kept, f)
			l.activeWeight += f.workspace.spec.Weight
			l.admittedRate += f.admittedRate
		}
	}
	clear(l.active[len(kept):])
	l.active = kept
}

// idlePeriods is the number of periods without a request after which a workspace is no longer
// active.
const idlePeriods = 60

const (
	// rateSmoothing is the weight of one period in the rate of a lane. It averages over some 25
	// seconds: longer than the time for which one prompt of a million tokens distorts the rate,
	// shorter than most deadlines.
	rateSmoothing = 0.04
	// minRate bounds the estimated wait of a lane that was granted nothing recently.
	minRate = 0.05
)

// boundaries holds the sizes of the sides, the sets of upstreams reserved for long and for urgent
// work.
type boundaries struct {
	nextMove clock.Milli
	lastMove clock.Milli
	// accepting is the number of upstreams that accept new work; long and urgent of these are on
	// the respective side.
	accepting, long, urgent int
	// growWait is the number of periods until the long side may grow again. surplusPeriods is the
	// number of periods in which the urgent side was larger than needed.
	growWait, surplusPeriods int
	// outliersChanged is set if an upstream became an outlier or ceased to be one.
	outliersChanged bool
	// saturated is set while the pool is saturated. fillBudget is then the prefill in milliseconds
	// that other short work may take on the urgent side, as of filledAt.
	saturated  bool
	fillBudget float64
	filledAt   clock.Milli
}

// moveBoundaries adjusts the sizes of the sides to the mix of requests and orders engines to their
// new roles. Long work runs on its own upstreams, because one prompt of a million tokens occupies
// an engine for a minute. The sizes follow the load because fixed sizes would waste capacity on
// whichever side has less work.
func (p *Pool) moveBoundaries(now clock.Milli) {
	if now < p.boundaries.nextMove {
		return
	}
	span := now - p.boundaries.lastMove
	p.boundaries.lastMove, p.boundaries.nextMove = now, now+period
	if span <= 0 || p.boundaries.accepting == 0 {
		return
	}
	p.demand.endPeriod(float64(span))
	p.updateRates(float64(span))
	p.boundaries.saturated = p.isSaturated()
	long, urgent := p.targets()
	changed := p.stepLong(long)
	changed = p.stepUrgent(urgent) || changed
	if changed || p.boundaries.outliersChanged {
		p.boundaries.outliersChanged = false
		p.treeStale = true
		p.rebuildTables(now)
	}
	p.orderRoles()
}

// refillBudget increases the budget for short work on the urgent side while the pool is saturated.
// Without it the idle time of the urgent side would be the tenth of capacity that is missing under
// overload; without a limit every urgent answer would be slowed by half.
func (s *boundaries) refillBudget(now clock.Milli) {
	span := float64(now - s.filledAt)
	s.filledAt = now
	if !s.saturated {
		s.fillBudget = 0
		return
	}
	s.fillBudget = min(s.fillBudget+fillShare*float64(s.urgent)*span, fillBurst*float64(s.urgent))
}

// targets computes the number of upstreams that each side should have.
func (p *Pool) targets() (long, urgent int) {
	var urgentRate, shortRate, longRate float64
	for i, rate := range p.demand.offeredRate {
		switch {
		case i%2 == 1:
			longRate += rate
		case i == 0:
			urgentRate += rate
		default:
			shortRate += rate
		}
	}
	n := p.boundaries.accepting
	if n < minSides {
		return max(n-1, min(n, 1)), 0
	}
	use := urgentSideUse
	if p.boundaries.saturated {
		use = saturatedUse
	}
	urgent = min(int(math.Ceil(urgentRate/use)), int(maxUrgentSide*float64(n-p.outliers())))
	remaining := float64(n - urgent)
	share := 0.0
	if longRate > 0 {
		share = longRate / (longRate + shortRate)
	}
	memory := p.demand.memoryRate / (memoryUtilization * float64(p.totalMemory) / float64(n))
	wanted := max(remaining*share, min(memory, remaining*share*maxMemoryFactor))
	long = min(max(int(math.Round(wanted)), p.config.MinPerRole), n-urgent-p.config.MinPerRole)
	return max(long, 1), urgent
}

// minSides is the minimum number of upstreams at which a pool is divided into three sides.
const minSides = 4

// isSaturated reports whether the pool is saturated: a part of the offered work is refused.
func (p *Pool) isSaturated() bool {
	offered, admitted := 0.0, 0.0
	for i := range p.demand.offeredRate {
		offered += p.demand.recentOffered[i]
		admitted += p.demand.recentAdmitted[i]
	}
	return admitted < (1-saturatedRefusal)*offered
}

// saturatedRefusal is the share of refused work from which a pool counts as saturated.
const saturatedRefusal = 0.05

func (p *Pool) maxStep() int { return 1 + int(stepShare*float64(p.boundaries.accepting)) }

// stepLong moves the size of the long side toward its target: slowly up, fast down.
func (p *Pool) stepLong(target int) bool {
	s := &p.boundaries
	switch {
	case s.long == 0:
		s.long = target
	case target > s.long:
		s.growWait--
		if s.growWait > 0 && p.demand.periods > learningPeriods {
			return false
		}
		s.long += min(p.maxStep(), target-s.long)
	case target < s.long-1 || target < s.long && s.long > s.accepting-s.urgent-p.config.MinPerRole:
		// An excess of one upstream is tolerated, or every change of the mix would move the
		// boundary.
		s.long -= min(p.maxStep(), s.long-target)
	default:
		return false
	}
	s.growWait = growEvery
	return true
}

// stepUrgent moves the size of the urgent side toward its target: up at once, down once it has been
// too large for some time.
func (p *Pool) stepUrgent(target int) bool {
	s := &p.boundaries
	switch {
	case target > s.urgent:
		s.urgent += min(p.maxStep(), target-s.urgent)
	case target < s.urgent:
		s.surplusPeriods++
		if s.surplusPeriods < shrinkAfter {
			return false
		}
		s.urgent--
	default:
		s.surplusPeriods = 0
		return false
	}
	s.surplusPeriods = 0
	return true
}

// assignSides assigns the upstreams in ascending order: the long side first, since the first member
// of a group leads, the urgent side last. An outlier belongs to neither: urgent answers would be
// slow on it, and no long prompt may lead there.
func (p *Pool) assignSides() {
	s := &p.boundaries
	s.long = min(s.long, s.accepting)
	s.urgent = min(s.urgent, max(s.accepting-s.long, 0))
	for _, u := range p.upstreams {
		u.side = anySide
	}
	remaining := max(s.long, 1)
	for i := 0; i < len(p.upstreams) && remaining > 0; i++ {
		remaining -= p.assign(p.upstreams[i], longSide)
	}
	remaining = s.urgent
	for i := len(p.upstreams) - 1; i >= 0 && remaining > 0; i-- {
		remaining -= p.assign(p.upstreams[i], urgentSide)
	}
}

// outliers is the number of upstreams that are much slower than the mean.
func (p *Pool) outliers() int {
	n := 0
	for _, u := range p.upstreams {
		if !u.leaving() && p.isOutlier(u) {
			n++
		}
	}
	return n
}

// assign assigns an upstream to a side if it is eligible, and returns the number of upstreams
// assigned, 0 or 1.
func (p *Pool) assign(u *upstream, s side) int {
	if u.side != anySide || u.leaving() || p.isOutlier(u) {
		return 0
	}
	u.side = s
	return 1
}

// orderRoles orders engines to their new role, a few each period, so that a pool never has many
// engines changing at once.
func (p *Pool) orderRoles() {
	remaining := p.maxStep()
	for _, u := range p.upstreams {
		if remaining == 0 {
			return
		}
		role := u.side.role()
		if u.leaving() || u.spec.Memory == 0 || u.orderedRole == role {
			continue
		}
		u.orderedRole = role
		remaining--
		p.decisions = append(p.decisions, Decision{Action: Ordered, Order: Order{Upstream: u.spec.ID, Role: role}})
	}
}

func (s side) role() string {
	switch s {
	case longSide:
		return "long"
	case urgentSide:
		return "short"
	default:
		return "any"
	}
}

// longSideOpen reports whether short work may be placed on the long side: while no long request is
// queued, or if there is no upstream outside the long and urgent sides.
func (p *Pool) longSideOpen() bool {
	if p.boundaries.accepting <= max(p.boundaries.long, 1)+p.boundaries.urgent {
		return true
	}
	for i := 1; i < lanes; i += 2 {
		if p.lanes[i].count > 0 {
			return false
		}
	}
	return true
}

// servers is the number of upstreams that serve a lane, at least one.
func (p *Pool) servers(l *lane) float64 {
	s := &p.boundaries
	n := s.accepting
	switch {
	case l.long:
		n = s.long
		if p.demand.periods < learningPeriods {
			// The boundary of a new owner has not settled yet. An estimate by its long side alone
			// would refuse a burst of long work that half of the pool can serve.
			n = max(n, s.accepting/2)
		}
	case l.urgency > 0:
		n = s.accepting - s.urgent
	}
	return float64(max(n, 1))
}
