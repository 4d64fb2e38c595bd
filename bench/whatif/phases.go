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
	From  clock.Milli
	Asked int
	// Served is the result in the logs, Modelled that of the simulation, Found that of the best
	// simulation of a search; zero if there was no search.
	Served, Modelled, Found float64
	// maxWorth and maxLoggedWorth are the values of the simulated and of the logged requests if
	// all had been in time.
	maxWorth, maxLoggedWorth float64
}

// Phases divides the arrivals, of which there must be at least one, into intervals of the given
// length. r is the result of a simulation, found the endings in the best simulation of a search;
// nil for no search.
func (d *Day) Phases(r *passes.Result, found []passes.Ending, length clock.Milli) []Phase {
	last := d.Played[len(d.Played)-1].Arrived.Sub(d.Played[0].Arrived).Milliseconds()
	if n := len(d.Arrivals); n > 0 {
		last = max(last, int64(d.Arrivals[n-1].At))
	}
	phases := make([]Phase, last/int64(length)+1)
	for i := range phases {
		phases[i].From = clock.Milli(i) * length
	}
	kinds := map[clock.Milli]*passes.Kind{}
	for i := range d.Load.Kinds {
		kinds[d.Load.Kinds[i].Aim] = &d.Load.Kinds[i]
	}
	for i := range d.Played {
		q := &d.Played[i]
		at := clock.Of(q.Arrived.Sub(d.Played[0].Arrived))
		p := &phases[at/length]
		k, e := kinds[*q.Aim], q.response()
		p.maxLoggedWorth += k.Of(tokenCount(q.Prompt))
		p.Served += worthOf(k, tokenCount(q.Prompt), e.Ending(k))
	}
	for i := range d.Arrivals {
		a := &d.Arrivals[i]
		p := &phases[clock.Milli(a.At)/length]
		p.Asked++
		p.maxWorth += a.Kind.Of(a.Prompt)
		p.Modelled += worthOf(a.Kind, a.Prompt, r.Requests[i].Ending(a.Kind))
		if found != nil {
			p.Found += worthOf(a.Kind, a.Prompt, found[i])
		}
	}
	for i := range phases {
		p := &phases[i]
		p.Served /= max(p.maxLoggedWorth, 1e-9)
		p.Modelled /= max(p.maxWorth, 1e-9)
		p.Found /= max(p.maxWorth, 1e-9)
	}
	return phases
}

// worthOf returns the value of a response with the given ending.
func worthOf(k *passes.Kind, prompt decide.Tokens, e passes.Ending) float64 {
	switch e {
	case passes.InTime:
		return k.Of(prompt)
	case passes.Late:
		return passes.LateShare * k.Of(prompt)
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
		if p.Asked == 0 {
			continue
		}
		search, share := "-", "-"
		if p.Found > 0 {
			search, share = fmt.Sprintf("%.3f", p.Found), fmt.Sprintf("%.3f", p.Modelled/p.Found)
		}
		fmt.Fprintf(w, "%.1f\t%d\t%.3f\t%.3f\t%s\t%s\t\n", p.From.Duration().Seconds(), p.Asked, p.Served, p.Modelled, search, share)
	}
	_ = w.Flush() // an error of the terminal can't be reported anywhere else
}
