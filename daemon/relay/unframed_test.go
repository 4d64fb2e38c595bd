package relay

import (
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"

	"snipeshift.example/lib/decide/span"
)

// respondUnframed returns a handler whose response has neither a length nor chunks and ends with the connection.
func respondUnframed(t *testing.T, reset bool, body string) http.HandlerFunc {
	return respondRaw(t, reset, func(r *http.Request) string {
		return "HTTP/1.1 200 OK\r\nId: " + r.Header.Get("Id") + "\r\nMark: m\r\nConnection: close\r\n\r\n" + body
	})
}

// A response without a length ends with its connection; a reset of that connection must not pass for its end.
func TestUnframedResponseEndsWithItsConnection(t *testing.T) {
	for _, reset := range []bool{false, true} {
		w := newFixture(t, respondUnframed(t, reset, "answer"))
		resp, body, err := w.call(http.MethodPost, "/once/", "")
		require.NoError(t, err)
		if reset {
			require.Equal(t, http.StatusBadGateway, resp.StatusCode)
			require.NotContains(t, body, "answer")
			continue
		}
		require.Equal(t, http.StatusOK, resp.StatusCode)
		require.Equal(t, "answer", body)
	}
}

// A stream without chunks ends with its connection: complete after a whole event, broken off inside one or before the first.
func TestUnframedStreamIsCompleteAfterWholeEvent(t *testing.T) {
	rest := respondStream(eventText(4, 6))
	for name, x := range map[string]struct {
		reset       bool
		first, want string
		outcomes    []span.Outcome
	}{
		"complete":         {false, eventText(1, 3), eventText(1, 3), []span.Outcome{span.Done}},
		"inside an event":  {false, eventText(1, 3) + "id: 4\nda", eventText(1, 6), []span.Outcome{span.Broken, span.Done}},
		"reset":            {true, eventText(1, 3), eventText(1, 6), []span.Outcome{span.Broken, span.Done}},
		"before any event": {false, "", eventText(4, 6), []span.Outcome{span.Broken, span.Done}},
	} {
		t.Run(name, func(t *testing.T) {
			w := newFixture(t, respondUnframed(t, x.reset, x.first), rest)
			_, body, err := w.call(http.MethodPost, "/stream/", "")
			require.NoError(t, err)
			require.Equal(t, x.want, body)
			require.Equal(t, x.outcomes, w.placer.outcomes)
		})
	}
}
