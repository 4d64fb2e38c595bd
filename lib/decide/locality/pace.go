package locality

import (
	"math"

	"snipeshift.example/lib/clock"
)

const (
	// SlowPace is the pace from which on an upstream counts as slow.
	SlowPace = 1.5
	// NormalPace is the pace below which Slow no longer reports an upstream as slow. The difference keeps an
	// upstream near one of the two from being logged again and again.
	NormalPace = 1.25
	// paceWeight is the weight of one request in the moving average, and maxStep the multiple of the
	// average up to which its pace counts. One first byte that is late for another reason leaves an
	// average of 1 below SlowPace; an upstream at half speed passes it within six.
	paceWeight, maxStep = 1.0 / 8, 4
	// fullShare is the share of occupied slots above which an upstream is nearly full.
	fullShare = 0.75
	// firstTrial is the time after the last request after which a slow upstream is tried again, and
	// maxTrial bounds its doubling by trials that show no change. A trial may cost one request its aim.
	firstTrial, maxTrial = 2 * clock.Second, 16 * clock.Second
	// staleAfter is the age from which on an average is replaced by what the upstream reports.
	staleAfter = 20 * clock.Second
)

// Band is a range of the load of an upstream.
type Band uint8

// The bands.
const (
	Usual Band = iota
	NearlyFull
	bands
)

// BandOf returns the band in which an upstream with this many requests is.
func BandOf(requests, slots int) Band {
	if float64(requests) > fullShare*float64(slots) {
		return NearlyFull
	}
	return Usual
}

// average is the moving average of the last requests in one band.
type average struct {
	pace float64
	at   clock.Milli
	// known is false before the first request.
	known bool
}

// Pace is what the pool has learned of the pace of one upstream: the factor by which its work takes
// longer than planned, at least 1. The zero value has learned nothing.
type Pace struct {
	averages [bands]average
	// reported is the last pace that the upstream reported; zero for none.
	reported float64
	// slow is set from SlowPace until NormalPace.
	slow bool
	// pause is the time until the next trial after the last request.
	pause clock.Milli
}

// Known reports whether anything has been learned.
func (p *Pace) Known() bool { return p.averages[Usual].known || p.averages[NearlyFull].known }

// Factor returns the pace in a band. A band without requests has the pace of the other one if that is
// the lower band, otherwise the reported pace.
func (p *Pace) Factor(b Band) float64 {
	switch {
	case p.averages[b].known:
		return p.averages[b].pace
	case b == NearlyFull && p.averages[Usual].known:
		return p.averages[Usual].pace
	default:
		return max(p.reported, 1)
	}
}

// Observe includes one request that was planned at a pace and took this multiple of the planned time.
// It reports whether the upstream has become slow or is no longer slow.
func (p *Pace) Observe(now clock.Milli, b Band, planned, ratio float64) (changed bool) {
	before, waited := p.Factor(b), now-p.averages[b].at
	seen := min(max(planned*ratio, 1), maxStep*before)
	switch {
	case seen < NormalPace: // no trial is needed
		p.pause = 0
	case before >= SlowPace && p.averages[b].known && waited >= p.pause && p.pause > 0: // a trial showed no change
		p.pause = min(2*p.pause, maxTrial)
	default: // a first slow response, or one of a request that was granted before the trial
		p.pause = max(p.pause, firstTrial)
	}
	p.averages[b] = average{pace: before + paceWeight*(seen-before), at: now, known: true}
	return p.updateSlow()
}

// updateSlow compares the averages with the thresholds and reports whether the result has changed.
func (p *Pace) updateSlow() bool {
	worst, before := p.Worst(), p.slow
	p.slow = worst >= SlowPace || p.slow && worst >= NormalPace
	return p.slow != before
}

// Worst returns the highest learned pace of all bands.
func (p *Pace) Worst() float64 {
	worst := 0.0
	for _, a := range p.averages {
		worst = max(worst, a.pace)
	}
	return worst
}

// Slow reports whether the upstream has become slow and is not fast again.
func (p *Pace) Slow() bool { return p.slow }

// Report records the pace that the upstream reports. It replaces averages that are older than
// staleAfter, or lower than a report that has changed: an upstream knows sooner that it is slow.
func (p *Pace) Report(now clock.Milli, pace float64) (changed bool) {
	rises := pace > p.reported
	p.reported = pace
	for i := range p.averages {
		a := &p.averages[i]
		if a.known && (now-a.at > staleAfter || rises && pace > a.pace) {
			*a = average{pace: pace, at: now, known: true}
		}
	}
	return p.updateSlow()
}

// ReportsSlow reports whether the upstream itself says that it is slow.
func (p *Pace) ReportsSlow() bool { return p.reported >= SlowPace }

// Trial returns the pace with which a request may be placed on a slow upstream to learn whether it
// still is, and whether that is due. At first the pace is the learned one, so that the trial is a
// request whose aim is met. If there is none, the difference to 1 is halved in each further pause.
func (p *Pace) Trial(now clock.Milli, b Band) (pace float64, due bool) {
	pace = p.Factor(b)
	a := p.averages[b]
	if !a.known || pace < SlowPace || now-a.at < p.pause {
		return pace, false
	}
	pauses := float64(now-a.at) / float64(max(p.pause, firstTrial))
	return 1 + (pace-1)*math.Exp2(-max(0, math.Floor(pauses)-1)), true
}

// SavedPace is what has been learned in the form in which an owner hands it over. Ages are in place of
// times, because the clocks of two VMs differ.
type SavedPace struct {
	// Paces and Ages have one element for each known band, in the order of Bands.
	Bands []Band
	Paces []float64
	Ages  []clock.Milli
	// Reported is the last reported pace, zero for none.
	Reported float64
	Slow     bool
	Pause    clock.Milli
}

// Save returns what has been learned.
func (p *Pace) Save(now clock.Milli) SavedPace {
	s := SavedPace{Reported: p.reported, Slow: p.slow, Pause: p.pause}
	for b, a := range p.averages {
		if a.known {
			s.Bands, s.Paces, s.Ages = append(s.Bands, Band(b)), append(s.Paces, a.pace), append(s.Ages, now-a.at)
		}
	}
	return s
}

// RestorePace returns what a previous owner has learned.
func RestorePace(now clock.Milli, s SavedPace) Pace {
	p := Pace{reported: s.Reported, slow: s.Slow, pause: s.Pause}
	for i, b := range s.Bands {
		if b < bands && i < len(s.Paces) && i < len(s.Ages) {
			p.averages[b] = average{pace: s.Paces[i], at: now - s.Ages[i], known: true}
		}
	}
	return p
}
