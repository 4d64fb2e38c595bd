package insight

import (
	"fmt"
	"maps"
	"net/http"
	"slices"

	vm "github.com/VictoriaMetrics/metrics"

	"snipeshift.example/lib/decide"
	"snipeshift.example/lib/decide/statement"
	"snipeshift.example/lib/route"
)

// metrics writes all metrics in the text format of Prometheus.
func (p *Page) metrics(w http.ResponseWriter, _ *http.Request) {
	p.Gate.WriteMetrics(w)
	p.Tunnels.WriteMetrics(w)
	p.Connections.WritePrometheus(w)
	p.Owner.WriteMetrics(w)
	v := p.Registry.View()
	now := p.Clock.Now()
	_, failed := p.Store.Calls()
	gauge := func(name string, value float64) { vm.WriteGaugeFloat64(w, name, value) }
	if v.Table != nil {
		gauge("snipeshift_document_revision", float64(v.Table.Revision()))
		gauge("snipeshift_document_age_seconds", (now - v.TableVerified).Duration().Seconds())
	}
	if v.UpstreamsVerified > 0 {
		gauge("snipeshift_upstreams_age_seconds", (now - v.UpstreamsVerified).Duration().Seconds())
	}
	gauge("snipeshift_members", float64(len(p.Members.Live())))
	gauge("snipeshift_grants_live", float64(p.Placer.Live()))
	for _, x := range p.Holders.All() {
		holds := 0.0
		if p.Holders.Holds(x.Service) {
			holds = 1
		}
		gauge(fmt.Sprintf("snipeshift_service_epoch{service=%q}", x.Service), float64(x.Epoch))
		gauge(fmt.Sprintf("snipeshift_service_held{service=%q}", x.Service), holds)
	}
	ratios := p.Owner.OverrunIdle()
	for _, s := range slices.Sorted(maps.Keys(ratios)) {
		gauge(fmt.Sprintf("snipeshift_overrun_idle_ratio{service=%q}", s), ratios[s])
	}
	p.Placer.Statements(func(s route.ServiceID, u decide.UpstreamID, st statement.Statement) {
		labels := fmt.Sprintf("{service=%q,upstream=%q}", s, u)
		switch st.Kind {
		case statement.Limit:
			gauge("snipeshift_upstream_limit"+labels, float64(st.Rate))
		case statement.BackOff:
			gauge("snipeshift_upstream_rest_seconds"+labels, (st.Until - now).Duration().Seconds())
		case statement.Leaving:
			gauge("snipeshift_upstream_leaving"+labels, 1)
		}
	})
	p.bookingMetrics(w)
	p.localityMetrics(w)
	p.recoveryMetrics(w)
	for _, d := range v.Evacuated {
		gauge(fmt.Sprintf("snipeshift_domain_evacuated{domain=%q}", d), 1)
	}
	connections := p.Clients.Counts()
	gauge("snipeshift_connections_open", float64(connections.Open))
	gauge("snipeshift_connections_busy", float64(connections.Busy))
	vm.WriteCounterUint64(w, "snipeshift_connections_refused_total", connections.Refused)
	vm.WriteCounterUint64(w, "snipeshift_connections_evicted_total", connections.Evicted)
	vm.WriteCounterUint64(w, "snipeshift_questions_hedged_total", p.Placer.Hedged())
	vm.WriteCounterUint64(w, "snipeshift_messages_dropped_total", p.Owner.Dropped())
	for c, n := range p.Registry.Calls() {
		vm.WriteCounterUint64(w, fmt.Sprintf(`snipeshift_store_calls_total{feed=%q,call=%q,role=%q}`, c.Feed, c.Name(), c.Role), n)
	}
	vm.WriteCounterUint64(w, "snipeshift_store_failures_total", failed)
	gauge("snipeshift_store_era", float64(p.Registry.Era()))
	vm.WriteCounterUint64(w, "snipeshift_store_eras_total", p.Registry.EraChanges())
	vm.WriteCounterUint64(w, "snipeshift_entries_unusable_total", p.Registry.UnusableCount())
	vm.WriteCounterUint64(w, "snipeshift_log_dropped_total", p.LogWriter.Dropped())
	p.writeShares(w)
	vm.WriteProcessMetrics(w)
}
