package decide

import (
	"math"

	"snipeshift.example/lib/clock"
)

const (
	// period is how often the boundaries between the sides are looked at.
	period = clock.Second
	// smooth is the weight of one period in the demand; long prompts come about
	// once a second and differ tenfold, so less than a minute would chase noise.
	smooth = 0.02
	// clearUse is the share of time that an upstream kept clear spends on urgent
	// prefill while the pool is not saturated. A prefill slows all decoding
	// beside it; at a quarter, urgent answers take a tenth longer.
	clearUse = 0.25
	// pressedUse replaces clearUse while other work queues: then capacity counts for
	// more than the last percent of an urgent answer.
	pressedUse = 0.45
	// memoryMost bounds how far the need for memory moves the boundary beyond the
	// share of prefill; what a wider long side wins in memory, short work loses.
	memoryMost = 1.2
	// fillShare is the share of time that upstreams kept clear spend on other
	// short prompts while the pool is saturated, fillLongest the longest of these in
	// milliseconds, and fillBurst how much may be saved up for each upstream.
	fillShare, fillLongest, fillBurst = 0.4, 300.0, 300.0
	// clearMost bounds the share of healthy upstreams kept clear, whatever the demand:
	// one of three would cost more work than it saves callers time.
	clearMost = 0.25
	// clearPatience is how many periods in a row the clear side must be too large to shrink.
	clearPatience = 10
	// growEvery is how many periods pass between two steps of the long side up;
	// down it may go every period. Too many long upstreams harm every
	// short request at once, too few only delay work that can wait.
	growEvery = 5
	// learning is for how many periods a new owner follows the mix without waiting:
	// its first boundary is a guess from one second of demand.
	learning = 30
	// stepShare is the share of upstreams that one step moves at most, so that
	// no pool changes the roles of many engines at once.
	stepShare = 1.0 / 32
)

// demand is the work that callers offer, by lane, in upstreams kept busy.
type demand struct {
	// offered and admitted accumulate milliseconds of prefill in this period.
	offered, admitted [lanes]float64
	// wanted is the smoothed rate of offered work; asked and recent are those of
	// offered and of admitted work over a shorter time.
	wanted, asked, recent [lanes]float64
	// held and holds are the same for memory of long work, in tokens.
	held, holds float64
	// rates is the work that short and long lanes together get while any queues.
	rates   [2]float64
	periods int
}

func (d *demand) offer(w *waiting) {
	i := laneOf(w.Urgency, w.flow.lane.long)
	d.offered[i] += w.work
	if w.flow.lane.long {
		d.held += w.hold()
	}
}

func (d *demand) take(w *waiting) {
	d.admitted[laneOf(w.Urgency, w.flow.lane.long)] += w.work
}

// roll closes a period that lasted span milliseconds.
func (d *demand) roll(span float64) {
	d.periods++
	a := max(smooth, 1/float64(d.periods))
	for i := range d.offered {
		d.wanted[i] += a * (d.offered[i]/span - d.wanted[i])
		d.asked[i] += max(a, pace) * (d.offered[i]/span - d.asked[i])
		d.recent[i] += max(a, pace) * (d.admitted[i]/span - d.recent[i])
		d.offered[i], d.admitted[i] = 0, 0
	}
	d.holds += a * (d.held/span - d.holds)
	d.held = 0
}

// above is the share of servers that more urgent work of the same side takes.
func (d *demand) above(l *lane, servers float64) float64 {
	sum := 0.0
	for i := laneOf(l.urgency, l.long) - 2; i >= 0; i -= 2 {
		sum += d.recent[i]
	}
	return min(sum/servers, stolen)
}

// settleRates closes a period for the rates at which the sides and lanes are served.
func (p *Pool) settleRates(span float64) {
	var got [2]float64
	var contended [2]bool
	for _, l := range p.lanes[2:] {
		i := sideOf(l.long)
		got[i] += l.started / span
		contended[i] = contended[i] || l.contended
	}
	for i := range got {
		fair := p.servers(p.lanes[2+i])
		if !contended[i] {
			got[i] = max(got[i], fair)
		}
		p.demand.rates[i] = follow(p.demand.rates[i], got[i])
	}
	for _, l := range p.lanes {
		servers := p.servers(l)
		l.settle(span, servers*(1-p.demand.above(l, servers)))
	}
}

