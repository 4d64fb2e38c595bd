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
		Usage: "measure the latency that a daemon adds, against the stand-in itself",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "direct", Required: true, Usage: "`HOST:PORT` of an engine or service"},
			&cli.StringFlag{Name: "through", Required: true, Usage: "`HOST:PORT` of a daemon"},
			&cli.FloatFlag{Name: "rate", Value: 500, Usage: "requests per second"},
			&cli.DurationFlag{Name: "slice", Value: defaultSlice, Usage: "how long each side runs at a time"},
			&cli.IntFlag{Name: "rounds", Value: 10, Usage: "how often both run"},
			&cli.StringFlag{Name: "key", Value: local.APIKey("thiruvananthapuram"), Usage: "API key"},
			&cli.StringFlag{Name: "model", Value: "notice-drafter", Usage: "model"},
			&cli.StringFlag{Name: "kind", Value: "ward-notice", Usage: "request kind"},
			&cli.StringFlag{Name: "service", Usage: "compare calls of this plain service"},
			&cli.IntFlag{Name: "tokens", Value: 1000, Usage: "length of the prompt"},
			&cli.IntFlag{Name: "output", Value: 4, Usage: "length of the answer in tokens"},
			&cli.IntFlag{Name: "seed", Value: 1, Usage: "seed of the requests"},
		},
		Action: runCompare,
	})
}

// defaultSlice is short against the drift of a shared machine.
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
		return errWrong
	}
	return nil
}
