package commands

import (
	"context"

	"github.com/urfave/cli/v3"

	"snipeshift.example/operator/table"
)

func init() { register(members) }

func members() *cli.Command {
	return &cli.Command{
		Name:   "members",
		Usage:  "list the daemons, their state and the revision in force on each",
		Action: runMembers,
	}
}

func runMembers(ctx context.Context, c *cli.Command) error {
	f, err := newFleet(ctx, c)
	if err != nil {
		return err
	}
	return showRows(c, f.Members, table.Members)
}
