package relay

import (
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"snipeshift.example/lib/clock"
)

// All VMs lose power and start again, and callers come in the half second before this one knows its
// document. Refused, they come back once, to another VM that is as young, and are lost.
func TestARequestAtTheStartIsHeldForTheDocument(t *testing.T) {
	w := newWorld(t, whole("fine"))
	known := w.known
	w.known = unknown()
	w.needs.Registry = w.known
	w.start()
	learn := time.AfterFunc(100*time.Millisecond, func() { w.known.set(known.View()) })
	defer learn.Stop()
	resp, body, err := w.call(http.MethodPost, "/once/x", "body")
	require.NoError(t, err)
	require.Equal(t, http.StatusOK, resp.StatusCode)
	require.Equal(t, "fine", body)
}

// The store is away while a VM starts. Whoever is held there for long could have been served by another VM.
func TestARequestIsNotHeldForADocumentThatDoesNotCome(t *testing.T) {
	w := newWorld(t, whole("fine"))
	w.known = unknown()
	w.needs.Registry = w.known
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
	require.Less(t, clock.Of(time.Since(began)), startHold/2, "a VM that is up for long refuses at once")
}
