package main

import (
	"context"
	"errors"
	"os"

	"github.com/urfave/cli/v3"

	"snipeshift.example/emulator/engine"
	"snipeshift.example/emulator/listen"
	"snipeshift.example/emulator/settings"
	"snipeshift.example/lib/clock"
)

func init() {
	register(&cli.Command{
		Name:   "engine",
		Usage:  "run an emulated model engine",
		Flags:  emulatorFlags(),
		Action: runEngine,
	})
}

func runEngine(ctx context.Context, c *cli.Command) (err error) {
	s := engine.Defaults()
	if err := settings.Load(c.String("settings"), c.StringSlice("set"), &s); err != nil {
		return err
	}
	e, err := engine.New(s, clock.New())
	if err != nil {
		return err
	}
	defer func() { err = errors.Join(err, e.Close()) }()
	return listen.Serve(ctx, listen.Server{
		Program: "engine",
		Name:    s.Name,
		Address: c.String("listen"),
		Handler: e,
		Drain:   e.Drain,
	}, os.Stdout)
}
