package main

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"sort"

	"github.com/urfave/cli/v3"

	"snipeshift.example/bench/passes"
	"snipeshift.example/lib/decide/span"
)

// passesCommand measures the placement of prompts whose prefill is split over several engines.
func passesCommand() *cli.Command {
	return &cli.Command{
		Name:  "passes",
		Usage: "runs seeded loads of short and very long prompts on simulated engines that work in passes (batch iterations)",
		Flags: []cli.Flag{
			&cli.IntFlag{Name: "seeds", Value: 10, Usage: "run each load with `N` seeds"},
			&cli.StringFlag{Name: "load", Usage: "run only the load `NAME`"},
			&cli.BoolFlag{Name: "alone", Usage: "prefill each prompt on a single engine, as a baseline"},
			&cli.BoolFlag{Name: "forecast", Usage: "refuse requests by the forecast of their wait"},
			&cli.IntFlag{Name: "audit", Usage: "compare the refusals with an oracle, in up to `N` repetitions of each simulation"},
		},
		Action: func(_ context.Context, c *cli.Command) error {
			rules := span.DefaultRules
			if c.Bool("alone") {
				rules.MaxGroup = 1
			}
			if n := c.Int("audit"); n > 0 {
				printAudits(c.Int("seeds"), c.String("load"), rules, c.Bool("forecast"), n)
				return nil
			}
			printPasses(c.Int("seeds"), c.String("load"), rules, c.Bool("forecast"))
			return nil
		},
	}
}

func printPasses(seeds int, only string, rules span.Rules, forecast bool) {
	loads := passes.Loads()
	names := make([]string, 0, len(loads))
	for n := range loads {
		names = append(names, n)
	}
	sort.Strings(names)
	fmt.Printf("%-10s %6s %6s %5s %5s  %s\n", "load", "worth", "net", "busy", "read", "kind: in time, late, lost %; first event p50 p99 ms; pause too long %")
	for _, n := range names {
		if only != "" && only != n {
			continue
		}
		loads[n].Forecast = forecast
		var worth, net, busy, prefill float64
		kinds := map[string]*passes.KindResult{}
		for s := range seeds {
			r := passes.Simulate(loads[n], rules, uint64(s+1))
			worth += r.Worth
			net += r.Net
			busy += r.BusyFraction
			prefill += r.PrefillFraction
			for k, v := range r.Kinds {
				if kinds[k] == nil {
					kinds[k] = &passes.KindResult{}
				}
				kinds[k].Add(v)
			}
		}
		m := float64(seeds)
		mean := worth / m
		fmt.Printf("%-10s %6.3f %6.3f %5.2f %5.2f ", n, mean, net/m, busy/m, prefill/m)
		for _, k := range []string{"note", "file", "history"} {
			v := kinds[k]
			all := max(float64(v.Requests), 1)
			fmt.Printf(" %s: %.1f %.1f %.1f; %.0f %.0f; %.1f ", k, 100*float64(v.InTime)/all, 100*float64(v.Late)/all, 100*float64(v.Lost)/all,
				v.FirstP50/m, v.FirstP99/m, 100*v.PausedTooLong/all)
		}
		fmt.Println()
	}
}

// printAudits prints the shares of wrongly refused and of uselessly queued requests.
func printAudits(seeds int, only string, rules span.Rules, forecast bool, repetitions int) {
	loads := passes.Loads()
	fmt.Printf("%-10s %9s %9s %9s %9s %9s\n", "load", "requests", "refused %", "sampled", "wrong %", "useless %")
	for _, n := range slices.Sorted(maps.Keys(loads)) {
		if only != "" && only != n {
			continue
		}
		loads[n].Forecast = forecast
		var a passes.Audit
		for s := range seeds {
			a.Add(passes.AuditLoad(loads[n], rules, uint64(s+1), repetitions))
		}
		fmt.Printf("%-10s %9d %9.2f %9d %9.2f %9.2f\n", n, a.Requests, 100*float64(a.Refused)/float64(max(a.Requests, 1)), a.Sampled, 100*a.WrongRate(), 100*a.UselessRate())
	}
}
