package commands

import (
	"context"

	"github.com/urfave/cli/v3"

	"snipeshift.example/lib/document"
	"snipeshift.example/operator/store"
)

func init() { register(diff) }

func diff() *cli.Command {
	return &cli.Command{
		Name:      "diff",
		Usage:     "list what a file would change, or what differs between two files",
		ArgsUsage: "FILE [FILE]",
		Description: "Each line is a field with its names: + is added, - removed, ~ changed. Comments, layout and the " +
			"order of entries are ignored, except that the first kind is the default.",
		Action: runDiff,
	}
}

func runDiff(ctx context.Context, c *cli.Command) error {
	var before, after *document.Document
	var err error
	switch c.Args().Len() {
	case 1:
		before, err = newestDocument(ctx, c)
	case 2:
		_, before, err = loadDocument(c, c.Args().Get(0))
	default:
		return usageError("name one file, or two: snipeshift diff FILE [FILE]")
	}
	if err != nil {
		return err
	}
	_, after, err = loadDocument(c, c.Args().Get(c.Args().Len()-1))
	if err != nil {
		return err
	}
	return showChanges(c, before, after)
}

// newestDocument returns the document in the store, an empty one if there is none.
func newestDocument(ctx context.Context, c *cli.Command) (*document.Document, error) {
	s, err := newStore(c)
	if err != nil {
		return nil, err
	}
	now, err := store.Read(ctx, s)
	if err != nil {
		return nil, readError(err)
	}
	if now.Revision == 0 {
		return &document.Document{}, nil
	}
	d, ps := document.Parse(now.Text, "(store)")
	return d, ps.Err()
}

// showChanges prints the differences between two documents. It returns errDifferent if there are any.
func showChanges(c *cli.Command, before, after *document.Document) error {
	changes, err := document.Compare(before, after)
	if err != nil {
		return err
	}
	if asJSON(c) {
		if changes == nil {
			changes = []document.Change{}
		}
		if err := showJSON(c, changes); err != nil {
			return err
		}
	}
	for _, ch := range changes {
		if asJSON(c) {
			break
		}
		if err := printLine(c, "%s", ch); err != nil {
			return err
		}
	}
	if len(changes) > 0 {
		return errDifferent
	}
	return nil
}
