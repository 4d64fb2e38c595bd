package main

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"os"
	"runtime"
	"strings"
	"sync"

	"github.com/urfave/cli/v3"

	"snipeshift.example/bench/load"
	"snipeshift.example/bench/measure"
	"snipeshift.example/bench/policy"
)

// warmup is left out of the results, in milliseconds.
const warmup = 60_000

var loads = []float64{0.5, 0.8, 1.0, 1.5}

// contender is one policy of the tables.
type contender struct {
	name     string
	shortest bool
	build    func(d *load.Deployment) func(policy.Fleet) policy.Policy
}

const ours = "snipeshift"

func baseline(name string, rule policy.Rule) contender {
	return contender{name, rule == policy.ShortestFirst, func(d *load.Deployment) func(policy.Fleet) policy.Policy {
		return func(f policy.Fleet) policy.Policy { return policy.NewBaseline(f, rule, d.Engines, d.Engine.Memory) }
	}}
}

var contenders = []contender{
	{ours, false, func(d *load.Deployment) func(policy.Fleet) policy.Policy {
		return func(f policy.Fleet) policy.Policy { return policy.NewPool(f, d) }
	}},
	baseline("round robin", policy.RoundRobin),
	baseline("least reported", policy.LeastReported),
	baseline("two choices", policy.TwoChoices),
	baseline("shortest first", policy.ShortestFirst),
}

// cell is one run of the matrix.
type cell struct {
	deployment *load.Deployment
	scenario   load.Scenario
	load       float64
	contender  contender
	result     measure.Result
}

type options struct {
	seed                       uint64
	span                       float64
	workers                    int
	deployment, scenario, only string
	load                       float64
	engines                    int
}

func decideCommand() *cli.Command {
	return &cli.Command{
		Name:  "decide",
		Usage: "runs the decision library and the baselines on the same seeds",
		Flags: []cli.Flag{
			&cli.Uint64Flag{Name: "seed", Value: 1},
			&cli.FloatFlag{Name: "minutes", Value: 30, Usage: "length of the arrivals"},
			&cli.IntFlag{Name: "workers", Value: min(4, runtime.NumCPU())},
			&cli.StringFlag{Name: "deployment"},
			&cli.StringFlag{Name: "scenario"},
			&cli.StringFlag{Name: "policy"},
			&cli.FloatFlag{Name: "load"},
			&cli.IntFlag{Name: "engines", Usage: "size of the fleet instead of the deployment's; the load goes with it"},
		},
		Action: func(_ context.Context, c *cli.Command) error {
			cells := matrix(options{
				seed: c.Uint64("seed"), span: c.Float("minutes") * 60_000, workers: c.Int("workers"),
				deployment: c.String("deployment"), scenario: c.String("scenario"), only: c.String("policy"), load: c.Float("load"),
				engines: c.Int("engines"),
			})
			if err := tables(os.Stdout, cells); err != nil {
				return err
			}
			return bars(os.Stdout, cells)
		},
	}
}

// matrix runs every combination that the options leave, a few at a time.
func matrix(o options) []*cell {
	var cells []*cell
	for i := range load.Deployments {
		if o.engines > 0 {
			load.Deployments[i].Engines = o.engines
		}
		for _, s := range load.Scenarios {
			for _, l := range loads {
				for _, c := range contenders {
					if o.picks(&load.Deployments[i], s, l, c) {
						cells = append(cells, &cell{deployment: &load.Deployments[i], scenario: s, load: l, contender: c})
					}
				}
			}
		}
	}
	work := make(chan *cell)
	var group sync.WaitGroup
	for range o.workers {
		group.Go(func() {
			for c := range work {
				c.run(o)
			}
		})
	}
	for _, c := range cells {
		work <- c
	}
	close(work)
	group.Wait()
	return cells
}

func (o *options) picks(d *load.Deployment, s load.Scenario, l float64, c contender) bool {
	return (o.deployment == "" || o.deployment == d.Name) && (o.scenario == "" || o.scenario == s.Name) &&
		(o.load == 0 || o.load == l) && (o.only == "" || o.only == c.name)
}

func (c *cell) run(o options) {
	requests := c.deployment.Generate(o.seed, c.scenario, c.load, o.span)
	run := policy.New(c.deployment, c.scenario, requests, c.contender.shortest, c.contender.build(c.deployment))
	run.Simulate()
	from := float64(warmup)
	if c.scenario.StartsFull {
		from = 0
	}
	c.result = measure.Evaluate(c.deployment, requests, from, o.span)
}

// tables prints one table a deployment and scenario.
func tables(out io.Writer, cells []*cell) error {
	var w bytes.Buffer
	title := ""
	for _, c := range cells {
		if t := c.deployment.Name + ", " + c.scenario.Name; t != title {
			title = t
			fmt.Fprintf(&w, "\n%s\n\n%s\n%s\n", title, header, rule)
		}
		c.row(&w)
	}
	_, err := w.WriteTo(out)
	return err
}

const header = "| load | policy | TTFT ms p50/p95/p99 <4k | 4k-32k | 32k-100k | >100k | urgent slowdown p50/p95/p99 | first token | in time | refused | missed | long in time | goodput | wasted | shares |"

var rule = "|" + strings.Repeat(" --- |", strings.Count(header, "|")-1)

func (c *cell) row(w *bytes.Buffer) {
	r := &c.result
	fmt.Fprintf(w, "| %.1f | %s |", c.load, c.contender.name)
	for _, q := range r.FirstToken {
		fmt.Fprintf(w, " %.0f/%.0f/%.0f |", q.P50, q.P95, q.P99)
	}
	fmt.Fprintf(w, " %.2f/%.2f/%.2f | %.2f/%.2f/%.2f |", r.Slowdown.P50, r.Slowdown.P95, r.Slowdown.P99,
		r.FirstTokenSlowdown.P50, r.FirstTokenSlowdown.P95, r.FirstTokenSlowdown.P99)
	n := float64(max(r.Requests, 1))
	fmt.Fprintf(w, " %.2f%% | %.2f%% | %.3f%% | %d/%d of %d | %.1f%% | %.2f%% | %s |\n", 100*float64(r.InTime)/n, 100*float64(r.Refused)/n,
		100*float64(r.Missed)/n, r.LongInTime, r.LongAdmitted, r.Long, 100*r.Goodput, 100*r.WastedPrefill, shares(r))
}

// shares gives the first workspace's part and the least and largest of the others'.
func shares(r *measure.Result) string {
	low, high := 1.0, 0.0
	for _, s := range r.GoodputShares[1:] {
		low, high = min(low, s), max(high, s)
	}
	return fmt.Sprintf("%.0f%% + %.0f-%.0f%%", 100*r.GoodputShares[0], 100*low, 100*high)
}
