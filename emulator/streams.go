package main

import (
	"context"
	"encoding/json"
	"errors"
	"os"
	"time"

	"github.com/urfave/cli/v3"

	"snipeshift.example/emulator/load"
	"snipeshift.example/emulator/local"
)

func init() {
	register(&cli.Command{
		Name:  "streams",
		Usage: "measure a daemon's memory with many streams open",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "address", Required: true, Usage: "`HOST:PORT` of a daemon"},
			&cli.IntFlag{Name: "pid", Required: true, Usage: "its process id"},
			&cli.IntFlag{Name: "count", Value: 1000, Usage: "how many streams"},
			&cli.StringFlag{Name: "key", Value: local.APIKey("thiruvananthapuram"), Usage: "API key"},
			&cli.StringFlag{Name: "model", Value: "notice-drafter", Usage: "model"},
			&cli.StringFlag{Name: "kind", Value: "ward-notice", Usage: "request kind"},
			&cli.IntFlag{Name: "output", Value: 2000, Usage: "length of each answer in tokens"},
			&cli.DurationFlag{Name: "settle", Value: settleTime, Usage: "how long all stay open before the measure"},
		},
		Action: runStreams,
	})
}

// settleTime lets a daemon's heap take its size.
const settleTime = 3 * time.Second

func runStreams(ctx context.Context, c *cli.Command) error {
	h, err := load.MeasureStreams(ctx, load.StreamsSetup{
		Address: c.String("address"),
		Pid:     c.Int("pid"),
		Count:   c.Int("count"),
		Key:     c.String("key"),
		Model:   c.String("model"),
		Kind:    c.String("kind"),
		Output:  c.Int("output"),
		Settle:  c.Duration("settle"),
	})
	if err != nil {
		return err
	}
	if err := json.NewEncoder(os.Stdout).Encode(h); err != nil {
		return err
	}
	if h.Reason != "" {
		return errors.New(h.Reason)
	}
	return nil
}
