// Command bench measures scheduling decisions under load, in a seeded simulation, and compares them
// with baseline policies.
package main

import (
	"context"
	"fmt"
	"os"

	"github.com/urfave/cli/v3"
)

func main() {
	app := &cli.Command{
		Name:     "bench",
		Usage:    "measures snipeshift's scheduling decisions in a seeded simulation",
		Commands: []*cli.Command{decideCommand(), passesCommand(), whatifCommand(), fleetCommand()},
	}
	if err := app.Run(context.Background(), os.Args); err != nil {
		fmt.Fprintln(os.Stderr, "bench:", err)
		os.Exit(1)
	}
}
