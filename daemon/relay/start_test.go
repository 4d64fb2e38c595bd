package relay

import (
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"snipeshift.example/lib/clock"
)

// All VMs restart after a power loss, and requests arrive in the half second before this VM has its
// document. Clients retry a refused request only once, on another VM that has no document yet either.
func TestRequestAtStartWaitsForDocument(t *testing.T) {
	w := newFixture(t, respond("fine"))
	known := w.registry
	w.registry = emptyRegistry()
	w.deps.Registry = w.registry
	w.start()
	learn := time.AfterFunc(100*time.Millisecond, func() { w.registry.set(known.View()) })
	defer learn.Stop()
	resp, body, err := w.call(http.MethodPost, "/once/x", "body")
	require.NoError(t, err)
	require.Equal(t, http.StatusOK, resp.StatusCode)
	require.Equal(t, "fine", body)
}

// The store is unavailable while a VM starts. Requests must not be held for long, since another VM
// could serve them.
func TestWaitForDocumentIsBounded(t *testing.T) {
	w := newFixture(t, respond("fine"))
	w.registry = emptyRegistry()
	w.deps.Registry = w.registry
	w.start()
	began := time.Now()
	resp, _, err := w.call(http.MethodPost, "/once/x", "body")
	require.NoError(t, err)
	require.Equal(t, http.StatusServiceUnavailable, resp.StatusCode)
	require.Less(t, time.Since(began), startHold.Duration()+500*time.Millisecond)

	w.gate.started -= 2 * startHold
	began = time.Now()
	resp, _, err = w.call(http.MethodPost, "/once/x", "body")
	require.NoError(t, err)
	require.Equal(t, http.StatusServiceUnavailable, resp.StatusCode)
	require.Less(t, clock.Of(time.Since(began)), startHold/2, "a VM that started long ago must refuse at once")
}
