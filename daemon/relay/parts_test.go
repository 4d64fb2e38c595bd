package relay

import (
	"net/http"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"snipeshift.example/lib/decide/blame"
)

// callParts sends a request with these parts and returns those of all its queries for a placement.
func (w *fixture) callParts(path, body, parts string) [][]blame.Part {
	w.t.Helper()
	w.placer.parts = nil
	r, err := http.NewRequest(http.MethodPost, w.server.URL+path, strings.NewReader(body))
	require.NoError(w.t, err)
	r.Host = "team.example"
	r.Header.Set("Id", "a1")
	r.Header.Set("Key", "key")
	r.Header.Set("Parts", parts)
	resp, err := http.DefaultClient.Do(r)
	require.NoError(w.t, err)
	require.NoError(w.t, resp.Body.Close())
	return w.placer.parts
}

// A stream is continued, and a request repeated, on another engine; without its parts the owner would let it crash that one too.
func TestEverySendNamesItsParts(t *testing.T) {
	broken := respondRaw(t, true, func(*http.Request) string { return "" })
	for _, path := range []string{"/stream/", "/again/"} {
		w := newFixture(t, broken, respondStream(eventText(1, 2)))
		want := []blame.Part{'a', 'b'}
		require.Equal(t, [][]blame.Part{want, want}, w.callParts(path, "", "abc"), "the last part is the request's own")
	}
}

// Requests for one record crash a plain service, each with another body; without a part in common each is new.
func TestPlainRequestsAreKnownByTheirTarget(t *testing.T) {
	w := newFixture(t, respond("answer"))
	parts := w.callParts("/again/1", "x", "")[0]
	require.Len(t, parts, 1)
	require.Equal(t, parts, w.callParts("/again/1", "y", "")[0])
	require.NotEqual(t, parts, w.callParts("/again/2", "x", "")[0])
	require.NotEqual(t, parts, w.callParts("/again/1?x", "x", "")[0])
}
