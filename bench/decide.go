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

// warmup is the time at the start of a run that is left out of the results, in milliseconds.
const warmup = 60_000

// loadFactors are the offered loads as multiples of the rate that the fleet can just serve.
var loadFactors = []float64{0.5, 0.8, 1.0, 1.5}

// candidate is one of the compared policies.
type candidate struct {
	name string
	// shortest makes the engines admit and prefill the shortest prompt first.
	shortest bool
	// build returns the constructor of the policy for a deployment.
	build func(d *load.Deployment) func(policy.Fleet) policy.Policy
}

// projectPolicy names the policy of this project, as opposed to the baselines.
const projectPolicy = "snipeshift"

func newBaseline(name string, rule policy.Rule) candidate {
	return candidate{name, rule == policy.ShortestFirst, func(d *load.Deployment) func(policy.Fleet) policy.Policy {
		return func(f policy.Fleet) policy.Policy { return policy.NewBaseline(f, rule, d.Engines, d.Engine.Memory) }
	}}
}

var candidates = []candidate{
	{projectPolicy, false, func(d *load.Deployment) func(policy.Fleet) policy.Policy {
		return func(f policy.Fleet) policy.Policy { return policy.NewPool(f, d) }
	}},
	newBaseline("round robin", policy.RoundRobin),
	newBaseline("least reported", policy.LeastReported),
	newBaseline("two choices", policy.TwoChoices),
	newBaseline("shortest first", policy.ShortestFirst),
}

// cell is one combination of deployment, scenario, load and policy, with the result of its run.
type cell struct {
	deployment *load.Deployment
	scenario   load.Scenario
	loadFactor float64
	candidate  candidate
	result     measure.Result
}

// options are the options of the command. An empty name or a load of zero selects all, and zero
// engines leave the size of the fleet as it is.
type options struct {
	seed                         uint64
	duration                     float64
	workers                      int
	deployment, scenario, policy string
	loadFactor                   float64
	engines                      int
}

func decideCommand() *cli.Command {
	return &cli.Command{
		Name:  "decide",
		Usage: "runs the decision library and the baseline policies on the same seeded requests",
		Flags: []cli.Flag{
			&cli.Uint64Flag{Name: "seed", Value: 1},
			&cli.FloatFlag{Name: "minutes", Value: 30, Usage: "how long requests arrive, in minutes of simulated time"},
			&cli.IntFlag{Name: "workers", Value: min(4, runtime.NumCPU())},
			&cli.StringFlag{Name: "deployment"},
			&cli.StringFlag{Name: "scenario"},
			&cli.StringFlag{Name: "policy"},
			&cli.FloatFlag{Name: "load"},
			&cli.IntFlag{Name: "engines", Usage: "size of the fleet, in place of the deployment's; the request rate scales with it"},
		},
		Action: func(_ context.Context, c *cli.Command) error {
			cells := runMatrix(options{
				seed: c.Uint64("seed"), duration: c.Float("minutes") * 60_000, workers: c.Int("workers"),
				deployment: c.String("deployment"), scenario: c.String("scenario"), policy: c.String("policy"), loadFactor: c.Float("load"),
				engines: c.Int("engines"),
			})
			if err := printTables(os.Stdout, cells); err != nil {
				return err
			}
			return printTargets(os.Stdout, cells)
		},
	}
}

// runMatrix runs every combination that the options select, several in parallel.
func runMatrix(o options) []*cell {
	var cells []*cell
	for i := range load.Deployments {
		if o.engines > 0 {
			load.Deployments[i].Engines = o.engines
		}
		for _, s := range load.Scenarios {
			for _, l := range loadFactors {
				for _, c := range candidates {
					if o.selects(&load.Deployments[i], s, l, c) {
						cells = append(cells, &cell{deployment: &load.Deployments[i], scenario: s, loadFactor: l, candidate: c})
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

func (o *options) selects(d *load.Deployment, s load.Scenario, l float64, c candidate) bool {
	return (o.deployment == "" || o.deployment == d.Name) && (o.scenario == "" || o.scenario == s.Name) &&
		(o.loadFactor == 0 || o.loadFactor == l) && (o.policy == "" || o.policy == c.name)
}

func (c *cell) run(o options) {
	requests := c.deployment.Generate(o.seed, c.scenario, c.loadFactor, o.duration)
	run := policy.New(c.deployment, c.scenario, requests, c.candidate.shortest, c.candidate.build(c.deployment))
	run.Simulate()
	from := float64(warmup)
	if c.scenario.StartsFull {
		from = 0
	}
	c.result = measure.Evaluate(c.deployment, requests, from, o.duration)
}

// printTables prints one table per deployment and scenario.
func printTables(out io.Writer, cells []*cell) error {
	var w bytes.Buffer
	title := ""
	for _, c := range cells {
		if t := c.deployment.Name + ", " + c.scenario.Name; t != title {
			title = t
			fmt.Fprintf(&w, "\n%s\n\n%s\n%s\n", title, tableHeader, tableSeparator)
		}
		c.printRow(&w)
	}
	_, err := w.WriteTo(out)
	return err
}

const tableHeader = "| load | policy | TTFT ms p50/p95/p99 <4k | 4k-32k | 32k-100k | >100k | urgent slowdown p50/p95/p99 | first token | in time | refused | missed | long in time | goodput | wasted | shares |"

var tableSeparator = "|" + strings.Repeat(" --- |", strings.Count(tableHeader, "|")-1)

func (c *cell) printRow(w *bytes.Buffer) {
	r := &c.result
	fmt.Fprintf(w, "| %.1f | %s |", c.loadFactor, c.candidate.name)
	for _, q := range r.FirstToken {
		fmt.Fprintf(w, " %.0f/%.0f/%.0f |", q.P50, q.P95, q.P99)
	}
	fmt.Fprintf(w, " %.2f/%.2f/%.2f | %.2f/%.2f/%.2f |", r.Slowdown.P50, r.Slowdown.P95, r.Slowdown.P99,
		r.FirstTokenSlowdown.P50, r.FirstTokenSlowdown.P95, r.FirstTokenSlowdown.P99)
	n := float64(max(r.Requests, 1))
	fmt.Fprintf(w, " %.2f%% | %.2f%% | %.3f%% | %d/%d of %d | %.1f%% | %.2f%% | %s |\n", 100*float64(r.InTime)/n, 100*float64(r.Refused)/n,
		100*float64(r.Missed)/n, r.LongInTime, r.LongAdmitted, r.Long, 100*r.Goodput, 100*r.WastedPrefill, shares(r))
}

// shares formats the first workspace's share of the goodput and the range of the other workspaces'
// shares.
func shares(r *measure.Result) string {
	low, high := 1.0, 0.0
	for _, s := range r.GoodputShares[1:] {
		low, high = min(low, s), max(high, s)
	}
	return fmt.Sprintf("%.0f%% + %.0f-%.0f%%", 100*r.GoodputShares[0], 100*low, 100*high)
}
