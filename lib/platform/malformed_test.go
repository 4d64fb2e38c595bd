package platform

import (
	"testing"

	"github.com/stretchr/testify/require"

	"snipeshift.example/lib/dial/dialtest"
)

// requireRefused requires that no call takes a response with this head.
func requireRefused(t *testing.T, head, body string) {
	t.Helper()
	c := serve(t, dialtest.Raw(head+"ETag: \"7\"\r\n\r\n"+body))
	_, err := c.Get(t.Context(), "config", "document")
	require.ErrorIs(t, err, ErrUnavailable, "%q", head)
	_, err = c.VMs(t.Context())
	require.ErrorIs(t, err, ErrUnavailable, "%q", head)
	_, err = c.Put(t.Context(), "config", "document", nil, IfVersion(3))
	require.ErrorIs(t, err, ErrUnknown, "%q: the write may have taken effect", head)
}

// The store, or something before it, responds with a status that is none. A write must not count as refused without effect.
func TestResponseWithInvalidStatusIsRefused(t *testing.T) {
	for _, status := range []string{"000", "099", "+20", "101", "600", "999"} {
		requireRefused(t, "HTTP/1.1 "+status+" Broken\r\n", "[]")
	}
}

// The store sends a field whose name holds a blank, which hides the length of an object.
func TestMalformedFieldNameIsRefused(t *testing.T) {
	for _, field := range []string{"A B: c", "Content-Length : 2", "A: b\r\n Content-Length: 2"} {
		requireRefused(t, "HTTP/1.1 200 OK\r\n"+field+"\r\n", "[]")
	}
}
