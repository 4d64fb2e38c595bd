package whatif

import (
	"cmp"
	"math"
	"math/rand/v2"
	"slices"

	"snipeshift.example/bench/passes"
	"snipeshift.example/lib/decide/span"
)

// timeStep is the length in milliseconds of the time steps of the upper bound. Windows are extended
// to whole steps, so longer steps can only raise the bound.
const timeStep = 100.0

// demand is engine time that a request takes within a window of time steps.
type demand struct {
	first, last int // the first and the last step of the window
	// cost is the engine time in milliseconds, worth the value of the request for all of it.
	cost, worth float64
}

// UpperBound returns an upper bound on the fraction of the value that any scheduler can reach on the
// engines, even one that knows all arrivals in advance. It assumes that all engines work as one,
// that work can be split at will, and that memory and slots are never the limit; a request is out
// of reach only if its prompt is too long for the most engines that may prefill it. The bound is
// the lower of two such relaxations.
//
// In the first, a request is in time if its prefill is complete by its aim. In the second, it earns
// a part of its value for the prefill done by its aim, and the rest for the decoding done by the
// end of the longest pauses that it tolerates, each in proportion to the work done. All other value
// counts as that of late responses.
func (t *Trace) UpperBound() float64 {
	all := 0.0
	for i := range t.Arrivals {
		all += t.Arrivals[i].Kind.WorthOf(t.Arrivals[i].Prompt)
	}
	inTime := min(t.relaxedBound(false), t.relaxedBound(true))
	return (inTime + passes.LateFraction*(all-inTime)) / max(all, 1e-9)
}

// maxPrefillEngines is the most engines that prefill one prompt: the leader, which produces the
// response, and the helpers that its request lists.
const maxPrefillEngines = 17

// demands returns the engine time that a request takes: its prefill and, if withDecode is set, its
// decoding, each with its part of the value. It returns none if the prefill can't be complete by
// the aim.
func (t *Trace) demands(a *passes.Arrival, withDecode bool) []demand {
	e := &t.Load.Engine
	aim := float64(a.Kind.Aim)
	prefill := demand{first: int(a.At / timeStep), last: int((a.At + aim) / timeStep), cost: e.PrefillTime(a.Prompt), worth: a.Kind.WorthOf(a.Prompt)}
	switch n := float64(a.Events - 1); {
	case prefill.cost > aim*float64(min(maxPrefillEngines, t.Load.Engines)):
		return nil
	case !withDecode || n <= 0:
		return []demand{prefill}
	default:
		// The cheapest event is one on a full engine, where all streams share the base time of a step.
		step := e.Step/float64(max(e.Slots, 1)) + e.Writer
		decode := demand{first: prefill.first, last: int((a.At + aim + n*float64(a.Kind.Gap)) / timeStep), cost: n * step * float64(e.Stride)}
		decode.worth = prefill.worth * decode.cost / (prefill.cost + decode.cost)
		prefill.worth -= decode.worth
		return []demand{prefill, decode}
	}
}

// relaxedBound returns the value that is earned in time in one of the two relaxations. The amounts
// of each demand that can be served within their windows form a polymatroid, on which the greedy
// choice by value per cost is optimal.
func (t *Trace) relaxedBound(withDecode bool) float64 {
	var demands []demand
	steps := 0
	for i := range t.Arrivals {
		for _, d := range t.demands(&t.Arrivals[i], withDecode) {
			demands = append(demands, d)
			steps = max(steps, d.last+1)
		}
	}
	slices.SortStableFunc(demands, func(x, y demand) int { return cmp.Compare(y.worth*x.cost, x.worth*y.cost) })
	capacity := newWindowCapacity(steps, float64(t.Load.Engines)*timeStep)
	sum := 0.0
	for _, d := range demands {
		sum += d.worth * capacity.add(d) / max(d.cost, 1e-9)
	}
	return sum
}

