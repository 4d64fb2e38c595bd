// Command bench measures the decisions under load against baselines.
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
		Usage:    "measures snipeshift's decisions in a seeded model",
		Commands: []*cli.Command{decideCommand(), passesCommand(), whatifCommand()},
	}
	if err := app.Run(context.Background(), os.Args); err != nil {
		fmt.Fprintln(os.Stderr, "bench:", err)
		os.Exit(1)
	}
}
