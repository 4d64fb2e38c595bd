package caller

import (
	"io"
	"net/http"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"snipeshift.example/lib/dial"
	"snipeshift.example/lib/dial/dialtest"
	"snipeshift.example/lib/engine"
)

// A plain service responds without a length while the request is still being written, sends a part of the response and resets
// the connection. The client must not get that part as a complete response.
func TestServiceResponseResetDuringUploadIsNotComplete(t *testing.T) {
	b := newHarness(t)
	b.gate.Engines = engine.NewClient(dial.WithCheckedEOF(dialtest.LateWrites(1)))
	b.addService(dialtest.ResetDuringUpload("HTTP/1.1 200 OK\r\n\r\npart"))
	const upload = 1_000_000
	r, err := http.NewRequest(http.MethodPost, b.server.URL+"/services/sms/x", strings.NewReader(strings.Repeat("x", upload)))
	require.NoError(t, err)
	r.Header.Set("Authorization", "Bearer "+wardsKey)
	r.Header.Set(headerIdempotencyKey, "k")
	resp, err := http.DefaultClient.Do(r)
	require.NoError(t, err)
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	require.Equal(t, http.StatusOK, resp.StatusCode)
	require.Error(t, err, "%q passed for a complete response", text)
}
