package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"time"

	"github.com/urfave/cli/v3"

	"snipeshift.example/bench/fleet"
	"snipeshift.example/daemon/member"
	"snipeshift.example/lib/clock"
)

func fleetCommand() *cli.Command {
	return &cli.Command{
		Name:  "fleet",
		Usage: "simulates the heartbeats of fleets of several sizes that start all at once",
		Flags: []cli.Flag{
			&cli.IntSliceFlag{Name: "vms", Value: []int{30, 100, 300, 1000}, Usage: "sizes of the fleets"},
			&cli.Uint64Flag{Name: "seed", Value: 1, Usage: "seed of the random choices"},
			&cli.DurationFlag{Name: "for", Value: time.Minute, Usage: "simulated time"},
			&cli.FloatFlag{Name: "lost", Value: 0.001, Usage: "share of messages that are lost"},
			&cli.FloatFlag{Name: "killed", Value: 0.05, Usage: "share of VMs that lose power halfway through"},
			&cli.FloatFlag{Name: "frozen", Value: 0.01, Usage: "share of VMs that freeze at a quarter of the time"},
			&cli.FloatFlag{Name: "cut", Value: 0.01, Usage: "share of VMs from which nothing arrives at three quarters of the time"},
			&cli.DurationFlag{Name: "down", Value: 12 * time.Second, Usage: "how long each fault lasts"},
			&cli.FloatFlag{Name: "partitioned", Usage: "simulate instead a share of VMs that lose their paths to all upstreams"},
			&cli.IntFlag{Name: "bad-parts", Usage: "simulate instead a number of parts of prompts that crash upstreams; --vms are upstreams then"},
			&cli.FloatFlag{Name: "rate", Value: 14, Usage: "new connections to upstreams per second and VM, with --partitioned"},
			&cli.IntSliceFlag{Name: "deciders", Usage: "simulate instead the choice of upstreams by these numbers of deciders that do not know of each other's requests"},
			&cli.IntSliceFlag{Name: "ages", Value: []int{50, 500, 2000}, Usage: "mean ages of reports in milliseconds, with --deciders"},
			&cli.StringSliceFlag{Name: "policy", Usage: "only these policies, with --deciders"},
			&cli.StringFlag{Name: "case", Usage: "only this kind of load, with --deciders: steady, unequal, burst, false, stopped, changing or low"},
			&cli.IntFlag{Name: "shares", Usage: "simulate instead an overloaded owner of this many engines, with and without shares of workspaces; --vms are gates then"},
			&cli.BoolFlag{Name: "json", Usage: "print JSON in place of a table"},
		},
		Action: func(_ context.Context, c *cli.Command) error {
			if len(c.IntSlice("deciders")) > 0 {
				return simulateDeciders(c)
			}
			if cut := c.Float("partitioned"); cut > 0 {
				return simulatePaths(c, cut)
			}
			if n := c.Int("shares"); n > 0 {
				return simulateShares(c, n)
			}
			if n := c.Int("bad-parts"); n > 0 {
				return simulateParts(c, n)
			}
			var results []fleet.Result
			for _, n := range c.IntSlice("vms") {
				results = append(results, fleet.Run(fleet.Load{
					VMs: n, Seed: c.Uint64("seed"), For: clock.Of(c.Duration("for")), Lost: c.Float("lost"),
					Killed: c.Float("killed"), Frozen: c.Float("frozen"), Cut: c.Float("cut"), Down: clock.Of(c.Duration("down")),
				}, member.RelayRules))
			}
			if c.Bool("json") {
				return json.NewEncoder(c.Root().Writer).Encode(results)
			}
			printFleets(c.Root().Writer, results)
			return nil
		},
	}
}

// simulatePaths prints a row for each size of a fleet in which a share of the VMs loses its paths to all upstreams.
func simulatePaths(c *cli.Command, cut float64) error {
	var results []fleet.PathResult
	for _, n := range c.IntSlice("vms") {
		results = append(results, fleet.RunPaths(fleet.PathLoad{VMs: n, Seed: c.Uint64("seed"), Cut: cut, Rate: c.Float("rate"), For: clock.Of(c.Duration("for"))}))
	}
	w := c.Root().Writer
	if c.Bool("json") {
		return json.NewEncoder(w).Encode(results)
	}
	fmt.Fprintf(w, "%6s %6s %16s %16s %8s %12s %12s %8s\n", "VMs", "cut", "failed in 1 s", "failed later", "asked", "carried/s", "most/s", "p99 ms")
	for _, r := range results {
		fmt.Fprintf(w, "%6d %6d %16s %16s %8.2f %12.1f %12.1f %8d\n", r.VMs, r.Cut, fmt.Sprintf("%d of %d", r.FailedFirst, r.ConnectsFirst),
			fmt.Sprintf("%d of %d", r.Failed, r.Connects), r.Asked, r.Median, r.Most, r.Slowest)
	}
	return nil
}

// Rates of simulateParts, for each upstream: sound requests a second, and crashes without a cause in any request.
const (
	soundRate = 11
	crashRate = 0.002
	// badRate is the number of requests a second with each bad part.
	badRate = 10
)

// simulateParts prints a row for each number of upstreams of a service whose prompts hold bad parts.
func simulateParts(c *cli.Command, bad int) error {
	var results []fleet.PartResult
	for _, n := range c.IntSlice("vms") {
		results = append(results, fleet.RunParts(fleet.PartLoad{
			Engines: n, Seed: c.Uint64("seed"), Rate: soundRate * float64(n), BadRate: badRate, Bad: bad, Crashes: crashRate * float64(n), For: clock.Of(c.Duration("for")),
		}))
	}
	w := c.Root().Writer
	if c.Bool("json") {
		return json.NewEncoder(w).Encode(results)
	}
	fmt.Fprintf(w, "%9s %8s %10s %8s %10s %10s %9s %9s %9s %8s\n", "upstreams", "crashes", "most/part", "others", "verdict ms", "sound", "refused", "held", "held ms", "copied")
	for _, r := range results {
		fmt.Fprintf(w, "%9d %8d %10d %8d %10d %10d %9d %9d %9d %8d\n", r.Engines, r.Crashes, r.MostCrashes, r.Others, r.Verdict, r.Sound, r.Refused, r.Held, r.HeldFor, r.Copied)
	}
	return nil
}

// printFleets prints a row for each size. Traffic is what a VM sends on average, in bytes.
func printFleets(w io.Writer, results []fleet.Result) {
	fmt.Fprintf(w, "%6s %12s %12s %14s %14s %10s %10s %10s %10s %8s\n",
		"VMs", "start B/VM", "rows B/VM", "opened B/VM", "later B/s/VM", "msg/s/VM", "agreed ms", "noticed ms", "rejoined", "false")
	for _, r := range results {
		n := float64(r.VMs)
		later := max(r.Rest.For.Duration().Seconds(), 1)
		fmt.Fprintf(w, "%6d %12.0f %12.0f %14.0f %14.0f %10.1f %10d %10d %10d %8d\n",
			r.VMs, float64(r.Start.Bytes)/n, float64(r.Start.Rows)/n, float64(r.Start.Opened)/n, float64(r.Rest.Bytes)/n/later,
			float64(r.Rest.Messages)/n/later, r.Agreed, r.Noticed, r.Rejoined, r.FalseDeaths)
	}
}
