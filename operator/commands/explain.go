package commands

import (
	"context"
	"fmt"
	"io"
	"os"
	"sort"
	"time"

	"github.com/urfave/cli/v3"

	"snipeshift.example/operator/explain"
)

func init() { register(explainCommand) }

const (
	flagSince  = "since"
	flagUntil  = "until"
	flagStages = "stages"
	flagPlot   = "plot"
)

func explainCommand() *cli.Command {
	return &cli.Command{
		Name:      "explain",
		Usage:     "find the cause of a failed or late request in the logs of all VMs",
		ArgsUsage: "[ID] FILE...",
		Description: "With --since or --until it sums up a span of time in place of one request. With --stages it tells how long " +
			"requests take in each part of their way, by kind and by how many came in that second. A FILE of - is the standard input.",
		Flags: []cli.Flag{
			&cli.TimestampFlag{Name: flagSince, Usage: "sum up from this `TIME` on, such as 2006-01-02T15:04:05Z", Config: cli.TimestampConfig{Layouts: []string{time.RFC3339}}},
			&cli.TimestampFlag{Name: flagUntil, Usage: "sum up to this `TIME`", Config: cli.TimestampConfig{Layouts: []string{time.RFC3339}}},
			&cli.BoolFlag{Name: flagStages, Usage: "tell the time in each stage of requests' way"},
			&cli.StringFlag{Name: flagPlot, Usage: "with --stages, draw it to `FILE` (.svg, .png or .pdf)"},
		},
		Action: runExplain,
	}
}

func runExplain(_ context.Context, c *cli.Command) error {
	span := c.IsSet(flagSince) || c.IsSet(flagUntil)
	args := c.Args().Slice()
	least := 2
	if span || c.Bool(flagStages) {
		least = 1
	}
	if c.IsSet(flagPlot) && !c.Bool(flagStages) {
		return usageError("--plot draws what --stages tells: name both")
	}
	if len(args) < least {
		return usageError("name an id and the logs of all VMs: snipeshift explain ID FILE..., or --since TIME FILE...")
	}
	files := args[least-1:]
	lines, err := logs(c, files)
	if err != nil {
		return err
	}
	out := c.Root().Writer
	if c.Bool(flagStages) {
		return runStages(c, explain.LinesBetween(lines, c.Timestamp(flagSince), c.Timestamp(flagUntil)))
	}
	if span {
		printWindow(out, explain.Summarize(lines, c.Timestamp(flagSince), c.Timestamp(flagUntil)))
		return nil
	}
	stories := explain.FindRequests(lines, args[0])
	if len(stories) == 0 {
		return tell(nil, "no line of these logs ends the request %s: is the log of the VM that took it among them?", args[0])
	}
	for _, s := range stories {
		printStory(out, s)
	}
	return nil
}

// logs reads all files.
func logs(c *cli.Command, files []string) ([]explain.Line, error) {
	var all []explain.Line
	for _, name := range files {
		r := c.Root().Reader
		if name != "-" {
			f, err := os.Open(name)
			if err != nil {
				return nil, tell(err, "%s cannot be read: %v", name, err)
			}
			defer f.Close()
			r = f
		}
		lines, skipped, err := explain.Read(r)
		if err != nil {
			return nil, tell(err, "%s: %v", name, err)
		}
		if skipped > 0 {
			fmt.Fprintf(c.Root().ErrWriter, "%s: %d lines are no events and were left out\n", name, skipped)
		}
		all = append(all, lines...)
	}
	return all, nil
}

// clockFormat shows an instant within a day.
const clockFormat = "15:04:05.000"

func printStory(w io.Writer, s explain.RequestReport) {
	r := s.Request
	fmt.Fprintf(w, "request %s at %s, ended %s\n", r.ID, r.VM, r.Time.UTC().Format(clockFormat))
	fmt.Fprintf(w, "  cause     %s\n", s.Cause)
	fmt.Fprintf(w, "  route     %s, workspace %s, revision %d (%d ms old), prompt %d tokens\n", r.Route, r.Workspace, r.Revision, r.Age, r.Prompt)
	fmt.Fprintf(w, "  queue     %d ms, %s; %d waiting, %d running\n", r.Queued, r.Reason, r.Waiting, r.Running)
	fmt.Fprintf(w, "  sends     %s\n", r.Sends)
	fmt.Fprintf(w, "  answer    status %d, first byte %d ms, longest pause %d ms, %d events, %d ms in all, %s\n", r.Status, r.First, r.Pause, r.Events, r.Total, r.Outcome)
	for _, l := range s.Context {
		fmt.Fprintf(w, "  %s  %s %s: %s\n", l.Time.UTC().Format(clockFormat), l.VM, l.Event, l.Message)
	}
}

func printWindow(w io.Writer, win explain.Summary) {
	fmt.Fprintf(w, "%d requests\n", win.Requests)
	printCounts(w, win.Outcomes)
	fmt.Fprintln(w, "what processes believed")
	printCounts(w, win.StateChanges)
}

// printCounts prints the largest counts first.
func printCounts(w io.Writer, counts map[string]int) {
	names := make([]string, 0, len(counts))
	for n := range counts {
		names = append(names, n)
	}
	sort.Slice(names, func(i, j int) bool {
		if counts[names[i]] != counts[names[j]] {
			return counts[names[i]] > counts[names[j]]
		}
		return names[i] < names[j]
	})
	for _, n := range names {
		fmt.Fprintf(w, "%7d  %s\n", counts[n], n)
	}
}
