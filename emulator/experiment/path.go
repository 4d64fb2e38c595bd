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

// RequestCostOptions of a measure of the path through a daemon.
type RequestCostOptions struct {
	// Local is the deployment; its engine should be so quick that it is no bottleneck.
	Local local.Options
	// Model is compared without its fields Direct, Through and Service.
	Model load.Comparison
	// Engine and Service name the upstreams compared; Name and Kind are the
	// service's as callers know it, and its request kind.
	Engine, Service, Name, Kind string
	// Settle is the time from ready to the measure, Idle how long the daemons are
	// watched without requests.
	Settle, Idle time.Duration
}

// RequestCost is what one request through a daemon costs.
type RequestCost struct {
	Target   string                `json:"target"`
	Compared load.ComparisonResult `json:"compared"`
	// Allocs and Allocated are heap allocations and their bytes in all daemons for one request.
	Allocs    float64 `json:"allocs"`
	Allocated float64 `json:"allocated"`
	// Processor is the processor time of all daemons for one request, in milliseconds.
	Processor float64 `json:"processor"`
	// Peer is the bytes between daemons for one request, both ways.
	Peer float64 `json:"peer"`
}

// MeasureRequestCost measures streams of a model, then calls of a plain service.
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
	p, err := path(ctx, r, c, o.Idle)
	if err != nil {
		return ps, err
	}
	ps = append(ps, p)
	c.Service, c.Kind = o.Name, o.Kind
	c.Direct = r.Upstreams[o.Service]
	p, err = path(ctx, r, c, o.Idle)
	return append(ps, p), err
}

// path compares one target. What the daemons do besides is measured first, and taken off.
func path(ctx context.Context, r local.Ready, c load.Comparison, span time.Duration) (RequestCost, error) {
	p := RequestCost{Target: c.Model}
	if c.Service != "" {
		p.Target = c.Service
	}
	idle, err := idleRate(ctx, r, span)
	if err != nil {
		return p, err
	}
	before, err := meterOf(ctx, r)
	if err != nil {
		return p, err
	}
	start := time.Now()
	if p.Compared, err = load.Compare(ctx, c); err != nil {
		return p, err
	}
	took := time.Since(start).Seconds()
	after, err := meterOf(ctx, r)
	if err != nil {
		return p, err
	}
	// The round that warms up is not in the tally, but cost as much as another.
	count := float64(p.Compared.Through.Sent) * float64(c.Rounds+1) / float64(c.Rounds)
	m := after.since(before, 1)
	each := func(name string) float64 { return (m[name] - idle[name]*took) / count }
	p.Allocs, p.Allocated = each(allocs), each(allocated)
	p.Processor = each(cpu) * milliseconds
	p.Peer = each(bytesOut)
	return p, nil
}

// milliseconds are in a second.
const milliseconds = 1000

// idleRate is what the daemons spend a second without requests.
func idleRate(ctx context.Context, r local.Ready, span time.Duration) (meter, error) {
	before, err := meterOf(ctx, r)
	if err != nil {
		return nil, err
	}
	if err := pause(ctx, span); err != nil {
		return nil, err
	}
	after, err := meterOf(ctx, r)
	return after.since(before, span.Seconds()), err
}

// RequestCostTable writes the rows as tables for a page.
func RequestCostTable(ps []RequestCost, out io.Writer) error {
	var b strings.Builder
	b.WriteString("| target | way | finished | first p50 ms | p99 | total p50 | p99 |\n| --- | --- | --- | --- | --- | --- | --- |\n")
	for _, p := range ps {
		c := p.Compared
		sideRow(&b, p.Target, "direct", c.Direct)
		sideRow(&b, p.Target, "through", c.Through)
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

func sideRow(b *strings.Builder, target, way string, s load.PathResult) {
	fmt.Fprintf(b, "| %s | %s | %d of %d | %.2f | %.2f | %.2f | %.2f |\n",
		target, way, s.Outcomes["finished"], s.Sent, s.First.P50, s.First.P99, s.Total.P50, s.Total.P99)
}
