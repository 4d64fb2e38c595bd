package relay

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"snipeshift.example/lib/clock"
)

// stopSoon makes the gate begin to stop once a request has come; the stop takes a while.
func (w *fixture) stopSoon(takes clock.Milli) {
	time.AfterFunc(50*time.Millisecond, func() { w.gate.Stop(clock.Boot{}.Now() + takes) })
}

// A VM stops while a request waits for a place. If the process ended first, the client would get a closed connection and
// could not tell that nothing ran.
func TestWaitingRequestIsRefusedBeforeStopEnds(t *testing.T) {
	w := newFixture(t, respond("late"))
	w.placer.wait = time.Minute
	w.stopSoon(500)
	began := time.Now()
	resp, body, err := w.call(http.MethodPost, "/once/x", "")
	require.NoError(t, err)
	require.Equal(t, http.StatusServiceUnavailable, resp.StatusCode, body)
	require.Equal(t, "0.2", resp.Header.Get("Retry-After"))
	require.True(t, resp.Close, "the client must reconnect elsewhere")
	require.Less(t, time.Since(began), 550*time.Millisecond)
}

// The owner of a service doesn't know that the VM of a waiting request has little time left. The request would keep its
// place in the queue and be refused at the end, although it was clear before that it can't be served.
func TestWaitingRequestIsAskedAnewAsVMStops(t *testing.T) {
	w := newFixture(t, respond("fine"))
	w.placer.wait = 300 * time.Millisecond
	w.stopSoon(1000)
	resp, _, err := w.call(http.MethodPost, "/once/x", "")
	require.NoError(t, err)
	require.Equal(t, http.StatusOK, resp.StatusCode)
	require.Len(t, w.placer.deadlines, 2)
	require.Less(t, w.placer.deadlines[1], w.placer.deadlines[0])
	require.Equal(t, w.gate.stop.finalAt, w.placer.deadlines[1])
	require.False(t, w.placer.again[1], "nothing was sent before")
}

// An upstream has been sent a request and does not answer before the VM ends. The client must get an answer that promises
// nothing, not a closed connection.
func TestUnansweredSendEndsBeforeStop(t *testing.T) {
	w := newFixture(t, func(_ http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		<-r.Context().Done()
	})
	w.stopSoon(500)
	resp, body, err := w.call(http.MethodPost, "/once/x", "")
	require.NoError(t, err)
	require.Equal(t, http.StatusGatewayTimeout, resp.StatusCode, body)
	require.Empty(t, resp.Header.Get("Retry-After"))
}

// A client sends its body slowly while the VM stops.
func TestUnreadRequestIsRefusedBeforeStopEnds(t *testing.T) {
	w := newFixture(t, respond("fine"))
	c, err := net.Dial("tcp", strings.TrimPrefix(w.server.URL, "http://"))
	require.NoError(t, err)
	defer c.Close()
	w.stopSoon(500)
	_, err = fmt.Fprint(c, "POST /once/x HTTP/1.1\r\nHost: team.example\r\nId: a1\r\nKey: key\r\nContent-Length: 10\r\n\r\nhalf")
	require.NoError(t, err)
	require.NoError(t, c.SetReadDeadline(time.Now().Add(time.Second)))
	text, err := io.ReadAll(c)
	require.NoError(t, err)
	require.True(t, strings.HasPrefix(string(text), "HTTP/1.1 503 "), "%q", text)
}

// A stream that has begun may end before the process does. The end of waiting requests must not cut it off.
func TestResponseThatHasBegunOutlastsRefusals(t *testing.T) {
	w := newFixture(t, func(w http.ResponseWriter, r *http.Request) {
		respondStream(eventText(1, 1))(w, r)
		_ = http.NewResponseController(w).Flush()
		time.Sleep(400 * time.Millisecond)
		_, _ = io.WriteString(w, eventText(2, 3))
	})
	w.stopSoon(finalTime + 100)
	resp, body, err := w.call(http.MethodGet, "/stream/x", "")
	require.NoError(t, err)
	require.Equal(t, http.StatusOK, resp.StatusCode)
	require.Equal(t, eventText(1, 3), body)
}
