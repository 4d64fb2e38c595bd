package relay

import (
	"bytes"
	"io"
	"math"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// endless is a response that begins with begin and goes on with repeat until the gate closes the connection.
type endless struct{ name, begin, repeat string }

// validHead begins a response to the requests of call.
const validHead = "HTTP/1.1 200 OK\r\nId: a1\r\nMark: m\r\n"

// endlessHeads are responses whose header does not end.
var endlessHeads = []endless{
	{"garbage", "", "x"},
	{"empty lines", "", "\r\n"},
	{"status line", "HTTP/1.1 200 ", "x"},
	{"field", validHead + "Long: ", "x"},
	{"fields", validHead, "A: b\r\n"},
	{"interim responses", "", "HTTP/1.1 102 Processing\r\nA: b\r\n\r\n"},
}

// respondEndlessly returns a handler that responds without end. pause is the time between two writes of some bytes, zero for
// writes without a pause.
func respondEndlessly(e endless, pause time.Duration) http.HandlerFunc {
	block := []byte(e.repeat)
	if pause == 0 {
		block = bytes.Repeat(block, 1+(16<<10)/len(block))
	}
	return func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		c, _, err := http.NewResponseController(w).Hijack()
		if err != nil {
			return
		}
		defer c.Close()
		_, err = io.WriteString(c, e.begin)
		for err == nil {
			_, err = c.Write(block)
			time.Sleep(pause)
		}
	}
}

// readAhead is more than the gate reads of a response beyond what it uses of it.
const readAhead = 64 << 10

// A header without end, fast or a few bytes at a time, must end the send by the time limit and with little of it read. A
// request that may be repeated is served by another upstream.
func TestEndlessHeadIsCutOff(t *testing.T) {
	for _, e := range endlessHeads {
		for _, pause := range []time.Duration{0, 10 * time.Millisecond} {
			t.Run(e.name+" "+pause.String(), func(t *testing.T) {
				w := newFixture(t, respondEndlessly(e, pause), respond("fine"))
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
				require.LessOrEqual(t, w.paths.read.Load(), int64(2*(responseHeaderLimit+readAhead)))
			})
		}
	}
}

// A kept connection carries bytes without end behind a complete response. They belong to no request, and must not be read.
func TestEndlessBytesAfterResponseAreCutOff(t *testing.T) {
	e := endless{"", validHead + "Content-Length: 4\r\n\r\nfine", strings.Repeat("x", 1<<10)}
	w := newFixture(t, respondEndlessly(e, 0))
	for range 3 {
		resp, body, err := w.call(http.MethodPost, "/again/x", "")
		require.NoError(t, err)
		require.Equal(t, http.StatusOK, resp.StatusCode)
		require.Equal(t, "fine", body)
	}
	require.LessOrEqual(t, w.paths.read.Load(), int64(3*readAhead))
}

// unframedHead and chunkedHead begin a valid response without a length.
const (
	unframedHead = validHead + "Content-Type: text/event-stream\r\n\r\n"
	chunkedHead  = validHead + "Transfer-Encoding: chunked\r\n\r\n"
)

// endlessStreams are responses to streaming requests whose body does not end.
var endlessStreams = []endless{
	{"garbage", unframedHead, "x"},
	{"empty lines", unframedHead, "\n"},
	{"comments", unframedHead, ": ping\n\n"},
	{"events", unframedHead, "id: 1\ndata: x\n\n"},
	{"large events", unframedHead, "data: " + strings.Repeat("x", 4<<10) + "\n\n"},
	{"lines", unframedHead, "data: x\n"},
	{"chunk size", chunkedHead, "0"},
	{"chunk extension", chunkedHead + "1;", "x"},
	{"chunks", chunkedHead, "1\r\nx\r\n"},
	{"trailer", chunkedHead + "0\r\n", "A: b\r\n"},
	{"length", validHead + "Content-Length: 99999999999999\r\n\r\n", "x"},
}

