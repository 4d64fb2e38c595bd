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

// addService adds an upstream of the service "sms" that responds with h.
func (b *harness) addService(h http.HandlerFunc) {
	b.t.Helper()
	s := httptest.NewServer(h)
	b.t.Cleanup(s.Close)
	d := *b.index.Document()
	u := document.Upstream{Name: "sms-1", Service: "sms", Domain: "hall", Address: strings.TrimPrefix(s.URL, "http://"), Slots: 8}
	d.Upstreams = append(append([]document.Upstream(nil), d.Upstreams...), u)
	b.index = document.NewIndex(&d)
	b.gate.Registry = fixedRegistry{b.index}
	b.fakes.upstreams = []string{u.Name}
}

// A certificate number contains a slash or a percent sign, which the client escapes. If the gate
// decoded the path, the service would check a different certificate or none.
func TestServicePathIsForwardedUndecoded(t *testing.T) {
	b := newHarness(t)
	got := make(chan *http.Request, 1)
	b.addService(func(_ http.ResponseWriter, r *http.Request) { got <- r })
	for _, path := range []string{"/", "/check/a%2Fb%3Fc%25d%23e", "/check?x=%20&y=a%2Fb", "/a%20b"} {
		a := b.post("/services/sms"+path, "", headerIdempotencyKey, path, "Connection", "X-Hop", "X-Hop", "1", "X-Kept", "2")
		require.Equal(t, 200, a.status, a.body)
		r := <-got
		require.Equal(t, path, r.RequestURI)
		require.Empty(t, r.Header.Get("X-Hop"))
		require.Equal(t, "2", r.Header.Get("X-Kept"))
	}
}

// A workspace sent a prompt of half a million tokens and exceeds its rate for half a minute. Its
// calls to a plain service use no tokens and must be served, while its next generation is refused
// with a retry time.
func TestTokenRateDoesNotLimitPlainServices(t *testing.T) {
	b := newHarness(t)
	b.addService(func(http.ResponseWriter, *http.Request) {})
	b.fakes.rateRetry = 20_000
	require.Equal(t, 200, b.post("/services/sms/lookup", "", headerIdempotencyKey, "k").status)
	a := b.post("/v1/chat/completions", chatBody)
	require.Equal(t, 429, a.status)
	require.Equal(t, "20", a.header.Get(headerRetryAfter))
}

// A plain service is full and rejects calls with a 503, or limits a client's rate with a 429. The
// workspace retries repeatedly. If each attempt were charged, its bill would list more calls than
// the service ran.
func TestCallRejectedByServiceIsNotCharged(t *testing.T) {
	for status, requests := range map[int]uint64{
		http.StatusServiceUnavailable: 0, http.StatusTooManyRequests: 0,
		http.StatusOK: 1, http.StatusNotFound: 1, http.StatusInternalServerError: 1,
	} {
		b := newHarness(t)
		b.addService(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(status) })
		require.Equal(t, status, b.post("/services/sms/lookup", "", headerIdempotencyKey, "k").status)
		b.awaitIdle()
		require.Equal(t, peer.Usage{Requests: requests}, b.fakes.usage, "status %d", status)
	}
}
