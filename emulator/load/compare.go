package load

import (
	"context"
	"fmt"
	"io"
	"time"

	"golang.org/x/sync/errgroup"

	"snipeshift.example/emulator/caller"
)

// Comparison sets up the measure of added latency: the same requests straight
// to a stand-in and through a daemon, in one run.
type Comparison struct {
	// Direct is host:port of an engine or service, Through that of a daemon before it.
	Direct, Through string
	// Rate is requests per second.
	Rate float64
	// Slice is how long each side is loaded before it is the other's turn.
	Slice time.Duration
	// Rounds is how often both have their turn.
	Rounds int
	// Key, Model and Kind are what the daemon is told.
	Key, Model, Kind string
	// Service compares a plain service's calls; empty compares streams of the model.
	Service string
	// Tokens is the prompt's length, Output the answer's.
	Tokens, Output int
	Seed           uint64
}

// PathResult is what was measured on one way.
type PathResult struct {
	Sent     int                    `json:"sent"`
	Outcomes map[caller.Outcome]int `json:"outcomes"`
	// First is the time to the first token, or to the whole answer of a service's call.
	First Distribution `json:"first"`
	Total Distribution `json:"total"`
}

// ComparisonResult is the result, in milliseconds. The differences are between
// quantiles of the two distributions, not quantiles of a difference.
type ComparisonResult struct {
	Direct  PathResult `json:"direct"`
	Through PathResult `json:"through"`
	// Median and P99 are what the daemon adds to the time to the first token.
	Median float64 `json:"median"`
	P99    float64 `json:"p99"`
	// TotalMedian and TotalP99 are what it adds to the time to the end.
	TotalMedian float64 `json:"totalmedian"`
	TotalP99    float64 `json:"totalp99"`
}

// side is one way's settings and measures.
type side struct {
	planner *planner
	client  *caller.Client
	tally   *tally
	group   *group
}

// Compare runs both sides in turn, a short slice each, so that whatever else
// the machine does falls on both alike. The first slice of each warms up and is not counted.
func Compare(ctx context.Context, c Comparison) (ComparisonResult, error) {
	sides := []*side{c.side(c.Direct, true), c.side(c.Through, false)}
	for round := range c.Rounds + 1 {
		for i := range sides {
			s := sides[(i+round)%len(sides)]
			s.slice(ctx, c.Slice, round > 0)
			if ctx.Err() != nil {
				return ComparisonResult{}, ctx.Err()
			}
		}
	}
	for _, s := range sides {
		s.client.Close()
	}
	r := ComparisonResult{Direct: sides[0].result(), Through: sides[1].result()}
	r.Median = r.Through.First.P50 - r.Direct.First.P50
	r.P99 = r.Through.First.P99 - r.Direct.First.P99
	r.TotalMedian = r.Through.Total.P50 - r.Direct.Total.P50
	r.TotalP99 = r.Through.Total.P99 - r.Direct.Total.P99
	return r, nil
}

func (c Comparison) side(address string, direct bool) *side {
	s := Settings{
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
			Allowed: compareLimit,
		}},
		Direct: direct,
	}
	return &side{planner: newPlanner(s), client: caller.New(), tally: newTally(), group: newGroup()}
}

// compareLimit is how long one request may take, in milliseconds.
const compareLimit = 10_000

// slice sends what is due within a span and waits for all answers. Requests are
// made before their slice starts, and their times count from when they are sent.
func (s *side) slice(ctx context.Context, span time.Duration, counts bool) {
	var qs []caller.Request
	for end := s.planner.after + span; s.planner.after < end; {
		qs = append(qs, s.planner.next())
	}
	var g errgroup.Group
	start := time.Now().Add(-qs[0].SendOffset)
	for _, q := range qs {
		if !sleepUntil(ctx, start.Add(q.SendOffset)) {
			break
		}
		g.Go(func() error {
			r := s.client.Do(ctx, q, time.Now())
			if counts {
				s.add(q, r)
			}
			return nil
		})
	}
	_ = g.Wait()
}

func (s *side) add(q caller.Request, r caller.Result) {
	s.tally.add(q, r)
	s.tally.mu.Lock()
	defer s.tally.mu.Unlock()
	if r.Outcome == caller.Finished {
		record(s.group.first, r.FirstToken)
		record(s.group.total, r.Total)
	}
}

func (s *side) result() PathResult {
	r := s.tally.end(0)
	return PathResult{r.Sent, r.Outcomes, spanOf(s.group.first), spanOf(s.group.total)}
}

// Wrong counts wrong answers on both ways.
func (r *ComparisonResult) Wrong() int {
	return r.Direct.Outcomes[caller.Wrong] + r.Through.Outcomes[caller.Wrong]
}

// WriteText writes the result for a person.
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
