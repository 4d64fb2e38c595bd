package experiment

import (
	"bufio"
	"context"
	"net/http"
	"strconv"
	"strings"

	"snipeshift.example/emulator/local"
)

// Names of metrics that a daemon exports.
const (
	bytesIn   = `snipeshift_peer_bytes_total{way="in"}`
	bytesOut  = `snipeshift_peer_bytes_total{way="out"}`
	allocs    = "go_memstats_mallocs_total"
	allocated = "go_memstats_alloc_bytes_total"
	cpu       = "process_cpu_seconds_total"
)

// counters holds the sum over all daemons for each metric. A daemon that does not export a metric
// counts as zero.
type counters map[string]float64

// readCounters reads the metrics of all daemons at their operator addresses.
func readCounters(ctx context.Context, r local.Ready) (counters, error) {
	m := counters{bytesIn: 0, bytesOut: 0, allocs: 0, allocated: 0, cpu: 0}
	for _, a := range r.OperatorAddresses {
		if err := m.addDaemon(ctx, a); err != nil {
			return m, err
		}
	}
	return m, nil
}

func (m counters) addDaemon(ctx context.Context, address string) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/metrics", nil)
	if err != nil {
		return err
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	lines := bufio.NewScanner(resp.Body)
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

// increasePer returns the increase of each metric since an earlier reading, divided by n.
func (m counters) increasePer(earlier counters, n float64) counters {
	d := counters{}
	for name, x := range m {
		d[name] = (x - earlier[name]) / n
	}
	return d
}
