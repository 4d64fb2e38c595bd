package experiment

import (
	"context"
	"errors"
	"fmt"
	"io"
	"strings"
	"time"

	"snipeshift.example/emulator/local"
)

// Size is a deployment's size.
type Size struct {
	Engines int `json:"engines"`
	Daemons int `json:"daemons"`
}

// ParseSize reads "ENGINESxDAEMONS".
func ParseSize(s string) (Size, error) {
	var z Size
	if n, err := fmt.Sscanf(s, "%dx%d", &z.Engines, &z.Daemons); err != nil || n != 2 || z.Engines < 1 || z.Daemons < 1 {
		return z, fmt.Errorf("size %q is not ENGINESxDAEMONS", s)
	}
	return z, nil
}

// IdleUsage is what one daemon spends on control in a deployment without requests.
type IdleUsage struct {
	Size
	// Core is the mean processor use of a daemon, in cores.
	Core float64 `json:"core"`
	// Memory is the largest resident memory of a daemon, in bytes.
	Memory int64 `json:"memory"`
	// Reads and Writes are calls to the platform per second and daemon, watches among the reads.
	Reads  float64 `json:"reads"`
	Writes float64 `json:"writes"`
	// In and Out are bytes per second between a daemon and its peers.
	In  float64 `json:"in"`
	Out float64 `json:"out"`
}

// MeasureIdle measures each size in a deployment of its own: settle first, then over span.
func MeasureIdle(ctx context.Context, o local.Options, sizes []Size, settle, span time.Duration) ([]IdleUsage, error) {
	var rows []IdleUsage
	for _, z := range sizes {
		o.SingleProcess = true
		o.Engines, o.Daemons = z.Engines, z.Daemons
		row, err := idle(ctx, o, settle, span)
		if err != nil {
			return rows, err
		}
		row.Size = z
		rows = append(rows, row)
	}
	return rows, nil
}

func idle(ctx context.Context, o local.Options, settle, span time.Duration) (i IdleUsage, err error) {
	l, err := local.Start(ctx, o)
	if err != nil {
		return i, err
	}
	defer func() { err = errors.Join(err, l.Stop()) }()
	r := &runner{ready: l.Ready()}
	if err := pause(ctx, settle); err != nil {
		return i, err
	}
	start := time.Now()
	before, err := r.usage(ctx)
	if err != nil {
		return i, err
	}
	sent, err := meterOf(ctx, r.ready)
	if err != nil {
		return i, err
	}
	if err := pause(ctx, span); err != nil {
		return i, err
	}
	after, err := r.usage(ctx)
	if err != nil {
		return i, err
	}
	took := time.Since(start).Seconds() * float64(o.Daemons)
	more, err := meterOf(ctx, r.ready)
	bytes := more.since(sent, took)
	return IdleUsage{
		Core:   (after.processor - before.processor).Seconds() / took,
		Memory: after.memory,
		Reads:  float64(after.reads-before.reads) / took,
		Writes: float64(after.writes-before.writes) / took,
		In:     bytes[bytesIn],
		Out:    bytes[bytesOut],
	}, err
}

func pause(ctx context.Context, d time.Duration) error {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// IdleTable writes the rows as a table for a page.
func IdleTable(rows []IdleUsage, out io.Writer) error {
	var b strings.Builder
	b.WriteString("| engines | daemons | % of a core | MB | reads/s | writes/s | B/s in | B/s out |\n| --- | --- | --- | --- | --- | --- | --- | --- |\n")
	for _, r := range rows {
		fmt.Fprintf(&b, "| %d | %d | %.2f | %.1f | %.2f | %.2f | %.0f | %.0f |\n",
			r.Engines, r.Daemons, r.Core*100, float64(r.Memory)/megabyte, r.Reads, r.Writes, r.In, r.Out)
	}
	_, err := io.WriteString(out, b.String())
	return err
}
