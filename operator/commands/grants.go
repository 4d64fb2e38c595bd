package commands

import (
	"context"

	"github.com/urfave/cli/v3"

	answers "snipeshift.example/lib/operator"
	"snipeshift.example/operator/table"
)

func init() { register(grants) }

func grants() *cli.Command {
	return &cli.Command{
		Name:   "grants",
		Usage:  "list the live grants: which request runs on which upstreams, and the time left",
		Action: runGrants,
	}
}

func runGrants(ctx context.Context, c *cli.Command) error {
	return collectAndShow(ctx, c, answers.PathGrants, table.Grants, func(g answers.Grant) string { return string(g.Request) })
}
