package commands

import (
	"context"
	"errors"
	"time"

	"github.com/urfave/cli/v3"

	"snipeshift.example/lib/document"
	answers "snipeshift.example/lib/operator"
	"snipeshift.example/lib/peer"
	"snipeshift.example/operator/daemon"
	"snipeshift.example/operator/store"
)

func init() { register(drain) }

const flagUndo = "undo"

func drain() *cli.Command {
	return &cli.Command{
		Name:   "drain",
		Usage:  "give a VM or an upstream no new work and let it finish what it has",
		Action: runWithoutCommand,
		Commands: []*cli.Command{
			{
				Name: "vm", Usage: "stop the daemon of a VM once its requests are served", ArgsUsage: "NAME",
				Flags:  []cli.Flag{&cli.DurationFlag{Name: flagWait, Usage: "wait until it has stopped, at most this long"}},
				Action: runDrainVM,
			},
			{
				Name: "upstream", Usage: "set drain of an upstream in the document, keeping its comments", ArgsUsage: "NAME",
				Flags: []cli.Flag{
					&cli.BoolFlag{Name: flagUndo, Usage: "clear drain, so that the upstream receives requests again"},
					&cli.DurationFlag{Name: flagWait, Usage: "wait until it is in force on all daemons, at most this long"},
				},
				Action: runDrainUpstream,
			},
		},
	}
}

func runDrainVM(ctx context.Context, c *cli.Command) error {
	if c.Args().Len() != 1 {
		return usageError("name one VM: snipeshift drain vm NAME")
	}
	name := peer.VM(c.Args().First())
	f, err := newFleet(ctx, c)
	if err != nil {
		return err
	}
	m, ok := f.Member(name)
	if !ok {
		return usageError("no VM %q: see snipeshift members for the names", name)
	}
	k, err := newClient(c)
	if err != nil {
		return err
	}
	d, err := daemon.Put(ctx, k, m.Operator, answers.PathDrain, answers.Drain{Draining: true})
	if err != nil {
		return err
	}
	if asJSON(c) {
		err = showJSON(c, d)
	} else {
		err = printLine(c, "%s takes no new requests and serves %d to their end", name, d.Requests)
	}
	if err != nil || c.Duration(flagWait) <= 0 {
		return err
	}
	return awaitStop(ctx, k, m, c.Duration(flagWait))
}

// awaitStop waits until a draining daemon no longer responds, for at most limit.
func awaitStop(ctx context.Context, k *daemon.Client, m answers.Member, limit time.Duration) error {
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	t := time.NewTicker(pollInterval)
	defer t.Stop()
	left := 0
	for {
		d, err := daemon.Get[answers.Drain](ctx, k, m.Operator, answers.PathDrain)
		switch {
		case ctx.Err() != nil:
			return withAdvice(errPartial, "%s still serves %d requests: wait longer, none of them is cut off", m.VM, left)
		case errors.Is(err, daemon.ErrUnreachable):
			return nil
		case err != nil:
			return err
		}
		left = d.Requests
		select {
		case <-ctx.Done():
		case <-t.C:
		}
	}
}

// drainTries bounds how often the edit is repeated after conflicts with changes of other operators. The
// edit changes only one field of the newest document, so unlike apply it can be repeated safely.
const drainTries = 5

func runDrainUpstream(ctx context.Context, c *cli.Command) error {
	if c.Args().Len() != 1 {
		return usageError("name one upstream: snipeshift drain upstream NAME")
	}
	name := c.Args().First()
	s, err := newStore(c)
	if err != nil {
		return err
	}
	var r peer.Revision
	var base peer.Revision
	for range drainTries {
		base, r, err = drainOnce(ctx, s, name, !c.Bool(flagUndo))
		if !errors.Is(err, store.ErrSuperseded) {
			break
		}
	}
	if err != nil {
		return writeError(err, "the drain of "+name, base)
	}
	return reportApplied(ctx, c, r, "is accepted as")
}

// drainOnce sets drain of one upstream in the newest document and writes the document back.
func drainOnce(ctx context.Context, s store.ObjectStore, name string, on bool) (base, r peer.Revision, err error) {
	now, err := store.Read(ctx, s)
	if err != nil {
		return 0, 0, err
	}
	text, err := document.SetDrain(now.Text, name, on)
	if err != nil {
		return now.Revision, 0, usageError("%v", err)
	}
	r, err = store.Write(ctx, s, now.Revision, text)
	return now.Revision, r, err
}
