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
	From  clock.Milli
	Asked int
	// Served is as it was, Modelled a play of the model, Found the best play of a search; zero where none was made.
	Served, Modelled, Found float64
	most, mostPlayed        float64
}

// Phases cuts a day of one request or more into spans of a length. Found are the ends of a search's best play; nil for none.
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
		k, e := kinds[*q.Aim], q.ended()
		p.mostPlayed += k.Of(tokens(q.Prompt))
		p.Served += got(k, tokens(q.Prompt), e.Ending(k))
	}
	for i := range d.Arrivals {
		a := &d.Arrivals[i]
		p := &phases[clock.Milli(a.At)/length]
		p.Asked++
		p.most += a.Kind.Of(a.Prompt)
		p.Modelled += got(a.Kind, a.Prompt, r.Requests[i].Ending(a.Kind))
		if found != nil {
			p.Found += got(a.Kind, a.Prompt, found[i])
		}
	}
	for i := range phases {
		p := &phases[i]
		p.Served /= max(p.mostPlayed, 1e-9)
		p.Modelled /= max(p.most, 1e-9)
		p.Found /= max(p.most, 1e-9)
	}
	return phases
}

// got is the worth of an answer that ended in a way.
func got(k *passes.Kind, prompt decide.Tokens, e passes.Ending) float64 {
	switch e {
	case passes.InTime:
		return k.Of(prompt)
	case passes.Late:
		return passes.LateShare * k.Of(prompt)
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
		if p.Asked == 0 {
			continue
		}
		search, share := "-", "-"
		if p.Found > 0 {
			search, share = fmt.Sprintf("%.3f", p.Found), fmt.Sprintf("%.3f", p.Modelled/p.Found)
		}
		fmt.Fprintf(w, "%.1f\t%d\t%.3f\t%.3f\t%s\t%s\t\n", p.From.Duration().Seconds(), p.Asked, p.Served, p.Modelled, search, share)
	}
	_ = w.Flush() // what cannot be written to the terminal has nobody to tell
}
