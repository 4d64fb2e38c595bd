package insight

import (
	"fmt"
	"io"

	vm "github.com/VictoriaMetrics/metrics"
)

// recoveryMetrics writes the recoveries of the services for which this VM has a pool.
func (p *Page) recoveryMetrics(w io.Writer) {
	for _, r := range p.Owner.ListRecoveries() {
		active := uint64(0)
		if r.Active {
			active = 1
		}
		vm.WriteGaugeUint64(w, fmt.Sprintf("snipeshift_recovery_active{service=%q}", r.Service), active)
		vm.WriteCounterUint64(w, fmt.Sprintf("snipeshift_recovery_total{service=%q,result=%q}", r.Service, "placed"), r.Counts.Placed)
		vm.WriteCounterUint64(w, fmt.Sprintf("snipeshift_recovery_total{service=%q,result=%q}", r.Service, "refused"), r.Counts.Refused)
	}
}
