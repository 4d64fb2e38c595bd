package logline

import (
	"bytes"
	"io"
	"strings"
	"testing"
	"time"

	"github.com/phuslu/log"
	"github.com/stretchr/testify/require"
)

// The log collector stalls and its pipe is full. Writing a line must not block, and the dropped lines
// must be counted.
func TestStalledReaderDoesNotBlockWriter(t *testing.T) {
	r, out := io.Pipe() // nobody reads
	w := NewWriter(out, 8)
	l := &log.Logger{Level: log.InfoLevel, Writer: w}
	began := time.Now()
	for range 1000 {
		l.Info().Str(Key, Request).Msg("request")
	}
	require.Less(t, time.Since(began), time.Second)
	require.Greater(t, w.Dropped(), uint64(900))
	require.NoError(t, r.Close())
}

func TestWriterKeepsOrder(t *testing.T) {
	var out bytes.Buffer
	w := NewWriter(&out, 100)
	l := &log.Logger{Level: log.InfoLevel, Writer: w}
	for _, m := range []string{"one", "two", "three"} {
		l.Info().Msg(m)
	}
	require.NoError(t, w.Close())
	text := out.String()
	require.Less(t, strings.Index(text, "one"), strings.Index(text, "two"))
	require.Less(t, strings.Index(text, "two"), strings.Index(text, "three"))
	require.Zero(t, w.Dropped())
}

// BenchmarkLine measures the cost of a log line for its caller.
func BenchmarkLine(b *testing.B) {
	l := &log.Logger{Level: log.InfoLevel, Writer: NewWriter(io.Discard, 4096)}
	b.ReportAllocs()
	for b.Loop() {
		l.Info().Str(Key, Request).Str("id", "9c41d07be2a35f68").Str("route", "r-1").Str("workspace", "ward").Int("queued", 3).
			Int("first", 120).Int("total", 1900).Str("outcome", "ok").Msg("request")
	}
}
