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

func TestAnAnswerIsPassedOnWhole(t *testing.T) {
	w := newWorld(t, func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		w.Header().Set("Seen", r.Method+" "+r.RequestURI+" "+string(body)+" "+r.Header.Get("Workspace")+r.Header.Get("Key"))
		_, has := r.Header["User-Agent"]
		w.Header().Set("Agent", fmt.Sprint(has))
		_, has = r.Header["Accept-Encoding"]
		w.Header().Set("Encoding", fmt.Sprint(has))
		whole("fine")(w, r)
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

// An upstream takes a notice and its connection breaks. Nobody knows whether it went
// out. Sent again, residents get two; told "not run", the caller sends it again.
func TestWhatMayHaveRunOnceIsNotSentAgain(t *testing.T) {
	for _, reset := range []bool{false, true} {
		var runs atomic.Int64
		h := counted(&runs, raw(t, reset, func(*http.Request) string { return "" }))
		w := newWorld(t, h, h)
		resp, _, err := w.call(http.MethodPost, "/once/x", "notice")
		require.NoError(t, err)
		require.Equal(t, http.StatusBadGateway, resp.StatusCode)
		require.EqualValues(t, 1, runs.Load())
	}
}

// The same break for what may be repeated is no reason to bother the caller.
func TestWhatMayBeRepeatedIsSentElsewhere(t *testing.T) {
	w := newWorld(t, raw(t, true, func(*http.Request) string { return "" }), whole("fine"))
	resp, body, err := w.call(http.MethodGet, "/again/x", "")
	require.NoError(t, err)
	require.Equal(t, http.StatusOK, resp.StatusCode)
	require.Equal(t, "fine", body)
	require.Equal(t, []span.Outcome{span.Broken, span.Done}, w.placer.outcomes)
}

// A kept connection is closed by the upstream just as the next request is written to it.
// The HTTP client of the library sends such a request again by itself, which no
// budget counts and no limit of attempts knows.
func TestTheLibrarySendsNothingAgainByItself(t *testing.T) {
	var runs atomic.Int64
	h := counted(&runs, func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/again/first" {
			whole("fine")(w, r)
			return
		}
		raw(t, true, func(*http.Request) string { return "" })(w, r)
	})
	w := newWorld(t, h)
	_, _, err := w.call(http.MethodGet, "/again/first", "")
	require.NoError(t, err)
	_, _, err = w.call(http.MethodGet, "/again/second", "")
	require.NoError(t, err)
	require.EqualValues(t, 2, runs.Load(), "the first, and the second once")
}

// A late second answer of an upstream lies on a kept connection where the next
// answer is expected. Its caller would read somebody else's.
func TestAnAnswerToAnotherRequestIsNotPassedOn(t *testing.T) {
	foreign := raw(t, false, func(*http.Request) string {
		return "HTTP/1.1 200 OK\r\nId: other\r\nMark: m\r\nContent-Length: 6\r\n\r\nsecret"
	})
	w := newWorld(t, foreign, whole("mine"))
	_, body, err := w.call(http.MethodGet, "/again/x", "")
	require.NoError(t, err)
	require.Equal(t, "mine", body)
	resp, body, err := w.call(http.MethodPost, "/once/x", "")
	require.NoError(t, err)
	require.Equal(t, http.StatusBadGateway, resp.StatusCode)
	require.NotContains(t, body, "secret")
}

// Something between the ends answers 200 in the upstream's place. Nothing ran, and
// the caller would believe that its notice went out.
func TestAnAnswerWithoutTheUpstreamsMarkIsNotPassedOn(t *testing.T) {
	forged := func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Id", r.Header.Get("Id"))
		_, _ = io.WriteString(w, "ok")
	}
	w := newWorld(t, forged)
	resp, _, err := w.call(http.MethodPost, "/once/x", "")
	require.NoError(t, err)
	require.Equal(t, http.StatusBadGateway, resp.StatusCode)
}

// An upstream stops in the middle of its answer. Passed on as it is, the half looks whole.
func TestATornAnswerIsNotPassedOn(t *testing.T) {
	torn := raw(t, false, func(r *http.Request) string {
		return "HTTP/1.1 200 OK\r\nId: " + r.Header.Get("Id") + "\r\nMark: m\r\nContent-Length: 60\r\n\r\nhalf of"
	})
	w := newWorld(t, torn)
	resp, body, err := w.call(http.MethodPost, "/once/x", "")
	require.NoError(t, err)
	require.Equal(t, http.StatusBadGateway, resp.StatusCode)
	require.NotContains(t, body, "half")
}

