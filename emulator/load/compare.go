package load

import (
	"context"
	"fmt"
	"io"
	"time"

	"golang.org/x/sync/errgroup"

	"snipeshift.example/emulator/caller"
)

// Comparison is the setup of a measurement of the latency that a daemon adds: the same requests are
// sent directly to an emulated engine or service and through a daemon.
type Comparison struct {
	// Direct is the host:port of an engine or service, Through that of a daemon in front of it.
	Direct, Through string
	// Rate is the number of requests per second.
	Rate float64
	// Slice is how long requests are sent on one path before switching to the other.
	Slice time.Duration
	// Rounds is the number of slices of each path.
	Rounds int
	// Key, Model and Kind are the API key, model and request kind of all requests.
	Key, Model, Kind string
	// Service is the plain service whose calls are compared. If it is empty, streams of the model
	// are compared.
	Service string
	// Tokens is the length of each prompt in tokens, Output that of each answer.
	Tokens, Output int
	Seed           uint64
}

// PathResult is the measurements of one path, direct or through the daemon.
type PathResult struct {
	Sent     int                    `json:"sent"`
	Outcomes map[caller.Outcome]int `json:"outcomes"`
	// First is the time to the first token of a stream, or to the complete answer of a service.
	First Distribution `json:"first"`
	Total Distribution `json:"total"`
}

// ComparisonResult is the result of a Comparison, in milliseconds. The differences are between the
// quantiles of the two distributions; they are not quantiles of the differences.
type ComparisonResult struct {
	Direct  PathResult `json:"direct"`
	Through PathResult `json:"through"`
	// Median and P99 are the differences in the time to the first token.
	Median float64 `json:"median"`
	P99    float64 `json:"p99"`
	// TotalMedian and TotalP99 are the differences in the time to the end of the answer.
	TotalMedian float64 `json:"totalmedian"`
	TotalP99    float64 `json:"totalp99"`
}

// path is the requests and measurements of one path, direct or through the daemon.
type path struct {
	planner    *planner
	client     *caller.Client
	tally      *tally
	histograms *histograms
}

// Compare sends requests on both paths alternately, in short slices, so that other load on the machine
// affects both equally. The first slice of each path is a warm-up and is not counted.
func Compare(ctx context.Context, c Comparison) (ComparisonResult, error) {
	paths := []*path{c.newPath(c.Direct, true), c.newPath(c.Through, false)}
	for round := range c.Rounds + 1 {
		for i := range paths {
			p := paths[(i+round)%len(paths)]
			p.runSlice(ctx, c.Slice, round > 0)
			if ctx.Err() != nil {
				return ComparisonResult{}, ctx.Err()
			}
		}
	}
	for _, p := range paths {
		p.client.Close()
	}
	r := ComparisonResult{Direct: paths[0].result(), Through: paths[1].result()}
	r.Median = r.Through.First.P50 - r.Direct.First.P50
	r.P99 = r.Through.First.P99 - r.Direct.First.P99
	r.TotalMedian = r.Through.Total.P50 - r.Direct.Total.P50
	r.TotalP99 = r.Through.Total.P99 - r.Direct.Total.P99
	return r, nil
}

func (c Comparison) newPath(address string, direct bool) *path {
	settings := Settings{
		Addresses:      []string{address},
		Rate:           c.Rate,
		Seed:           c.Seed,
		Model:          c.Model,
		StreamFraction: 1,
		Keys:           map[string]string{"workspace": c.Key},
		Kinds: Kinds{{
			Name:    c.Kind,
			Weight:  1,
			Service: c.Service,
			From:    c.Tokens,
			To:      c.Tokens,
			Output:  c.Output,
			Allowed: compareTimeout,
		}},
		Direct: direct,
	}
	return &path{planner: newPlanner(settings), client: caller.New(), tally: newTally(), histograms: newHistograms()}
}

// compareTimeout is the allowed time of one request, in milliseconds.
const compareTimeout = 10_000

// runSlice sends the requests of one slice on schedule and waits for all answers. All requests are
// generated before the slice starts, and their times are measured from the moment of sending.
func (p *path) runSlice(ctx context.Context, length time.Duration, counted bool) {
	var qs []caller.Request
	for end := p.planner.offset + length; p.planner.offset < end; {
		qs = append(qs, p.planner.next())
	}
	var g errgroup.Group
	start := time.Now().Add(-qs[0].SendOffset)
	for _, q := range qs {
		if !sleepUntil(ctx, start.Add(q.SendOffset)) {
			break
		}
		g.Go(func() error {
			r := p.client.Do(ctx, q, time.Now())
			if counted {
				p.add(q, r)
			}
			return nil
		})
	}
	_ = g.Wait()
}

func (p *path) add(q caller.Request, r caller.Result) {
	p.tally.add(q, r)
	p.tally.mu.Lock()
	defer p.tally.mu.Unlock()
	if r.Outcome == caller.Finished {
		record(p.histograms.first, r.FirstToken)
		record(p.histograms.total, r.Total)
	}
}

func (p *path) result() PathResult {
	r := p.tally.finish(0)
	return PathResult{r.Sent, r.Outcomes, distributionOf(p.histograms.first), distributionOf(p.histograms.total)}
}

// Wrong returns the number of wrong answers on both paths.
func (r *ComparisonResult) Wrong() int {
	return r.Direct.Outcomes[caller.Wrong] + r.Through.Outcomes[caller.Wrong]
}

// WriteText writes the result as a table for people.
func (r *ComparisonResult) WriteText(out io.Writer) error {
	_, err := fmt.Fprintf(out, `milliseconds   first p50      p99  total p50      p99  finished
direct        %s
through       %s
added         %10.3f %8.3f %10.3f %8.3f
`, r.Direct.row(), r.Through.row(), r.Median, r.P99, r.TotalMedian, r.TotalP99)
	return err
}

func (s *PathResult) row() string {
	return fmt.Sprintf("%10.3f %8.3f %10.3f %8.3f  %d of %d",
		s.First.P50, s.First.P99, s.Total.P50, s.Total.P99, s.Outcomes[caller.Finished], s.Sent)
}
