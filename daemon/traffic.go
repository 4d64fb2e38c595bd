package main

import (
	"io"

	"github.com/VictoriaMetrics/metrics"

	"snipeshift.example/lib/peer"
)

// peerTraffic writes the number of bytes between this daemon and its peers, over the connections that
// either side opened. On a fleet without requests this is the cost of the control plane.
type peerTraffic []*peer.Traffic

// WritePrometheus implements operator.Metrics.
func (t peerTraffic) WritePrometheus(w io.Writer) {
	var read, written uint64
	for _, x := range t {
		read += x.Read()
		written += x.Written()
	}
	metrics.WriteCounterUint64(w, `snipeshift_peer_bytes_total{way="in"}`, read)
	metrics.WriteCounterUint64(w, `snipeshift_peer_bytes_total{way="out"}`, written)
}
