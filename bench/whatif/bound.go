package whatif

import (
	"cmp"
	"math"
	"math/rand/v2"
	"slices"

	"snipeshift.example/bench/passes"
	"snipeshift.example/lib/decide/span"
)

// slot is the step of time in milliseconds by which the upper bound counts. Windows are widened to whole slots, so a longer one errs high.
const slot = 100.0

// work is what one request takes of the engines, within a window of slots.
type work struct {
	first, last int // the slots of its window, both included
	cost, worth float64
}

// UpperBound is a share of worth that no planner exceeds on a day's engines, also one that knows all arrivals: all engines work as one, at any split,
// without gaps of memory or slots; only a prompt that is too long for all that may read it is not in time. It is the lower of two such
// relaxations: in the first a request is in time if its prompt is read by its aim; in the second it gets a part of its worth for its
// reading by then, and the other part for its writing by the end of the longest pauses that it bears, each for what is done.
// Whatever is not in time counts as late.
func (d *Trace) UpperBound() float64 {
	all := 0.0
	for i := range d.Arrivals {
		all += d.Arrivals[i].Kind.WorthOf(d.Arrivals[i].Prompt)
	}
	inTime := min(d.most(false), d.most(true))
	return (inTime + passes.LateFraction*(all-inTime)) / max(all, 1e-9)
}

// mostEngines is how many engines read one prompt at most: the one that answers, and those that it lists.
const mostEngines = 17

// works lists what a request takes: its reading, and its writing if that is wanted too, each with its part of the worth.
func (d *Trace) works(a *passes.Arrival, writes bool) []work {
	e := &d.Load.Engine
	aim := float64(a.Kind.Aim)
	read := work{first: int(a.At / slot), last: int((a.At + aim) / slot), cost: e.PrefillTime(a.Prompt), worth: a.Kind.WorthOf(a.Prompt)}
	switch n := float64(a.Events - 1); {
	case read.cost > aim*float64(min(mostEngines, d.Load.Engines)):
		return nil
	case !writes || n <= 0:
		return []work{read}
	default:
		// Each event takes its part of the steps of a full engine at least.
		step := e.Step/float64(max(e.Slots, 1)) + e.Writer
		write := work{first: read.first, last: int((a.At + aim + n*float64(a.Kind.Gap)) / slot), cost: n * step * float64(e.Stride)}
		write.worth = read.worth * write.cost / (read.cost + write.cost)
		read.worth -= write.worth
		return []work{read, write}
	}
}

// most is the worth that is in time in a relaxation. What of each work is done within its window forms a polymatroid, on which the greedy
// choice by worth for its cost is the best one.
func (d *Trace) most(writes bool) float64 {
	var works []work
	slots := 0
	for i := range d.Arrivals {
		for _, w := range d.works(&d.Arrivals[i], writes) {
			works = append(works, w)
			slots = max(slots, w.last+1)
		}
	}
	slices.SortStableFunc(works, func(x, y work) int { return cmp.Compare(y.worth*x.cost, x.worth*y.cost) })
	f := newFluid(slots, float64(d.Load.Engines)*slot)
	sum := 0.0
	for _, w := range works {
		sum += w.worth * f.add(w) / max(w.cost, 1e-9)
	}
	return sum
}

// fluid keeps what is left in each span of slots for work whose window lies within it.
type fluid struct {
	slots int
	left  []float64
}

func newFluid(slots int, capacity float64) *fluid {
	f := &fluid{slots: slots, left: make([]float64, slots*slots)}
	for a := range slots {
		for b := a; b < slots; b++ {
			f.left[a*slots+b] = capacity * float64(b-a+1)
		}
	}
	return f
}

// add does as much of a work as there is room for.
func (f *fluid) add(w work) float64 {
	done := w.cost
	for a := range w.first + 1 {
		done = min(done, slices.Min(f.left[a*f.slots+w.last:(a+1)*f.slots]))
	}
	done = max(done, 0)
	if done == 0 {
		return 0
	}
	for a := range w.first + 1 {
		row := f.left[a*f.slots+w.last : (a+1)*f.slots]
		for i := range row {
			row[i] -= done
		}
	}
	return done
}

// Search is the best share of worth that a search finds for the same engines, and how each request ended in that play: plays of the model, in
// which a planner that knows how each of them ended changes the rules or turns some requests away at once. Each is a play, so it never errs high.
func (d *Trace) Search(tries int, seed uint64) (float64, []passes.Outcome) {
	rules := span.DefaultRules
	best, ends := d.share(rules, nil)
	rng := rand.New(rand.NewPCG(seed, 6))
	dropped := make([]bool, len(d.Arrivals))
	for try := range tries {
		if try%4 == 3 {
			r := varied(rules, rng)
			if share, es := d.share(r, dropped); share > best {
				best, ends, rules = share, es, r
			}
			continue
		}
		next := d.drop(dropped, ends, rng)
		if share, es := d.share(rules, next); share > best {
			best, ends, dropped = share, es, next
		}
	}
	return best, ends
}

// share plays what is not dropped, and returns how each request ended.
func (d *Trace) share(rules span.Rules, dropped []bool) (float64, []passes.Outcome) {
	var kept []passes.Arrival
	var index []int
	for i := range d.Arrivals {
		if dropped == nil || !dropped[i] {
			kept, index = append(kept, d.Arrivals[i]), append(index, i)
		}
	}
	ends := make([]passes.Outcome, len(d.Arrivals))
	for i := range ends {
		ends[i] = passes.Lost
	}
	sum, all := 0.0, 0.0
	for i := range d.Arrivals {
		all += d.Arrivals[i].Kind.WorthOf(d.Arrivals[i].Prompt)
	}
	for n, e := range passes.SimulateArrivals(&d.Load, rules, kept).Responses {
		a := &kept[n]
		ends[index[n]] = e.Outcome(a.Kind)
		sum += got(a.Kind, a.Prompt, ends[index[n]])
	}
	return sum / max(all, 1e-9), ends
}

// dropShare is the part of the requests that were not in time which one try turns away, or takes back.
const dropShare = 0.15

// drop turns some requests away that were not in time, and takes some back that were turned away.
func (d *Trace) drop(dropped []bool, ends []passes.Outcome, rng *rand.Rand) []bool {
	next := slices.Clone(dropped)
	for i := range next {
		if ends[i] != passes.InTime && rng.Float64() < dropShare {
			next[i] = !next[i]
		}
	}
	return next
}

// varied changes one of the rules.
func varied(r span.Rules, rng *rand.Rand) span.Rules {
	by := math.Exp2(rng.Float64()*2 - 1)
	switch rng.IntN(4) {
	case 0:
		r.PartRead *= by
	case 1:
		r.PackedStreams = max(1, int(float64(r.PackedStreams)*by))
	case 2:
		r.MaxShortRead *= by
	default:
		r.InterleavedFraction = min(0.9, r.InterleavedFraction*by)
	}
	return r
}
