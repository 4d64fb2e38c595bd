package caller

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"snipeshift.example/lib/clock"
	"snipeshift.example/lib/decide"
	"snipeshift.example/lib/document"
)

// A client asks for a large non-streaming response and then reads nothing. Its request must end
// soon after the deadline. Otherwise engine memory stays reserved, and a graceful shutdown never
// completes.
func TestCallerThatStopsReadingIsDisconnected(t *testing.T) {
	text := strings.Repeat("x", 512<<10)
	var chunks []string
	for range 64 {
		chunks = append(chunks, fmt.Sprintf(`"choices":[{"index":0,"delta":{"content":%q}}]`, text))
	}
	chunks = append(chunks, `"choices":[{"index":0,"delta":{},"finish_reason":"stop"}]`)
	b := newHarness(t, scriptedChunks(chunks...))
	c, err := net.Dial("tcp", b.server.Listener.Addr().String())
	require.NoError(t, err)
	defer c.Close()
	body := strings.Replace(chatBody, `"stream":true`, `"stream":false`, 1)
	_, err = fmt.Fprintf(c, "POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer %s\r\n%s: 6000\r\nContent-Length: %d\r\n\r\n%s", wardsKey, headerDeadline, len(body), body)
	require.NoError(t, err)
	_, err = io.ReadFull(c, make([]byte, 12)) // the response has begun
	require.NoError(t, err)
	require.Eventually(t, func() bool { return b.gate.InFlight() == 0 }, 12*time.Second, 20*time.Millisecond)
}

// A network device between gate and engine drops its state of open connections, while new
// connections work. A long prompt on a kept-alive connection would get no data until its deadline.
func TestLongPromptUsesNewConnection(t *testing.T) {
	var mu sync.Mutex
	seen := map[string]int{}
	b := newHarness(t, func(w http.ResponseWriter, r *http.Request) {
		mu.Lock()
		seen[r.RemoteAddr]++
		mu.Unlock()
		completeResponse(w, r)
	})
	long := strings.Replace(chatBody, "boil water", strings.Repeat("boil", shortPromptTokens+1), 1)
	for range 3 {
		require.Contains(t, b.post("/v1/chat/completions", chatBody).body, "[DONE]")
		require.Contains(t, b.post("/v1/chat/completions", long).body, "[DONE]")
	}
	mu.Lock()
	defer mu.Unlock()
	require.GreaterOrEqual(t, len(seen), 4, "at least one kept-alive connection, and a new one for each long prompt")
}

// A request with a deadline of eight seconds is sent on a connection that has stopped responding.
// Waiting for the idle time-out between tokens, ten seconds, would leave no time to retry on
// another engine.
func TestFirstTokenTimeoutLeavesTimeForRetry(t *testing.T) {
	b := newHarness(t)
	wait := func(prompt decide.Tokens, left clock.Milli) time.Duration {
		x := &generation{gate: b.gate, q: &request{prompt: prompt, deadline: b.gate.Clock.Now() + left}}
		return x.firstTokenTimeout(document.Upstream{Prefill: 8000})
	}
	require.InDelta(t, 4, wait(1000, 8000).Seconds(), 0.1)
	require.InDelta(t, 7, wait(16_000, 8000).Seconds(), 0.1, "a slow prefill does not count as unresponsive")
	require.InDelta(t, 8, wait(32_000, 8000).Seconds(), 0.1)
}
