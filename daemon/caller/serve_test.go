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

// The store is out, or the only engine cannot be reached, and a workspace asks again
// and again. None of its requests runs; were they counted against its rate all the
// same, it would be refused for being over it once everything works again.
func TestWhatDidNotRunIsRefunded(t *testing.T) {
	b := newBench(t, wholeAnswer)
	b.fakes.claim = peer.ClaimReply{State: peer.ClaimUnknown}
	b.post("/v1/chat/completions", ask, headerKind, "send", headerKey, "k1")
	b.idle()
	require.EqualValues(t, 3+1, b.fakes.refunded, "the whole estimate")

	b = newBench(t, wholeAnswer)
	b.post("/v1/chat/completions", ask)
	b.idle()
	require.EqualValues(t, 64-2, b.fakes.refunded, "an answered request pays for what it used, not for its limit")

	b = newBench(t, func(w http.ResponseWriter, r *http.Request) { say(w, r, 0, "boil ") })
	b.post("/v1/chat/completions", ask)
	b.idle()
	require.Zero(t, b.fakes.refunded, "a request that was sent may have cost its estimate")

	b = newBench(t, wholeAnswer)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	require.NoError(t, l.Close())
	b.fakes.upstream = []string{b.away(l.Addr().String())}
	require.Equal(t, http.StatusServiceUnavailable, b.post("/v1/chat/completions", ask).status)
	b.idle()
	require.EqualValues(t, 3+64, b.fakes.refunded)
}

// away names an upstream at which nothing listens.
func (b *bench) away(address string) string {
	d := *b.index.Document()
	u := d.Upstreams[0]
	u.Name, u.Address = "away", address
	d.Upstreams = append(append([]document.Upstream(nil), d.Upstreams...), u)
	b.index = document.NewIndex(&d)
	b.gate.Registry = fixedBook{b.index}
	return u.Name
}

// A long prompt fits the engines of one failure domain, which are busy, and not the
// smaller ones of another. Told that it is too long, its caller would never come back.
func TestRefusalThatMayEndDifferentlyGoesFirst(t *testing.T) {
	b := newBench(t, wholeAnswer)
	d := *b.index.Document()
	u := d.Upstreams[0]
	u.Name, u.Domain = "small", "cellar"
	d.Upstreams = append(append([]document.Upstream(nil), d.Upstreams...), u)
	b.index = document.NewIndex(&d)
	b.gate.Registry = fixedBook{b.index}
	b.fakes.pools = map[peer.PoolID]*peer.Fault{
		"drafter@hall":   peer.NewFault(fault.New(fault.Overloaded, "busy").WithRetry(3 * clock.Second)),
		"drafter@cellar": peer.NewFault(fault.New(fault.Oversize, "too long")),
	}
	a := b.post("/v1/chat/completions", ask)
	require.Equal(t, "overloaded", a.kind())
	require.Equal(t, "3", a.header.Get(headerRetry))
}

// A daemon is stopped right after its last answer. What it still has to tell goes out
// before its connections are closed, or the owner would keep an engine's memory for a
// request that is over. The pool changed hands meanwhile, and both owners are told.
func TestReturnsAreOutBeforeTheEnd(t *testing.T) {
	b := newBench(t, wholeAnswer)
	b.post("/v1/chat/completions", ask)
	b.idle()
	b.gate.WaitBackground()
	b.fakes.mu.Lock()
	require.Len(t, b.fakes.returned, 1)
	b.fakes.owner = "successor"
	b.fakes.mu.Unlock()
	b.post("/v1/chat/completions", ask)
	b.idle()
	b.gate.WaitBackground()
	b.fakes.mu.Lock()
	defer b.fakes.mu.Unlock()
	require.Len(t, b.fakes.returned, 3)
}

// A prompt spans two engines. The one that lends memory stands still, or the leading one
// takes no work. The request ends soon, not run, and the lent memory is given back.
func TestGroupThatCannotStartIsLetGo(t *testing.T) {
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
	still := func(_ http.ResponseWriter, r *http.Request) {
		if !free(r) {
			_, _ = io.ReadAll(r.Body)
			<-release
		}
	}
	lend := func(_ http.ResponseWriter, r *http.Request) { free(r) }
	for _, hs := range [][]http.HandlerFunc{{wholeAnswer, still}, {busy, lend}} {
		b := newBench(t, hs...)
		b.fakes.group = true
		freed.Store(0)
		start := time.Now()
		a := b.post("/v1/chat/completions", ask)
		require.Equal(t, "no", a.ran())
		require.Less(t, time.Since(start), 15*time.Second, "20 s are allowed")
		b.gate.WaitBackground()
		require.NotZero(t, freed.Load())
	}
}

// The engines of the near failure domain are full of dossiers, short work still gets in.
// A long prompt that queues there all the same waits for minutes beside idle engines.
func TestLongPromptGoesWhereMemoryIsFree(t *testing.T) {
	b := newBench(t, wholeAnswer)
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
	require.Equal(t, peer.PoolID("drafter@cellar"), b.gate.rank(index, q)[0])
	q.prompt--
	require.Equal(t, peer.PoolID("drafter@hall"), b.gate.rank(index, q)[0])
}
