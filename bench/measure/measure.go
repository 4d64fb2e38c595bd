// Package measure computes latencies, deadline misses and goodput of one run.
package measure

import (
	"math"
	"slices"

	"snipeshift.example/bench/engine"
	"snipeshift.example/bench/load"
	"snipeshift.example/bench/policy"
)

// Bands are the bands of prompt lengths in the tables.
var Bands = []Band{{"<4k", 4_096}, {"4k-32k", 32_768}, {"32k-100k", 100_000}, {">100k", math.MaxInt64}}

// Band is one range of prompt lengths, from the bound of the previous band up to, but not
// including, Below tokens.
type Band struct {
	Name  string
	Below int64
}

// Quantiles are p50, p95 and p99.
type Quantiles struct{ P50, P95, P99 float64 }

// Result is the outcome of one run for its clients. Times are milliseconds.
type Result struct {
	// FirstToken is the time to first token by band. A request without a first token counts with
	// the time until its deadline.
	FirstToken [4]Quantiles
	// UrgentFirstToken is the time to first token of requests of urgent kinds (urgency 0).
	UrgentFirstToken Quantiles
	// Slowdown is the total time of urgent requests divided by the time on an idle engine,
	// FirstTokenSlowdown the same for the time to first token.
	Slowdown, FirstTokenSlowdown Quantiles
	// Requests, InTime, Refused and Missed count requests; Missed are those admitted that did not
	// end by their deadline.
	Requests, InTime, Refused, Missed int
	// Long, LongInTime and LongAdmitted count requests with long prompts: all, those in time, and
	// those not refused.
	Long, LongInTime, LongAdmitted int
	// Goodput is the tokens of requests that ended by their deadline within the measured window,
	// divided by the tokens that a load factor of 1 offers in the window.
	Goodput float64
	// WastedPrefill is the fraction of all prefilled tokens that belongs to requests which did not
	// end in time.
	WastedPrefill float64
	// GoodputShares is each workspace's fraction of all tokens served in time, ServedFractions the
	// fraction of the tokens offered by the workspace that was served in time.
	GoodputShares, ServedFractions []float64
}

// Evaluate computes the result for the window between from and to. Requests that arrived before
// from count only toward Goodput. Work that ends after to is no goodput: otherwise an overloaded
// policy would be credited with work that it completes after the load has ended.
func Evaluate(d *load.Deployment, requests []*load.Request, from, to float64) Result {
	c := collector{d: d, from: from, to: to, served: make([]int64, d.Workspaces), offered: make([]int64, d.Workspaces)}
	for _, q := range requests {
		if q.Arrived >= from {
			c.add(q)
		}
		if q.Done >= from && q.Done <= min(to, q.Deadline) {
			c.goodTokens += q.Prompt + q.Output
		}
	}
	return c.result()
}

type collector struct {
	d                                           *load.Deployment
	r                                           Result
	firstTimes                                  [4][]float64
	urgentFirstTimes, slowdowns, firstSlowdowns []float64
	prefilled, wasted                           float64
	served, offered                             []int64
	from, to                                    float64
	goodTokens                                  int64
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
	c.addLatencies(q)
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

// addLatencies records the latencies of an admitted request; a missing instant counts as the
// deadline.
func (c *collector) addLatencies(q *load.Request) {
	first, done := q.FirstToken, q.Done
	if first < 0 {
		first = q.Deadline
	}
	if done < 0 {
		done = q.Deadline
	}
	i := band(q.Prompt)
	c.firstTimes[i] = append(c.firstTimes[i], first-q.Arrived)
	if q.Kind.Urgency > 0 {
		return
	}
	c.urgentFirstTimes = append(c.urgentFirstTimes, first-q.Arrived)
	idleFirst, idleTotal := engine.TimesOnIdle(c.d.Engine, q.Prompt, q.Cached, q.Output)
	idleFirst, idleTotal = idleFirst+policy.RoundTrip, idleTotal+policy.RoundTrip
	c.slowdowns = append(c.slowdowns, (done-q.Arrived)/idleTotal)
	c.firstSlowdowns = append(c.firstSlowdowns, (first-q.Arrived)/idleFirst)
}

// band returns the index of the band of a prompt length.
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
	for i := range c.firstTimes {
		r.FirstToken[i] = quantiles(c.firstTimes[i])
	}
	r.UrgentFirstToken = quantiles(c.urgentFirstTimes)
	r.Slowdown = quantiles(c.slowdowns)
	r.FirstTokenSlowdown = quantiles(c.firstSlowdowns)
	r.Goodput = float64(c.goodTokens) / (c.d.Rate() * c.d.MeanPrompt() * (c.to - c.from))
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
