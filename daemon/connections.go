package main

import (
	"fmt"
	"io"
	"maps"
	"slices"

	vm "github.com/VictoriaMetrics/metrics"

	"snipeshift.example/daemon/listener"
	"snipeshift.example/lib/accept"
	"snipeshift.example/lib/dial"
	"snipeshift.example/lib/peer"
)

// connectionMetrics writes metrics of a daemon's connections other than those of clients.
type connectionMetrics struct {
	accepts   *accept.Monitor
	peers     *peer.Server
	upstreams *dial.Bound
}

// WritePrometheus implements operator.Metrics.
func (m connectionMetrics) WritePrometheus(w io.Writer) {
	failures := m.accepts.Failures()
	for _, name := range slices.Sorted(maps.Keys(failures)) {
		vm.WriteCounterUint64(w, fmt.Sprintf("snipeshift_accept_failures_total{listener=%q}", name), failures[name])
	}
	c := m.peers.Counts()
	vm.WriteGaugeUint64(w, "snipeshift_peer_connections_open", uint64(c.Open))
	vm.WriteCounterUint64(w, "snipeshift_peer_connections_refused_total", c.Refused)
	vm.WriteCounterUint64(w, "snipeshift_peer_connections_evicted_total", c.Evicted)
	vm.WriteGaugeUint64(w, "snipeshift_upstream_connections_open", uint64(m.upstreams.Open()))
}

// upstreamLimit returns how many connections to upstreams may be open; zero for no bound. An owner polls thousands of
// upstreams, while a VM with many clients needs few connections for each. clients is nil before the daemon has opened its
// listener.
func upstreamLimit(s listener.Quotas, clients *listener.Listener) int {
	if s.Upstreams == 0 || clients == nil {
		return s.Upstreams
	}
	return s.Upstreams + clients.Unused()
}

// Names of listeners in logs and metrics.
const (
	clientListener   = "clients"
	peerListener     = "peers"
	readyListener    = "ready"
	metricsListener  = "metrics"
	operatorListener = "operators"
)
