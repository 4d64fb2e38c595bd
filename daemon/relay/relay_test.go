package relay

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"snipeshift.example/daemon/registry"
	"snipeshift.example/lib/clock"
	"snipeshift.example/lib/decide/gate"
	"snipeshift.example/lib/decide/span"
	"snipeshift.example/lib/decide/statement"
	"snipeshift.example/lib/fault"
	"snipeshift.example/lib/route"
)

func TestResponseIsPassedOnUnchanged(t *testing.T) {
	w := newFixture(t, func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		w.Header().Set("Seen", r.Method+" "+r.RequestURI+" "+string(body)+" "+r.Header.Get("Workspace")+r.Header.Get("Key"))
		_, has := r.Header["User-Agent"]
		w.Header().Set("Agent", fmt.Sprint(has))
		_, has = r.Header["Accept-Encoding"]
		w.Header().Set("Encoding", fmt.Sprint(has))
		respond("fine")(w, r)
	})
	r, err := http.NewRequest(http.MethodPut, w.server.URL+"/once/a%2Fb//c/../d?x=%20&y", strings.NewReader("body"))
	require.NoError(t, err)
	r.Host = "team.example"
	r.Header.Set("Id", "a1")
	r.Header.Set("Key", "key")
	r.Header["User-Agent"] = nil
	resp, err := (&http.Transport{DisableCompression: true}).RoundTrip(r)
	require.NoError(t, err)
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	require.NoError(t, err)
	require.Equal(t, "fine", string(body))
	require.Equal(t, "PUT /once/a%2Fb//c/../d?x=%20&y body ward", resp.Header.Get("Seen"))
	require.Equal(t, "false", resp.Header.Get("Agent"))
	require.Equal(t, "false", resp.Header.Get("Encoding"))
}

// An upstream accepts a notice to residents, and the connection breaks, so it is unknown whether
// the notice was sent out. If the gate retried, or reported "not run" so that the client retries,
// residents could get it twice.
func TestNonRepeatableRequestIsNotRetried(t *testing.T) {
	for _, reset := range []bool{false, true} {
		var runs atomic.Int64
		h := counting(&runs, respondRaw(t, reset, func(*http.Request) string { return "" }))
		w := newFixture(t, h, h)
		resp, _, err := w.call(http.MethodPost, "/once/x", "notice")
		require.NoError(t, err)
		require.Equal(t, http.StatusBadGateway, resp.StatusCode)
		require.EqualValues(t, 1, runs.Load())
	}
}

// The connection breaks during a request that may be repeated. The client must not notice.
func TestRepeatableRequestIsRetriedElsewhere(t *testing.T) {
	w := newFixture(t, respondRaw(t, true, func(*http.Request) string { return "" }), respond("fine"))
	resp, body, err := w.call(http.MethodGet, "/again/x", "")
	require.NoError(t, err)
	require.Equal(t, http.StatusOK, resp.StatusCode)
	require.Equal(t, "fine", body)
	require.Equal(t, []span.Outcome{span.Broken, span.Done}, w.placer.outcomes)
}

// The upstream closes a pooled connection just as the next request is written to it. The transport of
// net/http would retry such a request by itself, bypassing the retry budget and the limit of attempts.
func TestTransportDoesNotRetry(t *testing.T) {
	var runs atomic.Int64
	h := counting(&runs, func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/again/first" {
			respond("fine")(w, r)
			return
		}
		respondRaw(t, true, func(*http.Request) string { return "" })(w, r)
	})
	w := newFixture(t, h)
	_, _, err := w.call(http.MethodGet, "/again/first", "")
	require.NoError(t, err)
	_, _, err = w.call(http.MethodGet, "/again/second", "")
	require.NoError(t, err)
	require.EqualValues(t, 2, runs.Load(), "each request must be sent once")
}

// An upstream sends a late second response on a pooled connection, where the next response is expected.
// The next client would receive the response to another client's request.
func TestResponseToAnotherRequestIsNotPassedOn(t *testing.T) {
	mismatched := respondRaw(t, false, func(*http.Request) string {
		return "HTTP/1.1 200 OK\r\nId: other\r\nMark: m\r\nContent-Length: 6\r\n\r\nsecret"
	})
	w := newFixture(t, mismatched, respond("mine"))
	_, body, err := w.call(http.MethodGet, "/again/x", "")
	require.NoError(t, err)
	require.Equal(t, "mine", body)
	resp, body, err := w.call(http.MethodPost, "/once/x", "")
	require.NoError(t, err)
	require.Equal(t, http.StatusBadGateway, resp.StatusCode)
	require.NotContains(t, body, "secret")
}

