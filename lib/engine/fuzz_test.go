package engine

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"snipeshift.example/lib/decide"
)

// FuzzStream searches for engine responses from which Each passes on a chunk of another request, or which
// it accepts as complete although the end is missing.
func FuzzStream(f *testing.F) {
	const id = "r"
	event := func(n, data string) string { return "id: " + n + "\ndata: " + data + "\n\n" }
	first := event("0", `{"id":"r","choices":[{"delta":{"content":"boil"}}]}`)
	last := event("1", `{"id":"r","choices":[{"delta":{},"finish_reason":"stop"}],"usage":{"prompt_tokens":1}}`)
	end := "data: [DONE]\n\n"
	f.Add([]byte(first + last + end))
	f.Add([]byte(first + first + last + end))
	f.Add([]byte(last + first + end))
	f.Add([]byte(first + end))
	f.Add([]byte(event("0", `{"id":"other"}`) + end))
	f.Add([]byte(event("18446744073709551615", `{"id":"r"}`) + "id\ndata:\n\n" + end))
	f.Fuzz(func(t *testing.T, text []byte) {
		ctx, cancel := context.WithCancelCause(t.Context())
		s := &Stream{
			request: id, body: io.NopCloser(bytes.NewReader(text)), ctx: ctx, cancel: cancel,
			watchdog: newWatchdog(time.Hour, func() {}), idle: time.Hour,
		}
		finished := false
		err := s.Each(func(c Chunk) error {
			var h chunkHead
			require.NoError(t, json.Unmarshal([]byte(c.Data), &h))
			require.Equal(t, decide.RequestID(id), h.ID)
			for _, x := range h.Choices {
				finished = finished || x.Finish != ""
			}
			return nil
		})
		if err == nil {
			require.True(t, finished, "a complete response must have a finish reason")
			require.Contains(t, string(text), endMark)
		}
	})
}
