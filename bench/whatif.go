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

// whatifCommand plays the requests of logs through the decisions again.
func whatifCommand() *cli.Command {
	return &cli.Command{
		Name:      "whatif",
		Usage:     "plays the requests of VMs' logs through the decisions again, on a model of the engines",
		ArgsUsage: "LOG...",
		Flags: []cli.Flag{
			&cli.IntFlag{Name: "engines", Usage: "`N` engines in place of those that were there"},
			&cli.StringFlag{Name: "mix", Usage: "other numbers of requests by aim in ms, such as `300=1.5,3000=0.5`"},
			&cli.StringFlag{Name: "worth", Usage: "what an answer in time is worth by aim in ms, such as `300=1.3,3000=22`; 1 where not named"},
			&cli.Uint64Flag{Name: "seed", Value: 1, Usage: "`SEED` of a changed mix and of the search"},
			&cli.BoolFlag{Name: "alone", Usage: "each prompt is read by one engine"},
			&cli.BoolFlag{Name: "bound", Usage: "also print what no planner exceeds, and what a search finds"},
			&cli.DurationFlag{Name: "phase", Usage: "also print what each `SPAN` of the day got"},
			&cli.IntFlag{Name: "tries", Value: 40, Usage: "`N` plays of the search"},
		},
		Action: func(_ context.Context, c *cli.Command) error {
			change, err := changeOf(c)
			if err != nil {
				return err
			}
			l, err := readLogs(c.Args().Slice())
			if err != nil {
				return err
			}
			return printDays(c, l, change)
		},
	}
}

func changeOf(c *cli.Command) (whatif.Change, error) {
	mix, err := byAim(c.String("mix"))
	if err != nil {
		return whatif.Change{}, fmt.Errorf("mix: %w", err)
	}
	worth, err := byAim(c.String("worth"))
	if err != nil {
		return whatif.Change{}, fmt.Errorf("worth: %w", err)
	}
	return whatif.Change{Engines: c.Int("engines"), Mix: mix, Worth: worth, Seed: c.Uint64("seed")}, nil
}

// byAim reads numbers by aim, such as 300=1.5,3000=0.5.
func byAim(text string) (map[clock.Milli]float64, error) {
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

// readLogs reads files, or standard input where none is named.
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

func printDays(c *cli.Command, l *whatif.Log, change whatif.Change) error {
	fmt.Print(l.Gaps.String())
	days, err := whatif.Traces(l, change)
	if err != nil {
		return err
	}
	rules := span.DefaultRules
	if c.Bool("alone") {
		rules.MaxGroup = 1
	}
	for i := range days {
		d := &days[i]
		r := d.Simulate(rules)
		d.Print(os.Stdout, &r)
		var ends []passes.Outcome
		if c.Bool("bound") {
			share, most := d.SimulatedTallies(&r).WorthFraction(), d.UpperBound()
			var found float64
			found, ends = d.Search(c.Int("tries"), c.Uint64("seed"))
			fmt.Printf("bound: no planner exceeds %.3f; a search finds %.3f; the model's share of these is %.3f and %.3f\n",
				most, found, share/max(most, 1e-9), share/max(found, 1e-9))
		}
		if length := clock.Of(c.Duration("phase")); length > 0 {
			whatif.PrintPhases(os.Stdout, d.Phases(&r, ends, length))
		}
	}
	return nil
}
