package experiment

import (
	"context"
	"errors"
	"fmt"
	"io"
	"strings"
	"time"

	"snipeshift.example/emulator/load"
	"snipeshift.example/emulator/local"
)

// RequestCostOptions are the options of a measurement of the overhead that a daemon adds to a request.
type RequestCostOptions struct {
	// Local describes the deployment. Its engine should be fast enough not to be the bottleneck.
	Local local.Options
	// Model is the comparison to run; its fields Direct, Through and Service are replaced.
	Model load.Comparison
	// Engine and Service are the names of the upstreams to call directly. Name is the name of
	// the service in requests to a daemon, and Kind the request kind of its calls.
	Engine, Service, Name, Kind string
	// Settle is the wait between readiness and the measurement, and Idle the time over which
	// the daemons are measured without requests.
	Settle, Idle time.Duration
}

// RequestCost is the cost of one request through a daemon.
type RequestCost struct {
	// Target is the name of the model or service.
	Target   string                `json:"target"`
	Compared load.ComparisonResult `json:"compared"`
	// Allocs and Allocated are the number and the bytes of heap allocations in all daemons for
	// one request.
	Allocs    float64 `json:"allocs"`
	Allocated float64 `json:"allocated"`
	// Processor is the processor time of all daemons for one request, in milliseconds.
	Processor float64 `json:"processor"`
	// Peer is the number of bytes between daemons for one request, in both directions.
	Peer float64 `json:"peer"`
}

// MeasureRequestCost measures streams of a model and then calls of a plain service, each directly and
// through a daemon.
func MeasureRequestCost(ctx context.Context, o RequestCostOptions) (ps []RequestCost, err error) {
	l, err := local.Start(ctx, o.Local)
	if err != nil {
		return nil, err
	}
	defer func() { err = errors.Join(err, l.Stop()) }()
	if err := pause(ctx, o.Settle); err != nil {
		return nil, err
	}
	r := l.Ready()
	c := o.Model
	c.Through, c.Direct = r.Address, r.Upstreams[o.Engine]
	p, err := measurePath(ctx, r, c, o.Idle)
	if err != nil {
		return ps, err
	}
	ps = append(ps, p)
	c.Service, c.Kind = o.Name, o.Kind
	c.Direct = r.Upstreams[o.Service]
	p, err = measurePath(ctx, r, c, o.Idle)
	return append(ps, p), err
}

// measurePath measures one target. It first measures the resource use of the idle daemons and
// subtracts that from their use during the comparison.
func measurePath(ctx context.Context, r local.Ready, c load.Comparison, idleTime time.Duration) (RequestCost, error) {
	p := RequestCost{Target: c.Model}
	if c.Service != "" {
		p.Target = c.Service
	}
	idlePerSecond, err := countersPerIdleSecond(ctx, r, idleTime)
	if err != nil {
		return p, err
	}
	before, err := readCounters(ctx, r)
	if err != nil {
		return p, err
	}
	start := time.Now()
	if p.Compared, err = load.Compare(ctx, c); err != nil {
		return p, err
	}
	elapsed := time.Since(start).Seconds()
	after, err := readCounters(ctx, r)
	if err != nil {
		return p, err
	}
	// load.Compare runs one more round than it counts, to warm up, which uses the same resources.
	count := float64(p.Compared.Through.Sent) * float64(c.Rounds+1) / float64(c.Rounds)
	m := after.increasePer(before, 1)
	perRequest := func(name string) float64 { return (m[name] - idlePerSecond[name]*elapsed) / count }
	p.Allocs, p.Allocated = perRequest(allocs), perRequest(allocated)
	p.Processor = perRequest(cpu) * millisecondsPerSecond
	p.Peer = perRequest(bytesOut)
	return p, nil
}

const millisecondsPerSecond = 1000

// countersPerIdleSecond returns the increase of the daemons' counters per second without requests.
func countersPerIdleSecond(ctx context.Context, r local.Ready, duration time.Duration) (counters, error) {
	before, err := readCounters(ctx, r)
	if err != nil {
		return nil, err
	}
	if err := pause(ctx, duration); err != nil {
		return nil, err
	}
	after, err := readCounters(ctx, r)
	return after.increasePer(before, duration.Seconds()), err
}

// RequestCostTable writes the rows as Markdown tables.
func RequestCostTable(ps []RequestCost, out io.Writer) error {
	var b strings.Builder
	b.WriteString("| target | way | finished | first p50 ms | p99 | total p50 | p99 |\n| --- | --- | --- | --- | --- | --- | --- |\n")
	for _, p := range ps {
		c := p.Compared
		writePathRow(&b, p.Target, "direct", c.Direct)
		writePathRow(&b, p.Target, "through", c.Through)
		fmt.Fprintf(&b, "| %s | added | | %.2f | %.2f | %.2f | %.2f |\n", p.Target, c.Median, c.P99, c.TotalMedian, c.TotalP99)
	}
	b.WriteString("\n| target | allocations a request | KB allocated | ms of processor | bytes between daemons |\n| --- | --- | --- | --- | --- |\n")
	for _, p := range ps {
		fmt.Fprintf(&b, "| %s | %.0f | %.1f | %.2f | %.0f |\n", p.Target, p.Allocs, p.Allocated/kilobyte, p.Processor, p.Peer)
	}
	_, err := io.WriteString(out, b.String())
	return err
}

const kilobyte = 1 << 10

func writePathRow(b *strings.Builder, target, path string, s load.PathResult) {
	fmt.Fprintf(b, "| %s | %s | %d of %d | %.2f | %.2f | %.2f | %.2f |\n",
		target, path, s.Outcomes["finished"], s.Sent, s.First.P50, s.First.P99, s.Total.P50, s.Total.P99)
}
