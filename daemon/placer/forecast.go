package placer

import (
	"fmt"
	"io"
	"maps"
	"slices"

	"snipeshift.example/lib/clock"
	"snipeshift.example/lib/route"
)

// errorBounds are the upper bounds of the counted errors. A negative error is that of a request that
// started later than estimated.
var errorBounds = [...]clock.Milli{-5000, -2000, -1000, -500, -200, -100, -50, 0, 50, 100, 200, 500, 1000, 2000, 5000}

// errorHistogram counts the errors of forecasts, estimated less observed start. The histograms of the
// metrics library ignore negative values.
type errorHistogram struct {
	// counts has one element for each bound, and one for all greater errors.
	counts [len(errorBounds) + 1]uint64
	sum    clock.Milli
}

// add counts errors.
func (h *errorHistogram) add(errors []clock.Milli) {
	for _, e := range errors {
		i, _ := slices.BinarySearch(errorBounds[:], e)
		h.counts[i]++
		h.sum += e
	}
}

// write writes the histogram of one service in the text format of Prometheus.
func (h *errorHistogram) write(w io.Writer, s route.ServiceID) {
	const name = "snipeshift_forecast_error_seconds"
	total := uint64(0)
	for i, bound := range errorBounds {
		total += h.counts[i]
		fmt.Fprintf(w, "%s_bucket{service=%q,le=\"%g\"} %d\n", name, s, bound.Duration().Seconds(), total)
	}
	total += h.counts[len(errorBounds)]
	fmt.Fprintf(w, "%s_bucket{service=%q,le=\"+Inf\"} %d\n", name, s, total)
	fmt.Fprintf(w, "%s_sum{service=%q} %g\n", name, s, float64(h.sum)/float64(clock.Second))
	fmt.Fprintf(w, "%s_count{service=%q} %d\n", name, s, total)
}

// WriteMetrics writes the errors of the forecasts of all services in the text format of Prometheus.
func (o *Owner) WriteMetrics(w io.Writer) {
	if !o.Forecast {
		return
	}
	pools := o.allPools()
	for _, s := range slices.Sorted(maps.Keys(pools)) {
		p := pools[s]
		p.mu.Lock()
		h := p.forecastErrors
		p.mu.Unlock()
		h.write(w, s)
	}
}
