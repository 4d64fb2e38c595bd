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
		Description: "The document replaces the revision that FILE names in its first line, as show prints it, " +
			"or --revision, or the newest one. If another operator was first, it is refused whole.",
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
	text, _, err := load(c, name)
	if err != nil {
		return err
	}
	s, err := newStore(c)
	if err != nil {
		return err
	}
	now, err := store.Read(ctx, s)
	if err != nil {
		return unread(err)
	}
	text, base, marked := unmark(text)
	switch {
	case c.IsSet(flagRevision):
		base = peer.Revision(c.Uint64(flagRevision))
	case !marked:
		base = now.Revision
	}
	if now.Revision > 0 && bytes.Equal(now.Text, text) {
		return applied(ctx, c, now.Revision, "is already in force as")
	}
	r, err := store.Write(ctx, s, base, text)
	if err != nil {
		return unwritten(err, name, base)
	}
	return applied(ctx, c, r, "is accepted as")
}

// unwritten gives each way that a write can fail its own line.
func unwritten(err error, what string, base peer.Revision) error {
	switch {
	case errors.Is(err, errUsage):
		return err
	case errors.Is(err, store.ErrSuperseded):
		return tell(err, "revision %d is no longer the newest, another change came first and %s is not in force: run snipeshift diff, take the change over and apply again", base, what)
	case errors.Is(err, store.ErrUnknown):
		return tell(err, "it is not known whether %s took effect or still will: run snipeshift show until the store answers, and compare before applying again", what)
	default:
		return tell(err, "the store took no change, %s is not in force: try again when it answers (%v)", what, err)
	}
}

// accepted is the JSON output of a change.
type accepted struct {
	Revision peer.Revision `json:"revision"`
}

// applied reports success and waits for the daemons if asked to.
func applied(ctx context.Context, c *cli.Command, r peer.Revision, how string) error {
	var err error
	if asJSON(c) {
		err = showJSON(c, accepted{r})
	} else {
		err = say(c, "the document %s revision %d", how, r)
	}
	if err != nil || c.Duration(flagWait) <= 0 {
		return err
	}
	return await(ctx, c, r, c.Duration(flagWait))
}

const awaitEvery = 250 * time.Millisecond

// await returns when a revision is in force on all members.
func await(ctx context.Context, c *cli.Command, r peer.Revision, limit time.Duration) error {
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	t := time.NewTicker(awaitEvery)
	defer t.Stop()
	f, err := newFleet(ctx, c)
	if err != nil {
		return err
	}
	var behind []peer.VM
	for {
		now := f.Behind(ctx, r)
		if len(now) == 0 {
			return nil
		}
		// The last look may have been cut off by the limit; then the one before tells more.
		if ctx.Err() == nil || behind == nil {
			behind = now
		}
		select {
		case <-ctx.Done():
			return tell(errPartial, "revision %d is accepted but not known to be in force on %v; it will be, see snipeshift members", r, behind)
		case <-t.C:
		}
	}
}
