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
	Requests, InTime, Late, Lost int
	// Worth is the value of the responses, MaxWorth the value if all had been in time.
	Worth, MaxWorth float64
	firsts          []float64
}

// MedianFirst returns the median time to the first event in milliseconds, over the requests that
// had one.
func (t *Tally) MedianFirst() float64 {
	if len(t.firsts) == 0 {
		return 0
	}
	slices.Sort(t.firsts)
	return t.firsts[len(t.firsts)/2]
}

// add counts one request.
func (t *Tally) add(k *passes.Kind, worth float64, r passes.Response) {
	t.Requests++
	t.MaxWorth += worth
	switch r.Outcome(k) {
	case passes.InTime:
		t.InTime++
		t.Worth += worth
	case passes.Late:
		t.Late++
		t.Worth += passes.LateFraction * worth
	default:
		t.Lost++
	}
	if r.First > 0 {
		t.firsts = append(t.firsts, r.First)
	}
}

// Tallies are the tallies of all kinds by name.
type Tallies map[string]*Tally

func (ts Tallies) add(k *passes.Kind, a *passes.Arrival, r passes.Response) {
	if ts[k.Name] == nil {
		ts[k.Name] = &Tally{}
	}
	ts[k.Name].add(k, k.WorthOf(a.Prompt), r)
}

// WorthFraction returns the value of all responses divided by the value if all had been in time.
func (ts Tallies) WorthFraction() float64 {
	worth, maxWorth := 0.0, 0.0
	for _, t := range ts {
		worth += t.Worth
		maxWorth += t.MaxWorth
	}
	return worth / max(maxWorth, 1e-9)
}

// SimulatedTallies returns the tallies of a simulation.
func (t *Trace) SimulatedTallies(r *passes.Result) Tallies {
	ts := Tallies{}
	for i := range t.Arrivals {
		ts.add(t.Arrivals[i].Kind, &t.Arrivals[i], r.Responses[i])
	}
	return ts
}

// LoggedTallies returns the tallies of the requests as logged.
func (t *Trace) LoggedTallies() Tallies {
	ts := Tallies{}
	kinds := map[string]*passes.Kind{}
	for i := range t.Load.Kinds {
		kinds[t.Load.Kinds[i].Name] = &t.Load.Kinds[i]
	}
	for i := range t.Logged {
		r := &t.Logged[i]
		k := kinds[fmt.Sprintf("aim%d", *r.Aim)]
		ts.add(k, &passes.Arrival{Prompt: tokenCount(r.Prompt)}, r.response())
	}
	return ts
}

// Reason is why a logged request was not in time.
type Reason string

// All values of Reason.
const (
	Refused        Reason = "refused"
	Retried        Reason = "sent again"
	QueuedTooLong  Reason = "waited for a place"
	FirstEventLate Reason = "first event late"
	PausedTooLong  Reason = "paused"
	Interrupted    Reason = "broken off"
	Canceled       Reason = "caller gone"
)

// reason returns why a logged request was not in time; it is empty for one that was.
func (r *Request) reason(k *passes.Kind) Reason {
	resp := r.response()
	switch {
	case resp.Outcome(k) == passes.InTime:
		return ""
	case r.Outcome == "canceled":
		return Canceled
	case r.Sends == "":
		return Refused
	case strings.Contains(r.Sends, ";"):
		return Retried
	case !resp.Complete:
		return Interrupted
	case r.Queued > k.Aim/2:
		return QueuedTooLong
	case r.First > k.Aim:
		return FirstEventLate
	default:
		return PausedTooLong
	}
}

// Reasons counts the reasons why logged requests were not in time, by kind.
func (t *Trace) Reasons() map[string]map[Reason]int {
	out := map[string]map[Reason]int{}
	for i := range t.Load.Kinds {
		k := &t.Load.Kinds[i]
		out[k.Name] = map[Reason]int{}
		for j := range t.Logged {
			if r := &t.Logged[j]; *r.Aim == k.Aim {
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
func (t *Trace) Print(out io.Writer, r *passes.Result) {
	logged, simulated := t.LoggedTallies(), t.SimulatedTallies(r)
	fmt.Fprintf(out, "service %s: %d engines, %d requests in %.1f s; %d more answered before placement\n",
		t.Service, t.Load.Engines, len(t.Logged), t.Load.Length/1000, t.EndedBeforePlacement)
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "kind\t\trequests\tin time %\tlate %\tlost %\tfirst event p50 ms\tworth")
	for _, n := range slices.Sorted(maps.Keys(simulated)) {
		printTally(w, n, "logged", logged[n])
		printTally(w, n, "simulated", simulated[n])
	}
	fmt.Fprintf(w, "all\tlogged\t\t\t\t\t\t%.3f\n", logged.WorthFraction())
	fmt.Fprintf(w, "all\tsimulated\t\t\t\t\t\t%.3f\n", simulated.WorthFraction())
	_ = w.Flush() // an error of the terminal can't be reported anywhere else
	t.printReasons(out)
	printTime(out, &r.EngineTime)
}

func printTally(w io.Writer, kind, source string, t *Tally) {
	if t == nil {
		return
	}
	fmt.Fprintf(w, "%s\t%s\t%d\t%.1f\t%.1f\t%.1f\t%.0f\t%.3f\n", kind, source, t.Requests,
		percent(t.InTime, t.Requests), percent(t.Late, t.Requests), percent(t.Lost, t.Requests), t.MedianFirst(), t.Worth/max(t.MaxWorth, 1e-9))
}

func (t *Trace) printReasons(out io.Writer) {
	reasons := t.Reasons()
	for _, n := range slices.Sorted(maps.Keys(reasons)) {
		for _, why := range slices.Sorted(maps.Keys(reasons[n])) {
			fmt.Fprintf(out, "%s not in time, %s: %d\n", n, why, reasons[n][why])
		}
	}
}

// printTime writes how the simulated engines spent their time.
func printTime(out io.Writer, a *passes.EngineTime) {
	all := max(a.Total(), 1e-9) / 100
	fmt.Fprintf(out, "simulated engine time, %%: prefill for responses in time %.1f, late %.1f, lost %.1f; decoding with short pauses %.1f, other %.1f; idle with requests queued %.1f, idle without %.1f\n",
		a.PrefillInTime/all, a.PrefillLate/all, a.PrefillLost/all, a.DecodeShortGap/all, a.DecodeOther/all, a.IdleQueued/all, a.Idle/all)
}
