package whatif

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"text/tabwriter"

	"snipeshift.example/bench/passes"
)

// Tally is the outcome for the requests of one kind.
type Tally struct {
	Asked, InTime, Late, Lost int
	// Worth is the value of the responses, Most the value if all had been in time.
	Worth, Most float64
	firsts      []float64
}

// Median returns the median time to the first event in milliseconds, over the requests that had
// one.
func (t *Tally) Median() float64 {
	if len(t.firsts) == 0 {
		return 0
	}
	slices.Sort(t.firsts)
	return t.firsts[len(t.firsts)/2]
}

// add counts one request.
func (t *Tally) add(k *passes.Kind, worth float64, e passes.Request) {
	t.Asked++
	t.Most += worth
	switch e.Ending(k) {
	case passes.InTime:
		t.InTime++
		t.Worth += worth
	case passes.Late:
		t.Late++
		t.Worth += passes.LateShare * worth
	default:
		t.Lost++
	}
	if e.First > 0 {
		t.firsts = append(t.firsts, e.First)
	}
}

// Tallies are the tallies of all kinds by name.
type Tallies map[string]*Tally

func (ts Tallies) add(k *passes.Kind, a *passes.Arrival, e passes.Request) {
	if ts[k.Name] == nil {
		ts[k.Name] = &Tally{}
	}
	ts[k.Name].add(k, k.Of(a.Prompt), e)
}

// Share returns the value of all responses divided by the value if all had been in time.
func (ts Tallies) Share() float64 {
	got, most := 0.0, 0.0
	for _, t := range ts {
		got += t.Worth
		most += t.Most
	}
	return got / max(most, 1e-9)
}

// Modelled returns the tallies of a simulation.
func (d *Day) Modelled(r *passes.Result) Tallies {
	ts := Tallies{}
	for i := range d.Arrivals {
		ts.add(d.Arrivals[i].Kind, &d.Arrivals[i], r.Requests[i])
	}
	return ts
}

// Served returns the tallies of the requests as logged.
func (d *Day) Served() Tallies {
	ts := Tallies{}
	kinds := map[string]*passes.Kind{}
	for i := range d.Load.Kinds {
		kinds[d.Load.Kinds[i].Name] = &d.Load.Kinds[i]
	}
	for i := range d.Played {
		r := &d.Played[i]
		k := kinds[fmt.Sprintf("aim%d", *r.Aim)]
		ts.add(k, &passes.Arrival{Prompt: tokenCount(r.Prompt)}, r.response())
	}
	return ts
}

// Reason is why a logged request was not in time.
type Reason string

// All values of Reason.
const (
	Refused   Reason = "refused"
	SentAgain Reason = "sent again"
	Waited    Reason = "waited for a place"
	SlowFirst Reason = "first event late"
	Paused    Reason = "paused"
	Broken    Reason = "broken off"
	Gone      Reason = "caller gone"
)

// reason returns why a logged request was not in time; it is empty for one that was.
func (r *Request) reason(k *passes.Kind) Reason {
	e := r.response()
	switch {
	case e.Ending(k) == passes.InTime:
		return ""
	case r.Outcome == "canceled":
		return Gone
	case r.Sends == "":
		return Refused
	case strings.Contains(r.Sends, ";"):
		return SentAgain
	case !e.Whole:
		return Broken
	case r.Queued > k.Aim/2:
		return Waited
	case r.First > k.Aim:
		return SlowFirst
	default:
		return Paused
	}
}

// Reasons counts the reasons why logged requests were not in time, by kind.
func (d *Day) Reasons() map[string]map[Reason]int {
	out := map[string]map[Reason]int{}
	for i := range d.Load.Kinds {
		k := &d.Load.Kinds[i]
		out[k.Name] = map[Reason]int{}
		for j := range d.Played {
			if r := &d.Played[j]; *r.Aim == k.Aim {
				if why := r.reason(k); why != "" {
					out[k.Name][why]++
				}
			}
		}
	}
	return out
}

// percent returns part as a percentage of all.
func percent(part, all int) float64 { return 100 * float64(part) / float64(max(all, 1)) }

// Print writes a table that compares the logged requests with a simulation.
func (d *Day) Print(out io.Writer, r *passes.Result) {
	logged, simulated := d.Served(), d.Modelled(r)
	fmt.Fprintf(out, "service %s: %d engines, %d requests in %.1f s; %d more answered before placement\n",
		d.Service, d.Load.Engines, len(d.Played), d.Load.Length/1000, d.Turned)
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "kind\t\trequests\tin time %\tlate %\tlost %\tfirst event p50 ms\tworth")
	for _, n := range slices.Sorted(maps.Keys(simulated)) {
		printTally(w, n, "logged", logged[n])
		printTally(w, n, "simulated", simulated[n])
	}
	fmt.Fprintf(w, "all\tlogged\t\t\t\t\t\t%.3f\n", logged.Share())
	fmt.Fprintf(w, "all\tsimulated\t\t\t\t\t\t%.3f\n", simulated.Share())
	_ = w.Flush() // an error of the terminal can't be reported anywhere else
	d.printReasons(out)
	printTime(out, &r.Time)
}

func printTally(w io.Writer, kind, of string, t *Tally) {
	if t == nil {
		return
	}
	fmt.Fprintf(w, "%s\t%s\t%d\t%.1f\t%.1f\t%.1f\t%.0f\t%.3f\n", kind, of, t.Asked,
		percent(t.InTime, t.Asked), percent(t.Late, t.Asked), percent(t.Lost, t.Asked), t.Median(), t.Worth/max(t.Most, 1e-9))
}

func (d *Day) printReasons(out io.Writer) {
	reasons := d.Reasons()
	for _, n := range slices.Sorted(maps.Keys(reasons)) {
		for _, why := range slices.Sorted(maps.Keys(reasons[n])) {
			fmt.Fprintf(out, "%s not in time, %s: %d\n", n, why, reasons[n][why])
		}
	}
}

// printTime writes how the simulated engines spent their time.
func printTime(out io.Writer, a *passes.Account) {
	all := max(a.Sum(), 1e-9) / 100
	fmt.Fprintf(out, "simulated engine time, %%: prefill for responses in time %.1f, late %.1f, lost %.1f; decoding with short pauses %.1f, other %.1f; idle with requests queued %.1f, idle without %.1f\n",
		a.InTime/all, a.Late/all, a.Nobody/all, a.Short/all, a.Long/all, a.IdleWaiting/all, a.Idle/all)
}
