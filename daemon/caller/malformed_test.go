package caller

import (
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"

	"snipeshift.example/lib/dial/dialtest"
)

// requireRefused requires that the client of a plain service gets the gate's own failure, not a response with this head.
func requireRefused(t *testing.T, head string) {
	t.Helper()
	for _, body := range []string{"Content-Length: 9\r\n\r\nforbidden", "\r\nforbidden"} {
		b := newHarness(t)
		b.addService(dialtest.Raw(head + body))
		a := b.post("/services/sms/x", "", headerIdempotencyKey, "k")
		require.Equal(t, http.StatusBadGateway, a.status, "%q: %s", head, a.body)
		require.NotContains(t, a.body, "forbidden")
	}
}

// A plain service in trouble responds with a status that is none. The client must get a failure, neither that response nor a
// closed connection.
func TestResponseWithInvalidStatusIsRefused(t *testing.T) {
	for _, status := range []string{"000", "099", "+20", "101", "600", "999"} {
		requireRefused(t, "HTTP/1.1 "+status+" Broken\r\n")
	}
}

// A plain service in trouble sends a field whose name holds a blank. The line would reach the client, or hide where the body
// ends.
func TestMalformedFieldNameIsRefused(t *testing.T) {
	for _, field := range []string{"A B: c", "Content-Length : 2", "A: b\r\n Content-Length: 2"} {
		requireRefused(t, "HTTP/1.1 200 OK\r\n"+field+"\r\n")
	}
}
