package relay

import (
	"bytes"
	"io"
	"math"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/phuslu/log"
	"github.com/stretchr/testify/require"

	"snipeshift.example/lib/dial/dialtest"
)

// validHead begins a response to the requests of call.
const validHead = "HTTP/1.1 200 OK\r\nId: a1\r\nMark: m\r\n"

// endlessHeads are responses whose header does not end.
var endlessHeads = []dialtest.Endless{
	{Name: "garbage", Begin: "", Repeat: "x"},
	{Name: "empty lines", Begin: "", Repeat: "\r\n"},
	{Name: "status line", Begin: "HTTP/1.1 200 ", Repeat: "x"},
	{Name: "field", Begin: validHead + "Long: ", Repeat: "x"},
	{Name: "fields", Begin: validHead, Repeat: "A: b\r\n"},
	{Name: "interim responses", Begin: "", Repeat: "HTTP/1.1 102 Processing\r\nA: b\r\n\r\n"},
}

// eachPause runs a test for each response, sent as fast as the gate reads and a few bytes at a time.
func eachPause(t *testing.T, es []dialtest.Endless, test func(*testing.T, dialtest.Endless)) {
	for _, e := range es {
		for _, e.Pause = range []time.Duration{0, 10 * time.Millisecond} {
			t.Run(e.Name+" "+e.Pause.String(), func(t *testing.T) { test(t, e) })
		}
	}
}

// A header without end, fast or a few bytes at a time, must end the send by the time limit and with little of it read. A
// request that may be repeated is served by another upstream.
func TestEndlessHeadIsCutOff(t *testing.T) {
	eachPause(t, endlessHeads, func(t *testing.T, e dialtest.Endless) {
		w := newFixture(t, e.ServeHTTP, respond("fine"))
		w.setDocument(600, "key")
		began := time.Now()
		resp, body, err := w.call(http.MethodPost, "/again/x", "")
		require.NoError(t, err)
		require.Equal(t, http.StatusOK, resp.StatusCode)
		require.Equal(t, "fine", body)
		resp, body, err = w.call(http.MethodPost, "/once/x", "")
		require.NoError(t, err)
		require.Contains(t, []int{http.StatusBadGateway, http.StatusGatewayTimeout}, resp.StatusCode)
		require.NotContains(t, body, "xxx")
		require.Less(t, time.Since(began), 2*time.Second)
		require.LessOrEqual(t, w.paths.read.Load(), int64(2*(responseHeaderLimit+dialtest.ReadAhead)))
	})
}

// A kept connection carries bytes without end behind a complete response. They belong to no request, and must not be read.
func TestEndlessBytesAfterResponseAreCutOff(t *testing.T) {
	e := dialtest.Endless{Begin: validHead + "Content-Length: 4\r\n\r\nfine", Repeat: "x"}
	w := newFixture(t, e.ServeHTTP)
	for range 3 {
		resp, body, err := w.call(http.MethodPost, "/again/x", "")
		require.NoError(t, err)
		require.Equal(t, http.StatusOK, resp.StatusCode)
		require.Equal(t, "fine", body)
	}
	require.LessOrEqual(t, w.paths.read.Load(), int64(3*dialtest.ReadAhead))
}

// unframedHead and chunkedHead begin a valid response without a length.
const (
	unframedHead = validHead + "Content-Type: text/event-stream\r\n\r\n"
	chunkedHead  = validHead + "Transfer-Encoding: chunked\r\n\r\n"
)

