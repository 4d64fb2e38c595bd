package commands

import (
	"context"
	"encoding/json"
	"time"

	"github.com/urfave/cli/v3"

	"snipeshift.example/lib/clock"
	"snipeshift.example/lib/decide"
	answers "snipeshift.example/lib/operator"
	"snipeshift.example/lib/timeline"
	"snipeshift.example/operator/table"
)

func init() { register(drawTimeline) }

const flagLast = "last"

func drawTimeline() *cli.Command {
	return &cli.Command{
		Name:  "timeline",
		Usage: "draw the recent events of all daemons in causal order",
		Description: "An event stands after every event that could have caused it, however much the clocks of the VMs " +
			"differ; the time shown is the ordering clock's. With --output json, one event a line.",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: answers.ParamRequest, Usage: "only events of this `ID`"},
			&cli.StringFlag{Name: answers.ParamWorkspace, Usage: "only events of this `NAME`"},
			&cli.StringFlag{Name: answers.ParamUpstream, Usage: "only events of this `NAME`"},
			&cli.DurationFlag{Name: flagLast, Usage: "only events of the last `SPAN`, such as 5m"},
			&cli.StringFlag{Name: answers.ParamSince, Usage: "only events from this `TIME` on, such as 2006-01-02T15:04:05Z"},
			&cli.StringFlag{Name: answers.ParamUntil, Usage: "only events up to this `TIME`"},
		},
		Action: runTimeline,
	}
}

func runTimeline(ctx context.Context, c *cli.Command) error {
	filter, err := filterOf(c)
	if err != nil {
		return err
	}
	f, err := newFleet(ctx, c)
	if err != nil {
		return err
	}
	parts, misses := f.Timeline(ctx, filter)
	events := timeline.Merge(parts)
	if asJSON(c) {
		err = lines(c, events)
	} else {
		err = table.Events(c.Root().Writer, events)
	}
	if err != nil {
		return err
	}
	return partial(misses, len(f.Members))
}

func filterOf(c *cli.Command) (timeline.Filter, error) {
	f := timeline.Filter{
		Request:   decide.RequestID(c.String(answers.ParamRequest)),
		Workspace: decide.WorkspaceID(c.String(answers.ParamWorkspace)),
		Upstream:  decide.UpstreamID(c.String(answers.ParamUpstream)),
	}
	var err error
	if f.Since, err = instant(c, answers.ParamSince); err != nil {
		return f, err
	}
	if f.Until, err = instant(c, answers.ParamUntil); err != nil {
		return f, err
	}
	if last := c.Duration(flagLast); last > 0 {
		f.Since = max(f.Since, clock.New().Now()-clock.Of(last))
	}
	return f, nil
}

func instant(c *cli.Command, flag string) (clock.Milli, error) {
	value := c.String(flag)
	if value == "" {
		return 0, nil
	}
	t, err := time.Parse(time.RFC3339, value)
	if err != nil {
		return 0, usageError("--%s %s: use a time such as 2006-01-02T15:04:05Z", flag, value)
	}
	return clock.Milli(t.UnixMilli()), nil
}

// lines writes one event a line.
func lines(c *cli.Command, events []timeline.Event) error {
	j := json.NewEncoder(c.Root().Writer)
	for _, e := range events {
		if err := j.Encode(e); err != nil {
			return err
		}
	}
	return nil
}
