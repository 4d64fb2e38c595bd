package engine

import (
	"context"
	"fmt"
	"io"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// streamText returns a stream of n tokens in the format of an engine.
func streamText(n int) string {
	var b strings.Builder
	for i := range n {
		fmt.Fprintf(&b, "id: %d\ndata: {\"id\":\"r-1\",\"object\":\"chat.completion.chunk\",\"created\":1796245057,\"model\":\"drafter\","+
			"\"choices\":[{\"index\":0,\"delta\":{\"content\":\"abc \"},\"finish_reason\":null}]}\n\n", i)
	}
	fmt.Fprintf(&b, "id: %d\ndata: {\"id\":\"r-1\",\"choices\":[{\"index\":0,\"delta\":{},\"finish_reason\":\"stop\"}]}\n\ndata: [DONE]\n\n", n)
	return b.String()
}

// BenchmarkStream measures the time to read and check one token of an engine's stream.
func BenchmarkStream(b *testing.B) {
	const tokens = 1000
	text := streamText(tokens)
	b.ReportAllocs()
	for b.Loop() {
		ctx, cancel := context.WithCancelCause(context.Background())
		s := &Stream{request: "r-1", body: io.NopCloser(strings.NewReader(text)), ctx: ctx, cancel: cancel, watchdog: newWatchdog(time.Minute, func() {}), idle: time.Minute}
		n := 0
		require.NoError(b, s.Each(func(c Chunk) error { n += int(c.Tokens); return nil }))
		require.Equal(b, tokens, n)
	}
	b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N)/tokens, "ns/token")
}
