package caller

import (
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"snipeshift.example/lib/dial/dialtest"
)

// A plain service responds without end, with a length or without one. The call must be cut off by itself, long before its time
// limit, and must not look complete.
func TestEndlessServiceResponseIsCutOff(t *testing.T) {
	for _, e := range []dialtest.Endless{
		{Begin: "HTTP/1.1 200 OK\r\n\r\n", Repeat: "x"},
		{Begin: "HTTP/1.1 200 OK\r\nContent-Length: 99999999999999\r\n\r\n", Repeat: "x"},
		{Begin: "HTTP/1.1 200 OK\r\nX: ", Repeat: "x"},
	} {
		b := newHarness(t)
		b.addService(e.ServeHTTP)
		r, err := http.NewRequestWithContext(t.Context(), http.MethodPost, b.server.URL+"/services/sms/x", strings.NewReader(""))
		require.NoError(t, err)
		r.Header.Set("Authorization", "Bearer "+wardsKey)
		r.Header.Set(headerIdempotencyKey, "k")
		began := time.Now()
		resp, err := http.DefaultClient.Do(r)
		require.NoError(t, err)
		size, err := io.Copy(io.Discard, resp.Body)
		require.NoError(t, resp.Body.Close())
		require.True(t, err != nil || resp.StatusCode >= http.StatusInternalServerError, "status %d", resp.StatusCode)
		require.LessOrEqual(t, size, int64(16<<20))
		require.Less(t, time.Since(began), 5*time.Second)
	}
}

// Sixty engines fill the events of responses that are collected, each as far as its request allows. All of them together must
// leave room for others, and a response of usual size must not fail beside them.
func TestCollectedResponsesAreBounded(t *testing.T) {
	var all atomic.Int64
	large := make([]collected, 60)
	held := int64(0)
	for i := range large {
		large[i].all = &all
		for large[i].add(64<<10) == nil {
			held += 64 << 10
		}
	}
	require.LessOrEqual(t, held, int64(len(large)*collectedEach+collectedBeyond))
	usual := collected{all: &all}
	require.NoError(t, usual.add(collectedEach))
	for i := range large {
		large[i].release()
	}
	usual.release()
	require.Zero(t, all.Load())
}

// An engine sends proper events without end to a client that asked for no stream, while other responses hold all that there is
// room for.
func TestEndlessCollectedResponseFails(t *testing.T) {
	b := newHarness(t, func(w http.ResponseWriter, r *http.Request) {
		for n := 0; r.Context().Err() == nil; n++ {
			writeChunk(w, r, n, strings.Repeat("x", 60<<10))
		}
	})
	b.gate.collected.Store(collectedBeyond)
	resp := b.post("/v1/chat/completions", strings.Replace(chatBody, `"stream":true`, `"stream":false,"max_tokens":4000`, 1))
	require.Equal(t, http.StatusBadGateway, resp.status, resp.body)
	require.EqualValues(t, collectedBeyond, b.gate.collected.Load())
}
