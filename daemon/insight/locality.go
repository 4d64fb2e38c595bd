package insight

import (
	"fmt"
	"io"

	vm "github.com/VictoriaMetrics/metrics"
)

// localityMetrics writes in which failure domains this VM has placed requests as the owner, and how
// their times to the first byte compare with the planned ones.
func (p *Page) localityMetrics(w io.Writer) {
	for _, x := range p.Owner.ListLocality() {
		vm.WriteCounterUint64(w, fmt.Sprintf(`snipeshift_locality_total{service=%q,result="home"}`, x.Service), x.Counts.Home)
		vm.WriteCounterUint64(w, fmt.Sprintf(`snipeshift_locality_total{service=%q,result="away"}`, x.Service), x.Counts.Away)
		const ratios = "snipeshift_upstream_pace_ratio"
		for i, n := range x.Paces.Below {
			fmt.Fprintf(w, "%s_bucket{service=%q,le=\"%g\"} %d\n", ratios, x.Service, x.Paces.Bounds[i], n)
		}
		fmt.Fprintf(w, "%s_bucket{service=%q,le=\"+Inf\"} %d\n", ratios, x.Service, x.Paces.Count)
		fmt.Fprintf(w, "%s_sum{service=%q} %g\n", ratios, x.Service, x.Paces.Sum)
		fmt.Fprintf(w, "%s_count{service=%q} %d\n", ratios, x.Service, x.Paces.Count)
	}
}
