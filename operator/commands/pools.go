package commands

import (
	"context"

	"github.com/urfave/cli/v3"

	answers "snipeshift.example/lib/operator"
	"snipeshift.example/operator/table"
)

func init() { register(pools) }

func pools() *cli.Command {
	return &cli.Command{
		Name:   "pools",
		Usage:  "list the pools with owner, queue and estimated wait by urgency",
		Action: runPools,
	}
}

func runPools(ctx context.Context, c *cli.Command) error {
	return collectAndShow(ctx, c, answers.PathPools, table.Pools, func(p answers.Pool) string { return string(p.Pool) })
}
