package main

import (
	"context"
	"os"

	"github.com/urfave/cli/v3"

	"snipeshift.example/emulator/fleet"
	"snipeshift.example/emulator/settings"
	"snipeshift.example/lib/clock"
)

func init() {
	register(&cli.Command{
		Name:  "fleet",
		Usage: "run many emulated engines and services in one process",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "settings", Required: true, Usage: "`FILE` of JSON with comments"},
		},
		Action: runFleet,
	})
}

func runFleet(ctx context.Context, c *cli.Command) error {
	var s fleet.Settings
	if err := settings.Load(c.String("settings"), nil, &s); err != nil {
		return err
	}
	return fleet.Serve(ctx, s, clock.New(), os.Stdout)
}
