// Program emulator emulates the platform, model engines and services, generates load, and runs small
// local deployments. Each command is in its own file and registers itself.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/urfave/cli/v3"
)

var commands []*cli.Command

// register adds a command. The file of each command calls it from init. The values of repeated flags
// are not split at commas, since settings may contain commas.
func register(c *cli.Command) {
	c.DisableSliceFlagSeparator = true
	commands = append(commands, c)
}

func main() {
	if err := run(); err != nil {
		fmt.Fprintln(os.Stderr, "emulator:", err)
		os.Exit(1)
	}
}

func run() error {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	root := &cli.Command{
		Name:     "emulator",
		Usage:    "emulate the platform and upstreams, generate load, run a local deployment",
		Commands: commands,
	}
	return root.Run(ctx, os.Args)
}

// emulatorFlags are common to the commands that run one emulated server.
func emulatorFlags() []cli.Flag {
	return []cli.Flag{
		&cli.StringFlag{Name: "listen", Value: "127.0.0.1:0", Usage: "`HOST:PORT` to listen on; port 0 chooses a free port"},
		&cli.StringFlag{Name: "settings", Usage: "`FILE` of JSON with comments"},
		&cli.StringSliceFlag{Name: "set", Usage: "one setting, `FIELD=VALUE`; may be repeated"},
	}
}
