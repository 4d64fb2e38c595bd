package tunnel

import (
	"errors"
	"fmt"
	"io"

	vm "github.com/VictoriaMetrics/metrics"
)

// metrics holds the counters of a Dialer and of the Server that belongs to it.
type metrics struct{ set *vm.Set }

func newMetrics() *metrics { return &metrics{set: vm.NewSet()} }

// countAsk counts one CONNECT that was sent, by its result.
func (m *metrics) countAsk(err error) {
	result := "failed"
	switch {
	case err == nil:
		result = "connected"
	case errors.Is(err, errUnreachable):
		result = "unreachable"
	case errors.Is(err, errDeclined):
		result = "declined"
	}
	m.set.GetOrCreateCounter(fmt.Sprintf(`snipeshift_tunnels_asked_total{result=%q}`, result)).Inc()
}

// countCarried counts one CONNECT that was received, by the status of the answer.
func (m *metrics) countCarried(status int) {
	m.set.GetOrCreateCounter(fmt.Sprintf(`snipeshift_tunnels_carried_total{status="%d"}`, status)).Inc()
}

// WriteMetrics writes all metrics in the text format of Prometheus.
func (s *Server) WriteMetrics(w io.Writer) {
	s.dialer.metrics.set.WritePrometheus(w)
	lost := 0.0
	if s.dialer.Lost() {
		lost = 1
	}
	vm.WriteGaugeFloat64(w, "snipeshift_paths_lost", lost)
	vm.WriteGaugeUint64(w, "snipeshift_tunnels_open", uint64(s.Open()))
}
