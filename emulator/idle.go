package main

import (
	"context"
	"encoding/json"
	"os"
	"time"

	"github.com/urfave/cli/v3"

	"snipeshift.example/emulator/experiment"
	"snipeshift.example/emulator/local"
)

func init() {
	register(&cli.Command{
		Name:  "idle",
		Usage: "measure what a daemon without requests consumes, by size of the deployment",
		Flags: append(localFlags(),
			&cli.StringFlag{Name: "deployment", Value: string(local.Directorate), Usage: "directorate or indus"},
			&cli.StringSliceFlag{Name: "size", Value: []string{"12x3", "60x3", "240x3", "12x9"}, Usage: "deployment to measure, `ENGINESxDAEMONS`; may be repeated"},
			&cli.DurationFlag{Name: "settle", Value: defaultSettle, Usage: "wait between readiness and the measurement"},
			&cli.DurationFlag{Name: "span", Value: defaultIdleDuration, Usage: "length of the measurement"},
			&cli.StringSliceFlag{Name: "set", Usage: "one setting for every engine, `FIELD=VALUE`; may be repeated"},
		),
		Action: runIdle,
	})
}

// defaultIdleDuration is long compared to the longest period of a daemon's background work.
const defaultIdleDuration = 20 * time.Second

func runIdle(ctx context.Context, c *cli.Command) error {
	o, err := localOptions(c)
	if err != nil {
		return err
	}
	o.EngineSettings = c.StringSlice("set")
	var sizes []experiment.Size
	for _, s := range c.StringSlice("size") {
		z, err := experiment.ParseSize(s)
		if err != nil {
			return err
		}
		sizes = append(sizes, z)
	}
	rows, err := experiment.MeasureIdle(ctx, o, sizes, c.Duration("settle"), c.Duration("span"))
	if err != nil {
		return err
	}
	if err := experiment.IdleTable(rows, os.Stderr); err != nil {
		return err
	}
	return json.NewEncoder(os.Stdout).Encode(rows)
}
