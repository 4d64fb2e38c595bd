package main

import (
	"context"
	"encoding/json"
	"errors"
	"os"

	"github.com/urfave/cli/v3"

	"snipeshift.example/emulator/caller"
	"snipeshift.example/emulator/load"
	"snipeshift.example/emulator/local"
	"snipeshift.example/emulator/settings"
)

func init() {
	register(&cli.Command{
		Name:   "load",
		Usage:  "send a mix of requests and check every answer",
		Flags:  loadFlags(),
		Action: runLoad,
	})
}

// loadFlags are common to the commands that send a mix of requests.
func loadFlags() []cli.Flag {
	return []cli.Flag{
		&cli.StringSliceFlag{Name: "address", Usage: "`HOST:PORT` of a daemon; may be repeated"},
		&cli.StringSliceFlag{Name: "operator", Usage: "its operator's `HOST:PORT`, in the same order; only ready daemons then get requests"},
		&cli.StringFlag{Name: "deployment", Value: string(local.Directorate), Usage: "whose mix: directorate or indus"},
		&cli.StringFlag{Name: "settings", Usage: "`FILE` of JSON with comments"},
		&cli.StringSliceFlag{Name: "set", Usage: "one setting, `FIELD=VALUE`; may be repeated"},
	}
}

func loadSettings(c *cli.Command) (load.Settings, error) {
	s, err := load.Defaults(local.Deployment(c.String("deployment")))
	if err != nil {
		return s, err
	}
	s.Addresses, s.Operators = c.StringSlice("address"), c.StringSlice("operator")
	return s, settings.Load(c.String("settings"), c.StringSlice("set"), &s)
}

// errWrong makes the exit status tell of wrong answers.
var errWrong = errors.New("there were wrong answers")

func runLoad(ctx context.Context, c *cli.Command) error {
	s, err := loadSettings(c)
	if err != nil {
		return err
	}
	r, err := load.Run(ctx, s)
	if err != nil {
		return err
	}
	if err := r.WriteText(os.Stderr); err != nil {
		return err
	}
	if err := json.NewEncoder(os.Stdout).Encode(r); err != nil {
		return err
	}
	if r.Outcomes[caller.Wrong] > 0 {
		return errWrong
	}
	return nil
}
