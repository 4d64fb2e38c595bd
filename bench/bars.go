package main

import (
	"bytes"
	"fmt"
	"io"
)

// The bars that the decisions are held to, in the long/short mix.
const (
	calmSlowdown, pressedSlowdown = 1.2, 1.5
	firstTokenGain                = 5
	longInTime                    = 0.99
	goodputShare                  = 0.95
	missedMost                    = 0.001
)

// bars prints which bars the runs reached. Runs without baselines have none to compare with.
func bars(out io.Writer, cells []*cell) error {
	var w bytes.Buffer
	fmt.Fprintf(&w, "\nbars\n\n| deployment | scenario | load | bar | measured | |\n| --- | --- | --- | --- | --- | --- |\n")
	for _, c := range cells {
		if c.contender.name == ours {
			c.bars(&w, rivals(cells, c))
		}
	}
	_, err := w.WriteTo(out)
	return err
}

// rivals are the baselines' runs on the same requests.
func rivals(cells []*cell, c *cell) []*cell {
	var list []*cell
	for _, o := range cells {
		same := o.deployment == c.deployment && o.scenario.Name == c.scenario.Name && o.load == c.load
		if same && o.contender.name != ours {
			list = append(list, o)
		}
	}
	return list
}

func (c *cell) bars(w *bytes.Buffer, rivals []*cell) {
	r := &c.result
	missed := float64(r.Missed) / float64(max(r.Requests, 1))
	c.bar(w, "missed < 0.1%", fmt.Sprintf("%.3f%%", 100*missed), missed < missedMost)
	mix := c.scenario.Name == "mix"
	if mix && c.load == 0.8 {
		c.bar(w, "urgent p99 slowdown <= 1.2", fmt.Sprintf("%.2f", r.Slowdown.P99), r.Slowdown.P99 <= calmSlowdown)
		part := float64(r.LongInTime) / float64(max(r.LongAdmitted, 1))
		c.bar(w, "admitted long in time >= 99%", fmt.Sprintf("%.1f%%", 100*part), part >= longInTime)
	}
	if mix && c.load == 1.5 {
		c.bar(w, "urgent p99 slowdown <= 1.5", fmt.Sprintf("%.2f", r.Slowdown.P99), r.Slowdown.P99 <= pressedSlowdown)
	}
	if mix && (c.load == 0.8 || c.load == 1.5) && len(rivals) > 0 {
		c.gain(w, rivals)
	}
	if c.load == 1.5 && len(rivals) > 0 {
		c.goodput(w, rivals)
	}
}

// gain compares the first token of urgent requests with the best baseline that ends as
// many long ones in time, or with the best of all if none does.
func (c *cell) gain(w *bytes.Buffer, rivals []*cell) {
	best, all := "", true
	least := 0.0
	for _, equal := range []bool{true, false} {
		for _, o := range rivals {
			if equal && o.result.LongInTime < c.result.LongInTime {
				continue
			}
			if p := o.result.UrgentFirstToken.P99; best == "" || p < least {
				best, least, all = o.contender.name, p, equal
			}
		}
		if best != "" {
			break
		}
	}
	gain := least / c.result.UrgentFirstToken.P99
	note := ""
	if !all {
		note = ", which ends fewer long ones"
	}
	c.bar(w, "urgent p99 first token 5x lower", fmt.Sprintf("%.0fx against %s%s (%.0f and %.0f ms)", gain, best, note, c.result.UrgentFirstToken.P99, least), gain >= firstTokenGain)
}

func (c *cell) goodput(w *bytes.Buffer, rivals []*cell) {
	best := rivals[0]
	for _, o := range rivals {
		if o.result.Goodput > best.result.Goodput {
			best = o
		}
	}
	part := c.result.Goodput / best.result.Goodput
	c.bar(w, "goodput >= 95% of the best", fmt.Sprintf("%.1f%% of %s", 100*part, best.contender.name), part >= goodputShare)
}

func (c *cell) bar(w *bytes.Buffer, name, measured string, reached bool) {
	verdict := "reached"
	if !reached {
		verdict = "**missed**"
	}
	fmt.Fprintf(w, "| %s | %s | %.1f | %s | %s | %s |\n", c.deployment.Name, c.scenario.Name, c.load, name, measured, verdict)
}
