package whatif

import (
	"fmt"
	"io"
	"text/tabwriter"

	"snipeshift.example/bench/passes"
	"snipeshift.example/lib/clock"
	"snipeshift.example/lib/decide"
)

// Phase is a span of a day's arrivals with what its requests got, as shares of all that they were worth.
type Phase struct {
	// From is its begin, from the first arrival.
	From     clock.Milli
	Requests int
	// Logged is as it was, Modelled a play of the model, Found the best play of a search; zero where none was made.
	Logged, Simulated, BestFound float64
	most, mostPlayed             float64
}

// Phases cuts a day of one request or more into spans of a length. Found are the ends of a search's best play; nil for none.
func (d *Trace) Phases(r *passes.Result, found []passes.Outcome, length clock.Milli) []Phase {
	last := d.Logged[len(d.Logged)-1].Arrived.Sub(d.Logged[0].Arrived).Milliseconds()
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
	for i := range d.Logged {
		q := &d.Logged[i]
		at := clock.Of(q.Arrived.Sub(d.Logged[0].Arrived))
		p := &phases[at/length]
		k, e := kinds[*q.Aim], q.ended()
		p.mostPlayed += k.WorthOf(tokens(q.Prompt))
		p.Logged += got(k, tokens(q.Prompt), e.Outcome(k))
	}
	for i := range d.Arrivals {
		a := &d.Arrivals[i]
		p := &phases[clock.Milli(a.At)/length]
		p.Requests++
		p.most += a.Kind.WorthOf(a.Prompt)
		p.Simulated += got(a.Kind, a.Prompt, r.Responses[i].Outcome(a.Kind))
		if found != nil {
			p.BestFound += got(a.Kind, a.Prompt, found[i])
		}
	}
	for i := range phases {
		p := &phases[i]
		p.Logged /= max(p.mostPlayed, 1e-9)
		p.Simulated /= max(p.most, 1e-9)
		p.BestFound /= max(p.most, 1e-9)
	}
	return phases
}

// got is the worth of an answer that ended in a way.
func got(k *passes.Kind, prompt decide.Tokens, e passes.Outcome) float64 {
	switch e {
	case passes.InTime:
		return k.WorthOf(prompt)
	case passes.Late:
		return passes.LateFraction * k.WorthOf(prompt)
	default:
		return 0
	}
}

// PrintPhases writes a table of phases.
func PrintPhases(out io.Writer, phases []Phase) {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(w, "from s\tasked\tserved\tmodel\tsearch\tmodel of search\t")
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
	_ = w.Flush() // what cannot be written to the terminal has nobody to tell
}