// follow smooths a rate; zero means there is none yet.
func follow(rate, got float64) float64 {
	if rate == 0 {
		rate = got
	}
	return max(rate+pace*(got-rate), leastRate)
}

// settle closes a period: what a lane got while it queued is what a request in it can
// expect. A lane that never queued could have had more; its rate drifts
// toward fair, the upstreams that its side has left for it.
func (l *lane) settle(span, fair float64) {
	got := l.started / span
	if !l.contended {
		got = max(got, fair)
	}
	l.rate = follow(l.rate, got)
	l.started, l.contended = 0, l.count > 0
	l.expected, l.asked = 0, 0
	l.periods++
	a := max(pace, 1/float64(l.periods))
	kept := l.recent[:0]
	for _, f := range l.recent {
		f.quiet++
		f.asked += a * (f.admitted/span - f.asked)
		f.admitted = 0
		f.recent = f.place >= 0 || f.quiet <= quietPeriods
		if f.recent {
			kept = append(kept, f)
			l.expected += f.workspace.spec.Weight
			l.asked += f.asked
		}
	}
	clear(l.recent[len(kept):])
	l.recent = kept
}

// quietPeriods is after how many periods a workspace no longer counts as asking.
const quietPeriods = 60

const (
	// pace is the weight of one period in a lane's rate: some 25 seconds, longer than
	// one prompt of a million tokens distorts it, shorter than most deadlines.
	pace = 0.04
	// leastRate bounds the estimated wait of a lane that got nothing lately.
	leastRate = 0.05
)

// shift is where the boundaries between the sides stand.
type shift struct {
	due  clock.Milli
	last clock.Milli
	// taking counts upstreams that take new work; long and clear of these are on those sides.
	taking, long, clear int
	// wait counts periods until the long side may grow again, surplus those in
	// which the clear side was larger than needed.
	wait, surplus int
	// again is set when an upstream became an outlier or ceased to be one.
	again bool
	// pressed is set while the pool is saturated; fill is then the prefill in
	// milliseconds that other short work may take on the clear side.
	pressed bool
	fill    float64
	filled  clock.Milli
}

// move shifts the boundaries with the mix and orders engines to new roles. Long
// work keeps to its own upstreams, because one prompt of a million tokens
// occupies an engine for a minute; the boundary moves because a fixed one wastes
// whichever side has less work.
func (p *Pool) move(now clock.Milli) {
	if now < p.shift.due {
		return
	}
	span := now - p.shift.last
	p.shift.last, p.shift.due = now, now+period
	if span <= 0 || p.shift.taking == 0 {
		return
	}
	p.demand.roll(float64(span))
	p.settleRates(float64(span))
	p.shift.pressed = p.pressed()
	long, clear := p.targets()
	changed := p.stepLong(long)
	changed = p.stepClear(clear) || changed
	if changed || p.shift.again {
		p.shift.again = false
		p.stale = true
		p.rebuild(now)
	}
	p.order()
}

// allow lets some short work onto the clear side while the pool is saturated. Kept
// wholly clear, its idle time would be the tenth of capacity that overload
// lacks; filled wholly, every urgent answer would be slowed by half.
func (s *shift) allow(now clock.Milli) {
	span := float64(now - s.filled)
	s.filled = now
	if !s.pressed {
		s.fill = 0
		return
	}
	s.fill = min(s.fill+fillShare*float64(s.clear)*span, fillBurst*float64(s.clear))
}

// targets works out how many upstreams each side should have.
func (p *Pool) targets() (long, clear int) {
	var urgent, short, heavy float64
	for i, rate := range p.demand.wanted {
		switch {
		case i%2 == 1:
			heavy += rate
		case i == 0:
			urgent += rate
		default:
			short += rate
		}
	}
	n := p.shift.taking
	if n < minSides {
		return max(n-1, min(n, 1)), 0
	}
	use := clearUse
	if p.shift.pressed {
		use = pressedUse
	}
	clear = min(int(math.Ceil(urgent/use)), int(clearMost*float64(n-p.outliers())))
	rest := float64(n - clear)
	share := 0.0
	if heavy > 0 {
		share = heavy / (heavy + short)
	}
	memory := p.demand.holds / (packing * float64(p.whole) / float64(n))
	want := max(rest*share, min(memory, rest*share*memoryMost))
	long = min(max(int(math.Round(want)), p.config.MinPerRole), n-clear-p.config.MinPerRole)
	return max(long, 1), clear
}

// minSides is the least number of upstreams that is divided into sides at all.
const minSides = 4