// An upstream's own failure is its answer, also where nothing better comes.
func TestAFailureOfTheUpstreamIsPassedOn(t *testing.T) {
	failing := func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Id", r.Header.Get("Id"))
		w.Header().Set("Mark", "m")
		w.WriteHeader(http.StatusInternalServerError)
		_, _ = io.WriteString(w, "broken")
	}
	w := newWorld(t, failing, failing)
	for _, path := range []string{"/once/x", "/again/x"} {
		resp, body, err := w.call(http.MethodPost, path, "")
		require.NoError(t, err)
		require.Equal(t, http.StatusInternalServerError, resp.StatusCode)
		require.Equal(t, "m", resp.Header.Get("Mark"))
		require.Equal(t, "broken", body)
	}
}

// A full upstream says that it ran nothing. That is no run, also for what must run once.
func TestWhatWasTurnedAwayGoesElsewhere(t *testing.T) {
	full := func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Idle", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
	}
	w := newWorld(t, full, whole("fine"))
	_, body, err := w.call(http.MethodPost, "/once/x", "")
	require.NoError(t, err)
	require.Equal(t, "fine", body)
	w = newWorld(t, full, full)
	resp, _, err := w.call(http.MethodPost, "/once/x", "")
	require.NoError(t, err)
	require.Equal(t, http.StatusServiceUnavailable, resp.StatusCode)
	require.NotEmpty(t, resp.Header.Get("Retry-After"))
}

// An engine dies in the middle of a stream, and in the middle of an event. The
// caller must get each event once, and notice nothing.
func TestAStreamIsContinuedElsewhere(t *testing.T) {
	for _, reset := range []bool{false, true} {
		half := raw(t, reset, func(r *http.Request) string {
			return "HTTP/1.1 200 OK\r\nId: " + r.Header.Get("Id") + "\r\nMark: first\r\nTransfer-Encoding: chunked\r\n\r\n" +
				chunked(stream(1, 3)+"id: 4\nda")
		})
		var last string
		w := newWorld(t, half, func(w http.ResponseWriter, r *http.Request) {
			last = r.Header.Get("Last")
			streamed(stream(4, 6))(w, r)
		})
		resp, body, err := w.call(http.MethodPost, "/stream/x", "")
		require.NoError(t, err)
		require.Equal(t, stream(1, 6), body)
		require.Equal(t, "3", last)
		require.Equal(t, "first", resp.Header.Get("Mark"), "the header is that of the first upstream")
	}
}

func chunked(s string) string { return fmt.Sprintf("%x\r\n%s\r\n", len(s), s) }

// The same death for a stream that cannot be continued. The caller must see that it
// is not whole: its connection breaks.
func TestAStreamThatCannotBeContinuedBreaks(t *testing.T) {
	half := raw(t, true, func(r *http.Request) string {
		return "HTTP/1.1 200 OK\r\nId: " + r.Header.Get("Id") + "\r\nMark: m\r\nTransfer-Encoding: chunked\r\n\r\n" + chunked(stream(1, 3))
	})
	w := newWorld(t, half, streamed(stream(1, 6)))
	_, body, err := w.call(http.MethodPost, "/stream1/x", "")
	require.Error(t, err)
	require.NotContains(t, body, "piece 4")
}

// The first engine answers with a failure of its own, which is kept in case nothing better comes. The
// second one begins the stream and dies. The kept failure must not be written behind the
// events: the caller would see a stream that ends in order, and take it for whole.
func TestAStreamThatBreaksAfterAFailureIsNotEndedByIt(t *testing.T) {
	failing := func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Id", r.Header.Get("Id"))
		w.Header().Set("Mark", "first")
		w.WriteHeader(http.StatusInternalServerError)
		_, _ = io.WriteString(w, "broken")
	}
	half := raw(t, true, func(r *http.Request) string {
		return "HTTP/1.1 200 OK\r\nId: " + r.Header.Get("Id") + "\r\nMark: m\r\nTransfer-Encoding: chunked\r\n\r\n" + chunked(stream(1, 3))
	})
	w := newWorld(t, failing, half)
	_, body, err := w.call(http.MethodPost, "/stream/x", "")
	require.Error(t, err)
	require.NotContains(t, body, "broken")
}

