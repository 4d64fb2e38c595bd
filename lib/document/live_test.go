package document

import (
	"runtime"
	"testing"
)

// BenchmarkHeldPlanned reports the heap memory that a parsed document of the planned size and its
// index retain.
func BenchmarkHeldPlanned(b *testing.B) {
	text := []byte(planned(1))
	for b.Loop() {
		before := live()
		d, _ := Parse(text, "planned")
		x := NewIndex(d)
		b.ReportMetric(float64(live()-before), "B/document")
		runtime.KeepAlive(x)
	}
}

func live() uint64 {
	var m runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}