// A stream without end must be cut off by the time limit, after little more than the response may have, and must not look
// complete. An event that its upstream never ends must not be kept whole.
func TestEndlessStreamIsCutOff(t *testing.T) {
	for _, e := range endlessStreams {
		for _, pause := range []time.Duration{0, 10 * time.Millisecond} {
			t.Run(e.name+" "+pause.String(), func(t *testing.T) {
				w := newFixture(t, respondEndlessly(e, pause))
				w.setDocument(600, "key")
				began := time.Now()
				resp, _, err := w.call(http.MethodPost, "/stream1/x", "")
				require.True(t, err != nil || resp.StatusCode >= http.StatusInternalServerError, "the response must not look complete")
				require.Less(t, time.Since(began), 2*time.Second)
				require.LessOrEqual(t, w.paths.read.Load(), int64(undeclaredTokens*tokenBytes+eventLimit+readAhead))
			})
		}
	}
}

// The upstream of one stream sends what is no event, without end, and the route allows another upstream to go on.
func TestEndlessEventIsContinuedElsewhere(t *testing.T) {
	e := endless{"", unframedHead + eventText(1, 2), "x"}
	w := newFixture(t, respondEndlessly(e, 0), func(w http.ResponseWriter, r *http.Request) {
		require.Equal(t, "2", r.Header.Get("Last"))
		respondStream(eventText(3, 4))(w, r)
	})
	resp, body, err := w.call(http.MethodGet, "/stream/x", "")
	require.NoError(t, err)
	require.Equal(t, http.StatusOK, resp.StatusCode)
	require.Equal(t, eventText(1, 4), body)
	require.LessOrEqual(t, w.paths.read.Load(), int64(eventLimit+readAhead))
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
var endlessBodies = []endless{
	{"unframed", validHead + "\r\n", "x"},
	{"chunks", chunkedHead, "1\r\nx\r\n"},
	{"length", validHead + "Content-Length: 99999999999999\r\n\r\n", "x"},
	{"failure", "HTTP/1.1 500 Broken\r\nId: a1\r\nMark: m\r\n\r\n", "x"},
	{"unsigned", "HTTP/1.1 200 OK\r\nId: a1\r\n\r\n", "x"},
	{"response to another request", "HTTP/1.1 200 OK\r\nId: a2\r\nMark: m\r\n\r\n", "x"},
}

// A body without end must be cut off at the bound on responses, or by the time limit, and must not look complete.
func TestEndlessBodyIsCutOff(t *testing.T) {
	for _, e := range endlessBodies {
		for _, pause := range []time.Duration{0, 10 * time.Millisecond} {
			t.Run(e.name+" "+pause.String(), func(t *testing.T) {
				w := newFixture(t, respondEndlessly(e, pause))
				w.setDocument(600, "key")
				began := time.Now()
				resp, _, err := w.call(http.MethodPost, "/once/x", "")
				require.True(t, err != nil || resp.StatusCode >= http.StatusInternalServerError, "the response must not look complete")
				require.Less(t, time.Since(began), 2*time.Second)
				framed := w.gate.bounds.ResponseBytes * int64(len(e.repeat)) // a byte of the body in each repetition
				require.LessOrEqual(t, w.paths.read.Load(), framed+readAhead)
				require.Eventually(t, func() bool { return w.gate.bodies.Load() == 0 }, time.Second, time.Millisecond)
			})
		}
	}
}

// An upstream declares a response that is larger than any may be. The request must go elsewhere while that is possible.
func TestOversizeResponseIsRetriedElsewhere(t *testing.T) {
	w := newFixture(t, respondEndlessly(endlessBodies[2], 0), respond("fine"))
	resp, body, err := w.call(http.MethodGet, "/again/x", "")
	require.NoError(t, err)
	require.Equal(t, http.StatusOK, resp.StatusCode)
	require.Equal(t, "fine", body)
}

// An upstream rejects a request without running it, and its response does not end. The client must not wait for that.
func TestEndlessRejectionDoesNotDelayRetry(t *testing.T) {
	e := endless{"", "HTTP/1.1 503 Full\r\nId: a1\r\nIdle: 1\r\n\r\n", "x"}
	w := newFixture(t, respondEndlessly(e, 10*time.Millisecond), respond("fine"))
	began := time.Now()
	resp, body, err := w.call(http.MethodPost, "/once/x", "")
	require.NoError(t, err)
	require.Equal(t, http.StatusOK, resp.StatusCode)
	require.Equal(t, "fine", body)
	require.Less(t, time.Since(began), drainTime+200*time.Millisecond)
}
