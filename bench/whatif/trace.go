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

// tokenCount converts a number in a log to a count of tokens.
func tokenCount(n int64) decide.Tokens { return decide.Tokens(n) }

// Change is what differs in a simulation from the logged requests and engines.
type Change struct {
	// Engines is the number of engines; zero for the number in the logs.
	Engines int
	// Mix holds factors on the number of requests, by their aims.
	Mix map[clock.Milli]float64
	// Seed determines which requests of a changed mix arrive, and when.
	Seed uint64
	// Worth is the value of a response in time, by aim; 1 for aims not listed.
	Worth map[clock.Milli]float64
}

// Trace holds the logged requests of one service with inference engines, prepared for the
// simulation.
type Trace struct {
	Service route.ServiceID
	Load    passes.Load
	// Logged are the requests as logged. Arrivals are the same requests for the simulation, as
	// altered by a Change.
	Logged   []Request
	Arrivals []passes.Arrival
	// EndedBeforePlacement is the number of requests that were answered before a placement was
	// requested.
	EndedBeforePlacement int
}

// Traces returns one Trace for each service in a log that has inference engines and requests.
func Traces(l *Log, c Change) ([]Trace, error) {
	var out []Trace
	for _, s := range slices.Sorted(maps.Keys(l.Engines)) {
		d, err := newTrace(l, s, c)
		if err != nil {
			return nil, err
		}
		if len(d.Logged) > 0 {
			out = append(out, d)
		}
	}
	if len(out) == 0 {
		return nil, Class.New("no request to a service with engines reached its placement: nothing to simulate")
	}
	return out, nil
}

func newTrace(l *Log, s route.ServiceID, c Change) (Trace, error) {
	t := Trace{Service: s, Load: passes.Load{Engines: cmp.Or(c.Engines, l.Upstreams[s]), Engine: l.Engines[s]}}
	if t.Load.Engines == 0 {
		return t, Class.New("the logs do not show how many engines service %s has: set --engines", s)
	}
	for _, r := range l.Requests {
		switch {
		case r.Service != s || r.Prompt == 0:
		case r.Placed == 0 && r.Reason == "" && r.Sends == "":
			t.EndedBeforePlacement++
		default:
			t.Logged = append(t.Logged, r)
		}
	}
	if len(t.Logged) == 0 {
		return t, nil
	}
	kinds := kindsOf(t.Logged, c.Worth)
	rng := rand.New(rand.NewPCG(c.Seed, 5))
	from := t.Logged[0].Arrived
	for i := range t.Logged {
		r := &t.Logged[i]
		a := arrival(r, kinds[*r.Aim], l.Engines[s].Stride)
		a.At = float64(clock.Of(r.Arrived.Sub(from)))
		for range copies(c.Mix, *r.Aim, rng) {
			t.Arrivals = append(t.Arrivals, a)
			a.At += maxCopyGap * rng.Float64()
		}
		t.Load.Length = max(t.Load.Length, a.At)
	}
	slices.SortStableFunc(t.Arrivals, func(x, y passes.Arrival) int { return cmp.Compare(x.At, y.At) })
	for _, aim := range slices.Sorted(maps.Keys(kinds)) {
		t.Load.Kinds = append(t.Load.Kinds, *kinds[aim])
	}
	return t, nil
}

// maxCopyGap is the longest time in milliseconds between two successive copies of a request in a
// changed mix.
const maxCopyGap = 200

// copies returns how many times a request with that aim arrives in a changed mix.
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

// kindsOf groups requests into kinds by their aims alone, as requests of one kind arrive on many
// routes.
func kindsOf(rs []Request, worth map[clock.Milli]float64) map[clock.Milli]*passes.Kind {
	kinds := map[clock.Milli]*passes.Kind{}
	counts, completeCounts := map[clock.Milli]float64{}, map[clock.Milli]float64{}
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
		if r.complete() {
			completeCounts[*r.Aim]++
			k.MeanEvents += float64(r.Events)
		}
	}
	for aim, k := range kinds {
		k.MeanPrompt /= counts[aim]
		if completeCounts[aim] > 0 {
			k.MeanEvents /= completeCounts[aim]
		}
	}
	return kinds
}

// arrival converts a logged request for the simulation. The full length of an incomplete response
// is unknown, so it is taken to be the mean of its kind, within the token limit of the request.
func arrival(r *Request, k *passes.Kind, stride int) passes.Arrival {
	a := passes.Arrival{Kind: k, Prompt: tokenCount(r.Prompt), Events: r.Events, Output: tokenCount(r.Output), TimeLimit: r.Due, Urgency: decide.Urgency(r.Urgency)}
	if !r.complete() {
		a.Events = int(k.MeanEvents)
		if r.Output > 0 && stride > 0 {
			a.Events = min(a.Events, int(r.Output)/stride)
		}
	}
	a.Events = max(a.Events, 1)
	return a
}

// complete reports whether the client received the complete response.
func (r *Request) complete() bool { return r.Outcome == "ok" && r.First > 0 }

// response returns the outcome of a logged request in the form of the simulation.
func (r *Request) response() passes.Response {
	resp := passes.Response{First: float64(r.First), Pause: float64(r.Pause), Complete: r.complete()}
	if !resp.Complete && r.Sends == "" {
		resp.RefusalReason = r.Reason
	}
	return resp
}

// Simulate runs the arrivals under the scheduling decisions with the given rules.
func (t *Trace) Simulate(rules span.Rules) passes.Result {
	return passes.SimulateArrivals(&t.Load, rules, t.Arrivals)
}
