package load

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"sync"
	"text/tabwriter"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"snipeshift.example/emulator/caller"
)

// Band is a range of prompt lengths that is measured by itself.
type Band string

// bands are the upper ends of prompt lengths in tokens; longer ones are in the last.
var bands = []struct {
	name Band
	to   int
}{
	{ShortBand, 4_000},
	{"4k-16k", 16_000},
	{"16k-100k", 100_000},
	{LongBand, 0},
}

// Bands that others ask for by name.
const (
	ShortBand Band = "under 4k"
	LongBand  Band = "over 100k"
	// ServiceBand holds calls of plain services, which have no prompt.
	ServiceBand Band = "service"
)

func bandOf(q caller.Request) Band {
	if q.Service {
		return ServiceBand
	}
	for _, b := range bands {
		if q.PromptTokens < b.to {
			return b.name
		}
	}
	return bands[len(bands)-1].name
}

// Distribution is a distribution of times in milliseconds.
type Distribution struct {
	Count int64   `json:"count"`
	P50   float64 `json:"p50"`
	P95   float64 `json:"p95"`
	P99   float64 `json:"p99"`
	Max   float64 `json:"max"`
}

// longest is the largest time that is told apart.
const longest = 2 * time.Hour

// digits is the precision of the histograms.
const digits = 3

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, longest.Microseconds(), digits)
}

func record(h *hdrhistogram.Histogram, d time.Duration) {
	_ = h.RecordValue(min(max(d, time.Microsecond), longest).Microseconds())
}

func spanOf(h *hdrhistogram.Histogram) Distribution {
	ms := func(q float64) float64 { return float64(h.ValueAtQuantile(q)) / 1000 }
	return Distribution{h.TotalCount(), ms(50), ms(95), ms(99), float64(h.Max()) / 1000}
}

// group measures the finished requests of one band or kind.
type group struct{ first, total, gaps *hdrhistogram.Histogram }

func newGroup() *group { return &group{newHistogram(), newHistogram(), newHistogram()} }

func (g *group) add(q caller.Request, r caller.Result) {
	if q.Stream {
		record(g.first, r.FirstToken)
	}
	record(g.total, r.Total)
	for _, d := range r.Gaps {
		record(g.gaps, d)
	}
}

// Durations are the measures of one band or kind: time to first token of streams,
// time to the end, and spans between tokens.
type Durations struct {
	First Distribution `json:"first"`
	Total Distribution `json:"total"`
	Gaps  Distribution `json:"gaps"`
}

func (g *group) times() Durations { return Durations{spanOf(g.first), spanOf(g.total), spanOf(g.gaps)} }

// ErrorCount counts errors of one kind and one claim about execution.
type ErrorCount struct {
	Kind  string `json:"kind"`
	Ran   string `json:"ran"`
	Count int    `json:"count"`
}

// Report is the result of a run.
type Report struct {
	// Sent counts requests; Skipped those left out because too many were open.
	Sent    int `json:"sent"`
	Skipped int `json:"skipped"`
	// Retried counts requests sent again after a refusal.
	Retried  int                    `json:"retried"`
	Seconds  float64                `json:"seconds"`
	Outcomes map[caller.Outcome]int `json:"outcomes"`
	Faults   []ErrorCount           `json:"faults"`
	// Output counts the tokens of finished answers.
	Output int                `json:"output"`
	Bands  map[Band]Durations `json:"bands"`
	// Kinds measures by kind of request.
	Kinds map[string]Durations `json:"kinds"`
	// Workspaces counts by workspace, to compare with what they are charged.
	Workspaces map[string]WorkspaceUsage `json:"workspaces"`
	// Examples shows the first few requests that did not finish.
	Examples []Example `json:"examples"`
}

// WorkspaceUsage is what one workspace sent and got.
type WorkspaceUsage struct {
	Sent     int `json:"sent"`
	Finished int `json:"finished"`
	// Prompt and Output count the tokens of finished model requests.
	Prompt int `json:"prompt"`
	Output int `json:"output"`
}

func (s WorkspaceUsage) with(q caller.Request, r caller.Result) WorkspaceUsage {
	s.Sent++
	if r.Outcome != caller.Finished {
		return s
	}
	s.Finished++
	if !q.Service {
		s.Prompt += q.PromptTokens
		s.Output += q.OutputTokens
	}
	return s
}

// Example is one request that did not finish.
type Example struct {
	Number  int            `json:"number"`
	Kind    string         `json:"kind"`
	Address string         `json:"address"`
	Result  *caller.Result `json:"result"`
}

// textShown is how much of an example's answer is shown, in bytes.
const textShown = 300

// examplesKept is how many of each outcome are shown.
const examplesKept = 3

