package experiment

import (
	"bufio"
	"context"
	"net/http"
	"strconv"
	"strings"

	"snipeshift.example/emulator/local"
)

// Names of a daemon's metrics.
const (
	bytesIn   = `snipeshift_peer_bytes_total{way="in"}`
	bytesOut  = `snipeshift_peer_bytes_total{way="out"}`
	allocs    = "go_memstats_mallocs_total"
	allocated = "go_memstats_alloc_bytes_total"
	cpu       = "process_cpu_seconds_total"
)

// meter is a sum over all daemons by metric. A daemon without a metric counts as zero.
type meter map[string]float64

// meterOf reads the metrics of all daemons.
func meterOf(ctx context.Context, r local.Ready) (meter, error) {
	m := meter{bytesIn: 0, bytesOut: 0, allocs: 0, allocated: 0, cpu: 0}
	for _, a := range r.OperatorAddresses {
		if err := m.add(ctx, a); err != nil {
			return m, err
		}
	}
	return m, nil
}

func (m meter) add(ctx context.Context, operator string) error {
	q, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+operator+"/metrics", nil)
	if err != nil {
		return err
	}
	a, err := http.DefaultClient.Do(q)
	if err != nil {
		return err
	}
	defer a.Body.Close()
	lines := bufio.NewScanner(a.Body)
	for lines.Scan() {
		name, text, _ := strings.Cut(lines.Text(), " ")
		if _, wanted := m[name]; !wanted {
			continue
		}
		n, err := strconv.ParseFloat(text, 64)
		if err != nil {
			return err
		}
		m[name] += n
	}
	return lines.Err()
}

// since is the growth from an earlier reading, in parts of n.
func (m meter) since(earlier meter, n float64) meter {
	d := meter{}
	for name, x := range m {
		d[name] = (x - earlier[name]) / n
	}
	return d
}
