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
		Description: "Events are listed after every event that could have caused them, however much the clocks of the VMs " +
			"differ; the time shown is that of the logical clock which orders them. With --output json, one event per line.",
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
	filter, err := filterFromFlags(c)
	if err != nil {
		return err
	}
	f, err := newFleet(ctx, c)
	if err != nil {
		return err
	}
	parts, failures := f.Timeline(ctx, filter)
	events := timeline.Merge(parts)
	if asJSON(c) {
		err = printJSONLines(c, events)
	} else {
		err = table.Events(c.Root().Writer, events)
	}
	if err != nil {
		return err
	}
	return partialError(failures, len(f.Members))
}

// filterFromFlags returns the filter that the flags of the command describe.
func filterFromFlags(c *cli.Command) (timeline.Filter, error) {
	f := timeline.Filter{
		Request:   decide.RequestID(c.String(answers.ParamRequest)),
		Workspace: decide.WorkspaceID(c.String(answers.ParamWorkspace)),
		Upstream:  decide.UpstreamID(c.String(answers.ParamUpstream)),
	}
	var err error
	if f.Since, err = timeFlag(c, answers.ParamSince); err != nil {
		return f, err
	}
	if f.Until, err = timeFlag(c, answers.ParamUntil); err != nil {
		return f, err
	}
	if last := c.Duration(flagLast); last > 0 {
		f.Since = max(f.Since, clock.New().Now()-clock.Of(last))
	}
	return f, nil
}

// timeFlag parses the RFC 3339 time in a flag; it returns zero if the flag is not set.
func timeFlag(c *cli.Command, flag string) (clock.Milli, error) {
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

// printJSONLines writes events as JSON, one on each line.
func printJSONLines(c *cli.Command, events []timeline.Event) error {
	j := json.NewEncoder(c.Root().Writer)
	for _, e := range events {
		if err := j.Encode(e); err != nil {
			return err
		}
	}
	return nil
}
