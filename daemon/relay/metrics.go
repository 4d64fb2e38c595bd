package relay

import (
	"fmt"
	"io"

	vm "github.com/VictoriaMetrics/metrics"

	"snipeshift.example/lib/clock"
	"snipeshift.example/lib/decide/span"
	"snipeshift.example/lib/decide/statement"
)

// metrics holds the counters and histograms of a gate.
type metrics struct{ set *vm.Set }

func newMetrics() *metrics { return &metrics{set: vm.NewSet()} }

// countRequest counts one request at its end.
func (m *metrics) countRequest(route, outcome string, first, queued, total clock.Milli) {
	m.set.GetOrCreateCounter(fmt.Sprintf(`snipeshift_requests_total{outcome=%q}`, outcome)).Inc()
	if first > 0 {
		m.set.GetOrCreateHistogram(fmt.Sprintf(`snipeshift_first_byte_seconds{route=%q}`, route)).Update(first.Duration().Seconds())
	}
	m.set.GetOrCreateHistogram(`snipeshift_queue_seconds`).Update(queued.Duration().Seconds())
	m.set.GetOrCreateHistogram(`snipeshift_request_seconds`).Update(total.Duration().Seconds())
}

// countSend counts one attempt to send a request to an upstream, by its outcome.
func (m *metrics) countSend(o span.Outcome) {
	m.set.GetOrCreateCounter(fmt.Sprintf(`snipeshift_sends_total{outcome=%q}`, o)).Inc()
}

// countWithheld counts one send that a statement of its upstream prevented.
func (m *metrics) countWithheld(k statement.Kind) {
	m.set.GetOrCreateCounter(fmt.Sprintf(`snipeshift_sends_withheld_total{statement=%q}`, k)).Inc()
}

// WriteMetrics writes all metrics in the text format of Prometheus.
func (g *Gate) WriteMetrics(w io.Writer) {
	g.metrics.set.WritePrometheus(w)
	vm.WriteCounterUint64(w, "snipeshift_unknown_fields_total", uint64(g.unknown.count()))
	vm.WriteCounterUint64(w, "snipeshift_unreadable_fields_total", uint64(g.unreadable.count()))
}
