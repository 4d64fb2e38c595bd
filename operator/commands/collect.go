package commands

import (
	"cmp"
	"context"
	"slices"

	"github.com/urfave/cli/v3"

	"snipeshift.example/operator/daemon"
	"snipeshift.example/operator/table"
)

// collectAndShow collects the parts of a list from all daemons and prints it sorted by name.
func collectAndShow[R any](ctx context.Context, c *cli.Command, path string, columns []table.Column[R], name func(R) string) error {
	f, err := newFleet(ctx, c)
	if err != nil {
		return err
	}
	rows, failures := daemon.Collect[R](ctx, f, path)
	slices.SortStableFunc(rows, func(a, b R) int { return cmp.Compare(name(a), name(b)) })
	if err := showRows(c, rows, columns); err != nil {
		return err
	}
	return partialError(failures, len(f.Members))
}
