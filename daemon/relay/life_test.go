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

// An engine starts again at its address, and nothing told us that the connections of its earlier life are dead. A request on one
// of them is lost and may have run; so each life has a pool of connections of its own.
func TestConnectionsAreKeptApartByLife(t *testing.T) {
	require.Equal(t, "10.0.0.1:80", host("10.0.0.1:80", 0))
	require.Equal(t, "[::1]:80", host("[::1]:80", 7))
	require.NotEqual(t, host("10.0.0.1:80", 7), host("10.0.0.1:80", 8))
	var dialed []string
	d := DialPoolHost(func(_ context.Context, _, address string) (net.Conn, error) {
		dialed = append(dialed, address)
		return nil, errors.New("test")
	})
	for _, born := range []decide.Incarnation{0, 7, 1_796_245_335_600} {
		_, err := d(context.Background(), "tcp", host("10.0.0.1:80", born))
		require.Error(t, err)
	}
	require.Equal(t, []string{"10.0.0.1:80", "10.0.0.1:80", "10.0.0.1:80"}, dialed)
}

// The same by what an upstream sees: the second life's first request comes on a connection of its own, the next one on that.
func TestANewLifeIsSentNothingOnOldConnections(t *testing.T) {
	var from []string
	w := newWorld(t, func(w http.ResponseWriter, r *http.Request) {
		from = append(from, r.RemoteAddr)
		whole("answer")(w, r)
	})
	for _, born := range []decide.Incarnation{5, 5, 6, 6} {
		w.placer.upstreams[0].Born = born
		w.learn(2000, "key")
		_, _, err := w.call(http.MethodGet, "/again/x", "")
		require.NoError(t, err)
	}
	require.Equal(t, from[0], from[1])
	require.NotEqual(t, from[1], from[2])
	require.Equal(t, from[2], from[3])
}
