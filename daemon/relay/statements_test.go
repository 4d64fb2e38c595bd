package relay

import (
	"fmt"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/phuslu/log"
	"github.com/stretchr/testify/require"

	"snipeshift.example/lib/decide/span"
	"snipeshift.example/lib/decide/statement"
	"snipeshift.example/lib/exchange"
)

// An upstream declares in a response of any kind that it is leaving, and the owner, which has not
// received this statement yet, grants the upstream again.
func TestNothingIsSentAfterLeavingStatement(t *testing.T) {
	for name, answer := range map[string]http.HandlerFunc{
		"whole":       respond("answer"),
		"turned away": rejectWithBackOff,
		"failed": func(w http.ResponseWriter, r *http.Request) {
			w.Header().Set("Id", r.Header.Get("Id"))
			w.Header().Set("Mark", "m")
			w.WriteHeader(http.StatusInternalServerError)
		},
		"stream": respondStream(eventText(1, 2)),
	} {
		t.Run(name, func(t *testing.T) {
			var first, second atomic.Int64
			w := newFixture(t, counting(&first, declareLeaving(answer)), counting(&second, respondStream(eventText(1, 2))))
			_, _, _ = w.call(http.MethodPost, "/stream/", "")
			for range 3 {
				resp, _, err := w.call(http.MethodPost, "/stream/", "")
				require.NoError(t, err)
				require.Equal(t, http.StatusOK, resp.StatusCode)
			}
			require.EqualValues(t, 1, first.Load())
			require.GreaterOrEqual(t, second.Load(), int64(3))
		})
	}
}

// An upstream rejects a request and asks for a back-off. The owner, which has not received this
// statement yet, grants the upstream again.
func TestNothingIsSentDuringBackOff(t *testing.T) {
	var first, second atomic.Int64
	w := newFixture(t, counting(&first, rejectWithBackOff), counting(&second, respond("answer")))
	for range 4 {
		resp, _, err := w.call(http.MethodPost, "/once/", "")
		require.NoError(t, err)
		require.Equal(t, http.StatusOK, resp.StatusCode)
	}
	require.EqualValues(t, 1, first.Load())
	require.EqualValues(t, 4, second.Load())
}

// A send that was withheld must not use up the retry budget, and must not cause its upstream to be
// excluded.
func TestWithheldSendIsNotCountedAsRetry(t *testing.T) {
	w := newFixture(t, rejectWithBackOff, respond("answer"))
	var ends []bool
	w.deps.Suspects = testSuspects{whole: &ends}
	w.start()
	_, _, _ = w.call(http.MethodPost, "/once/", "")
	w.placer.outcomes, w.placer.again, w.placer.counted, ends = nil, nil, nil, nil
	_, _, _ = w.call(http.MethodPost, "/once/", "")
	require.Equal(t, []span.Outcome{span.Left, span.Done}, w.placer.outcomes)
	require.Equal(t, []bool{false, false}, w.placer.again)
	require.Equal(t, []bool{false, true}, w.placer.counted, "counted as a further first send, it would increase the retry budget")
	require.Equal(t, []bool{false, true}, ends, "a suspect that was not sent must not be cleared")
}

// This VM has learned from the store that an upstream is leaving; the owner has not. If each grant
// for that upstream used up a part of the retry budget, requests that need a retry would be
// refused.
func TestGrantOfLeavingUpstreamIsNotCountedAsRetry(t *testing.T) {
	w := newFixture(t, respond("answer"), respond("answer"))
	w.markLeaving("u0")
	resp, _, err := w.call(http.MethodPost, "/once/", "")
	require.NoError(t, err)
	require.Equal(t, http.StatusOK, resp.StatusCode)
	require.Equal(t, []bool{false, false}, w.placer.again)
	require.Equal(t, []bool{false, true}, w.placer.counted)
}

// While memory is being reserved, the response to another request declares that the upstream is
// leaving.
func TestStatementsAreCheckedAfterReservation(t *testing.T) {
	var sent atomic.Int64
	w := newFixture(t, counting(&sent, respondStream(eventText(1, 2))))
	m := &testMemory{during: func() {
		w.gate.reportStatements("s", span.Placement{Upstream: "u0"}, &exchange.Declared{Leaving: true})
	}}
	w.addHelper(m)
	resp, _, err := w.call(http.MethodPost, "/stream/", "")
	require.NoError(t, err)
	require.Equal(t, http.StatusServiceUnavailable, resp.StatusCode)
	require.Zero(t, sent.Load())
	require.Eventually(t, func() bool { _, released := m.counts(); return released == 1 }, time.Second, 5*time.Millisecond, "the reserved memory must be released")
}

// A helper asks for a back-off in its response to a reservation. A second reservation would reach it
// within the back-off.
func TestBackOffInResponseToReservation(t *testing.T) {
	w := newFixture(t, respondStream(eventText(1, 2)))
	m := &testMemory{full: true, declared: exchange.Declared{BackOff: 3000}}
	w.addHelper(m)
	for range 2 {
		_, _, _ = w.call(http.MethodPost, "/stream/", "")
	}
	reserved, _ := m.counts()
	require.Equal(t, 1, reserved)
	s, ok := w.placer.statements.Of("h", statement.BackOff)
	require.True(t, ok)
	require.EqualValues(t, w.gate.id, s.Gate)
}

// Upstreams begin to send a header field that the codec does not recognize. Each response contains
// the field, and the log must not grow with each response.
func TestUnrecognizedFieldIsLoggedOnce(t *testing.T) {
	var lines strings.Builder
	w := newFixture(t, respond("answer"))
	w.deps.Log = &log.Logger{Writer: &log.IOWriter{Writer: &lines}}
	w.start()
	for i := range 3 * maxNames {
		for range 3 {
			w.gate.reportStatements("s", span.Placement{Upstream: "u0"}, &exchange.Declared{Unknown: []string{fmt.Sprint("Field", i)}})
		}
	}
	require.Equal(t, maxNames, strings.Count(lines.String(), `"unknown"`))
	require.Equal(t, maxNames, w.gate.unknown.count())
}

// An upstream sends statements that cannot be parsed: the same one in each response, a different
// one each time, and very long ones. The log must stay bounded.
func TestUnparsableStatementIsLoggedOnce(t *testing.T) {
	var lines strings.Builder
	w := newFixture(t, respond("answer"))
	w.deps.Log = &log.Logger{Writer: &log.IOWriter{Writer: &lines}}
	w.start()
	long := strings.Repeat("9", 1<<16)
	for i := range 3 * maxNames {
		for range 3 {
			w.gate.reportStatements("s", span.Placement{Upstream: "u0"}, &exchange.Declared{Unreadable: []string{fmt.Sprint("Rest: ", i, long)}, Limit: exchange.Limit{Unreadable: "soon"}})
		}
	}
	require.Equal(t, maxNames, strings.Count(lines.String(), `"unreadable"`))
	require.Equal(t, maxNames, w.gate.unreadable.count())
	require.Less(t, lines.Len(), 4*maxNames*maxNameBytes)
}