// pressed tells whether the pool is saturated: a part of what callers offer has to
// be refused.
func (p *Pool) pressed() bool {
	offered, admitted := 0.0, 0.0
	for i := range p.demand.wanted {
		offered += p.demand.asked[i]
		admitted += p.demand.recent[i]
	}
	return admitted < (1-pressedRefusal)*offered
}

// pressedRefusal is the share of refused work from which a pool counts as saturated.
const pressedRefusal = 0.05

func (p *Pool) step() int { return 1 + int(stepShare*float64(p.shift.taking)) }

// stepLong moves the long side toward its target: slowly up, fast down.
func (p *Pool) stepLong(target int) bool {
	s := &p.shift
	switch {
	case s.long == 0:
		s.long = target
	case target > s.long:
		s.wait--
		if s.wait > 0 && p.demand.periods > learning {
			return false
		}
		s.long += min(p.step(), target-s.long)
	case target < s.long-1 || target < s.long && s.long > s.taking-s.clear-p.config.MinPerRole:
		// One too many is left alone, or every change of the mix would move it.
		s.long -= min(p.step(), s.long-target)
	default:
		return false
	}
	s.wait = growEvery
	return true
}

// stepClear moves the clear side: up at once, down once it stayed too large.
func (p *Pool) stepClear(target int) bool {
	s := &p.shift
	switch {
	case target > s.clear:
		s.clear += min(p.step(), target-s.clear)
	case target < s.clear:
		s.surplus++
		if s.surplus < clearPatience {
			return false
		}
		s.clear--
	default:
		s.surplus = 0
		return false
	}
	s.surplus = 0
	return true
}

// sides lays the upstreams out in ascending order: the long side first, since the
// first member of a group leads, the clear side last. An outlier belongs to
// neither: urgent answers would be slow on it, and no long prompt may lead there.
func (p *Pool) sides() {
	s := &p.shift
	s.long = min(s.long, s.taking)
	s.clear = min(s.clear, max(s.taking-s.long, 0))
	for _, u := range p.upstreams {
		u.side = anySide
	}
	left := max(s.long, 1)
	for i := 0; i < len(p.upstreams) && left > 0; i++ {
		left -= p.assign(p.upstreams[i], longSide)
	}
	left = s.clear
	for i := len(p.upstreams) - 1; i >= 0 && left > 0; i-- {
		left -= p.assign(p.upstreams[i], clearSide)
	}
}

// outliers counts the upstreams that are much slower than the rest.
func (p *Pool) outliers() int {
	n := 0
	for _, u := range p.upstreams {
		if !u.leaving() && p.straggles(u) {
			n++
		}
	}
	return n
}

// assign puts an upstream on a side if it may serve there, and returns how many it put.
func (p *Pool) assign(u *upstream, s side) int {
	if u.side != anySide || u.leaving() || p.straggles(u) {
		return 0
	}
	u.side = s
	return 1
}

// order tells engines of their new role, a few each period, so that a pool never
// has many engines changing at once.
func (p *Pool) order() {
	left := p.step()
	for _, u := range p.upstreams {
		if left == 0 {
			return
		}
		role := u.side.role()
		if u.leaving() || u.spec.Memory == 0 || u.ordered == role {
			continue
		}
		u.ordered = role
		left--
		p.out = append(p.out, Decision{Action: Ordered, Order: Order{Upstream: u.spec.ID, Role: role}})
	}
}

func (s side) role() string {
	switch s {
	case longSide:
		return "long"
	case clearSide:
		return "short"
	default:
		return "any"
	}
}

// mayShare tells whether short work may enter the long side: while no long
// request waits, or where there is no other side.
func (p *Pool) mayShare() bool {
	if p.shift.taking <= max(p.shift.long, 1)+p.shift.clear {
		return true
	}
	for i := 1; i < lanes; i += 2 {
		if p.lanes[i].count > 0 {
			return false
		}
	}
	return true
}

// servers is how many upstreams serve a lane, at least one.
func (p *Pool) servers(l *lane) float64 {
	s := &p.shift
	n := s.taking
	switch {
	case l.long:
		n = s.long
		if p.demand.periods < learning {
			// A new owner's boundary has not found its place yet; judged by
			// it, a burst of long work would be refused that half the pool can do.
			n = max(n, s.taking/2)
		}
	case l.urgency > 0:
		n = s.taking - s.clear
	}
	return float64(max(n, 1))
}
