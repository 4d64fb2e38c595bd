package insight

import (
	"fmt"
	"io"

	vm "github.com/VictoriaMetrics/metrics"
)

// bookingMetrics writes the bookings of the services that this VM owns.
func (p *Page) bookingMetrics(w io.Writer) {
	for _, b := range p.Owner.ListBookings() {
		for _, x := range []struct {
			result string
			count  uint64
		}{{"made", b.Counts.Made}, {"kept", b.Counts.Kept}, {"lapsed", b.Counts.Lapsed}, {"refused", b.Counts.Refused}, {"full", b.Counts.Full}} {
			vm.WriteCounterUint64(w, fmt.Sprintf("snipeshift_bookings_total{service=%q,result=%q}", b.Service, x.result), x.count)
		}
		vm.WriteGaugeUint64(w, fmt.Sprintf("snipeshift_bookings_open{service=%q}", b.Service), uint64(b.Open))
	}
}
