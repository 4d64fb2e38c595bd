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
		Description: "With --since or --until it summarizes a period instead of one request. With --stages it shows how long " +
			"requests take in each stage, by kind and by how many arrived in the same second. A FILE of - is the standard input.",
		Flags: []cli.Flag{
			&cli.TimestampFlag{Name: flagSince, Usage: "summarize from this `TIME` on, such as 2006-01-02T15:04:05Z", Config: cli.TimestampConfig{Layouts: []string{time.RFC3339}}},
			&cli.TimestampFlag{Name: flagUntil, Usage: "summarize up to this `TIME`", Config: cli.TimestampConfig{Layouts: []string{time.RFC3339}}},
			&cli.BoolFlag{Name: flagStages, Usage: "show the time that requests spend in each stage"},
			&cli.StringFlag{Name: flagPlot, Usage: "with --stages, draw it to `FILE` (.svg, .png or .pdf)"},
		},
		Action: runExplain,
	}
}

func runExplain(_ context.Context, c *cli.Command) error {
	hasPeriod := c.IsSet(flagSince) || c.IsSet(flagUntil)
	args := c.Args().Slice()
	minArgs := 2
	if hasPeriod || c.Bool(flagStages) {
		minArgs = 1
	}
	if c.IsSet(flagPlot) && !c.Bool(flagStages) {
		return usageError("--plot draws the output of --stages: name both")
	}
	if len(args) < minArgs {
		return usageError("name an id and the logs of all VMs: snipeshift explain ID FILE..., or --since TIME FILE...")
	}
	files := args[minArgs-1:]
	lines, err := readLogs(c, files)
	if err != nil {
		return err
	}
	out := c.Root().Writer
	if c.Bool(flagStages) {
		return runStages(c, explain.LinesBetween(lines, c.Timestamp(flagSince), c.Timestamp(flagUntil)))
	}
	if hasPeriod {
		printSummary(out, explain.Summarize(lines, c.Timestamp(flagSince), c.Timestamp(flagUntil)))
		return nil
	}
	requests := explain.FindRequests(lines, args[0])
	if len(requests) == 0 {
		return withAdvice(nil, "no log line reports the end of request %s: is the log of the VM that received it among the files?", args[0])
	}
	for _, s := range requests {
		printRequest(out, s)
	}
	return nil
}

// readLogs returns the lines of all files. It reports on standard error how many lines it skipped.
func readLogs(c *cli.Command, files []string) ([]explain.Line, error) {
	var all []explain.Line
	for _, name := range files {
		r := c.Root().Reader
		if name != "-" {
			f, err := os.Open(name)
			if err != nil {
				return nil, withAdvice(err, "%s cannot be read: %v", name, err)
			}
			defer f.Close()
			r = f
		}
		lines, skipped, err := explain.Read(r)
		if err != nil {
			return nil, withAdvice(err, "%s: %v", name, err)
		}
		if skipped > 0 {
			fmt.Fprintf(c.Root().ErrWriter, "%s: %d lines are not events and were skipped\n", name, skipped)
		}
		all = append(all, lines...)
	}
	return all, nil
}

// timeOfDayFormat formats a time of day.
const timeOfDayFormat = "15:04:05.000"

func printRequest(w io.Writer, s explain.RequestReport) {
	r := s.Request
	fmt.Fprintf(w, "request %s at %s, ended %s\n", r.ID, r.VM, r.Time.UTC().Format(timeOfDayFormat))
	fmt.Fprintf(w, "  cause     %s\n", s.Cause)
	fmt.Fprintf(w, "  route     %s, workspace %s, revision %d (%d ms old), prompt %d tokens\n", r.Route, r.Workspace, r.Revision, r.Age, r.Prompt)
	fmt.Fprintf(w, "  queue     %d ms, %s; %d waiting, %d running\n", r.Queued, r.Reason, r.Waiting, r.Running)
	fmt.Fprintf(w, "  sends     %s\n", r.Sends)
	fmt.Fprintf(w, "  answer    status %d, first byte %d ms, longest pause %d ms, %d events, %d ms in all, %s\n", r.Status, r.First, r.Pause, r.Events, r.Total, r.Outcome)
	for _, l := range s.Context {
		fmt.Fprintf(w, "  %s  %s %s: %s\n", l.Time.UTC().Format(timeOfDayFormat), l.VM, l.Event, l.Message)
	}
}

func printSummary(w io.Writer, summary explain.Summary) {
	fmt.Fprintf(w, "%d requests\n", summary.Requests)
	printCounts(w, summary.Outcomes)
	fmt.Fprintln(w, "state changes")
	printCounts(w, summary.StateChanges)
}

// printCounts prints the counts in descending order.
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
