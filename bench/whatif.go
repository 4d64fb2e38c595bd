package main

import (
	"context"
	"fmt"
	"io"
	"os"
	"strconv"
	"strings"

	"github.com/urfave/cli/v3"

	"snipeshift.example/bench/passes"
	"snipeshift.example/bench/whatif"
	"snipeshift.example/lib/clock"
	"snipeshift.example/lib/decide/span"
)

// whatifCommand replays the requests of logs against the scheduling decisions, with simulated
// engines.
func whatifCommand() *cli.Command {
	return &cli.Command{
		Name:      "whatif",
		Usage:     "replays the requests in the logs of VMs against the scheduling decisions, with simulated engines",
		ArgsUsage: "LOG...",
		Flags: []cli.Flag{
			&cli.IntFlag{Name: "engines", Usage: "simulate `N` engines in place of the number in the logs"},
			&cli.StringFlag{Name: "mix", Usage: "factors for the number of requests by aim (target time to the first event) in ms, such as `300=1.5,3000=0.5`"},
			&cli.StringFlag{Name: "worth", Usage: "value of a response in time by aim in ms, such as `300=1.3,3000=22`; 1 for aims not listed"},
			&cli.Uint64Flag{Name: "seed", Value: 1, Usage: "`SEED` for the changed mix and for the search"},
			&cli.BoolFlag{Name: "alone", Usage: "prefill each prompt on a single engine"},
			&cli.BoolFlag{Name: "bound", Usage: "also print an upper bound for any scheduler, and the best result of a search"},
			&cli.DurationFlag{Name: "phase", Usage: "also print the results for each `SPAN` of the log"},
			&cli.IntFlag{Name: "tries", Value: 40, Usage: "number `N` of simulations in the search"},
		},
		Action: func(_ context.Context, c *cli.Command) error {
			change, err := parseChange(c)
			if err != nil {
				return err
			}
			l, err := readLogs(c.Args().Slice())
			if err != nil {
				return err
			}
			return printTraces(c, l, change)
		},
	}
}

func parseChange(c *cli.Command) (whatif.Change, error) {
	mix, err := parseByAim(c.String("mix"))
	if err != nil {
		return whatif.Change{}, fmt.Errorf("mix: %w", err)
	}
	worth, err := parseByAim(c.String("worth"))
	if err != nil {
		return whatif.Change{}, fmt.Errorf("worth: %w", err)
	}
	return whatif.Change{Engines: c.Int("engines"), Mix: mix, Worth: worth, Seed: c.Uint64("seed")}, nil
}

// parseByAim parses numbers by aim in milliseconds, such as 300=1.5,3000=0.5.
func parseByAim(text string) (map[clock.Milli]float64, error) {
	out := map[clock.Milli]float64{}
	if text == "" {
		return out, nil
	}
	for part := range strings.SplitSeq(text, ",") {
		aim, value, _ := strings.Cut(part, "=")
		ms, err := strconv.ParseInt(aim, 10, 64)
		if err != nil {
			return nil, fmt.Errorf("%q is not AIM=NUMBER", part)
		}
		n, err := strconv.ParseFloat(value, 64)
		if err != nil || n < 0 {
			return nil, fmt.Errorf("%q is not AIM=NUMBER", part)
		}
		out[clock.Milli(ms)] = n
	}
	return out, nil
}

// readLogs reads the named files, or standard input if none is named.
func readLogs(names []string) (*whatif.Log, error) {
	if len(names) == 0 {
		return whatif.Read(os.Stdin)
	}
	var logs []io.Reader
	for _, n := range names {
		f, err := os.Open(n)
		if err != nil {
			return nil, err
		}
		defer f.Close()
		logs = append(logs, f)
	}
	return whatif.Read(logs...)
}

func printTraces(c *cli.Command, l *whatif.Log, change whatif.Change) error {
	fmt.Print(l.Gaps.String())
	traces, err := whatif.Traces(l, change)
	if err != nil {
		return err
	}
	rules := span.DefaultRules
	if c.Bool("alone") {
		rules.MaxGroup = 1
	}
	for i := range traces {
		d := &traces[i]
		r := d.Simulate(rules)
		d.Print(os.Stdout, &r)
		var outcomes []passes.Outcome
		if c.Bool("bound") {
			simulated, bound := d.SimulatedTallies(&r).WorthFraction(), d.UpperBound()
			var found float64
			found, outcomes = d.Search(c.Int("tries"), c.Uint64("seed"))
			fmt.Printf("upper bound for any scheduler %.3f, best of the search %.3f; the simulation reached %.3f and %.3f of these\n",
				bound, found, simulated/max(bound, 1e-9), simulated/max(found, 1e-9))
		}
		if length := clock.Of(c.Duration("phase")); length > 0 {
			whatif.PrintPhases(os.Stdout, d.Phases(&r, outcomes, length))
		}
	}
	return nil
}
