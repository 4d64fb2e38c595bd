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

// A caller asks for a large answer in one piece and then reads nothing. Its request
// must end soon after its allowed time: held for good, it keeps memory of an engine
// reserved, and the daemon could never be stopped in a planned way.
func TestCallerThatReadsNothingIsLetGo(t *testing.T) {
	big := strings.Repeat("x", 512<<10)
	var chunks []string
	for range 64 {
		chunks = append(chunks, fmt.Sprintf(`"choices":[{"index":0,"delta":{"content":%q}}]`, big))
	}
	chunks = append(chunks, `"choices":[{"index":0,"delta":{},"finish_reason":"stop"}]`)
	b := newBench(t, script(chunks...))
	c, err := net.Dial("tcp", b.server.Listener.Addr().String())
	require.NoError(t, err)
	defer c.Close()
	body := strings.Replace(ask, `"stream":true`, `"stream":false`, 1)
	_, err = fmt.Fprintf(c, "POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer %s\r\n%s: 6000\r\nContent-Length: %d\r\n\r\n%s", key, headerAllowed, len(body), body)
	require.NoError(t, err)
	_, err = io.ReadFull(c, make([]byte, 12)) // the answer has begun
	require.NoError(t, err)
	require.Eventually(t, func() bool { return b.gate.InFlight() == 0 }, 12*time.Second, 20*time.Millisecond)
}

// Something between gate and engine forgets the connections that are open, and new ones
// work. A long prompt on a kept one would hear nothing until its allowed time is over.
func TestLongPromptTakesNoKeptConnection(t *testing.T) {
	var mu sync.Mutex
	seen := map[string]int{}
	b := newBench(t, func(w http.ResponseWriter, r *http.Request) {
		mu.Lock()
		seen[r.RemoteAddr]++
		mu.Unlock()
		wholeAnswer(w, r)
	})
	long := strings.Replace(ask, "boil water", strings.Repeat("boil", shortPrompt+1), 1)
	for range 3 {
		require.Contains(t, b.post("/v1/chat/completions", ask).body, "[DONE]")
		require.Contains(t, b.post("/v1/chat/completions", long).body, "[DONE]")
	}
	mu.Lock()
	defer mu.Unlock()
	require.GreaterOrEqual(t, len(seen), 4, "one kept connection at least, and one for each long prompt")
}

// An alert has eight seconds, and the connection to its engine has gone silent. Waiting
// for as long as tokens may be apart, ten seconds, would leave it unanswered.
func TestFirstTokenIsAwaitedForHalfOfAShortTime(t *testing.T) {
	b := newBench(t)
	wait := func(prompt decide.Tokens, left clock.Milli) time.Duration {
		x := &generation{gate: b.gate, q: &request{prompt: prompt, deadline: b.gate.Clock.Now() + left}}
		return x.firstWait(document.Upstream{Prefill: 8000})
	}
	require.InDelta(t, 4, wait(1000, 8000).Seconds(), 0.1)
	require.InDelta(t, 7, wait(16_000, 8000).Seconds(), 0.1, "a slow prefill is no silence")
	require.InDelta(t, 8, wait(32_000, 8000).Seconds(), 0.1)
}
