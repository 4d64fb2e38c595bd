package caller

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"snipeshift.example/lib/document"
	"snipeshift.example/lib/peer"
)

// serve adds an upstream of the service "sms" that answers by h.
func (b *bench) serve(h http.HandlerFunc) {
	b.t.Helper()
	s := httptest.NewServer(h)
	b.t.Cleanup(s.Close)
	d := *b.index.Document()
	u := document.Upstream{Name: "sms-1", Service: "sms", Domain: "hall", Address: strings.TrimPrefix(s.URL, "http://"), Slots: 8}
	d.Upstreams = append(append([]document.Upstream(nil), d.Upstreams...), u)
	b.index = document.NewIndex(&d)
	b.gate.Registry = fixedBook{b.index}
	b.fakes.upstream = []string{u.Name}
}

// A certificate's number has a slash or a percent sign, which its caller escapes.
// Unescaped on the way, the check would be of another certificate, or of none.
func TestServiceGetsThePathAsItWasWritten(t *testing.T) {
	b := newBench(t)
	got := make(chan *http.Request, 1)
	b.serve(func(_ http.ResponseWriter, r *http.Request) { got <- r })
	for _, path := range []string{"/", "/check/a%2Fb%3Fc%25d%23e", "/check?x=%20&y=a%2Fb", "/a%20b"} {
		a := b.post("/services/sms"+path, "", headerKey, path, "Connection", "X-Hop", "X-Hop", "1", "X-Kept", "2")
		require.Equal(t, 200, a.status, a.body)
		r := <-got
		require.Equal(t, path, r.RequestURI)
		require.Empty(t, r.Header.Get("X-Hop"))
		require.Equal(t, "2", r.Header.Get("X-Kept"))
	}
}

// A workspace sent a dossier of half a million tokens and is over its rate for half a
// minute. Its alert lookups go to a plain service, which takes no tokens: they must
// answer at once, while its next draft is told when to come back.
func TestDebtOfTokensDoesNotHoldBackAPlainService(t *testing.T) {
	b := newBench(t)
	b.serve(func(http.ResponseWriter, *http.Request) {})
	b.fakes.limited = 20_000
	require.Equal(t, 200, b.post("/services/sms/lookup", "", headerKey, "k").status)
	a := b.post("/v1/chat/completions", ask)
	require.Equal(t, 429, a.status)
	require.Equal(t, "20", a.header.Get(headerRetry))
}

// A plain service is full for some seconds and turns every call away with a 503, or holds a
// caller to its own rate with a 429. The workspace asks again and again, and got
// nothing; charged for each, its bill would show more calls than the service ever ran.
func TestACallThatTheServiceTurnsAwayIsNotCharged(t *testing.T) {
	for status, requests := range map[int]uint64{
		http.StatusServiceUnavailable: 0, http.StatusTooManyRequests: 0,
		http.StatusOK: 1, http.StatusNotFound: 1, http.StatusInternalServerError: 1,
	} {
		b := newBench(t)
		b.serve(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(status) })
		require.Equal(t, status, b.post("/services/sms/lookup", "", headerKey, "k").status)
		b.idle()
		require.Equal(t, peer.Usage{Requests: requests}, b.fakes.usage, "status %d", status)
	}
}
