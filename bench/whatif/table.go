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
	Requests, InTime, Late, Lost int
	// Worth is what they got, Most what all answers in time would have been worth.
	Worth, MaxWorth float64
	firsts          []float64
}

// MedianFirst is the middle time to the first event in milliseconds, of those that got one.
func (t *Tally) MedianFirst() float64 {
	if len(t.firsts) == 0 {
		return 0
	}
	slices.Sort(t.firsts)
	return t.firsts[len(t.firsts)/2]
}

// note adds one request.
func (t *Tally) note(k *passes.Kind, worth float64, e passes.Response) {
	t.Requests++
	t.MaxWorth += worth
	switch e.Outcome(k) {
	case passes.InTime:
		t.InTime++
		t.Worth += worth
	case passes.Late:
		t.Late++
		t.Worth += passes.LateFraction * worth
	default:
		t.Lost++
	}
	if e.First > 0 {
		t.firsts = append(t.firsts, e.First)
	}
}

// Tallies are those of all kinds, by name.
type Tallies map[string]*Tally

func (ts Tallies) note(k *passes.Kind, a *passes.Arrival, e passes.Response) {
	if ts[k.Name] == nil {
		ts[k.Name] = &Tally{}
	}
	ts[k.Name].note(k, k.WorthOf(a.Prompt), e)
}

// WorthFraction is the part of all worth that was got.
func (ts Tallies) WorthFraction() float64 {
	got, most := 0.0, 0.0
	for _, t := range ts {
		got += t.Worth
		most += t.MaxWorth
	}
	return got / max(most, 1e-9)
}

// SimulatedTallies are the tallies of a play.
func (d *Trace) SimulatedTallies(r *passes.Result) Tallies {
	ts := Tallies{}
	for i := range d.Arrivals {
		ts.note(d.Arrivals[i].Kind, &d.Arrivals[i], r.Responses[i])
	}
	return ts
}

// LoggedTallies are the tallies of the day as it was.
func (d *Trace) LoggedTallies() Tallies {
	ts := Tallies{}
	kinds := map[string]*passes.Kind{}
	for i := range d.Load.Kinds {
		kinds[d.Load.Kinds[i].Name] = &d.Load.Kinds[i]
	}
	for i := range d.Logged {
		r := &d.Logged[i]
		k := kinds[fmt.Sprintf("aim%d", *r.Aim)]
		ts.note(k, &passes.Arrival{Prompt: tokens(r.Prompt)}, r.ended())
	}
	return ts
}

// Reason is why a request missed its aim.
type Reason string

// The closed list of reasons.
const (
	Refused        Reason = "refused"
	Retried        Reason = "sent again"
	QueuedTooLong  Reason = "waited for a place"
	FirstEventLate Reason = "first event late"
	PausedTooLong  Reason = "paused"
	Interrupted    Reason = "broken off"
	Canceled       Reason = "caller gone"
)

// reason is why a request as it was served missed its aim; empty if it did not.
func (r *Request) reason(k *passes.Kind) Reason {
	e := r.ended()
	switch {
	case e.Outcome(k) == passes.InTime:
		return ""
	case r.Outcome == "canceled":
		return Canceled
	case r.Sends == "":
		return Refused
	case strings.Contains(r.Sends, ";"):
		return Retried
	case !e.Complete:
		return Interrupted
	case r.Queued > k.Aim/2:
		return QueuedTooLong
	case r.First > k.Aim:
		return FirstEventLate
	default:
		return PausedTooLong
	}
}

// Reasons count why requests as they were served missed their aims, by kind.
func (d *Trace) Reasons() map[string]map[Reason]int {
	out := map[string]map[Reason]int{}
	for i := range d.Load.Kinds {
		k := &d.Load.Kinds[i]
		out[k.Name] = map[Reason]int{}
		for j := range d.Logged {
			if r := &d.Logged[j]; *r.Aim == k.Aim {
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
func (d *Trace) Print(out io.Writer, r *passes.Result) {
	served, modelled := d.LoggedTallies(), d.SimulatedTallies(r)
	fmt.Fprintf(out, "service %s: %d engines, %d requests in %.1f s; %d answered before they asked for a place\n",
		d.Service, d.Load.Engines, len(d.Logged), d.Load.Length/1000, d.EndedBeforePlacement)
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "kind\t\tasked\tin time %\tlate %\tlost %\tfirst p50 ms\tworth")
	for _, n := range slices.Sorted(maps.Keys(modelled)) {
		printTally(w, n, "served", served[n])
		printTally(w, n, "model", modelled[n])
	}
	fmt.Fprintf(w, "all\tserved\t\t\t\t\t\t%.3f\n", served.WorthFraction())
	fmt.Fprintf(w, "all\tmodel\t\t\t\t\t\t%.3f\n", modelled.WorthFraction())
	_ = w.Flush() // what cannot be written to the terminal has nobody to tell
	d.printReasons(out)
	printTime(out, &r.EngineTime)
}

func printTally(w io.Writer, kind, of string, t *Tally) {
	if t == nil {
		return
	}
	fmt.Fprintf(w, "%s\t%s\t%d\t%.1f\t%.1f\t%.1f\t%.0f\t%.3f\n", kind, of, t.Requests,
		percent(t.InTime, t.Requests), percent(t.Late, t.Requests), percent(t.Lost, t.Requests), t.MedianFirst(), t.Worth/max(t.MaxWorth, 1e-9))
}

func (d *Trace) printReasons(out io.Writer) {
	reasons := d.Reasons()
	for _, n := range slices.Sorted(maps.Keys(reasons)) {
		for _, why := range slices.Sorted(maps.Keys(reasons[n])) {
			fmt.Fprintf(out, "%s missed its aim, %s: %d\n", n, why, reasons[n][why])
		}
	}
}

// printTime writes what the engines of the model did with their time.
func printTime(out io.Writer, a *passes.EngineTime) {
	all := max(a.Total(), 1e-9) / 100
	fmt.Fprintf(out, "engine time of the model, %%: reading in time %.1f, late %.1f, for nobody %.1f; writing short %.1f, long %.1f; idle while something waited %.1f, idle %.1f\n",
		a.PrefillInTime/all, a.PrefillLate/all, a.PrefillLost/all, a.DecodeShortGap/all, a.DecodeOther/all, a.IdleQueued/all, a.Idle/all)
}
