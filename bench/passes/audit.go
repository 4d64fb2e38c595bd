package passes

import (
	"snipeshift.example/lib/clock"
	"snipeshift.example/lib/decide/span"
)

// Audit compares the refusals of one simulation with an oracle. For each refused request the oracle
// repeats the simulation, with the same arrivals and running times, and keeps this request in the
// queue for as long as it takes.
type Audit struct {
	Requests, Refused int
	// Sampled is the number of refused requests for which the simulation was repeated. Wrong is how
	// many of these would have been served before their clients give up.
	Sampled, Wrong int
	// Useless is the number of requests that were refused only after they had been queued for longer
	// than uselessWait.
	Useless int
}

// uselessWait is the time in milliseconds from the arrival within which a request that can't be
// served must be refused: one scan of the queue.
const uselessWait = tickPeriod

// unlimited is a time limit in milliseconds that no simulation reaches.
const unlimited clock.Milli = 1_000_000

// AuditLoad audits one simulation, with at most this many repetitions.
func AuditLoad(l *Load, r span.Rules, seed uint64, repetitions int) Audit {
	as := Draw(l, seed)
	result := SimulateArrivals(l, r, as)
	a := Audit{Requests: len(as)}
	var refused []int
	for i := range result.Responses {
		if result.Responses[i].RefusalReason == "" {
			continue
		}
		refused = append(refused, i)
		if result.Responses[i].Queued > uselessWait {
			a.Useless++
		}
	}
	a.Refused = len(refused)
	step := max(1, (len(refused)+repetitions-1)/max(repetitions, 1))
	for n := 0; n < len(refused); n += step {
		a.Sampled++
		if servedIfKept(l, r, as, refused[n]) {
			a.Wrong++
		}
	}
	return a
}

// servedIfKept reports whether the request would have been of use to its client if it had not been
// refused.
func servedIfKept(l *Load, r span.Rules, as []Arrival, i int) bool {
	limit := as[i].TimeLimit
	as[i].TimeLimit, as[i].Kept = unlimited, true
	defer func() { as[i].TimeLimit, as[i].Kept = limit, false }()
	response := SimulateArrivals(l, r, as).Responses[i]
	return response.Outcome(as[i].Kind) != Lost
}

// WrongRate returns the estimated share of all requests that were wrongly refused.
func (a *Audit) WrongRate() float64 {
	return float64(a.Wrong) / float64(max(a.Sampled, 1)) * float64(a.Refused) / float64(max(a.Requests, 1))
}

// UselessRate returns the share of all requests that were uselessly queued.
func (a *Audit) UselessRate() float64 { return float64(a.Useless) / float64(max(a.Requests, 1)) }

// Add adds another audit.
func (a *Audit) Add(o Audit) {
	a.Requests += o.Requests
	a.Refused += o.Refused
	a.Sampled += o.Sampled
	a.Wrong += o.Wrong
	a.Useless += o.Useless
}
