package insight

import (
	"fmt"
	"io"

	vm "github.com/VictoriaMetrics/metrics"

	"snipeshift.example/lib/decide/share"
	"snipeshift.example/lib/route"
)

// writeShares writes the shares of workspaces. Lags and reserved slots are known
// only where this VM is the owner.
func (p *Page) writeShares(w io.Writer) {
	p.Owner.ShareUsages(func(s route.ServiceID, u share.Usage) {
		labels := fmt.Sprintf("{service=%q,workspace=%q}", s, u.Workspace)
		vm.WriteCounterUint64(w, "snipeshift_share_tokens_total"+labels, uint64(u.Tokens))
		if p.Holders.Holds(s) {
			vm.WriteGaugeFloat64(w, "snipeshift_share_lag_tokens"+labels, u.Lag)
		}
	})
	p.Owner.ReservedSlots(func(s route.ServiceID, n int) {
		if p.Holders.Holds(s) {
			vm.WriteGaugeUint64(w, fmt.Sprintf("snipeshift_share_reserved_slots{service=%q}", s), uint64(n))
		}
	})
}
