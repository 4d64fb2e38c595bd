package commands

import (
	"context"
	"slices"

	"github.com/urfave/cli/v3"

	"snipeshift.example/lib/decide/blame"
	answers "snipeshift.example/lib/operator"
	"snipeshift.example/lib/route"
	"snipeshift.example/operator/daemon"
	"snipeshift.example/operator/table"
)

func init() { register(parts) }

func parts() *cli.Command {
	return &cli.Command{
		Name:  "parts",
		Usage: "list the parts of prompts under which several upstreams crashed, as reported by VMs in relay mode",
		Description: "Queries the metrics address of each VM in relay mode that --daemon names. A VM knows the parts of the services that its\n" +
			"clients use. Requests that hold such a part run one at a time, and are refused from the third or fourth crash on.",
		Action: runParts,
		Commands: []*cli.Command{{
			Name: "clear", Usage: "let requests that hold a part run again, such as after a repair of the upstreams", ArgsUsage: "SERVICE PART",
			Action: runClearPart,
		}},
	}
}

func runParts(ctx context.Context, c *cli.Command) error {
	if c.Args().Present() {
		return usageError("unknown argument %q: snipeshift parts takes none", c.Args().First())
	}
	rows, err := askRelays(c, func(k *daemon.Client, address string) ([]answers.Part, error) {
		return daemon.Get[[]answers.Part](ctx, k, address, answers.PathParts)
	})
	if len(rows) == 0 {
		return err
	}
	if err := showRows(c, distinctParts(rows), table.Parts); err != nil {
		return err
	}
	return err
}

// distinctParts merges the lists of VMs: of each part the row with most crashes.
func distinctParts(lists [][]answers.Part) []answers.Part {
	var out []answers.Part
	for _, x := range slices.Concat(lists...) {
		i := slices.IndexFunc(out, func(y answers.Part) bool { return y.Service == x.Service && y.Part == x.Part })
		switch {
		case i < 0:
			out = append(out, x)
		case len(x.Upstreams) > len(out[i].Upstreams):
			out[i] = x
		}
	}
	return out
}

func runClearPart(ctx context.Context, c *cli.Command) error {
	if c.Args().Len() != 2 {
		return usageError("name a service and a part: snipeshift parts clear SERVICE PART; see snipeshift parts for both")
	}
	x := answers.Part{Service: route.ServiceID(c.Args().Get(0)), Part: c.Args().Get(1)}
	if _, err := blame.ParsePart(x.Part); err != nil {
		return usageError("%q is no part: use the hexadecimal digits that snipeshift parts shows", x.Part)
	}
	k, err := newClient(c)
	if err != nil {
		return err
	}
	var lastErr error
	for _, a := range c.StringSlice(flagDaemon) {
		var reply answers.Part
		if reply, lastErr = daemon.Put(ctx, k, a, answers.PathParts, x); lastErr != nil {
			continue // the next VM may reach the owner
		}
		if !reply.Cleared {
			return usageError("part %s of %s was not suspect: see snipeshift parts", x.Part, x.Service)
		}
		return printLine(c, "part %s of %s is cleared", x.Part, x.Service)
	}
	if lastErr == nil {
		return usageError(needRelays)
	}
	return lastErr
}