// windowCapacity is the engine time that is left for demands, by window. For the steps a to b,
// left[a*steps+b] is what remains for demands whose windows lie within these steps.
type windowCapacity struct {
	steps int
	left  []float64
}

func newWindowCapacity(steps int, capacity float64) *windowCapacity {
	c := &windowCapacity{steps: steps, left: make([]float64, steps*steps)}
	for a := range steps {
		for b := a; b < steps; b++ {
			c.left[a*steps+b] = capacity * float64(b-a+1)
		}
	}
	return c
}

// add serves as much of a demand as the remaining capacity allows and returns that amount.
func (c *windowCapacity) add(d demand) float64 {
	done := d.cost
	for a := range d.first + 1 {
		done = min(done, slices.Min(c.left[a*c.steps+d.last:(a+1)*c.steps]))
	}
	done = max(done, 0)
	if done == 0 {
		return 0
	}
	for a := range d.first + 1 {
		row := c.left[a*c.steps+d.last : (a+1)*c.steps]
		for i := range row {
			row[i] -= done
		}
	}
	return done
}

// Search looks for the best schedule on the same engines and returns its fraction of the value and
// the outcome of each request in it. Each try is a simulation in which one of the rules is changed,
// or some requests are refused at once, given how they ended in the best simulation so far. Each
// result comes from a simulation, so unlike the upper bound it can be reached.
func (t *Trace) Search(tries int, seed uint64) (float64, []passes.Outcome) {
	rules := span.DefaultRules
	best, outcomes := t.simulateSubset(rules, nil)
	rng := rand.New(rand.NewPCG(seed, 6))
	dropped := make([]bool, len(t.Arrivals))
	for try := range tries {
		if try%4 == 3 {
			r := varyRule(rules, rng)
			if share, triedOutcomes := t.simulateSubset(r, dropped); share > best {
				best, outcomes, rules = share, triedOutcomes, r
			}
			continue
		}
		next := t.toggleDropped(dropped, outcomes, rng)
		if share, triedOutcomes := t.simulateSubset(rules, next); share > best {
			best, outcomes, dropped = share, triedOutcomes, next
		}
	}
	return best, outcomes
}

// simulateSubset simulates the requests that are not dropped and returns the fraction of the value
// of all requests, and how each of them ended.
func (t *Trace) simulateSubset(rules span.Rules, dropped []bool) (float64, []passes.Outcome) {
	var simulated []passes.Arrival
	var index []int
	for i := range t.Arrivals {
		if dropped == nil || !dropped[i] {
			simulated, index = append(simulated, t.Arrivals[i]), append(index, i)
		}
	}
	outcomes := make([]passes.Outcome, len(t.Arrivals))
	for i := range outcomes {
		outcomes[i] = passes.Lost
	}
	sum, all := 0.0, 0.0
	for i := range t.Arrivals {
		all += t.Arrivals[i].Kind.WorthOf(t.Arrivals[i].Prompt)
	}
	for n, resp := range passes.SimulateArrivals(&t.Load, rules, simulated).Responses {
		a := &simulated[n]
		outcomes[index[n]] = resp.Outcome(a.Kind)
		sum += worthOf(a.Kind, a.Prompt, outcomes[index[n]])
	}
	return sum / max(all, 1e-9), outcomes
}

// toggleChance is the probability with which one try drops a request that was not in time, or
// restores a dropped one.
const toggleChance = 0.15

// toggleDropped drops some of the requests that were not in time, and restores some of the dropped
// ones.
func (t *Trace) toggleDropped(dropped []bool, outcomes []passes.Outcome, rng *rand.Rand) []bool {
	next := slices.Clone(dropped)
	for i := range next {
		if outcomes[i] != passes.InTime && rng.Float64() < toggleChance {
			next[i] = !next[i]
		}
	}
	return next
}

// varyRule changes one of the rules by a random factor between 0.5 and 2.
func varyRule(r span.Rules, rng *rand.Rand) span.Rules {
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