// An intermediary responds with 200 in place of the upstream. Nothing ran, but the client would
// assume that its notice was sent out.
func TestUnsignedResponseIsNotPassedOn(t *testing.T) {
	unsigned := func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Id", r.Header.Get("Id"))
		_, _ = io.WriteString(w, "ok")
	}
	w := newFixture(t, unsigned)
	resp, _, err := w.call(http.MethodPost, "/once/x", "")
	require.NoError(t, err)
	require.Equal(t, http.StatusBadGateway, resp.StatusCode)
}

// An upstream stops in the middle of its response. If the gate passed the part on, it would look
// complete.
func TestTruncatedResponseIsNotPassedOn(t *testing.T) {
	truncated := respondRaw(t, false, func(r *http.Request) string {
		return "HTTP/1.1 200 OK\r\nId: " + r.Header.Get("Id") + "\r\nMark: m\r\nContent-Length: 60\r\n\r\nhalf of"
	})
	w := newFixture(t, truncated)
	resp, body, err := w.call(http.MethodPost, "/once/x", "")
	require.NoError(t, err)
	require.Equal(t, http.StatusBadGateway, resp.StatusCode)
	require.NotContains(t, body, "half")
}

// An upstream's error response is passed on to the client, also after a retry that fails as well.
func TestUpstreamErrorResponseIsPassedOn(t *testing.T) {
	failing := func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Id", r.Header.Get("Id"))
		w.Header().Set("Mark", "m")
		w.WriteHeader(http.StatusInternalServerError)
		_, _ = io.WriteString(w, "broken")
	}
	w := newFixture(t, failing, failing)
	for _, path := range []string{"/once/x", "/again/x"} {
		resp, body, err := w.call(http.MethodPost, path, "")
		require.NoError(t, err)
		require.Equal(t, http.StatusInternalServerError, resp.StatusCode)
		require.Equal(t, "m", resp.Header.Get("Mark"))
		require.Equal(t, "broken", body)
	}
}

// A full upstream declares that it did not run the request. The request may then be sent to another
// upstream, even if it must run at most once.
func TestRejectedRequestIsSentElsewhere(t *testing.T) {
	full := func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Idle", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
	}
	w := newFixture(t, full, respond("fine"))
	_, body, err := w.call(http.MethodPost, "/once/x", "")
	require.NoError(t, err)
	require.Equal(t, "fine", body)
	w = newFixture(t, full, full)
	resp, _, err := w.call(http.MethodPost, "/once/x", "")
	require.NoError(t, err)
	require.Equal(t, http.StatusServiceUnavailable, resp.StatusCode)
	require.NotEmpty(t, resp.Header.Get("Retry-After"))
}

// An engine crashes in the middle of a stream and of an event. The client must receive each event
// exactly once.
func TestStreamIsContinuedElsewhere(t *testing.T) {
	for _, reset := range []bool{false, true} {
		half := respondRaw(t, reset, func(r *http.Request) string {
			return "HTTP/1.1 200 OK\r\nId: " + r.Header.Get("Id") + "\r\nMark: first\r\nTransfer-Encoding: chunked\r\n\r\n" +
				chunked(eventText(1, 3)+"id: 4\nda")
		})
		var last string
		w := newFixture(t, half, func(w http.ResponseWriter, r *http.Request) {
			last = r.Header.Get("Last")
			respondStream(eventText(4, 6))(w, r)
		})
		resp, body, err := w.call(http.MethodPost, "/stream/x", "")
		require.NoError(t, err)
		require.Equal(t, eventText(1, 6), body)
		require.Equal(t, "3", last)
		require.Equal(t, "first", resp.Header.Get("Mark"), "the header is that of the first upstream")
	}
}

func chunked(s string) string { return fmt.Sprintf("%x\r\n%s\r\n", len(s), s) }

// An engine crashes in the middle of a stream that cannot be continued. The connection to the
// client must break, so that the client sees that the stream is incomplete.
func TestNonResumableStreamBreaks(t *testing.T) {
	half := respondRaw(t, true, func(r *http.Request) string {
		return "HTTP/1.1 200 OK\r\nId: " + r.Header.Get("Id") + "\r\nMark: m\r\nTransfer-Encoding: chunked\r\n\r\n" + chunked(eventText(1, 3))
	})
	w := newFixture(t, half, respondStream(eventText(1, 6)))
	_, body, err := w.call(http.MethodPost, "/stream1/x", "")
	require.Error(t, err)
	require.NotContains(t, body, "piece 4")
}

