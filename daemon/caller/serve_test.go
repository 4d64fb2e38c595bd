package caller

import (
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"snipeshift.example/lib/clock"
	"snipeshift.example/lib/decide"
	"snipeshift.example/lib/document"
	"snipeshift.example/lib/fault"
	"snipeshift.example/lib/peer"
)

// The store is unavailable or the only engine is unreachable, and a workspace retries repeatedly.
// If requests that did not run used up its rate, the workspace would be refused after the recovery.
func TestRateTokensAreRefundedIfNotRun(t *testing.T) {
	b := newHarness(t, completeResponse)
	b.fakes.claim = peer.ClaimReply{State: peer.ClaimUnknown}
	b.post("/v1/chat/completions", chatBody, headerKind, "send", headerIdempotencyKey, "k1")
	b.awaitIdle()
	require.EqualValues(t, 3+1, b.fakes.refunded, "the whole estimate")

	b = newHarness(t, completeResponse)
	b.post("/v1/chat/completions", chatBody)
	b.awaitIdle()
	require.EqualValues(t, 64-2, b.fakes.refunded, "a completed request is charged for its usage and not for its output limit")

	b = newHarness(t, func(w http.ResponseWriter, r *http.Request) { writeChunk(w, r, 0, "boil ") })
	b.post("/v1/chat/completions", chatBody)
	b.awaitIdle()
	require.Zero(t, b.fakes.refunded, "a request that was sent may have used its whole estimate")

	b = newHarness(t, completeResponse)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	require.NoError(t, l.Close())
	b.fakes.upstreams = []string{b.addUnreachableUpstream(l.Addr().String())}
	require.Equal(t, http.StatusServiceUnavailable, b.post("/v1/chat/completions", chatBody).status)
	b.awaitIdle()
	require.EqualValues(t, 3+64, b.fakes.refunded)
}

// addUnreachableUpstream adds an upstream whose address nothing listens on, and returns its name.
func (b *harness) addUnreachableUpstream(address string) string {
	d := *b.index.Document()
	u := d.Upstreams[0]
	u.Name, u.Address = "away", address
	d.Upstreams = append(append([]document.Upstream(nil), d.Upstreams...), u)
	b.index = document.NewIndex(&d)
	b.gate.Registry = fixedRegistry{b.index}
	return u.Name
}

// A long prompt fits the engines of one failure domain, which are busy, but not the smaller engines
// of another. If the client got the refusal "too long", it would never retry.
func TestRetryableRefusalIsPreferred(t *testing.T) {
	b := newHarness(t, completeResponse)
	d := *b.index.Document()
	u := d.Upstreams[0]
	u.Name, u.Domain = "small", "cellar"
	d.Upstreams = append(append([]document.Upstream(nil), d.Upstreams...), u)
	b.index = document.NewIndex(&d)
	b.gate.Registry = fixedRegistry{b.index}
	b.fakes.refusals = map[peer.PoolID]*peer.Fault{
		"drafter@hall":   peer.NewFault(fault.New(fault.Overloaded, "busy").WithRetry(3 * clock.Second)),
		"drafter@cellar": peer.NewFault(fault.New(fault.Oversize, "too long")),
	}
	a := b.post("/v1/chat/completions", chatBody)
	require.Equal(t, "overloaded", a.kind())
	require.Equal(t, "3", a.header.Get(headerRetryAfter))
}

// A daemon is stopped right after its last response. It must send the returns of grants before it
// closes its connections, or the owner would reserve engine memory for a request that has ended.
// The owner of the pool changes meanwhile, so the second return goes to both owners.
func TestShutdownWaitsForGrantReturns(t *testing.T) {
	b := newHarness(t, completeResponse)
	b.post("/v1/chat/completions", chatBody)
	b.awaitIdle()
	b.gate.WaitBackground()
	b.fakes.mu.Lock()
	require.Len(t, b.fakes.returned, 1)
	b.fakes.successor = "successor"
	b.fakes.mu.Unlock()
	b.post("/v1/chat/completions", chatBody)
	b.awaitIdle()
	b.gate.WaitBackground()
	b.fakes.mu.Lock()
	defer b.fakes.mu.Unlock()
	require.Len(t, b.fakes.returned, 3)
}

// A prompt spans two engines. Either the helper that should reserve memory is paused, or the leader
// rejects the request. The request must end early, reported as not run, and the reserved memory
// must be freed.
func TestGroupThatCannotStartIsReleased(t *testing.T) {
	var freed atomic.Int32
	free := func(r *http.Request) bool {
		if r.Method == http.MethodDelete {
			freed.Add(1)
		}
		return r.Method == http.MethodDelete
	}
	busy := func(w http.ResponseWriter, r *http.Request) {
		if !free(r) {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	}
	release := make(chan struct{})
	defer close(release)
	paused := func(_ http.ResponseWriter, r *http.Request) {
		if !free(r) {
			_, _ = io.ReadAll(r.Body)
			<-release
		}
	}
	reserve := func(_ http.ResponseWriter, r *http.Request) { free(r) }
	for _, hs := range [][]http.HandlerFunc{{completeResponse, paused}, {busy, reserve}} {
		b := newHarness(t, hs...)
		b.fakes.group = true
		freed.Store(0)
		start := time.Now()
		a := b.post("/v1/chat/completions", chatBody)
		require.Equal(t, "no", a.ran())
		require.Less(t, time.Since(start), 15*time.Second, "20 s are allowed")
		b.gate.WaitBackground()
		require.NotZero(t, freed.Load())
	}
}

// The engines of the near failure domain are full of long prompts but still accept short ones. A
// long prompt that is queued there waits for minutes although engines elsewhere are idle.
func TestLongPromptIsRankedByMemoryWait(t *testing.T) {
	b := newHarness(t, completeResponse)
	d := *b.index.Document()
	u := d.Upstreams[0]
	u.Name, u.Domain = "far", "cellar"
	d.Upstreams = append(append([]document.Upstream(nil), d.Upstreams...), u)
	index := document.NewIndex(&d)
	b.fakes.summaries = map[peer.PoolID]decide.Summary{
		"drafter@hall":   {Wait: [4]clock.Milli{0, 1, 1, 1}, Long: [4]clock.Milli{60000, 60000, 60000, 60000}},
		"drafter@cellar": {Wait: [4]clock.Milli{0, 1, 1, 1}},
	}
	q := &request{kind: d.Kinds[0], target: "drafter", prompt: decide.DefaultLongPrompt}
	require.Equal(t, peer.PoolID("drafter@cellar"), b.gate.rankPools(index, q)[0])
	q.prompt--
	require.Equal(t, peer.PoolID("drafter@hall"), b.gate.rankPools(index, q)[0])
}