// An engine goes silent in the middle of a stream, and its machine answers no new
// connection. Callers leave after two seconds.
func TestASilentStreamIsContinuedElsewhere(t *testing.T) {
	stop := make(chan struct{})
	silent := func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		streamed(stream(1, 2))(w, r)
		_ = http.NewResponseController(w).Flush()
		select {
		case <-stop:
		case <-r.Context().Done():
		}
	}
	w := newWorld(t, silent, streamed(stream(3, 4)))
	defer close(stop)
	began := time.Now()
	_, body, err := w.call(http.MethodPost, "/stream/x", "")
	require.NoError(t, err)
	require.Equal(t, stream(1, 4), body)
	require.Less(t, time.Since(began), 1900*time.Millisecond)
}

// A caller leaves while its request runs. The engine would work on for nobody.
func TestTheUpstreamIsStoppedWhenTheCallerLeaves(t *testing.T) {
	stopped := make(chan struct{})
	w := newWorld(t, func(_ http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body) // the server looks at the connection once the body is read
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
		require.Fail(t, "the upstream still works for a caller who left")
	}
}

// An upstream hangs. The operator's time for the route is the caller's last word.
func TestTheFinalAnswerComesAtTheRoutesTime(t *testing.T) {
	w := newWorld(t, func(_ http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		<-r.Context().Done()
	})
	w.learn(300, "key")
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

// The operator takes a key away while a request with it waits for its place. Sent all
// the same, it would be charged to a team that was shut out.
func TestAKeyWithdrawnInTheQueueIsNotServed(t *testing.T) {
	var runs atomic.Int64
	w := newWorld(t, counted(&runs, whole("fine")))
	w.placer.during = func() { w.learn(2*clock.Second, "other") }
	resp, _, err := w.call(http.MethodPost, "/once/x", "")
	require.NoError(t, err)
	require.Equal(t, http.StatusUnauthorized, resp.StatusCode)
	require.Zero(t, runs.Load())
}

// An upstream runs a request and its answer is lost. Before the second send the way to the store has been
// silent for too long to go on using the key. The caller must not be told that nothing ran.
func TestARefusalBeforeTheSecondSendDoesNotClaimThatNothingRan(t *testing.T) {
	w := newWorld(t, raw(t, true, func(*http.Request) string { return "HTTP/1.1 200 OK\r\nCont" }), whole("fine"))
	asked := 0
	w.placer.during = func() {
		if asked++; asked == 2 {
			v := *w.known.View()
			v.TableVerified -= 4500
			w.known.set(&v)
		}
	}
	resp, _, err := w.call(http.MethodPost, "/again/x", "")
	require.NoError(t, err)
	require.Equal(t, 2, asked)
	require.Equal(t, http.StatusBadGateway, resp.StatusCode)
}

// A key moves from one team to another while a request with it waits.
func TestAKeyThatMovedIsChargedToItsNewHolder(t *testing.T) {
	w := newWorld(t, func(w http.ResponseWriter, r *http.Request) { whole(r.Header.Get("Workspace"))(w, r) })
	w.placer.during = func() {
		d := &route.Document{Revision: 2, Routes: routes(clock.Second), Workspaces: []route.Workspace{{ID: "desk", Keys: []route.Key{"key"}}}}
		tb, err := route.Index(d)
		require.NoError(t, err)
		v := *w.known.View()
		v.Table = tb
		w.known.set(&v)
	}
	_, body, err := w.call(http.MethodPost, "/once/x", "")
	require.NoError(t, err)
	require.Equal(t, "desk", body)
}

// The way to the store is silent for seconds. Keys may have been withdrawn and
// routes added without our knowledge.
func TestOldKnowledgeProvesNothing(t *testing.T) {
	w := newWorld(t, whole("fine"))
	age := func(ms clock.Milli) {
		now := clock.Boot{}.Now()
		w.known.set(&registry.View{Table: w.table, TableVerified: now - ms, UpstreamsVerified: now, Upstreams: map[route.ServiceID][]route.Upstream{"s": w.placer.upstreams}})
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
	w.known.set(&registry.View{})
	require.Equal(t, http.StatusServiceUnavailable, status("/once/"))
}

// The owner's list is older than ours: it names an upstream that has left.
func TestAnUpstreamThatLeftGetsNothingNew(t *testing.T) {
	var runs atomic.Int64
	w := newWorld(t, counted(&runs, whole("gone")), whole("fine"))
	v := *w.known.View()
	v.Upstreams = map[route.ServiceID][]route.Upstream{"s": w.placer.upstreams[1:]}
	w.known.set(&v)
	_, body, err := w.call(http.MethodPost, "/once/x", "")
	require.NoError(t, err)
	require.Equal(t, "fine", body)
	require.Zero(t, runs.Load())
}

// A request has killed two engines, and its caller sends it again.
func TestAQuarantinedRequestIsNotSent(t *testing.T) {
	var runs atomic.Int64
	w := newWorld(t, counted(&runs, whole("fine")))
	w.needs.Suspects = noSuspects{check: gate.Quarantined}
	w.start()
	resp, _, err := w.call(http.MethodPost, "/stream/x", "")
	require.NoError(t, err)
	require.Equal(t, http.StatusServiceUnavailable, resp.StatusCode)
	require.Empty(t, resp.Header.Get("Retry-After"), "coming back does not help")
	require.Zero(t, runs.Load())
}

// Callers send large bodies all at once. Held without bound they would take the VM down.
func TestBodiesBeyondTheRoomAreRefused(t *testing.T) {
	hold := make(chan struct{})
	in := make(chan struct{}, 1)
	w := newWorld(t, func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		in <- struct{}{}
		<-hold
		whole("fine")(w, r)
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

// A caller sends half of its body and then nothing. The request has not run, and must
// not hold its place for ever.
func TestATrickledBodyIsRefusedInTime(t *testing.T) {
	w := newWorld(t, whole("fine"))
	w.learn(300, "key")
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

func TestARefusalSaysWhenToComeBack(t *testing.T) {
	w := newWorld(t, whole("fine"))
	w.placer.refuse = fault.Overloaded
	resp, _, err := w.call(http.MethodPost, "/once/x", "")
	require.NoError(t, err)
	require.Equal(t, http.StatusServiceUnavailable, resp.StatusCode)
	require.Equal(t, "0.5", resp.Header.Get("Retry-After"))
}

func TestEventsAreReadWhole(t *testing.T) {
	es := newEvents(strings.NewReader("id: 7\r\ndata: x\r\n\r\n: comment\n\ndata: " + strings.Repeat("y", 9000) + "\nid:8\n\nid: 9\ndata"))
	for _, want := range []string{"7", "7", "8"} {
		event, err := es.next()
		require.NoError(t, err)
		require.NotEmpty(t, lines(string(event)))
		require.Equal(t, want, es.id)
	}
	_, err := es.next()
	require.ErrorIs(t, err, errTorn)
}

func FuzzEvents(f *testing.F) {
	f.Add([]byte("id: 1\ndata: x\n\n"))
	f.Add([]byte("id: 1\r\n\r\nid"))
	f.Fuzz(func(t *testing.T, b []byte) {
		es := newEvents(strings.NewReader(string(b)))
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

// An upstream names its limit while it turns requests away, fails, or has only begun a stream. A gate that reads whole answers alone
// would flood it.
func TestEveryAnswerOfAnUpstreamMayNameItsLimit(t *testing.T) {
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
		"stream": streamed(stream(1, 2)),
	} {
		w := newWorld(t, func(rw http.ResponseWriter, r *http.Request) {
			rw.Header().Set("Limit", "2.5")
			answer(rw, r)
		})
		_, _, _ = w.call(http.MethodPost, "/stream/", "")
		s, ok := w.placer.said.Of("u0", statement.Limit)
		require.True(t, ok, name)
		require.True(t, s.Named, name)
		require.InDelta(t, 2.5, float64(s.Rate), 0, name)
	}
}

// An answer without a limit is on its way while another one names it. Its request was sent before, so it does not say that the
// limit is over.
func TestAnOvertakenAnswerEndsNoLimit(t *testing.T) {
	release := make(chan struct{})
	var calls atomic.Int64
	w := newWorld(t, func(rw http.ResponseWriter, r *http.Request) {
		switch calls.Add(1) {
		case 1:
			<-release
		case 2:
			rw.Header().Set("Limit", "2.5")
		}
		whole("answer")(rw, r)
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
	s, _ := w.placer.said.Of("u0", statement.Limit)
	require.True(t, s.Named)
	require.Eventually(t, func() bool {
		_, _, _ = w.call(http.MethodPost, "/once/", "")
		s, _ = w.placer.said.Of("u0", statement.Limit)
		return !s.Named
	}, time.Second, time.Millisecond, "requests that are sent later are answered without a limit")
}
