package main

import (
	"bytes"
	"fmt"
	"io"
)

// Targets for the measured results. The slowdown, first-token and long-prompt targets apply to the
// mix of long and short prompts, the goodput target to every scenario at a load of 1.5, the limit
// on missed deadlines to every run.
const (
	maxSlowdownAt80Percent, maxSlowdownAtOverload = 1.2, 1.5
	minFirstTokenGain                             = 5
	minLongInTime                                 = 0.99
	minGoodputRatio                               = 0.95
	maxMissed                                     = 0.001
)

// printTargets prints which targets the runs reached. Targets relative to a baseline are left out
// if no baseline was run.
func printTargets(out io.Writer, cells []*cell) error {
	var w bytes.Buffer
	fmt.Fprintf(&w, "\ntargets\n\n| deployment | scenario | load | target | measured | |\n| --- | --- | --- | --- | --- | --- |\n")
	for _, c := range cells {
		if c.candidate.name == projectPolicy {
			c.checkTargets(&w, baselines(cells, c))
		}
	}
	_, err := w.WriteTo(out)
	return err
}

// baselines returns the runs of the baseline policies on the same requests as c.
func baselines(cells []*cell, c *cell) []*cell {
	var list []*cell
	for _, o := range cells {
		same := o.deployment == c.deployment && o.scenario.Name == c.scenario.Name && o.loadFactor == c.loadFactor
		if same && o.candidate.name != projectPolicy {
			list = append(list, o)
		}
	}
	return list
}

func (c *cell) checkTargets(w *bytes.Buffer, baselines []*cell) {
	r := &c.result
	missed := float64(r.Missed) / float64(max(r.Requests, 1))
	c.printTarget(w, "missed < 0.1%", fmt.Sprintf("%.3f%%", 100*missed), missed < maxMissed)
	mix := c.scenario.Name == "mix"
	if mix && c.loadFactor == 0.8 {
		c.printTarget(w, "urgent p99 slowdown <= 1.2", fmt.Sprintf("%.2f", r.Slowdown.P99), r.Slowdown.P99 <= maxSlowdownAt80Percent)
		fraction := float64(r.LongInTime) / float64(max(r.LongAdmitted, 1))
		c.printTarget(w, "admitted long in time >= 99%", fmt.Sprintf("%.1f%%", 100*fraction), fraction >= minLongInTime)
	}
	if mix && c.loadFactor == 1.5 {
		c.printTarget(w, "urgent p99 slowdown <= 1.5", fmt.Sprintf("%.2f", r.Slowdown.P99), r.Slowdown.P99 <= maxSlowdownAtOverload)
	}
	if mix && (c.loadFactor == 0.8 || c.loadFactor == 1.5) && len(baselines) > 0 {
		c.checkFirstTokenGain(w, baselines)
	}
	if c.loadFactor == 1.5 && len(baselines) > 0 {
		c.checkGoodput(w, baselines)
	}
}

// checkFirstTokenGain compares the 99th percentile of the time to first token of urgent requests
// with that of the best baseline that finishes at least as many long requests in time, or of the
// best of all baselines if none does.
func (c *cell) checkFirstTokenGain(w *bytes.Buffer, baselines []*cell) {
	best, comparable := "", true
	lowest := 0.0
	for _, sameLong := range []bool{true, false} {
		for _, o := range baselines {
			if sameLong && o.result.LongInTime < c.result.LongInTime {
				continue
			}
			if p := o.result.UrgentFirstToken.P99; best == "" || p < lowest {
				best, lowest, comparable = o.candidate.name, p, sameLong
			}
		}
		if best != "" {
			break
		}
	}
	gain := lowest / c.result.UrgentFirstToken.P99
	note := ""
	if !comparable {
		note = ", which finishes fewer long requests in time"
	}
	c.printTarget(w, "urgent p99 first token 5x lower", fmt.Sprintf("%.0fx against %s%s (%.0f and %.0f ms)", gain, best, note, c.result.UrgentFirstToken.P99, lowest), gain >= minFirstTokenGain)
}

func (c *cell) checkGoodput(w *bytes.Buffer, baselines []*cell) {
	best := baselines[0]
	for _, o := range baselines {
		if o.result.Goodput > best.result.Goodput {
			best = o
		}
	}
	ratio := c.result.Goodput / best.result.Goodput
	c.printTarget(w, "goodput >= 95% of the best", fmt.Sprintf("%.1f%% of %s", 100*ratio, best.candidate.name), ratio >= minGoodputRatio)
}

func (c *cell) printTarget(w *bytes.Buffer, name, measured string, reached bool) {
	verdict := "reached"
	if !reached {
		verdict = "**missed**"
	}
	fmt.Fprintf(w, "| %s | %s | %.1f | %s | %s | %s |\n", c.deployment.Name, c.scenario.Name, c.loadFactor, name, measured, verdict)
}
