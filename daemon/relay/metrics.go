package relay

import (
	"fmt"
	"io"

	vm "github.com/VictoriaMetrics/metrics"

	"snipeshift.example/lib/clock"
	"snipeshift.example/lib/decide/span"
	"snipeshift.example/lib/decide/statement"
)

// metrics are the counters and histograms of a gate.
type metrics struct{ set *vm.Set }

func newMetrics() *metrics { return &metrics{set: vm.NewSet()} }

// request counts one request.
func (m *metrics) request(route, outcome string, first, queued, total clock.Milli) {
	m.set.GetOrCreateCounter(fmt.Sprintf(`snipeshift_requests_total{outcome=%q}`, outcome)).Inc()
	if first > 0 {
		m.set.GetOrCreateHistogram(fmt.Sprintf(`snipeshift_first_byte_seconds{route=%q}`, route)).Update(first.Duration().Seconds())
	}
	m.set.GetOrCreateHistogram(`snipeshift_queue_seconds`).Update(queued.Duration().Seconds())
	m.set.GetOrCreateHistogram(`snipeshift_request_seconds`).Update(total.Duration().Seconds())
}

// send counts one send.
func (m *metrics) send(o span.Outcome) {
	m.set.GetOrCreateCounter(fmt.Sprintf(`snipeshift_sends_total{outcome=%q}`, o)).Inc()
}

// withheld counts one send that did not happen.
func (m *metrics) withheld(k statement.Kind) {
	m.set.GetOrCreateCounter(fmt.Sprintf(`snipeshift_sends_withheld_total{statement=%q}`, k)).Inc()
}

// WriteMetrics writes all metrics in the text format of Prometheus.
func (g *Gate) WriteMetrics(w io.Writer) {
	g.metrics.set.WritePrometheus(w)
	vm.WriteCounterUint64(w, "snipeshift_unknown_fields_total", uint64(g.unknown.count()))
	vm.WriteCounterUint64(w, "snipeshift_unreadable_fields_total", uint64(g.unreadable.count()))
}