// The first engine sends an error response, which is kept in case no retry succeeds. The second
// engine begins the stream and crashes. The kept response must not be written after the events: the
// client would see a stream that ends regularly and take it for complete.
func TestBrokenStreamIsNotEndedByKeptErrorResponse(t *testing.T) {
	failing := func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Id", r.Header.Get("Id"))
		w.Header().Set("Mark", "first")
		w.WriteHeader(http.StatusInternalServerError)
		_, _ = io.WriteString(w, "broken")
	}
	half := respondRaw(t, true, func(r *http.Request) string {
		return "HTTP/1.1 200 OK\r\nId: " + r.Header.Get("Id") + "\r\nMark: m\r\nTransfer-Encoding: chunked\r\n\r\n" + chunked(eventText(1, 3))
	})
	w := newFixture(t, failing, half)
	_, body, err := w.call(http.MethodPost, "/stream/x", "")
	require.Error(t, err)
	require.NotContains(t, body, "broken")
}

// An engine stops responding in the middle of a stream, and its machine accepts no new connection.
// Clients disconnect after a pause of two seconds.
func TestStalledStreamIsContinuedElsewhere(t *testing.T) {
	stop := make(chan struct{})
	silent := func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		respondStream(eventText(1, 2))(w, r)
		_ = http.NewResponseController(w).Flush()
		select {
		case <-stop:
		case <-r.Context().Done():
		}
	}
	w := newFixture(t, silent, respondStream(eventText(3, 4)))
	defer close(stop)
	began := time.Now()
	_, body, err := w.call(http.MethodPost, "/stream/x", "")
	require.NoError(t, err)
	require.Equal(t, eventText(1, 4), body)
	require.Less(t, time.Since(began), 1900*time.Millisecond)
}

// A client disconnects while its request runs. The request to the engine must be canceled.
func TestUpstreamRequestIsCanceledWhenClientDisconnects(t *testing.T) {
	stopped := make(chan struct{})
	w := newFixture(t, func(_ http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body) // net/http detects a closed connection only after the body is read
		<-r.Context().Done()
		close(stopped)
	})
	ctx, cancel := context.WithCancel(context.Background())
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, w.server.URL+"/again/x", strings.NewReader("body"))
	require.NoError(t, err)
	r.Host = "team.example"
	r.Header.Set("Key", "key")
	time.AfterFunc(50*time.Millisecond, cancel)
	resp, err := http.DefaultClient.Do(r)
	require.Error(t, err)
	if resp != nil {
		resp.Body.Close()
	}
	select {
	case <-stopped:
	case <-time.After(500 * time.Millisecond):
		require.Fail(t, "the upstream still runs the request of a client that has disconnected")
	}
}

// An upstream hangs. The client must get its final response at the timeout of the route.
func TestFinalResponseComesAtRouteTimeout(t *testing.T) {
	w := newFixture(t, func(_ http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		<-r.Context().Done()
	})
	w.setDocument(300, "key")
	began := time.Now()
	resp, _, err := w.call(http.MethodPost, "/once/x", "")
	require.NoError(t, err)
	require.Equal(t, http.StatusGatewayTimeout, resp.StatusCode)
	require.InDelta(t, 300, time.Since(began).Milliseconds(), 150)
	w.placer.wait = time.Second
	resp, _, err = w.call(http.MethodPost, "/once/x", "")
	require.NoError(t, err)
	require.Equal(t, http.StatusServiceUnavailable, resp.StatusCode, "nothing was sent")
}

// The operator revokes a key while a request with it waits for its grant. If the request were sent, it
// would be charged to a workspace that no longer has access.
func TestKeyRevokedInQueueIsNotServed(t *testing.T) {
	var runs atomic.Int64
	w := newFixture(t, counting(&runs, respond("fine")))
	w.placer.beforeAsk = func() { w.setDocument(2*clock.Second, "other") }
	resp, _, err := w.call(http.MethodPost, "/once/x", "")
	require.NoError(t, err)
	require.Equal(t, http.StatusUnauthorized, resp.StatusCode)
	require.Zero(t, runs.Load())
}

// An upstream runs a request and its response is lost. Before the second send, the keys known from
// the store have become too old to be used. The client must not be told that the request did not
// run.
func TestRefusalAfterSendDoesNotClaimNotRun(t *testing.T) {
	w := newFixture(t, respondRaw(t, true, func(*http.Request) string { return "HTTP/1.1 200 OK\r\nCont" }), respond("fine"))
	asked := 0
	w.placer.beforeAsk = func() {
		if asked++; asked == 2 {
			v := *w.registry.View()
			v.TableVerified -= 4500
			w.registry.set(&v)
		}
	}
	resp, _, err := w.call(http.MethodPost, "/again/x", "")
	require.NoError(t, err)
	require.Equal(t, 2, asked)
	require.Equal(t, http.StatusBadGateway, resp.StatusCode)
}

