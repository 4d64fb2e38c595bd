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

// Size is the size of a deployment.
type Size struct {
	Engines int `json:"engines"`
	Daemons int `json:"daemons"`
}

// ParseSize parses a size of the form "ENGINESxDAEMONS", both at least 1.
func ParseSize(s string) (Size, error) {
	var z Size
	if n, err := fmt.Sscanf(s, "%dx%d", &z.Engines, &z.Daemons); err != nil || n != 2 || z.Engines < 1 || z.Daemons < 1 {
		return z, fmt.Errorf("size %q does not have the form ENGINESxDAEMONS with numbers of at least 1", s)
	}
	return z, nil
}

// IdleUsage is the resource use of one daemon in a deployment that serves no requests.
type IdleUsage struct {
	Size
	// Core is the mean processor use of a daemon, in cores.
	Core float64 `json:"core"`
	// Memory is the maximum over the daemons of the resident memory, in bytes.
	Memory int64 `json:"memory"`
	// Reads and Writes are calls to the platform's store per second and daemon. Reads include
	// watches.
	Reads  float64 `json:"reads"`
	Writes float64 `json:"writes"`
	// In and Out are bytes per second that a daemon receives from and sends to its peers.
	In  float64 `json:"in"`
	Out float64 `json:"out"`
}

// MeasureIdle measures each size in a separate deployment. After the deployment is ready it waits for
// settle, and then measures for duration.
func MeasureIdle(ctx context.Context, o local.Options, sizes []Size, settle, duration time.Duration) ([]IdleUsage, error) {
	var rows []IdleUsage
	for _, z := range sizes {
		o.SingleProcess = true
		o.Engines, o.Daemons = z.Engines, z.Daemons
		row, err := measureIdle(ctx, o, settle, duration)
		if err != nil {
			return rows, err
		}
		row.Size = z
		rows = append(rows, row)
	}
	return rows, nil
}

func measureIdle(ctx context.Context, o local.Options, settle, duration time.Duration) (i IdleUsage, err error) {
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
	before, err := r.readUsage(ctx)
	if err != nil {
		return i, err
	}
	countersBefore, err := readCounters(ctx, r.ready)
	if err != nil {
		return i, err
	}
	if err := pause(ctx, duration); err != nil {
		return i, err
	}
	after, err := r.readUsage(ctx)
	if err != nil {
		return i, err
	}
	daemonSeconds := time.Since(start).Seconds() * float64(o.Daemons)
	countersAfter, err := readCounters(ctx, r.ready)
	perDaemonSecond := countersAfter.increasePer(countersBefore, daemonSeconds)
	return IdleUsage{
		Core:   (after.processor - before.processor).Seconds() / daemonSeconds,
		Memory: after.memory,
		Reads:  float64(after.reads-before.reads) / daemonSeconds,
		Writes: float64(after.writes-before.writes) / daemonSeconds,
		In:     perDaemonSecond[bytesIn],
		Out:    perDaemonSecond[bytesOut],
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

// IdleTable writes the rows as a Markdown table.
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
