// Package measure works out what callers saw in one run.
package measure

import (
	"math"
	"slices"

	"snipeshift.example/bench/engine"
	"snipeshift.example/bench/load"
	"snipeshift.example/bench/policy"
)

// Bands are the prompt-length bands of the tables: up to each bound.
var Bands = []Band{{"<4k", 4_096}, {"4k-32k", 32_768}, {"32k-100k", 100_000}, {">100k", math.MaxInt64}}

// Band is one range of prompt lengths.
type Band struct {
	Name  string
	Below int64
}

// Quantiles are p50, p95 and p99.
type Quantiles struct{ P50, P95, P99 float64 }

// Result is what callers of one run saw. Times are milliseconds.
type Result struct {
	// FirstToken is the time to first token by band; a request that never got
	// one counts with the time until its caller gave up.
	FirstToken [4]Quantiles
	// UrgentFirstToken is the time to first token of urgent kinds.
	UrgentFirstToken Quantiles
	// Slowdown is the time to the whole answer of urgent requests over that on an
	// idle engine, FirstTokenSlowdown the same for the first token.
	Slowdown, FirstTokenSlowdown Quantiles
	// Requests, InTime, Refused and Missed count; Missed were admitted.
	Requests, InTime, Refused, Missed int
	// Long requests, the same; LongAdmitted leaves out the refused.
	Long, LongInTime, LongAdmitted int
	// Goodput is the tokens of requests that ended in time within the window, over
	// what a load of one offers in it.
	Goodput float64
	// WastedPrefill is tokens prefilled for requests that did not end in time, over all prefilled.
	WastedPrefill float64
	// GoodputShares is each workspace's part of the goodput, Kept the part of its own
	// offered tokens that was served in time.
	GoodputShares, ServedFractions []float64
}

// Evaluate works out the result; requests that came before from are left out. Work that ends
// after the arrivals do is no goodput: an overloaded policy could else count
// what it does once the load is gone.
func Evaluate(d *load.Deployment, requests []*load.Request, from, to float64) Result {
	c := collector{d: d, from: from, to: to, served: make([]int64, d.Workspaces), offered: make([]int64, d.Workspaces)}
	for _, q := range requests {
		if q.Arrived >= from {
			c.add(q)
		}
		if q.Done >= from && q.Done <= min(to, q.Deadline) {
			c.good += q.Prompt + q.Output
		}
	}
	return c.result()
}

type collector struct {
	d                 *load.Deployment
	r                 Result
	first             [4][]float64
	urgent, slow, ttf []float64
	prefilled, wasted float64
	served, offered   []int64
	from, to          float64
	good              int64
}

func (c *collector) add(q *load.Request) {
	r := &c.r
	tokens := q.Prompt + q.Output
	long := q.Prompt >= load.LongPrompt
	inTime := q.Done >= 0 && q.Done <= q.Deadline
	r.Requests++
	c.offered[q.Workspace] += tokens
	c.prefilled += q.Prefilled
	if long {
		r.Long++
	}
	if q.Refused {
		r.Refused++
		return
	}
	if long {
		r.LongAdmitted++
	}
	c.times(q)
	if !inTime {
		r.Missed++
		c.wasted += q.Prefilled
		return
	}
	r.InTime++
	c.served[q.Workspace] += tokens
	if long {
		r.LongInTime++
	}
}

// times collects the waits of an admitted request.
func (c *collector) times(q *load.Request) {
	first, done := q.FirstToken, q.Done
	if first < 0 {
		first = q.Deadline
	}
	if done < 0 {
		done = q.Deadline
	}
	i := band(q.Prompt)
	c.first[i] = append(c.first[i], first-q.Arrived)
	if q.Kind.Urgency > 0 {
		return
	}
	c.urgent = append(c.urgent, first-q.Arrived)
	aloneFirst, alone := engine.TimesOnIdle(c.d.Engine, q.Prompt, q.Cached, q.Output)
	aloneFirst, alone = aloneFirst+policy.RoundTrip, alone+policy.RoundTrip
	c.slow = append(c.slow, (done-q.Arrived)/alone)
	c.ttf = append(c.ttf, (first-q.Arrived)/aloneFirst)
}

func band(prompt int64) int {
	for i, b := range Bands {
		if prompt < b.Below {
			return i
		}
	}
	return len(Bands) - 1
}

func (c *collector) result() Result {
	r := c.r
	for i := range c.first {
		r.FirstToken[i] = quantiles(c.first[i])
	}
	r.UrgentFirstToken = quantiles(c.urgent)
	r.Slowdown = quantiles(c.slow)
	r.FirstTokenSlowdown = quantiles(c.ttf)
	r.Goodput = float64(c.good) / (c.d.Rate() * c.d.MeanPrompt() * (c.to - c.from))
	sum := int64(0)
	for _, s := range c.served {
		sum += s
	}
	r.WastedPrefill = c.wasted / max(c.prefilled, 1)
	for i := range c.served {
		r.GoodputShares = append(r.GoodputShares, float64(c.served[i])/float64(max(sum, 1)))
		r.ServedFractions = append(r.ServedFractions, float64(c.served[i])/float64(max(c.offered[i], 1)))
	}
	return r
}

func quantiles(xs []float64) Quantiles {
	if len(xs) == 0 {
		return Quantiles{}
	}
	slices.Sort(xs)
	at := func(p float64) float64 { return xs[min(int(p*float64(len(xs))), len(xs)-1)] }
	return Quantiles{at(0.50), at(0.95), at(0.99)}
}
