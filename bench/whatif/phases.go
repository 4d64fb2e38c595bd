package whatif

import (
	"fmt"
	"io"
	"text/tabwriter"

	"snipeshift.example/bench/passes"
	"snipeshift.example/lib/clock"
	"snipeshift.example/lib/decide"
)

// Phase is one interval of the arrivals with its results, as fractions of the value of its requests
// if all had been in time.
type Phase struct {
	// From is the start of the interval, measured from the first arrival.
	From     clock.Milli
	Requests int
	// Logged is the result in the logs, Simulated that of the simulation, BestFound that of the
	// best simulation of a search; zero if there was no search.
	Logged, Simulated, BestFound float64
	// maxWorth and maxLoggedWorth are the values of the simulated and of the logged requests if
	// all had been in time.
	maxWorth, maxLoggedWorth float64
}

// Phases divides the arrivals, of which there must be at least one, into intervals of the given
// length. r is the result of a simulation, found the outcomes in the best simulation of a search;
// nil for no search.
func (t *Trace) Phases(r *passes.Result, found []passes.Outcome, length clock.Milli) []Phase {
	last := t.Logged[len(t.Logged)-1].Arrived.Sub(t.Logged[0].Arrived).Milliseconds()
	if n := len(t.Arrivals); n > 0 {
		last = max(last, int64(t.Arrivals[n-1].At))
	}
	phases := make([]Phase, last/int64(length)+1)
	for i := range phases {
		phases[i].From = clock.Milli(i) * length
	}
	kinds := map[clock.Milli]*passes.Kind{}
	for i := range t.Load.Kinds {
		kinds[t.Load.Kinds[i].Aim] = &t.Load.Kinds[i]
	}
	for i := range t.Logged {
		q := &t.Logged[i]
		at := clock.Of(q.Arrived.Sub(t.Logged[0].Arrived))
		p := &phases[at/length]
		k, resp := kinds[*q.Aim], q.response()
		p.maxLoggedWorth += k.WorthOf(tokenCount(q.Prompt))
		p.Logged += worthOf(k, tokenCount(q.Prompt), resp.Outcome(k))
	}
	for i := range t.Arrivals {
		a := &t.Arrivals[i]
		p := &phases[clock.Milli(a.At)/length]
		p.Requests++
		p.maxWorth += a.Kind.WorthOf(a.Prompt)
		p.Simulated += worthOf(a.Kind, a.Prompt, r.Responses[i].Outcome(a.Kind))
		if found != nil {
			p.BestFound += worthOf(a.Kind, a.Prompt, found[i])
		}
	}
	for i := range phases {
		p := &phases[i]
		p.Logged /= max(p.maxLoggedWorth, 1e-9)
		p.Simulated /= max(p.maxWorth, 1e-9)
		p.BestFound /= max(p.maxWorth, 1e-9)
	}
	return phases
}

// worthOf returns the value of a response with the given outcome.
func worthOf(k *passes.Kind, prompt decide.Tokens, o passes.Outcome) float64 {
	switch o {
	case passes.InTime:
		return k.WorthOf(prompt)
	case passes.Late:
		return passes.LateFraction * k.WorthOf(prompt)
	default:
		return 0
	}
}

// PrintPhases writes a table of the phases that have arrivals.
func PrintPhases(out io.Writer, phases []Phase) {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(w, "from s\trequests\tlogged\tsimulated\tsearch\tsimulated/search\t")
	for i := range phases {
		p := &phases[i]
		if p.Requests == 0 {
			continue
		}
		search, share := "-", "-"
		if p.BestFound > 0 {
			search, share = fmt.Sprintf("%.3f", p.BestFound), fmt.Sprintf("%.3f", p.Simulated/p.BestFound)
		}
		fmt.Fprintf(w, "%.1f\t%d\t%.3f\t%.3f\t%s\t%s\t\n", p.From.Duration().Seconds(), p.Requests, p.Logged, p.Simulated, search, share)
	}
	_ = w.Flush() // an error of the terminal can't be reported anywhere else
}
