package commands

import (
	"bytes"
	"context"
	"errors"
	"time"

	"github.com/urfave/cli/v3"

	"snipeshift.example/lib/peer"
	"snipeshift.example/operator/store"
)

func init() { register(apply) }

const (
	flagRevision = "revision"
	flagWait     = "wait"
)

func apply() *cli.Command {
	return &cli.Command{
		Name:      "apply",
		Usage:     "check a configuration document and put it in force",
		ArgsUsage: "FILE",
		Description: "The document replaces the revision that --revision names, or else FILE in its first line, as printed by show, " +
			"or else the newest one. If that revision is no longer the newest, nothing is changed.",
		Flags: []cli.Flag{
			&cli.Uint64Flag{Name: flagRevision, Usage: "`REVISION` that the file was made from, 0 for none"},
			&cli.DurationFlag{Name: flagWait, Usage: "wait until it is in force on all daemons, at most this long"},
		},
		Action: runApply,
	}
}

func runApply(ctx context.Context, c *cli.Command) error {
	if c.Args().Len() != 1 {
		return usageError("name one file: snipeshift apply FILE")
	}
	name := c.Args().First()
	text, _, err := loadDocument(c, name)
	if err != nil {
		return err
	}
	s, err := newStore(c)
	if err != nil {
		return err
	}
	now, err := store.Read(ctx, s)
	if err != nil {
		return readError(err)
	}
	text, base, marked := cutRevisionLine(text)
	switch {
	case c.IsSet(flagRevision):
		base = peer.Revision(c.Uint64(flagRevision))
	case !marked:
		base = now.Revision
	}
	if now.Revision > 0 && bytes.Equal(now.Text, text) {
		return reportApplied(ctx, c, now.Revision, "is already in force as")
	}
	r, err := store.Write(ctx, s, base, text)
	if err != nil {
		return writeError(err, name, base)
	}
	return reportApplied(ctx, c, r, "is accepted as")
}

// writeError returns the error message for a failed write, with advice for each cause.
func writeError(err error, change string, base peer.Revision) error {
	switch {
	case errors.Is(err, errUsage):
		return err
	case errors.Is(err, store.ErrSuperseded):
		return withAdvice(err, "revision %d is no longer the newest, another change came first and %s is not in force: run snipeshift diff, take the change over and apply again", base, change)
	case errors.Is(err, store.ErrUnknown):
		return withAdvice(err, "it is not known whether %s took effect or still will: run snipeshift show until the store answers, and compare before applying again", change)
	default:
		return withAdvice(err, "the store accepted no change, %s is not in force: try again when the store responds (%v)", change, err)
	}
}

// changeOutput is the JSON output of a command that changes the document.
type changeOutput struct {
	Revision peer.Revision `json:"revision"`
}

// reportApplied prints that revision r is in the store and, with --wait, waits until it is in force
// on all daemons.
func reportApplied(ctx context.Context, c *cli.Command, r peer.Revision, outcome string) error {
	var err error
	if asJSON(c) {
		err = showJSON(c, changeOutput{r})
	} else {
		err = printLine(c, "the document %s revision %d", outcome, r)
	}
	if err != nil || c.Duration(flagWait) <= 0 {
		return err
	}
	return awaitRevision(ctx, c, r, c.Duration(flagWait))
}

// pollInterval is the interval between polls of the daemons.
const pollInterval = 250 * time.Millisecond

// awaitRevision waits until a revision is in force on all members, for at most limit. The limit does not
// bound the first poll of all members: a poll that it interrupts shows nothing of those that have not
// answered yet.
func awaitRevision(ctx context.Context, c *cli.Command, r peer.Revision, limit time.Duration) error {
	limited, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	t := time.NewTicker(pollInterval)
	defer t.Stop()
	f, err := newFleet(ctx, c)
	if err != nil {
		return err
	}
	behind := f.Behind(ctx, r)
	for len(behind) > 0 {
		select {
		case <-limited.Done():
			return withAdvice(errPartial, "revision %d is accepted but not known to be in force on %v; it will be, see snipeshift members", r, behind)
		case <-t.C:
		}
		if now := f.Behind(limited, r); limited.Err() == nil {
			behind = now
		}
	}
	return nil
}
