package experiment

import (
	"fmt"
	"io"
	"strings"

	"snipeshift.example/emulator/caller"
	"snipeshift.example/emulator/load"
)

const head = `| requests/s | long | finished | refused | failed | broken | overdue | wrong | under 4k first p50 | p95 | p99 | over 100k first p50 | p95 | service p99 | slowdown p50 | p95 | daemon cores | MB | reads/s | writes/s |
| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |
`

// megabyte is the unit of memory in the table.
const megabyte = 1 << 20

// Table writes the pairs as a table for a page, times in milliseconds.
func Table(pairs []RatePair, out io.Writer) error {
	var b strings.Builder
	b.WriteString(head)
	for _, p := range pairs {
		p.Short.row(&b, "", "")
		p.Mixed.row(&b, fmt.Sprintf("%.2f", p.P50), fmt.Sprintf("%.2f", p.P95))
	}
	_, err := io.WriteString(out, b.String())
	return err
}

func (l *LoadResult) row(b *strings.Builder, p50, p95 string) {
	o := l.Report.Outcomes
	short, long := l.Report.Bands[load.ShortBand].First, l.Report.Bands[load.LongBand].First
	service := l.Report.Bands[load.ServiceBand].Total
	mix := "no"
	if l.Long {
		mix = "yes"
	}
	fmt.Fprintf(b, "| %g | %s | %d | %d | %d | %d | %d | %d | %.0f | %.0f | %.0f | %.0f | %.0f | %.1f | %s | %s | %.2f | %d | %.1f | %.1f |\n",
		l.Rate, mix, o[caller.Finished], o[caller.Refused], o[caller.Failed], o[caller.Broken], o[caller.Overdue], o[caller.Wrong],
		short.P50, short.P95, short.P99, long.P50, long.P95, service.P99,
		p50, p95, l.Cores, l.Memory/megabyte, l.Reads, l.Writes)
}

// CountWrong counts wrong answers of all levels.
func CountWrong(pairs []RatePair) int {
	n := 0
	for _, p := range pairs {
		n += p.Short.Report.Outcomes[caller.Wrong] + p.Mixed.Report.Outcomes[caller.Wrong]
	}
	return n
}
