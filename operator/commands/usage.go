package commands

import (
	"context"

	"github.com/urfave/cli/v3"

	answers "snipeshift.example/lib/operator"
	"snipeshift.example/operator/daemon"
	"snipeshift.example/operator/table"
)

func init() { register(usageByWorkspace) }

func usageByWorkspace() *cli.Command {
	return &cli.Command{
		Name:   "usage",
		Usage:  "show what each workspace used: requests, prompt tokens, cached ones among them, output tokens",
		Action: runUsage,
	}
}

func runUsage(ctx context.Context, c *cli.Command) error {
	f, err := newFleet(ctx, c)
	if err != nil {
		return err
	}
	counters, misses := daemon.Collect[answers.UsageCounter](ctx, f, answers.PathUsage)
	if err := show(c, answers.SumUsage(counters), table.Totals); err != nil {
		return err
	}
	return partial(misses, len(f.Members))
}