// endlessStreams are responses to streaming requests whose body does not end.
var endlessStreams = []dialtest.Endless{
	{Name: "garbage", Begin: unframedHead, Repeat: "x"},
	{Name: "empty lines", Begin: unframedHead, Repeat: "\n"},
	{Name: "comments", Begin: unframedHead, Repeat: ": ping\n\n"},
	{Name: "events", Begin: unframedHead, Repeat: "id: 1\ndata: x\n\n"},
	{Name: "large events", Begin: unframedHead, Repeat: "data: " + strings.Repeat("x", 4<<10) + "\n\n"},
	{Name: "lines", Begin: unframedHead, Repeat: "data: x\n"},
	{Name: "chunk size", Begin: chunkedHead, Repeat: "0"},
	{Name: "chunk extension", Begin: chunkedHead + "1;", Repeat: "x"},
	{Name: "chunks", Begin: chunkedHead, Repeat: "1\r\nx\r\n"},
	{Name: "trailer", Begin: chunkedHead + "0\r\n", Repeat: "A: b\r\n"},
	{Name: "length", Begin: validHead + "Content-Length: 99999999999999\r\n\r\n", Repeat: "x"},
}

// A stream without end must be cut off by the time limit, after little more than the response may have, and must not look
// complete. An event that its upstream never ends must not be kept whole.
func TestEndlessStreamIsCutOff(t *testing.T) {
	eachPause(t, endlessStreams, func(t *testing.T, e dialtest.Endless) {
		w := newFixture(t, e.ServeHTTP)
		w.setDocument(600, "key")
		began := time.Now()
		resp, _, err := w.call(http.MethodPost, "/stream1/x", "")
		require.True(t, err != nil || resp.StatusCode >= http.StatusInternalServerError, "the response must not look complete")
		require.Less(t, time.Since(began), 2*time.Second)
		require.LessOrEqual(t, w.paths.read.Load(), int64(undeclaredTokens*tokenBytes+eventLimit+dialtest.ReadAhead))
	})
}

// The upstream of one stream sends what is no event, without end, and the route allows another upstream to go on.
func TestEndlessEventIsContinuedElsewhere(t *testing.T) {
	e := dialtest.Endless{Begin: unframedHead + eventText(1, 2), Repeat: "x"}
	w := newFixture(t, e.ServeHTTP, func(w http.ResponseWriter, r *http.Request) {
		require.Equal(t, "2", r.Header.Get("Last"))
		respondStream(eventText(3, 4))(w, r)
	})
	resp, body, err := w.call(http.MethodGet, "/stream/x", "")
	require.NoError(t, err)
	require.Equal(t, http.StatusOK, resp.StatusCode)
	require.Equal(t, eventText(1, 4), body)
	require.LessOrEqual(t, w.paths.read.Load(), int64(eventLimit+dialtest.ReadAhead))
}

// A request declares how long its response may become. A stream that goes on beyond that is no response.
func TestStreamBeyondDeclaredLengthIsCutOff(t *testing.T) {
	x := &request{}
	x.head.Output = 10
	l := x.limitOfStream()
	es := newEvents(strings.NewReader(strings.Repeat("data: x\n\n", 10+extraEvents+1)), l)
	for range 10 + extraEvents {
		_, err := es.next()
		require.NoError(t, err)
	}
	_, err := es.next()
	require.ErrorIs(t, err, errOversize)
	x.head.Output = math.MaxInt64
	require.Positive(t, x.limitOfStream().bytes)
	require.Positive(t, x.limitOfStream().events)
}

// endlessBodies are responses of plain services whose body does not end.
var endlessBodies = []dialtest.Endless{
	{Name: "unframed", Begin: validHead + "\r\n", Repeat: "x"},
	{Name: "chunks", Begin: chunkedHead, Repeat: "1\r\nx\r\n"},
	{Name: "length", Begin: validHead + "Content-Length: 99999999999999\r\n\r\n", Repeat: "x"},
	{Name: "failure", Begin: "HTTP/1.1 500 Broken\r\nId: a1\r\nMark: m\r\n\r\n", Repeat: "x"},
	{Name: "unsigned", Begin: "HTTP/1.1 200 OK\r\nId: a1\r\n\r\n", Repeat: "x"},
	{Name: "response to another request", Begin: "HTTP/1.1 200 OK\r\nId: a2\r\nMark: m\r\n\r\n", Repeat: "x"},
}

