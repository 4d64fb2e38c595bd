package commands

import (
	"context"

	"github.com/urfave/cli/v3"

	answers "snipeshift.example/lib/operator"
	"snipeshift.example/operator/table"
)

func init() { register(upstreams) }

func upstreams() *cli.Command {
	return &cli.Command{
		Name:   "upstreams",
		Usage:  "list the upstreams with state, load and memory as reported by the owners of their pools",
		Action: runUpstreams,
	}
}

func runUpstreams(ctx context.Context, c *cli.Command) error {
	return collectAndShow(ctx, c, answers.PathUpstreams, table.Upstreams, func(u answers.Upstream) string { return string(u.Name) })
}
