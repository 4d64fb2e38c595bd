// Package balance chooses an upstream for a request where several deciders that do not know of each
// other's grants use the same upstreams.
//
// Load addressed: requests in progress at an upstream, which a decider knows from reports that are
// older than the time between two choices of all deciders together. If each decider chose the
// upstream of the least known load, all would choose the same one until its next report.
//
// A decider knows its own requests exactly. Those of the others are taken from the last report and
// end with time. As many as have probably ended have probably been replaced, and the deciders that
// replaced them had reports as old as this one's. The replacements are therefore spread over the
// upstreams so that the loads become level. Of the upstreams that get a share, a request goes to one
// with the fewest own requests, at random in proportion to the shares. A decider without others thus
// chooses the least loaded upstream, and one whose reports have stopped spreads its requests evenly.
// A decider that knows its rank prefers upstreams that differ from those of the other ranks, see
// ChooseRanked.
// The rule is known as load interpretation (Dahlin, "Interpreting Stale Load Information").
//
// The package uses no sockets, goroutines, clock or source of randomness.
package balance

import (
	"math"

	"snipeshift.example/lib/clock"
)

// Record is what the reports of one upstream tell a decider about the requests of others. The zero
// Record has no report. A restarted upstream needs a new Record.
type Record struct {
	// others is the number of requests of other deciders at the time at.
	others float64
	at     clock.Milli
	// known is set once there was a report. doubted is set while reports contradict what the decider
	// knows of its own requests; others is not used then.
	known, doubted bool
}

// Note records a report of this many requests at the upstream at the instant at, when own requests
// of this decider ran there. A report that is not newer than the last one is ignored.
func (r *Record) Note(at clock.Milli, requests, own int) {
	if r.known && at <= r.at {
		return
	}
	r.at, r.known = at, true
	// A report of no requests does not show that the upstream counts its requests again.
	r.doubted = requests < own || r.doubted && requests == 0
	r.others = float64(max(0, requests-own))
}

// Doubt records that an upstream is slower than its reports explain. The reports are not used until
// one of them shows requests.
func (r *Record) Doubt() { r.doubted = r.known }

// usable reports whether the record says anything about the requests of others.
func (r *Record) usable() bool { return r.known && !r.doubted }

// Candidate is an upstream that accepts the request.
type Candidate struct {
	Record Record
	// Slots is the number of requests that the upstream runs at a time. Pace is the factor by which
	// its work takes longer than usual; values under 1 count as 1.
	Slots int
	Pace  float64
	// Own is the number of requests of this decider at the upstream now.
	Own int
}

// slots returns the number of slots, at least one.
func (c *Candidate) slots() float64 { return float64(max(c.Slots, 1)) }

// ownPerSlot returns the own requests per slot.
func (c *Candidate) ownPerSlot() float64 { return float64(c.Own) / c.slots() }

// level returns the load relative to the slots. Above 1 the excess counts by the pace: requests
// queue there, and a slow upstream works off its queue more slowly.
func (c *Candidate) level(load float64) float64 {
	l := load / c.slots()
	if l <= 1 {
		return l
	}
	return 1 + (l-1)*max(c.Pace, 1)
}

// load is the inverse of level.
func (c *Candidate) load(level float64) float64 {
	if level > 1 {
		level = 1 + (level-1)/max(c.Pace, 1)
	}
	return level * c.slots()
}

// Choose returns the index of the candidate that gets the next request, or -1 if there is none.
// serviceTime is the usual time that a request occupies a slot at pace 1, and random a random number
// in [0, 1). Of the candidates that get a considerable share, those with the fewest own requests per slot come
// first: a decider can spread its own requests evenly without any report, and the sum of evenly spread
// requests of many deciders varies less than that of random choices.
func Choose(now, serviceTime clock.Milli, cs []Candidate, random float64) int {
	shares := considerable(Allocation(now, serviceTime, cs))
	fewest := math.Inf(1)
	for i, s := range shares {
		if s > 0 {
			fewest = min(fewest, cs[i].ownPerSlot())
		}
	}
	for i := range shares {
		if cs[i].ownPerSlot() > fewest {
			shares[i] = 0
		}
	}
	return Draw(shares, random)
}

// ChooseRanked is Choose for a decider that knows its rank among all deciders, by which it has a place
// of its own in the sum of the shares. Of the candidates with the fewest own requests per slot, it
// takes the first one from that place on. The load of a candidate varies less than under Choose, as
// the deciders whose places are close to it almost always have a request there, and the others almost
// never. Ranks need not be contiguous or unique. If all but a few reports are fresh, the choice
// is that of Choose, see fewUnknown.
func ChooseRanked(now, serviceTime clock.Milli, cs []Candidate, rank int, random float64) int {
	if fewUnknown(now, serviceTime, cs) {
		return Choose(now, serviceTime, cs, random)
	}
	shares := considerable(Allocation(now, serviceTime, cs))
	_, place := math.Modf(goldenRatio * float64(rank))
	// Own requests are included, so that the place stays where it is while they use up shares.
	places := make([]float64, len(cs))
	for i, s := range shares {
		places[i] = s + float64(cs[i].Own)
	}
	start := Draw(places, place)
	best, fewest := -1, math.Inf(1)
	for k := range cs {
		i := (start + k) % len(cs)
		if own := cs[i].ownPerSlot(); shares[i] > 0 && own < fewest {
			best, fewest = i, own
		}
	}
	return best
}

