package relay

import (
	"context"
	"errors"
	"net"
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"

	"snipeshift.example/lib/decide"
)

// An engine restarts at its address, and the connections to its earlier incarnation were never closed.
// A request on one of them is lost and may have run, so each incarnation has its own connection pool.
func TestConnectionPoolPerIncarnation(t *testing.T) {
	require.Equal(t, "10.0.0.1:80", poolHost("10.0.0.1:80", 0))
	require.Equal(t, "[::1]:80", poolHost("[::1]:80", 7))
	require.NotEqual(t, poolHost("10.0.0.1:80", 7), poolHost("10.0.0.1:80", 8))
	var dialed []string
	d := DialPoolHost(func(_ context.Context, _, address string) (net.Conn, error) {
		dialed = append(dialed, address)
		return nil, errors.New("test")
	})
	for _, born := range []decide.Incarnation{0, 7, 1_796_245_335_600} {
		_, err := d(context.Background(), "tcp", poolHost("10.0.0.1:80", born))
		require.Error(t, err)
	}
	require.Equal(t, []string{"10.0.0.1:80", "10.0.0.1:80", "10.0.0.1:80"}, dialed)
}

// As above, seen from the upstream: the first request to the second incarnation arrives on a new
// connection, and the following request on the same one.
func TestNewIncarnationGetsNewConnection(t *testing.T) {
	var from []string
	w := newFixture(t, func(w http.ResponseWriter, r *http.Request) {
		from = append(from, r.RemoteAddr)
		respond("answer")(w, r)
	})
	for _, born := range []decide.Incarnation{5, 5, 6, 6} {
		w.placer.upstreams[0].Born = born
		w.setDocument(2000, "key")
		_, _, err := w.call(http.MethodGet, "/again/x", "")
		require.NoError(t, err)
	}
	require.Equal(t, from[0], from[1])
	require.NotEqual(t, from[1], from[2])
	require.Equal(t, from[2], from[3])
}
