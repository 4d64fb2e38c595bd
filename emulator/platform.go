package main

import (
	"context"
	"os"

	"github.com/urfave/cli/v3"

	"snipeshift.example/emulator/listen"
	"snipeshift.example/emulator/platform"
	"snipeshift.example/emulator/settings"
	"snipeshift.example/lib/clock"
)

func init() {
	register(&cli.Command{
		Name:   "platform",
		Usage:  "run an emulated platform: the object store and the list of VMs",
		Flags:  emulatorFlags(),
		Action: runPlatform,
	})
}

func runPlatform(ctx context.Context, c *cli.Command) error {
	s := platform.Defaults()
	if err := settings.Load(c.String("settings"), c.StringSlice("set"), &s); err != nil {
		return err
	}
	return listen.Serve(ctx, listen.Server{
		Program: "platform",
		Name:    "platform",
		Address: c.String("listen"),
		Handler: platform.New(s, clock.New()),
	}, os.Stdout)
}
