package fleet

import (
	"math"

	"snipeshift.example/lib/clock"
	"snipeshift.example/lib/decide/balance"
)

// Policy is a way in which a decider chooses an upstream.
type Policy string

// The policies that are compared.
const (
	// Least chooses the least known load: the last report and what was sent and ended since.
	Least Policy = "least"
	// Two chooses the lesser known load of two random upstreams.
	Two Policy = "two"
	// Aged chooses the least estimate that takes the age of the report into account.
	Aged Policy = "aged"
	// Interpret draws an upstream by the shares of lib/decide/balance.
	Interpret Policy = "interpret"
	// Balanced chooses as lib/decide/balance does without ranks: by these shares, and own requests are
	// spread first.
	Balanced Policy = "balanced"
	// Announced divides all slots between the deciders; each uses its own.
	Announced Policy = "shares"
	// Subset divides the slots as Announced does. What does not fit in the decider's own slots is placed
	// as Balanced does.
	Subset Policy = "subset"
	// Ranked chooses as lib/decide/balance does with ranks: as Balanced, but of the upstreams with the
	// fewest own requests it takes the first one from the decider's place on.
	Ranked Policy = "ranked"
	// JoinIdle uses the slots that upstreams have announced, else a random upstream. It needs a
	// message for each request.
	JoinIdle Policy = "join-idle"
	// Oracle knows the load of all upstreams.
	Oracle Policy = "oracle"
)

// Policies lists all policies.
var Policies = []Policy{Least, Two, Aged, Interpret, Balanced, Announced, Subset, Ranked, JoinIdle, Oracle}

// choose returns the upstream for the next request of a decider.
func (s *deciderSimulation) choose(d int) int {
	switch s.load.Policy {
	case Two:
		i, j := s.choices.IntN(len(s.upstreams)), s.choices.IntN(len(s.upstreams))
		if s.known(d, i) <= s.known(d, j) {
			return i
		}
		return j
	case Aged:
		cs := s.candidates(d)
		remaining, arrived := balance.Remaining(clock.Milli(s.now), serviceTime, cs)
		return s.least(func(i int) float64 {
			return s.upstreams[i].level(remaining[i] + arrived/float64(len(cs)))
		})
	case Interpret:
		return balance.Draw(balance.Allocation(clock.Milli(s.now), serviceTime, s.candidates(d)), s.choices.Float64())
	case Balanced:
		return balance.Choose(clock.Milli(s.now), serviceTime, s.candidates(d), s.choices.Float64())
	case Announced:
		return s.chooseShare(d)
	case Subset:
		if i, ok := s.ownSlot(d); ok {
			return i
		}
		return balance.Choose(clock.Milli(s.now), serviceTime, s.candidates(d), s.choices.Float64())
	case Ranked:
		return balance.ChooseRanked(clock.Milli(s.now), serviceTime, s.candidates(d), d, s.choices.Float64())
	case JoinIdle:
		if t := s.tokens[d]; len(t) > 0 {
			s.tokens[d] = t[1:]
			return t[0]
		}
		return s.choices.IntN(len(s.upstreams))
	case Oracle:
		return s.least(func(i int) float64 { return s.upstreams[i].level(float64(s.upstreams[i].load())) })
	default:
		return s.least(func(i int) float64 { return s.known(d, i) })
	}
}

// least returns the upstream with the least value, a random one of several.
func (s *deciderSimulation) least(value func(i int) float64) int {
	best, lowest, equal := 0, math.Inf(1), 0
	for i := range s.upstreams {
		v := value(i)
		if v < lowest {
			best, lowest, equal = i, v, 0
		}
		if v == lowest {
			equal++
			if s.choices.IntN(equal) == 0 {
				best = i
			}
		}
	}
	return best
}

// level returns a load relative to the slots; a queue counts by the time that it takes.
func (u *simUpstream) level(load float64) float64 {
	l := load / float64(u.slots)
	if l <= 1 {
		return l
	}
	return 1 + (l-1)*u.pace
}

// known returns the level of an upstream as a decider knows it.
func (s *deciderSimulation) known(d, i int) float64 {
	v := &s.views[d][i]
	return s.upstreams[i].level(float64(max(0, v.reported+v.live(s.now)-v.live(v.reportedAt))))
}

// candidates describes all upstreams to lib/decide/balance.
func (s *deciderSimulation) candidates(d int) []balance.Candidate {
	cs := make([]balance.Candidate, len(s.upstreams))
	for i, u := range s.upstreams {
		v := &s.views[d][i]
		cs[i] = balance.Candidate{Record: v.record, Slots: u.slots, Pace: u.pace, Own: v.live(s.now)}
	}
	return cs
}

// chooseShare returns the upstream whose share is used least. The slots of all upstreams are dealt
// to the deciders in turn, in blocks.
func (s *deciderSimulation) chooseShare(d int) int {
	slots := s.load.Upstreams * s.load.Slots
	from, to := d*slots/s.load.Deciders, (d+1)*slots/s.load.Deciders
	return s.least(func(i int) float64 {
		first, last := max(from, i*s.load.Slots), min(to, (i+1)*s.load.Slots)
		if last <= first {
			return math.Inf(1)
		}
		return float64(s.views[d][i].live(s.now)) / float64(last-first)
	})
}

// ownSlot returns an upstream at which the decider has a free slot of its own.
func (s *deciderSimulation) ownSlot(d int) (int, bool) {
	slots := s.load.Upstreams * s.load.Slots
	from, to := d*slots/s.load.Deciders, (d+1)*slots/s.load.Deciders
	best, most := 0, 0
	for i := range s.upstreams {
		own := min(to, (i+1)*s.load.Slots) - max(from, i*s.load.Slots)
		if free := own - s.views[d][i].live(s.now); own > 0 && free > most {
			best, most = i, free
		}
	}
	return best, most > 0
}