// A body without end must be cut off at the bound on responses, or by the time limit, and must not look complete.
func TestEndlessBodyIsCutOff(t *testing.T) {
	eachPause(t, endlessBodies, func(t *testing.T, e dialtest.Endless) {
		w := newFixture(t, e.ServeHTTP)
		w.setDocument(600, "key")
		began := time.Now()
		resp, _, err := w.call(http.MethodPost, "/once/x", "")
		require.True(t, err != nil || resp.StatusCode >= http.StatusInternalServerError, "the response must not look complete")
		require.Less(t, time.Since(began), 2*time.Second)
		framed := w.gate.bounds.ResponseBytes * int64(len(e.Repeat)) // a byte of the body in each repetition
		require.LessOrEqual(t, w.paths.read.Load(), framed+dialtest.ReadAhead)
		require.Eventually(t, func() bool { return w.gate.bodies.Load() == 0 }, time.Second, time.Millisecond)
	})
}

// An upstream declares a response that is larger than any may be. The request must go elsewhere while that is possible.
func TestOversizeResponseIsRetriedElsewhere(t *testing.T) {
	w := newFixture(t, endlessBodies[2].ServeHTTP, respond("fine"))
	resp, body, err := w.call(http.MethodGet, "/again/x", "")
	require.NoError(t, err)
	require.Equal(t, http.StatusOK, resp.StatusCode)
	require.Equal(t, "fine", body)
}

// An upstream rejects a request without running it, and its response does not end. The client must not wait for that.
func TestEndlessRejectionDoesNotDelayRetry(t *testing.T) {
	e := dialtest.Endless{Begin: "HTTP/1.1 503 Full\r\nId: a1\r\nIdle: 1\r\n\r\n", Repeat: "x", Pause: 10 * time.Millisecond}
	w := newFixture(t, e.ServeHTTP, respond("fine"))
	began := time.Now()
	resp, body, err := w.call(http.MethodPost, "/once/x", "")
	require.NoError(t, err)
	require.Equal(t, http.StatusOK, resp.StatusCode)
	require.Equal(t, "fine", body)
	require.Less(t, time.Since(began), drainTime+200*time.Millisecond)
}

// An upstream sends a long line that is no response. Neither the client nor the log may get it: it may belong to another
// request, and many such lines would fill the memory.
func TestBytesOfBrokenResponseAreNotPassedOn(t *testing.T) {
	w := newFixture(t, dialtest.Endless{Begin: strings.Repeat("secret ", 1<<10) + "\r\n", Repeat: "x"}.ServeHTTP)
	var out bytes.Buffer
	w.gate.Log = &log.Logger{Level: log.InfoLevel, Writer: &log.IOWriter{Writer: &out}}
	resp, body, err := w.call(http.MethodPost, "/once/x", "")
	require.NoError(t, err)
	require.Equal(t, http.StatusBadGateway, resp.StatusCode)
	require.NotContains(t, body, "secret")
	w.server.Close()
	require.Less(t, strings.Count(out.String(), "secret"), 50)
}

// A client reads a response without end slowly. The gate must not wait for it beyond the time limit.
func TestEndlessBodyToSlowClientEndsInTime(t *testing.T) {
	w := newFixture(t, endlessBodies[0].ServeHTTP)
	w.gate.bounds.ResponseBytes = 1 << 30
	w.setDocument(300, "key")
	c, err := net.Dial("tcp", w.server.Listener.Addr().String())
	require.NoError(t, err)
	defer c.Close()
	_, err = io.WriteString(c, "POST /once/x HTTP/1.1\r\nHost: team.example\r\nId: a1\r\nKey: key\r\nContent-Length: 0\r\n\r\n")
	require.NoError(t, err)
	began := time.Now()
	require.Eventually(t, func() bool {
		w.placer.mu.Lock()
		defer w.placer.mu.Unlock()
		return len(w.placer.outcomes) == 1
	}, 5*time.Second, 5*time.Millisecond)
	require.Less(t, time.Since(began), 800*time.Millisecond)
}
