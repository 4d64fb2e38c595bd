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
			&cli.BoolFlag{Name: "json", Usage: "print JSON in place of a table"},
		},
		Action: func(_ context.Context, c *cli.Command) error {
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
