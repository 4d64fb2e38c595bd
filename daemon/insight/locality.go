package insight

import (
	"fmt"
	"io"

	vm "github.com/VictoriaMetrics/metrics"
)

// localityMetrics writes in which failure domains this VM has placed requests as the owner.
func (p *Page) localityMetrics(w io.Writer) {
	for _, x := range p.Owner.ListLocality() {
		vm.WriteCounterUint64(w, fmt.Sprintf(`snipeshift_locality_total{service=%q,result="home"}`, x.Service), x.Counts.Home)
		vm.WriteCounterUint64(w, fmt.Sprintf(`snipeshift_locality_total{service=%q,result="away"}`, x.Service), x.Counts.Away)
	}
}
