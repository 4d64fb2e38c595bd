// Package experiment runs load at several levels against a local deployment
// and measures what the users measure: the time to the first token by prompt
// length, and how much slower short requests get when long ones share the fleet.
package experiment

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"strings"
	"time"

	"snipeshift.example/emulator/load"
	"snipeshift.example/emulator/local"
	"snipeshift.example/emulator/platform"
	"snipeshift.example/emulator/proc"
)

// Options of an experiment.
type Options struct {
	// Local is the deployment, started once for all levels.
	Local local.Options
	// Load is the load of every level but for its rate.
	Load load.Settings
	// Rates are the levels in requests per second.
	Rates []float64
}

// LoadResult is one run of load.
type LoadResult struct {
	Rate float64 `json:"rate"`
	// Long tells whether long prompts were in the mix.
	Long   bool        `json:"long"`
	Report load.Report `json:"report"`
	// Cores is the processor time of all daemons over the run, in cores.
	Cores float64 `json:"cores"`
	// Memory is the largest resident memory of a daemon after the run, in bytes.
	Memory int64 `json:"memory"`
	// Reads and Writes are the platform's calls per second, watches among the reads.
	Reads  float64 `json:"reads"`
	Writes float64 `json:"writes"`
}

// RatePair is one rate without and with long prompts; the short requests of both are the same in kind.
type RatePair struct {
	Short LoadResult `json:"short"`
	Mixed LoadResult `json:"mixed"`
	// P50 and P95 are the slowdown of the time to the first token of prompts
	// under 4 k tokens: mixed over short. Zero where one of them had none.
	P50 float64 `json:"p50"`
	P95 float64 `json:"p95"`
}

// Run starts the deployment, runs every rate without and with long prompts, and stops it.
func Run(ctx context.Context, o Options) (pairs []RatePair, err error) {
	l, err := local.Start(ctx, o.Local)
	if err != nil {
		return nil, err
	}
	defer func() { err = errors.Join(err, l.Stop()) }()
	r := &runner{ready: l.Ready(), load: o.Load}
	r.load.Addresses, r.load.Operators = r.ready.ClientAddresses, r.ready.OperatorAddresses
	for _, rate := range o.Rates {
		p, err := r.pair(ctx, rate)
		if err != nil {
			return pairs, err
		}
		pairs = append(pairs, p)
	}
	return pairs, nil
}

// runner runs levels against one deployment.
type runner struct {
	ready local.Ready
	load  load.Settings
}

func (r *runner) pair(ctx context.Context, rate float64) (RatePair, error) {
	short, err := r.level(ctx, rate, 0)
	if err != nil {
		return RatePair{}, err
	}
	mixed, err := r.level(ctx, rate, r.load.LongFraction)
	if err != nil {
		return RatePair{}, err
	}
	p := RatePair{Short: short, Mixed: mixed}
	a, b := short.Report.Bands[load.ShortBand].First, mixed.Report.Bands[load.ShortBand].First
	if a.P50 > 0 && a.P95 > 0 {
		p.P50, p.P95 = b.P50/a.P50, b.P95/a.P95
	}
	return p, ctx.Err()
}

// usage is what the daemons and the platform have done so far.
type usage struct {
	processor     time.Duration
	memory        int64
	reads, writes int
}

func (r *runner) level(ctx context.Context, rate, long float64) (LoadResult, error) {
	s := r.load
	s.Rate, s.LongFraction = rate, long
	s.Seed += uint64(rate * 1000)
	before, err := r.usage(ctx)
	if err != nil {
		return LoadResult{}, err
	}
	report, err := load.Run(ctx, s)
	if err != nil {
		return LoadResult{}, err
	}
	after, err := r.usage(ctx)
	if err != nil {
		return LoadResult{}, err
	}
	return LoadResult{
		Rate:   rate,
		Long:   long > 0,
		Report: report,
		Cores:  (after.processor - before.processor).Seconds() / report.Seconds,
		Memory: after.memory,
		Reads:  float64(after.reads-before.reads) / report.Seconds,
		Writes: float64(after.writes-before.writes) / report.Seconds,
	}, nil
}

func (r *runner) usage(ctx context.Context) (usage, error) {
	var u usage
	for name, pid := range r.ready.Pids {
		if !strings.HasPrefix(name, local.DaemonPrefix) {
			continue
		}
		p, err := proc.ReadUsage(pid)
		if err != nil {
			return u, fmt.Errorf("%s: %w", name, err)
		}
		u.processor += p.Processor
		u.memory = max(u.memory, p.Memory)
	}
	c, err := callsOf(ctx, r.ready.PlatformAddress)
	u.reads, u.writes = c.Reads+c.Watches, c.Writes
	return u, err
}

func callsOf(ctx context.Context, address string) (platform.Calls, error) {
	var c platform.Calls
	q, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/calls", nil)
	if err != nil {
		return c, err
	}
	a, err := http.DefaultClient.Do(q)
	if err != nil {
		return c, err
	}
	defer a.Body.Close()
	return c, json.NewDecoder(a.Body).Decode(&c)
}