// tally gathers results. It is safe for concurrent use.
type tally struct {
	mu       sync.Mutex
	report   Report
	faults   map[ErrorCount]int
	bands    map[Band]*group
	kinds    map[string]*group
	examples map[caller.Outcome]int
}

func newTally() *tally {
	return &tally{
		report:   Report{Outcomes: map[caller.Outcome]int{}, Examples: []Example{}, Faults: []ErrorCount{}, Workspaces: map[string]WorkspaceUsage{}},
		faults:   map[ErrorCount]int{},
		bands:    map[Band]*group{},
		kinds:    map[string]*group{},
		examples: map[caller.Outcome]int{},
	}
}

func (t *tally) retry() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.report.Retried++
}

func (t *tally) skip() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.report.Skipped++
}

func (t *tally) add(q caller.Request, r caller.Result) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.report.Sent++
	t.report.Outcomes[r.Outcome]++
	t.report.Workspaces[q.Workspace] = t.report.Workspaces[q.Workspace].with(q, r)
	if r.ErrorKind != "" || r.Ran != "" {
		t.faults[ErrorCount{Kind: r.ErrorKind, Ran: r.Ran}]++
	}
	if r.Outcome != caller.Finished {
		t.example(q, r)
		return
	}
	if !q.Service {
		t.report.Output += q.OutputTokens
	}
	groupOf(t.bands, bandOf(q)).add(q, r)
	groupOf(t.kinds, q.Kind).add(q, r)
}

func groupOf[K comparable](m map[K]*group, k K) *group {
	g, ok := m[k]
	if !ok {
		g = newGroup()
		m[k] = g
	}
	return g
}

func (t *tally) example(q caller.Request, r caller.Result) {
	if t.examples[r.Outcome] >= examplesKept {
		return
	}
	t.examples[r.Outcome]++
	r.Text = r.Text[:min(len(r.Text), textShown)]
	t.report.Examples = append(t.report.Examples, Example{q.Number, q.Kind, q.Address, &r})
}

func (t *tally) end(took time.Duration) Report {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.report
	r.Seconds = took.Seconds()
	r.Bands, r.Kinds = map[Band]Durations{}, map[string]Durations{}
	for f, n := range t.faults {
		f.Count = n
		r.Faults = append(r.Faults, f)
	}
	slices.SortFunc(r.Faults, func(a, b ErrorCount) int { return b.Count - a.Count })
	for k, g := range t.bands {
		r.Bands[k] = g.times()
	}
	for k, g := range t.kinds {
		r.Kinds[k] = g.times()
	}
	return r
}

// WriteText writes the report for a person.
func (r *Report) WriteText(out io.Writer) error {
	var b strings.Builder
	r.write(&b)
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	if _, err := io.WriteString(w, b.String()); err != nil {
		return err
	}
	return w.Flush()
}

func (r *Report) write(w *strings.Builder) {
	fmt.Fprintf(w, "sent %d in %.1f s, skipped %d, sent again %d\n", r.Sent, r.Seconds, r.Skipped, r.Retried)
	for _, o := range []caller.Outcome{caller.Finished, caller.Refused, caller.Failed, caller.Broken, caller.Overdue, caller.Wrong} {
		fmt.Fprintf(w, "%s\t%d\n", o, r.Outcomes[o])
	}
	for _, f := range r.Faults {
		fmt.Fprintf(w, "  %s\tran=%s\t%d\n", f.Kind, f.Ran, f.Count)
	}
	fmt.Fprintln(w, "\nmilliseconds\tfinished\tfirst p50\tp95\tp99\ttotal p50\tp95\tp99\tgap p50\tp95")
	for _, b := range bands {
		r.Bands[b.name].row(w, string(b.name))
	}
	r.Bands[ServiceBand].row(w, string(ServiceBand))
	for _, k := range slices.Sorted(maps.Keys(r.Kinds)) {
		r.Kinds[k].row(w, k)
	}
	for _, e := range r.Examples {
		fmt.Fprintf(w, "%s: request %d (%s) at %s: %s\n", e.Result.Outcome, e.Number, e.Kind, e.Address, e.Result.Reason)
	}
}

func (t Durations) row(w *strings.Builder, name string) {
	if t.Total.Count == 0 {
		return
	}
	fmt.Fprintf(w, "%s\t%d\t%.1f\t%.1f\t%.1f\t%.1f\t%.1f\t%.1f\t%.1f\t%.1f\n", name, t.Total.Count,
		t.First.P50, t.First.P95, t.First.P99, t.Total.P50, t.Total.P95, t.Total.P99, t.Gaps.P50, t.Gaps.P95)
}