// A key is moved from one workspace to another while a request with it waits.
func TestMovedKeyIsChargedToNewWorkspace(t *testing.T) {
	w := newFixture(t, func(w http.ResponseWriter, r *http.Request) { respond(r.Header.Get("Workspace"))(w, r) })
	w.placer.beforeAsk = func() {
		d := &route.Document{Revision: 2, Routes: routes(clock.Second), Workspaces: []route.Workspace{{ID: "desk", Keys: []route.Key{"key"}}}}
		tb, err := route.Index(d)
		require.NoError(t, err)
		v := *w.registry.View()
		v.Table = tb
		w.registry.set(&v)
	}
	_, body, err := w.call(http.MethodPost, "/once/x", "")
	require.NoError(t, err)
	require.Equal(t, "desk", body)
}

// The store has not responded for seconds. Keys may have been revoked and routes added without this
// VM's knowledge.
func TestRequestsWithOutdatedDocument(t *testing.T) {
	w := newFixture(t, respond("fine"))
	age := func(ms clock.Milli) {
		now := clock.Boot{}.Now()
		w.registry.set(&registry.View{Table: w.table, TableVerified: now - ms, UpstreamsVerified: now, Upstreams: map[route.ServiceID][]route.Upstream{"s": w.placer.upstreams}})
	}
	status := func(path string) int {
		resp, _, err := w.call(http.MethodPost, path, "")
		require.NoError(t, err)
		return resp.StatusCode
	}
	require.Equal(t, http.StatusNotFound, status("/nowhere/"))
	age(2500)
	require.Equal(t, http.StatusServiceUnavailable, status("/nowhere/"))
	require.Equal(t, http.StatusOK, status("/once/"))
	age(4500)
	require.Equal(t, http.StatusServiceUnavailable, status("/once/"))
	w.registry.set(&registry.View{})
	require.Equal(t, http.StatusServiceUnavailable, status("/once/"))
}

// The owner's list of upstreams is older than this VM's and contains an upstream that has left.
func TestNothingIsSentToUpstreamThatLeft(t *testing.T) {
	var runs atomic.Int64
	w := newFixture(t, counting(&runs, respond("gone")), respond("fine"))
	v := *w.registry.View()
	v.Upstreams = map[route.ServiceID][]route.Upstream{"s": w.placer.upstreams[1:]}
	w.registry.set(&v)
	_, body, err := w.call(http.MethodPost, "/once/x", "")
	require.NoError(t, err)
	require.Equal(t, "fine", body)
	require.Zero(t, runs.Load())
}

// A request has crashed two engines, and its client sends it again.
func TestQuarantinedRequestIsNotSent(t *testing.T) {
	var runs atomic.Int64
	w := newFixture(t, counting(&runs, respond("fine")))
	w.deps.Suspects = testSuspects{verdict: gate.Quarantined}
	w.start()
	resp, _, err := w.call(http.MethodPost, "/stream/x", "")
	require.NoError(t, err)
	require.Equal(t, http.StatusServiceUnavailable, resp.StatusCode)
	require.Empty(t, resp.Header.Get("Retry-After"), "a retry does not help")
	require.Zero(t, runs.Load())
}

// Many clients send large bodies at the same time. Buffered without a bound, they would exhaust the
// VM's memory.
func TestBodiesBeyondBufferBoundAreRefused(t *testing.T) {
	hold := make(chan struct{})
	in := make(chan struct{}, 1)
	w := newFixture(t, func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		in <- struct{}{}
		<-hold
		respond("fine")(w, r)
	})
	large := strings.Repeat("x", 40<<10)
	first := make(chan string, 1)
	go func() {
		_, body, err := w.call(http.MethodPost, "/once/x", large)
		if err != nil {
			body = err.Error()
		}
		first <- body
	}()
	<-in
	resp, _, err := w.call(http.MethodPost, "/once/x", large)
	require.NoError(t, err)
	require.Equal(t, http.StatusServiceUnavailable, resp.StatusCode)
	close(hold)
	require.Equal(t, "fine", <-first)
	require.Eventually(t, func() bool { return w.gate.bodies.Load() == 0 }, time.Second, time.Millisecond)
}

