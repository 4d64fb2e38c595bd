// Command snipeshift is the command line tool for operators: it checks and applies the configuration
// document, and shows the state of the daemons.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"snipeshift.example/operator/commands"
)

func main() {
	os.Exit(run())
}

func run() int {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	return commands.Run(ctx, os.Args, os.Stdin, os.Stdout, os.Stderr)
}
