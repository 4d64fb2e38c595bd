package whatif

import (
	"cmp"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"

	"snipeshift.example/bench/passes"
	"snipeshift.example/lib/clock"
	"snipeshift.example/lib/decide"
	"snipeshift.example/lib/decide/span"
	"snipeshift.example/lib/route"
)

// tokens makes a count of a log's number.
func tokens(n int64) decide.Tokens { return decide.Tokens(n) }

// Change is what differs from the day that was.
type Change struct {
	// Engines is how many there are; zero for as many as were.
	Engines int
	// Mix multiplies the requests of kinds, by their aims.
	Mix map[clock.Milli]float64
	// Seed draws which requests of a changed mix come, and when.
	Seed uint64
	// Worth is what an answer in time is worth, by aim; one for kinds that are not named.
	Worth map[clock.Milli]float64
}

// Trace is the requests of one service with engines, ready for the model.
type Trace struct {
	Service route.ServiceID
	Load    passes.Load
	// Logged are the requests as they were served, Arrivals the same ones, unless a Change made them others.
	Logged   []Request
	Arrivals []passes.Arrival
	// EndedBeforePlacement counts requests that were answered before they asked for a place.
	EndedBeforePlacement int
}

// Traces returns a day for each service of a log that has engines.
func Traces(l *Log, c Change) ([]Trace, error) {
	var out []Trace
	for _, s := range slices.Sorted(maps.Keys(l.Engines)) {
		d, err := day(l, s, c)
		if err != nil {
			return nil, err
		}
		if len(d.Logged) > 0 {
			out = append(out, d)
		}
	}
	if len(out) == 0 {
		return nil, Class.New("no request of a service with engines asked for a place")
	}
	return out, nil
}

func day(l *Log, s route.ServiceID, c Change) (Trace, error) {
	d := Trace{Service: s, Load: passes.Load{Engines: cmp.Or(c.Engines, l.Upstreams[s]), Engine: l.Engines[s]}}
	if d.Load.Engines == 0 {
		return d, Class.New("the log does not tell how many engines %s has; say so", s)
	}
	for _, r := range l.Requests {
		switch {
		case r.Service != s || r.Prompt == 0:
		case r.Placed == 0 && r.Reason == "" && r.Sends == "":
			d.EndedBeforePlacement++
		default:
			d.Logged = append(d.Logged, r)
		}
	}
	if len(d.Logged) == 0 {
		return d, nil
	}
	kinds := kindsOf(d.Logged, c.Worth)
	rng := rand.New(rand.NewPCG(c.Seed, 5))
	from := d.Logged[0].Arrived
	for i := range d.Logged {
		r := &d.Logged[i]
		a := arrival(r, kinds[*r.Aim], l.Engines[s].Stride)
		a.At = float64(clock.Of(r.Arrived.Sub(from)))
		for range copies(c.Mix, *r.Aim, rng) {
			d.Arrivals = append(d.Arrivals, a)
			a.At += copyApart * rng.Float64()
		}
		d.Load.Length = max(d.Load.Length, a.At)
	}
	slices.SortStableFunc(d.Arrivals, func(x, y passes.Arrival) int { return cmp.Compare(x.At, y.At) })
	for _, aim := range slices.Sorted(maps.Keys(kinds)) {
		d.Load.Kinds = append(d.Load.Kinds, *kinds[aim])
	}
	return d, nil
}

// copyApart is how far apart in milliseconds the copies of one request come at most.
const copyApart = 200

// copies is how often a request of a kind comes in a changed mix.
func copies(mix map[clock.Milli]float64, aim clock.Milli, rng *rand.Rand) int {
	f, changed := mix[aim]
	if !changed {
		return 1
	}
	n := int(f)
	if rng.Float64() < f-float64(n) {
		n++
	}
	return n
}

// kindsOf groups requests by their aims: requests of one kind have many routes.
func kindsOf(rs []Request, worth map[clock.Milli]float64) map[clock.Milli]*passes.Kind {
	kinds := map[clock.Milli]*passes.Kind{}
	counts, whole := map[clock.Milli]float64{}, map[clock.Milli]float64{}
	for i := range rs {
		r := &rs[i]
		k := kinds[*r.Aim]
		if k == nil {
			k = &passes.Kind{Name: fmt.Sprintf("aim%d", *r.Aim), Aim: *r.Aim, Gap: r.Gap, Worth: 1}
			if w, ok := worth[*r.Aim]; ok {
				k.Worth = w
			}
			kinds[*r.Aim] = k
		}
		counts[*r.Aim]++
		k.MeanPrompt += float64(r.Prompt)
		if r.whole() {
			whole[*r.Aim]++
			k.MeanEvents += float64(r.Events)
		}
	}
	for aim, k := range kinds {
		k.MeanPrompt /= counts[aim]
		if whole[aim] > 0 {
			k.MeanEvents /= whole[aim]
		}
	}
	return kinds
}

// arrival is a request for the model. How long an answer would have been that was not whole nobody knows: it has the mean of its kind.
func arrival(r *Request, k *passes.Kind, stride int) passes.Arrival {
	a := passes.Arrival{Kind: k, Prompt: tokens(r.Prompt), Events: r.Events, Output: tokens(r.Output), TimeLimit: r.Due, Urgency: decide.Urgency(r.Urgency)}
	if !r.whole() {
		a.Events = int(k.MeanEvents)
		if r.Output > 0 && stride > 0 {
			a.Events = min(a.Events, int(r.Output)/stride)
		}
	}
	a.Events = max(a.Events, 1)
	return a
}

// whole reports whether the caller got the whole answer.
func (r *Request) whole() bool { return r.Outcome == "ok" && r.First > 0 }

// ended is how the request ended, in the terms of the model.
func (r *Request) ended() passes.Response {
	e := passes.Response{First: float64(r.First), Pause: float64(r.Pause), Complete: r.whole()}
	if !e.Complete && r.Sends == "" {
		e.RefusalReason = r.Reason
	}
	return e
}

// Simulate plays a day through the decisions by rules.
func (d *Trace) Simulate(rules span.Rules) passes.Result {
	return passes.SimulateArrivals(&d.Load, rules, d.Arrivals)
}
