package caller

import (
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"snipeshift.example/lib/dial/dialtest"
)

// A plain service responds without end, with a length or without one. The call must be cut off by itself, long before its time
// limit, and must not look complete.
func TestEndlessServiceResponseIsCutOff(t *testing.T) {
	for _, e := range []dialtest.Endless{
		{Begin: "HTTP/1.1 200 OK\r\n\r\n", Repeat: "x"},
		{Begin: "HTTP/1.1 200 OK\r\nContent-Length: 99999999999999\r\n\r\n", Repeat: "x"},
		{Begin: "HTTP/1.1 200 OK\r\nX: ", Repeat: "x"},
	} {
		b := newHarness(t)
		b.addService(e.ServeHTTP)
		r, err := http.NewRequestWithContext(t.Context(), http.MethodPost, b.server.URL+"/services/sms/x", strings.NewReader(""))
		require.NoError(t, err)
		r.Header.Set("Authorization", "Bearer "+wardsKey)
		r.Header.Set(headerIdempotencyKey, "k")
		began := time.Now()
		resp, err := http.DefaultClient.Do(r)
		require.NoError(t, err)
		size, err := io.Copy(io.Discard, resp.Body)
		require.NoError(t, resp.Body.Close())
		require.True(t, err != nil || resp.StatusCode >= http.StatusInternalServerError, "status %d", resp.StatusCode)
		require.LessOrEqual(t, size, int64(16<<20))
		require.Less(t, time.Since(began), 5*time.Second)
	}
}
