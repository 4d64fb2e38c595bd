package caller

import (
	"fmt"

	vm "github.com/VictoriaMetrics/metrics"

	"snipeshift.example/lib/clock"
	"snipeshift.example/lib/decide"
	"snipeshift.example/lib/fault"
)

// metrics holds the metrics of requests and errors.
type metrics struct{ set *vm.Set }

func newMetrics() *metrics { return &metrics{set: vm.NewSet()} }

// Metrics returns the gate's metrics for export.
func (g *Gate) Metrics() *vm.Set { return g.metrics.set }

func (m *metrics) countError(k fault.Kind, r fault.Ran) {
	m.set.GetOrCreateCounter(fmt.Sprintf(`snipeshift_faults_total{kind=%q,ran=%q}`, k, r)).Inc()
}

func (m *metrics) observeFirstToken(q *request, now clock.Milli) {
	m.set.GetOrCreatePrometheusHistogram(fmt.Sprintf(`snipeshift_first_token_seconds{kind=%q,length=%q}`, q.kind.Name, lengthBand(q.prompt))).Update((now - q.arrived).Duration().Seconds())
}

func (m *metrics) observeRequest(q *request, now clock.Milli) {
	m.set.GetOrCreatePrometheusHistogram(fmt.Sprintf(`snipeshift_request_seconds{kind=%q,target=%q}`, q.kind.Name, q.target)).Update((now - q.arrived).Duration().Seconds())
}

func (m *metrics) countRetry(target string) {
	m.set.GetOrCreateCounter(fmt.Sprintf(`snipeshift_retries_total{target=%q}`, target)).Inc()
}

// lengthBand returns the label of the range that a prompt length falls into.
func lengthBand(n decide.Tokens) string {
	switch {
	case n < 4<<10:
		return "under 4k"
	case n < 16<<10:
		return "4k-16k"
	case n < 100_000:
		return "16k-100k"
	}
	return "over 100k"
}
