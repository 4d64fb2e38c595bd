// Package experiment runs load at several rates against a local deployment. It measures the
// time to the first token by prompt length, and how much slower short requests get when long
// ones share the engines. It also measures the resource use of idle daemons and the overhead
// that a daemon adds to a request.
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
	// Local describes the deployment, which is started once for all rates.
	Local local.Options
	// Load is the load at every rate; its Rate is replaced.
	Load load.Settings
	// Rates are the load levels in requests per second.
	Rates []float64
}

// LoadResult is the measurement of one load run.
type LoadResult struct {
	// Rate is in requests per second.
	Rate float64 `json:"rate"`
	// Long is set if the load contained long prompts.
	Long   bool        `json:"long"`
	Report load.Report `json:"report"`
	// Cores is the mean processor use of all daemons together, in cores.
	Cores float64 `json:"cores"`
	// Memory is the maximum over the daemons of the resident memory after the run, in bytes.
	Memory int64 `json:"memory"`
	// Reads and Writes are calls to the platform's store per second. Reads include watches.
	Reads  float64 `json:"reads"`
	Writes float64 `json:"writes"`
}

// RatePair is the measurement at one rate, once without long prompts (Short) and once with them
// (Mixed). The short requests of both runs have the same distribution.
type RatePair struct {
	Short LoadResult `json:"short"`
	Mixed LoadResult `json:"mixed"`
	// P50 and P95 are the slowdown of prompts under 4 k tokens by long prompts: the ratio of the
	// mixed to the short run's time to the first token, at that percentile. Both are zero if
	// the short run has no such time.
	P50 float64 `json:"p50"`
	P95 float64 `json:"p95"`
}

// Run starts the deployment, runs the load at every rate without and with long prompts, and stops
// the deployment. On an error the pairs measured so far are returned with it.
func Run(ctx context.Context, o Options) (pairs []RatePair, err error) {
	l, err := local.Start(ctx, o.Local)
	if err != nil {
		return nil, err
	}
	defer func() { err = errors.Join(err, l.Stop()) }()
	r := &runner{ready: l.Ready(), load: o.Load}
	r.load.Addresses, r.load.Operators = r.ready.ClientAddresses, r.ready.OperatorAddresses
	for _, rate := range o.Rates {
		p, err := r.measurePair(ctx, rate)
		if err != nil {
			return pairs, err
		}
		pairs = append(pairs, p)
	}
	return pairs, nil
}

// runner runs the load levels against one deployment.
type runner struct {
	ready local.Ready
	load  load.Settings
}

func (r *runner) measurePair(ctx context.Context, rate float64) (RatePair, error) {
	short, err := r.measureLevel(ctx, rate, 0)
	if err != nil {
		return RatePair{}, err
	}
	mixed, err := r.measureLevel(ctx, rate, r.load.LongFraction)
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

// usage holds the total processor time of all daemons, the maximum resident memory of a daemon
// in bytes, and the number of calls to the platform's store, all since their start.
type usage struct {
	processor     time.Duration
	memory        int64
	reads, writes int
}

func (r *runner) measureLevel(ctx context.Context, rate, long float64) (LoadResult, error) {
	s := r.load
	s.Rate, s.LongFraction = rate, long
	s.Seed += uint64(rate * 1000)
	before, err := r.readUsage(ctx)
	if err != nil {
		return LoadResult{}, err
	}
	report, err := load.Run(ctx, s)
	if err != nil {
		return LoadResult{}, err
	}
	after, err := r.readUsage(ctx)
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

func (r *runner) readUsage(ctx context.Context) (usage, error) {
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
	c, err := platformCalls(ctx, r.ready.PlatformAddress)
	u.reads, u.writes = c.Reads+c.Watches, c.Writes
	return u, err
}

func platformCalls(ctx context.Context, address string) (platform.Calls, error) {
	var c platform.Calls
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/calls", nil)
	if err != nil {
		return c, err
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return c, err
	}
	defer resp.Body.Close()
	return c, json.NewDecoder(resp.Body).Decode(&c)
}
