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

// Tally is what the callers of one kind got.
type Tally struct {
	Asked, InTime, Late, Lost int
	// Worth is what they got, Most what all answers in time would have been worth.
	Worth, Most float64
	firsts      []float64
}

// Median is the middle time to the first event in milliseconds, of those that got one.
func (t *Tally) Median() float64 {
	if len(t.firsts) == 0 {
		return 0
	}
	slices.Sort(t.firsts)
	return t.firsts[len(t.firsts)/2]
}

// note adds one request.
func (t *Tally) note(k *passes.Kind, worth float64, e passes.Request) {
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

// Tallies are those of all kinds, by name.
type Tallies map[string]*Tally

func (ts Tallies) note(k *passes.Kind, a *passes.Arrival, e passes.Request) {
	if ts[k.Name] == nil {
		ts[k.Name] = &Tally{}
	}
	ts[k.Name].note(k, k.Of(a.Prompt), e)
}

// Share is the part of all worth that was got.
func (ts Tallies) Share() float64 {
	got, most := 0.0, 0.0
	for _, t := range ts {
		got += t.Worth
		most += t.Most
	}
	return got / max(most, 1e-9)
}

// Modelled are the tallies of a play.
func (d *Day) Modelled(r *passes.Result) Tallies {
	ts := Tallies{}
	for i := range d.Arrivals {
		ts.note(d.Arrivals[i].Kind, &d.Arrivals[i], r.Requests[i])
	}
	return ts
}

// Served are the tallies of the day as it was.
func (d *Day) Served() Tallies {
	ts := Tallies{}
	kinds := map[string]*passes.Kind{}
	for i := range d.Load.Kinds {
		kinds[d.Load.Kinds[i].Name] = &d.Load.Kinds[i]
	}
	for i := range d.Played {
		r := &d.Played[i]
		k := kinds[fmt.Sprintf("aim%d", *r.Aim)]
		ts.note(k, &passes.Arrival{Prompt: tokens(r.Prompt)}, r.ended())
	}
	return ts
}

// Reason is why a request missed its aim.
type Reason string

// The closed list of reasons.
const (
	Refused   Reason = "refused"
	SentAgain Reason = "sent again"
	Waited    Reason = "waited for a place"
	SlowFirst Reason = "first event late"
	Paused    Reason = "paused"
	Broken    Reason = "broken off"
	Gone      Reason = "caller gone"
)

// reason is why a request as it was served missed its aim; empty if it did not.
func (r *Request) reason(k *passes.Kind) Reason {
	e := r.ended()
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

// Reasons count why requests as they were served missed their aims, by kind.
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

// percent is a part of all, in hundredths.
func percent(part, all int) float64 { return 100 * float64(part) / float64(max(all, 1)) }

// Print writes a table of the day as it was, beside a play of it.
func (d *Day) Print(out io.Writer, r *passes.Result) {
	served, modelled := d.Served(), d.Modelled(r)
	fmt.Fprintf(out, "service %s: %d engines, %d requests in %.1f s; %d answered before they asked for a place\n",
		d.Service, d.Load.Engines, len(d.Played), d.Load.Length/1000, d.Turned)
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "kind\t\tasked\tin time %\tlate %\tlost %\tfirst p50 ms\tworth")
	for _, n := range slices.Sorted(maps.Keys(modelled)) {
		printTally(w, n, "served", served[n])
		printTally(w, n, "model", modelled[n])
	}
	fmt.Fprintf(w, "all\tserved\t\t\t\t\t\t%.3f\n", served.Share())
	fmt.Fprintf(w, "all\tmodel\t\t\t\t\t\t%.3f\n", modelled.Share())
	_ = w.Flush() // what cannot be written to the terminal has nobody to tell
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
			fmt.Fprintf(out, "%s missed its aim, %s: %d\n", n, why, reasons[n][why])
		}
	}
}

// printTime writes what the engines of the model did with their time.
func printTime(out io.Writer, a *passes.Account) {
	all := max(a.Sum(), 1e-9) / 100
	fmt.Fprintf(out, "engine time of the model, %%: reading in time %.1f, late %.1f, for nobody %.1f; writing short %.1f, long %.1f; idle while something waited %.1f, idle %.1f\n",
		a.InTime/all, a.Late/all, a.Nobody/all, a.Short/all, a.Long/all, a.IdleWaiting/all, a.Idle/all)
}
