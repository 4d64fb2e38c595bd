package engine

import (
	"net"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"snipeshift.example/lib/dial/dialtest"
	"snipeshift.example/lib/http1"
)

// requireRefused requires that no call takes a response with this head.
func requireRefused(t *testing.T, head, body string) {
	t.Helper()
	s := httptest.NewServer(dialtest.Raw(head + "\r\n" + body))
	defer s.Close()
	address := strings.TrimPrefix(s.URL, "http://")
	c := NewClient((&net.Dialer{}).DialContext)
	for _, once := range []bool{false, true} {
		_, err := c.Start(t.Context(), Call{Address: address, Path: "/v1/completions", Once: once, Request: "r", Output: 8}, callTimeout, callTimeout)
		require.True(t, ErrBroken.Has(err) && http1.ErrHead.Has(err), "%q: %v", head, err)
	}
	_, err := c.Load(t.Context(), address)
	require.True(t, http1.ErrHead.Has(err), "%q: %v", head, err)
	_, err = c.Events(t.Context(), address, 0)
	require.True(t, http1.ErrHead.Has(err), "%q: %v", head, err)
	require.Error(t, c.Order(t.Context(), address, Order{}), "%q", head)
	require.Error(t, c.Reserve(t.Context(), address, "r", 8), "%q", head)
	require.Error(t, c.Cancel(t.Context(), address, "r"), "%q", head)
}

// An engine in trouble answers an order or a reservation with a status that is none, which must not count as a success.
func TestResponseWithInvalidStatusIsRefused(t *testing.T) {
	for _, status := range []string{"000", "099", "+20", "101", "600", "999"} {
		requireRefused(t, "HTTP/1.1 "+status+" Broken\r\n", "{}")
	}
}

// An engine in trouble sends a field whose name holds a blank, which hides the length of a response.
func TestMalformedFieldNameIsRefused(t *testing.T) {
	for _, field := range []string{"A B: c", "Content-Length : 2", "A: b\r\n Content-Length: 2"} {
		requireRefused(t, "HTTP/1.1 200 OK\r\n"+field+"\r\n", "{}")
	}
}
