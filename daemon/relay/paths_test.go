package relay

import (
	"net"
	"net/http"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"snipeshift.example/lib/decide/blame"
	"snipeshift.example/lib/decide/span"
	"snipeshift.example/lib/dial"
)

// failAt returns a function that fails connects to one address.
func failAt(address string, err error) func(string) error {
	return func(a string) error {
		if a == address {
			return err
		}
		return nil
	}
}

var (
	errRefused = &net.OpError{Op: "dial", Net: "tcp", Err: syscall.ECONNREFUSED}
	errNoPath  = dial.ErrNoPath.New("test")
)

// Connects that fail reach no upstream; charged as repeats they use up what requests that broke need.
func TestFailedConnectIsNotCountedAsRetry(t *testing.T) {
	for _, err := range []error{errRefused, errNoPath} {
		w := newFixture(t, respond("answer"), respond("answer"))
		w.paths.fail = failAt(w.upstreams[0].Listener.Addr().String(), err)
		resp, _, callErr := w.call(http.MethodPost, "/once/", "")
		require.NoError(t, callErr)
		require.Equal(t, http.StatusOK, resp.StatusCode)
		require.Equal(t, []bool{false, false}, w.placer.again)
		require.Equal(t, []bool{false, true}, w.placer.counted)
	}
}

// A VM that has lost its paths reports its failed connects; an owner that excluded the upstreams would refuse sound work of all VMs.
func TestLostPathExcludesNoUpstream(t *testing.T) {
	w := newFixture(t, respond("answer"), respond("answer"))
	w.paths.fail = failAt(w.upstreams[0].Listener.Addr().String(), errNoPath)
	_, _, err := w.call(http.MethodPost, "/once/", "")
	require.NoError(t, err)
	require.Equal(t, []span.Outcome{span.Left, span.Done}, w.placer.outcomes)
}

// The VM reaches no upstream and no other VM helps: the client is told at once that its request did not run.
func TestRequestWithoutAnyPathIsRefusedAsNotRun(t *testing.T) {
	w := newFixture(t, respond("answer"), respond("answer"), respond("answer"))
	w.paths.fail = func(string) error { return errNoPath }
	began := time.Now()
	resp, _, err := w.call(http.MethodPost, "/again/", "")
	require.NoError(t, err)
	require.Equal(t, http.StatusServiceUnavailable, resp.StatusCode)
	require.Equal(t, "0.2", resp.Header.Get("Retry-After"))
	require.Less(t, time.Since(began), 200*time.Millisecond)
	require.Len(t, w.placer.outcomes, maxNoPath)
}

// The VM's own paths break all its streams; taken for crashes, its requests would be refused by all VMs.
func TestSendBrokenByLostPathIsNoCrash(t *testing.T) {
	for _, route := range []string{"/again/", "/stream/"} {
		var crashes atomic.Int64
		w := newFixture(t, respondRaw(t, true, func(*http.Request) string { return "" }), respond("answer"))
		address := w.upstreams[0].Listener.Addr().String()
		var connects atomic.Int64
		w.paths.fail = func(a string) error {
			if a == address && connects.Add(1) > 1 {
				return errNoPath
			}
			return nil
		}
		w.deps.Suspects = testSuspects{crashes: &crashes}
		w.start()
		_, _, err := w.call(http.MethodPost, route, "")
		require.NoError(t, err)
		require.Zero(t, crashes.Load())
		require.Equal(t, span.Left, w.placer.outcomes[0])
	}
}

// An upstream crashes under a stream that it has been writing for a while; suspected twice, the client's request would be
// refused everywhere.
func TestLongStreamCutOffByCrashIsNotSuspected(t *testing.T) {
	for written, suspected := range map[time.Duration]int64{0: 1, 2 * blame.ProveTime.Duration(): 0} {
		var crashes atomic.Int64
		var w *fixture
		w = newFixture(t, func(rw http.ResponseWriter, r *http.Request) {
			rw.Header().Set("Content-Type", "text/event-stream")
			respond(eventText(1, 2))(rw, r)
			_ = http.NewResponseController(rw).Flush()
			time.Sleep(written)
			_ = w.upstreams[0].Listener.Close()
			panic(http.ErrAbortHandler)
		}, respondStream(eventText(3, 4)))
		w.deps.Suspects = testSuspects{crashes: &crashes}
		w.start()
		_, _, err := w.call(http.MethodPost, "/stream/", "")
		require.NoError(t, err)
		require.Equal(t, []span.Outcome{span.Crashed, span.Done}, w.placer.outcomes)
		require.Equal(t, suspected, crashes.Load(), "crash %v after the first event", written)
	}
}

// A connection through another VM breaks with that VM; the upstream is not at fault.
func TestSendBrokenByCarrierExcludesNoUpstream(t *testing.T) {
	w := newFixture(t, respondRaw(t, true, func(*http.Request) string { return "" }), respond("answer"))
	w.paths.carrier = "vm-2"
	_, _, err := w.call(http.MethodPost, "/again/", "")
	require.NoError(t, err)
	require.Equal(t, []span.Outcome{span.Left, span.Done}, w.placer.outcomes)
}

// A helper is reached by no VM that was asked; an owner that counted it as declining would keep it out of groups.
func TestLostPathToHelperIsNoDecline(t *testing.T) {
	w := newFixture(t, respondStream(eventText(1, 2)))
	w.addHelper(&testMemory{err: errNoPath})
	resp, _, err := w.call(http.MethodPost, "/stream/", "")
	require.NoError(t, err)
	require.Equal(t, http.StatusServiceUnavailable, resp.StatusCode)
	require.Equal(t, []span.Outcome{span.Left}, w.placer.outcomes)
}

// An upstream asks the VM that it saw for a back-off; it saw the carrier, which must not send either.
func TestStatementInCarriedResponseBindsCarrier(t *testing.T) {
	w := newFixture(t, rejectWithBackOff, respond("answer"))
	w.paths.carrier = "vm-2"
	_, _, err := w.call(http.MethodPost, "/once/", "")
	require.NoError(t, err)
	require.Equal(t, []string{"vm-2 u0 rest"}, w.placer.passed)
}
