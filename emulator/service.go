package main

import (
	"context"
	"errors"
	"os"

	"github.com/urfave/cli/v3"

	"snipeshift.example/emulator/listen"
	"snipeshift.example/emulator/service"
	"snipeshift.example/emulator/settings"
	"snipeshift.example/lib/clock"
)

func init() {
	register(&cli.Command{
		Name:   "service",
		Usage:  "run an emulated plain service",
		Flags:  emulatorFlags(),
		Action: runService,
	})
}

func runService(ctx context.Context, c *cli.Command) (err error) {
	s := service.Defaults()
	if err := settings.Load(c.String("settings"), c.StringSlice("set"), &s); err != nil {
		return err
	}
	v, err := service.New(s, clock.New())
	if err != nil {
		return err
	}
	defer func() { err = errors.Join(err, v.Close()) }()
	return listen.Serve(ctx, listen.Server{
		Program: "service",
		Name:    s.Name,
		Address: c.String("listen"),
		Handler: v,
	}, os.Stdout)
}