// goldenRatio is the fractional part of the golden ratio. The fractional parts of its multiples are
// spread evenly, also those of any range of consecutive ranks.
const goldenRatio = math.Phi - 1

// freshPart is the part of the service time up to which reports count as fresh: few requests have been
// replaced since.
const freshPart = 1.0 / 12

// freshCandidates is the part of the candidates that must have fresh reports for the others to be the
// exception. With more others, ranks spread the requests between these better than chance does.
const freshCandidates = 7.0 / 8

// fewUnknown reports whether almost all candidates have fresh reports, and a few do not. Ranks then
// concentrate requests: deciders that skip a candidate for the load that it reports all go on to the
// next one, and if that is an unknown one, no report stops them.
func fewUnknown(now, serviceTime clock.Milli, cs []Candidate) bool {
	n := 0
	for i := range cs {
		if r := &cs[i].Record; r.usable() && float64(now-r.at) <= freshPart*float64(serviceTime) {
			n++
		}
	}
	return n < len(cs) && float64(n) >= freshCandidates*float64(len(cs))
}

// considerable sets shares to zero that are not considerable.
func considerable(shares []float64) []float64 {
	least := minShare * sum(shares) / float64(max(len(shares), 1))
	for i, s := range shares {
		if s < least {
			shares[i] = 0
		}
	}
	return shares
}

// minShare is the fraction of the mean share from which on a share is considerable. A decider without
// own requests at a loaded upstream would choose it for that reason alone.
const minShare = 0.5

// sum returns the sum of shares.
func sum(shares []float64) float64 {
	total := 0.0
	for _, s := range shares {
		total += s
	}
	return total
}

// Draw returns an index with a probability in proportion to its share, or -1 if all shares are zero.
func Draw(shares []float64, random float64) int {
	all := sum(shares)
	drawn := -1
	for i, s := range shares {
		if s <= 0 {
			continue
		}
		drawn = i
		if random -= s / all; random < 0 {
			break
		}
	}
	return drawn
}

// Allocation returns how much of the work that has arrived since the reports, and of the next request,
// each candidate gets.
func Allocation(now, serviceTime clock.Milli, cs []Candidate) []float64 {
	remaining, arrived := Remaining(now, serviceTime, cs)
	return fill(cs, remaining, arrived+1)
}

// Remaining returns the load of each candidate without the requests of others that have arrived since
// the reports, and the number of those. Reports of different ages are brought to the mean age: what an
// older one says moves toward the usual load.
func Remaining(now, serviceTime clock.Milli, cs []Candidate) (remaining []float64, arrived float64) {
	usual, age := averages(now, cs)
	remaining = make([]float64, len(cs))
	for i := range cs {
		c := &cs[i]
		others := usual * c.slots()
		if c.Record.usable() {
			older := float64(now-c.Record.at) - age
			others += (c.Record.others - others) * c.kept(older, serviceTime, c.Record.others)
		}
		kept := others * c.kept(age, serviceTime, others)
		remaining[i] = float64(c.Own) + kept
		arrived += others - kept
	}
	return remaining, arrived
}

// kept returns the share of the requests of others that have not ended after this many milliseconds.
// Only requests in a slot end.
func (c *Candidate) kept(age float64, serviceTime clock.Milli, others float64) float64 {
	running := min(1, c.slots()/max(others+float64(c.Own), 1))
	return math.Exp(-running * max(age, 0) / (float64(max(serviceTime, 1)) * max(c.Pace, 1)))
}

// averages returns the mean number of requests of others per slot and the mean age of the reports in
// milliseconds, over the usable records.
func averages(now clock.Milli, cs []Candidate) (usual, age float64) {
	others, slots, usable := 0.0, 0.0, 0.0
	for i := range cs {
		if r := &cs[i].Record; r.usable() {
			others += r.others
			slots += cs[i].slots()
			age += float64(now - r.at)
			usable++
		}
	}
	return others / max(slots, 1), age / max(usable, 1)
}

// fillSteps is how often the interval that contains the level is halved: the error is far below one
// request.
const fillSteps = 32

// fill returns how much each candidate gets of an amount of work if it is spread so that the lowest
// loads become level.
func fill(cs []Candidate, loads []float64, amount float64) []float64 {
	low, high := math.Inf(1), 0.0
	for i := range cs {
		low = min(low, cs[i].level(loads[i]))
		high = max(high, cs[i].level(loads[i]+amount))
	}
	for range fillSteps {
		middle := (low + high) / 2
		if amountTo(cs, loads, middle) < amount {
			low = middle
		} else {
			high = middle
		}
	}
	shares := make([]float64, len(cs))
	for i := range cs {
		shares[i] = max(0, cs[i].load(high)-loads[i])
	}
	return shares
}

// amountTo returns how much work raises all lower loads to this level.
func amountTo(cs []Candidate, loads []float64, level float64) float64 {
	amount := 0.0
	for i := range cs {
		amount += max(0, cs[i].load(level)-loads[i])
	}
	return amount
}
