// Command snipeshiftd is the daemon that runs on every entry VM. It accepts requests from clients,
// owns a share of the pools (it places their requests on upstreams), and exchanges state with the
// daemons on other VMs and with the platform's store.
package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/urfave/cli/v3"

	"snipeshift.example/daemon/settings"
)

// version is set by the linker on releases.
var version = "dev"

func main() {
	if err := command().Run(context.Background(), os.Args); err != nil {
		fmt.Fprintln(os.Stderr, "snipeshiftd:", err)
		os.Exit(1)
	}
}

func command() *cli.Command {
	return &cli.Command{
		Name:    "snipeshiftd",
		Usage:   "serve clients of language models and plain services on this VM",
		Version: version,
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "settings", Usage: "settings `FILE` of this VM"},
			&cli.BoolFlag{Name: "check", Usage: "check the settings and exit"},
		},
		Action: run,
		Commands: []*cli.Command{{
			Name:  "relay",
			Usage: "relay opaque requests on a platform that provides the configuration document and the list of upstreams",
			Flags: []cli.Flag{
				&cli.StringFlag{Name: "settings", Usage: "settings `FILE` of this VM", Required: true},
				&cli.BoolFlag{Name: "check", Usage: "check the settings and exit"},
			},
			Action: runRelayCommand,
		}},
	}
}

func runRelayCommand(ctx context.Context, c *cli.Command) error {
	s, err := settings.ReadRelay(c.String("settings"))
	if err != nil || c.Bool("check") {
		return err
	}
	ctx, stop := signal.NotifyContext(ctx, syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	// The settings are read only at the start, so a SIGHUP has nothing to reload, and it must not
	// end the process.
	signal.Ignore(syscall.SIGHUP)
	return runRelay(ctx, s)
}

func run(ctx context.Context, c *cli.Command) error {
	if c.String("settings") == "" {
		return errors.New("missing flag: --settings FILE is required")
	}
	s, err := settings.Read(c.String("settings"))
	if err != nil {
		return err
	}
	if c.Bool("check") {
		return nil
	}
	ctx, stop := signal.NotifyContext(ctx, syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	d, err := newDaemon(s)
	if err != nil {
		return err
	}
	return d.run(ctx)
}
