package relay

import (
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"

	"snipeshift.example/lib/fault"
)

// A client that is told another time than the booked one misses its booking, and a retry without the
// fingerprint of the refused request is not recognized.
func TestBookedTimeAndFingerprintPassTheGate(t *testing.T) {
	w := newFixture(t, respond("fine"))
	w.placer.refuse, w.placer.booked = fault.Overloaded, 137
	for _, body := range []string{"same", "same", "other"} {
		resp, _, err := w.call(http.MethodPost, "/once/x", body)
		require.NoError(t, err)
		require.Equal(t, "0.137", resp.Header.Get("Retry-After"))
	}
	f := w.placer.fingerprints
	require.NotZero(t, f[0])
	require.Equal(t, f[0], f[1])
	require.NotEqual(t, f[0], f[2])
}
