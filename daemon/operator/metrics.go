package operator

import (
	"bufio"
	"fmt"
	"io"
	"net/http"

	"github.com/VictoriaMetrics/metrics"

	answers "snipeshift.example/lib/operator"
)

// metrics writes the daemon's own sets, and gauges read at the time of asking.
// Labels hold names of the document and of VMs only, which bounds their number;
// request ids and keys never become labels.
func (d *Server) metrics(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "text/plain; version=0.0.4")
	b := bufio.NewWriter(w)
	for _, m := range d.sources.Metrics {
		m.WritePrometheus(b)
	}
	for _, p := range d.sources.Pools.Pools() {
		writePool(b, p)
	}
	for _, u := range d.sources.Pools.Upstreams() {
		writeUpstream(b, u)
	}
	d.writeMembers(b)
	d.writeStore(b)
	revision, _ := d.sources.Documents.Newest()
	gauge(b, "snipeshift_document_revision", uint64(revision))
	gauge(b, "snipeshift_ready", flag(len(d.sources.Health.Unready()) == 0))
	metrics.WriteProcessMetrics(b)
	_ = b.Flush()
}

func writePool(w io.Writer, p answers.Pool) {
	label := fmt.Sprintf("{pool=%q}", p.Pool)
	gauge(w, "snipeshift_pool_queued"+label, uint64(p.Queued))
	gauge(w, "snipeshift_pool_running"+label, uint64(p.Running))
	gauge(w, "snipeshift_pool_free_tokens"+label, uint64(max(p.Free, 0)))
	for urgency, wait := range p.Wait {
		name := fmt.Sprintf("snipeshift_pool_wait_seconds{pool=%q,urgency=\"%d\"}", p.Pool, urgency)
		metrics.WriteGaugeFloat64(w, name, wait.Duration().Seconds())
	}
}

func writeUpstream(w io.Writer, u answers.Upstream) {
	label := fmt.Sprintf("{pool=%q,upstream=%q}", u.Pool, u.Name)
	gauge(w, "snipeshift_upstream_running"+label, uint64(u.Running))
	gauge(w, "snipeshift_upstream_reserved_tokens"+label, uint64(max(u.Reserved, 0)))
	gauge(w, "snipeshift_upstream_used_tokens"+label, uint64(max(u.Used, 0)))
	gauge(w, "snipeshift_upstream_serving"+label, flag(u.State == answers.Serving))
}

// states are all states, so that one that nobody is in is written as zero.
var states = []answers.State{answers.Serving, answers.Draining, answers.Silent, answers.Gone}

func (d *Server) writeMembers(w io.Writer) {
	counts := map[answers.State]uint64{}
	for _, m := range d.sources.Members.Members() {
		counts[m.State]++
	}
	for _, s := range states {
		gauge(w, fmt.Sprintf("snipeshift_members{state=%q}", s), counts[s])
	}
}

func (d *Server) writeStore(w io.Writer) {
	c := d.sources.Store.Counts()
	for _, call := range []struct {
		name  string
		count uint64
	}{{"read", c.Reads}, {"watch", c.Watches}, {"write", c.Writes}} {
		metrics.WriteCounterUint64(w, fmt.Sprintf("snipeshift_store_calls_total{call=%q}", call.name), call.count)
	}
	metrics.WriteCounterUint64(w, "snipeshift_store_unavailable_total", c.Unavailable)
	metrics.WriteCounterUint64(w, "snipeshift_store_unknown_total", c.Unknown)
}

func gauge(w io.Writer, name string, n uint64) { metrics.WriteGaugeUint64(w, name, n) }

func flag(on bool) uint64 {
	if on {
		return 1
	}
	return 0
}
