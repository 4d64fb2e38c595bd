package main

import (
	"context"
	"encoding/json"
	"os"
	"time"

	"github.com/urfave/cli/v3"

	"snipeshift.example/emulator/load"
	"snipeshift.example/emulator/local"
)

func init() {
	register(&cli.Command{
		Name:  "compare",
		Usage: "measure the latency that a daemon adds, compared to direct requests",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "direct", Required: true, Usage: "`HOST:PORT` of an engine or service"},
			&cli.StringFlag{Name: "through", Required: true, Usage: "`HOST:PORT` of a daemon"},
			&cli.FloatFlag{Name: "rate", Value: 500, Usage: "requests per second"},
			&cli.DurationFlag{Name: "slice", Value: defaultSlice, Usage: "time on each path before switching to the other"},
			&cli.IntFlag{Name: "rounds", Value: 10, Usage: "number of slices of each path"},
			&cli.StringFlag{Name: "key", Value: local.APIKey("thiruvananthapuram"), Usage: "API key"},
			&cli.StringFlag{Name: "model", Value: "notice-drafter", Usage: "model"},
			&cli.StringFlag{Name: "kind", Value: "ward-notice", Usage: "request kind"},
			&cli.StringFlag{Name: "service", Usage: "compare calls of this plain service instead of the model"},
			&cli.IntFlag{Name: "tokens", Value: 1000, Usage: "length of the prompt in tokens"},
			&cli.IntFlag{Name: "output", Value: 4, Usage: "length of the answer in tokens"},
			&cli.IntFlag{Name: "seed", Value: 1, Usage: "random seed of the requests"},
		},
		Action: runCompare,
	})
}

// defaultSlice is short compared to the time in which the load of a shared machine changes.
const defaultSlice = time.Second

func runCompare(ctx context.Context, c *cli.Command) error {
	r, err := load.Compare(ctx, load.Comparison{
		Direct:  c.String("direct"),
		Through: c.String("through"),
		Rate:    c.Float("rate"),
		Slice:   c.Duration("slice"),
		Rounds:  c.Int("rounds"),
		Key:     c.String("key"),
		Model:   c.String("model"),
		Kind:    c.String("kind"),
		Service: c.String("service"),
		Tokens:  c.Int("tokens"),
		Output:  c.Int("output"),
		Seed:    uint64(c.Int("seed")),
	})
	if err != nil {
		return err
	}
	if err := r.WriteText(os.Stderr); err != nil {
		return err
	}
	if err := json.NewEncoder(os.Stdout).Encode(r); err != nil {
		return err
	}
	if r.Wrong() > 0 {
		return errWrongAnswers
	}
	return nil
}
