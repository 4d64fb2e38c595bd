package main

import (
	"context"
	"encoding/json"
	"os"

	"github.com/urfave/cli/v3"

	"snipeshift.example/emulator/experiment"
)

func init() {
	register(&cli.Command{
		Name:  "experiment",
		Usage: "measure a local deployment at several levels of load, without and with long prompts",
		Flags: append(append(localFlags(), loadFlags()...),
			&cli.FloatSliceFlag{Name: "rate", Value: []float64{2, 5, 10}, Usage: "a level in requests per second; may be repeated"},
			&cli.StringSliceFlag{Name: "engine", Usage: "one setting for every engine, `FIELD=VALUE`; may be repeated"},
		),
		Action: runExperiment,
	})
}

func runExperiment(ctx context.Context, c *cli.Command) error {
	l, err := localOptions(c)
	if err != nil {
		return err
	}
	l.EngineSettings = c.StringSlice("engine")
	s, err := loadSettings(c)
	if err != nil {
		return err
	}
	pairs, err := experiment.Run(ctx, experiment.Options{Local: l, Load: s, Rates: c.FloatSlice("rate")})
	if err != nil {
		return err
	}
	if err := experiment.Table(pairs, os.Stderr); err != nil {
		return err
	}
	if err := json.NewEncoder(os.Stdout).Encode(pairs); err != nil {
		return err
	}
	if experiment.CountWrong(pairs) > 0 {
		return errWrong
	}
	return nil
}
