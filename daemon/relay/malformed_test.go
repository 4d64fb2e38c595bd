package relay

import (
	"io"
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"

	"snipeshift.example/lib/dial/dialtest"
)

// invalidStatuses are heads whose status is none, without the empty line at their end.
var invalidStatuses = []string{
	"HTTP/1.1 000 Broken\r\nId: a1\r\nMark: m\r\n", "HTTP/1.1 099 Broken\r\nId: a1\r\nMark: m\r\n", "HTTP/1.1 +20 Broken\r\nId: a1\r\nMark: m\r\n",
	"HTTP/1.1 101 Broken\r\nId: a1\r\nMark: m\r\n", "HTTP/1.1 600 Broken\r\nId: a1\r\nMark: m\r\n", "HTTP/1.1 999 Broken\r\nId: a1\r\nMark: m\r\n",
}

// requireRefused requires that no client gets a response with these heads, and that each gets one of the gate's own or that of
// another upstream.
func requireRefused(t *testing.T, heads []string) {
	t.Helper()
	for _, head := range heads {
		for _, body := range []string{"Content-Length: 9\r\n\r\nforbidden", "\r\nforbidden"} {
			broken := dialtest.Raw(head + body)
			w := newFixture(t, broken, respond("fine"))
			for _, path := range []string{"/once/x", "/stream1/x"} {
				resp, text, err := w.call(http.MethodPost, path, "")
				require.NoError(t, err, "%q", head)
				require.Equal(t, http.StatusBadGateway, resp.StatusCode, "%q", head)
				require.NotContains(t, text, "forbidden")
				require.Contains(t, text, "malformed response")
			}
			resp, text, err := w.call(http.MethodPost, "/again/x", "")
			require.NoError(t, err, "%q", head)
			require.Equal(t, http.StatusOK, resp.StatusCode, "%q: %s", head, text)
			require.Equal(t, "fine", text)
		}
	}
}

// An upstream in trouble responds with a status that is none. The client must get a failure that says so, neither that response
// nor a closed connection.
func TestResponseWithInvalidStatusIsRefused(t *testing.T) {
	requireRefused(t, invalidStatuses)
}

// The first upstream of a stream breaks off, and the next one goes on with a status that is none.
func TestInvalidStatusDoesNotContinueStream(t *testing.T) {
	for _, head := range invalidStatuses {
		begin := respondRaw(t, true, func(*http.Request) string { return unframedHead + eventText(1, 2) })
		w := newFixture(t, begin, dialtest.Raw(head+"\r\n"+eventText(3, 4)))
		resp, text, err := w.call(http.MethodGet, "/stream/x", "")
		require.ErrorIs(t, err, io.ErrUnexpectedEOF)
		require.Equal(t, http.StatusOK, resp.StatusCode)
		require.Equal(t, eventText(1, 2), text)
	}
}

// An upstream in trouble sends a field whose name holds a blank or a control byte. The line would reach the client, or hide
// where the body ends.
func TestMalformedFieldNameIsRefused(t *testing.T) {
	var heads []string
	for _, field := range []string{"A B: c", "A : c", "Content-Length : 2", " Content-Length: 2", "A\x01B: c", "A\x00: c", "A\tB: c", "AB", ": c"} {
		heads = append(heads, validHead+field+"\r\n")
	}
	requireRefused(t, heads)
}
