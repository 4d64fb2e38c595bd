package document

import (
	"runtime"
	"testing"
)

// BenchmarkHeapOfPlannedSize reports the heap memory that a parsed document of the planned size and its
// index retain.
func BenchmarkHeapOfPlannedSize(b *testing.B) {
	text := []byte(plannedDocument(1))
	for b.Loop() {
		before := liveHeap()
		d, _ := Parse(text, "planned")
		x := NewIndex(d)
		b.ReportMetric(float64(liveHeap()-before), "B/document")
		runtime.KeepAlive(x)
	}
}

func liveHeap() uint64 {
	var m runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}