// A client sends half of its request body and then nothing. The request has not run, and must not
// occupy buffer space for ever.
func TestIncompleteBodyIsRefusedAtTimeout(t *testing.T) {
	w := newFixture(t, respond("fine"))
	w.setDocument(300, "key")
	c, err := net.Dial("tcp", w.server.Listener.Addr().String())
	require.NoError(t, err)
	defer c.Close()
	_, err = io.WriteString(c, "POST /once/x HTTP/1.1\r\nHost: team.example\r\nId: a1\r\nKey: key\r\nContent-Length: 10\r\n\r\nhalf")
	require.NoError(t, err)
	require.NoError(t, c.SetReadDeadline(time.Now().Add(3*time.Second)))
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	require.NoError(t, err)
	defer resp.Body.Close()
	require.Equal(t, http.StatusRequestTimeout, resp.StatusCode)
	require.Zero(t, w.gate.bodies.Load())
}

func TestRefusalHasRetryAfter(t *testing.T) {
	w := newFixture(t, respond("fine"))
	w.placer.refuse = fault.Overloaded
	resp, _, err := w.call(http.MethodPost, "/once/x", "")
	require.NoError(t, err)
	require.Equal(t, http.StatusServiceUnavailable, resp.StatusCode)
	require.Equal(t, "0.5", resp.Header.Get("Retry-After"))
}

func TestEventsAreReadCompletely(t *testing.T) {
	es := newEvents(strings.NewReader("id: 7\r\ndata: x\r\n\r\n: comment\n\ndata: "+strings.Repeat("y", 9000)+"\nid:8\n\nid: 9\ndata"), streamLimit{events: 10, bytes: eventLimit})
	for _, want := range []string{"7", "7", "8"} {
		event, err := es.next()
		require.NoError(t, err)
		require.NotEmpty(t, lines(string(event)))
		require.Equal(t, want, es.id)
	}
	_, err := es.next()
	require.ErrorIs(t, err, errTruncated)
}

func FuzzEvents(f *testing.F) {
	f.Add([]byte("id: 1\ndata: x\n\n"))
	f.Add([]byte("id: 1\r\n\r\nid"))
	f.Fuzz(func(t *testing.T, b []byte) {
		es := newEvents(strings.NewReader(string(b)), streamLimit{events: len(b), bytes: int64(len(b))})
		total := 0
		for {
			event, err := es.next()
			if err != nil {
				break
			}
			total += len(event)
		}
		require.LessOrEqual(t, total, len(b))
	})
}

// An upstream declares its rate limit in a rejection, in an error response, or at the beginning of
// a stream. A gate that evaluated only complete responses would exceed the limit.
func TestRateLimitInResponsesOfAnyKind(t *testing.T) {
	for name, answer := range map[string]http.HandlerFunc{
		"turned away": func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Idle", "1")
			w.WriteHeader(http.StatusServiceUnavailable)
		},
		"failed": func(w http.ResponseWriter, r *http.Request) {
			w.Header().Set("Id", r.Header.Get("Id"))
			w.Header().Set("Mark", "m")
			w.WriteHeader(http.StatusInternalServerError)
		},
		"stream": respondStream(eventText(1, 2)),
	} {
		w := newFixture(t, func(rw http.ResponseWriter, r *http.Request) {
			rw.Header().Set("Limit", "2.5")
			answer(rw, r)
		})
		_, _, _ = w.call(http.MethodPost, "/stream/", "")
		s, ok := w.placer.statements.Of("u0", statement.Limit)
		require.True(t, ok, name)
		require.True(t, s.Named, name)
		require.InDelta(t, 2.5, float64(s.Rate), 0, name)
	}
}

// A response without a limit arrives after another one that declares a limit. Its request was sent
// earlier, so it must not end the limit.
func TestOvertakenResponseDoesNotEndLimit(t *testing.T) {
	release := make(chan struct{})
	var calls atomic.Int64
	w := newFixture(t, func(rw http.ResponseWriter, r *http.Request) {
		switch calls.Add(1) {
		case 1:
			<-release
		case 2:
			rw.Header().Set("Limit", "2.5")
		}
		respond("answer")(rw, r)
	})
	done := make(chan struct{})
	go func() {
		defer close(done)
		_, _, _ = w.call(http.MethodPost, "/once/", "")
	}()
	require.Eventually(t, func() bool { return calls.Load() == 1 }, time.Second, time.Millisecond)
	_, _, _ = w.call(http.MethodPost, "/once/", "")
	close(release)
	<-done
	s, _ := w.placer.statements.Of("u0", statement.Limit)
	require.True(t, s.Named)
	require.Eventually(t, func() bool {
		_, _, _ = w.call(http.MethodPost, "/once/", "")
		s, _ = w.placer.statements.Of("u0", statement.Limit)
		return !s.Named
	}, time.Second, time.Millisecond, "responses to later requests without a limit must end it")
}
