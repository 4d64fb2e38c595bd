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

// An upstream says in any answer that it leaves, and the owner, who has not heard of it, grants there again.
func TestNothingIsSentToWhoSaidThatItLeaves(t *testing.T) {
	for name, answer := range map[string]http.HandlerFunc{
		"whole":       whole("answer"),
		"turned away": sheds,
		"failed": func(w http.ResponseWriter, r *http.Request) {
			w.Header().Set("Id", r.Header.Get("Id"))
			w.Header().Set("Mark", "m")
			w.WriteHeader(http.StatusInternalServerError)
		},
		"stream": streamed(stream(1, 2)),
	} {
		t.Run(name, func(t *testing.T) {
			var first, second atomic.Int64
			w := newWorld(t, counted(&first, leaving(answer)), counted(&second, streamed(stream(1, 2))))
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

// An upstream turns a request away and asks for rest. The owner, who has not heard of it, grants there again.
func TestNothingIsSentToWhoWantsRest(t *testing.T) {
	var first, second atomic.Int64
	w := newWorld(t, counted(&first, sheds), counted(&second, whole("answer")))
	for range 4 {
		resp, _, err := w.call(http.MethodPost, "/once/", "")
		require.NoError(t, err)
		require.Equal(t, http.StatusOK, resp.StatusCode)
	}
	require.EqualValues(t, 1, first.Load())
	require.EqualValues(t, 4, second.Load())
}

// A send that never happened is no use of the budget of repeats, and no reason to shut its upstream out.
func TestASendThatIsWithheldIsNoRepeat(t *testing.T) {
	w := newWorld(t, sheds, whole("answer"))
	var ends []bool
	w.needs.Suspects = noSuspects{whole: &ends}
	w.start()
	_, _, _ = w.call(http.MethodPost, "/once/", "")
	w.placer.outcomes, w.placer.again, w.placer.counted, ends = nil, nil, nil, nil
	_, _, _ = w.call(http.MethodPost, "/once/", "")
	require.Equal(t, []span.Outcome{span.Left, span.Done}, w.placer.outcomes)
	require.Equal(t, []bool{false, false}, w.placer.again)
	require.Equal(t, []bool{false, true}, w.placer.counted, "and no further first send, which would let more be repeated")
	require.Equal(t, []bool{false, true}, ends, "a suspect that was not sent is not cleared")
}

// The store has told this VM that an upstream leaves, and not yet the owner. Each request that is granted there would use up a repeat, and
// those that need one are refused.
func TestAGrantThatIsOutOfDateIsNoRepeat(t *testing.T) {
	w := newWorld(t, whole("answer"), whole("answer"))
	w.leave("u0")
	resp, _, err := w.call(http.MethodPost, "/once/", "")
	require.NoError(t, err)
	require.Equal(t, http.StatusOK, resp.StatusCode)
	require.Equal(t, []bool{false, false}, w.placer.again)
	require.Equal(t, []bool{false, true}, w.placer.counted)
}

// While memory is being reserved the answer to another request says that the upstream leaves.
func TestTheLastCheckComesAfterTheReservation(t *testing.T) {
	var sent atomic.Int64
	w := newWorld(t, counted(&sent, streamed(stream(1, 2))))
	m := &memory{during: func() {
		w.gate.hear("s", span.Placement{Upstream: "u0"}, &exchange.Declared{Leaving: true})
	}}
	w.giant(m)
	resp, _, err := w.call(http.MethodPost, "/stream/", "")
	require.NoError(t, err)
	require.Equal(t, http.StatusServiceUnavailable, resp.StatusCode)
	require.Zero(t, sent.Load())
	require.Eventually(t, func() bool { _, released := m.counts(); return released == 1 }, time.Second, 5*time.Millisecond, "what was reserved is freed")
}

// An engine that helps says in the answer to an order that it wants rest. Another order would reach it within that.
func TestAnOrdersAnswerAsksForRest(t *testing.T) {
	w := newWorld(t, streamed(stream(1, 2)))
	m := &memory{full: true, said: exchange.Declared{BackOff: 3000}}
	w.giant(m)
	for range 2 {
		_, _, _ = w.call(http.MethodPost, "/stream/", "")
	}
	reserved, _ := m.counts()
	require.Equal(t, 1, reserved)
	s, ok := w.placer.said.Of("h", statement.BackOff)
	require.True(t, ok)
	require.EqualValues(t, w.gate.id, s.Gate)
}

// Upstreams begin to say something of themselves that nobody reads. Each answer has it, and the log must not grow with them.
func TestAFieldThatNobodyReadsIsLoggedOnce(t *testing.T) {
	var lines strings.Builder
	w := newWorld(t, whole("answer"))
	w.needs.Log = &log.Logger{Writer: &log.IOWriter{Writer: &lines}}
	w.start()
	for i := range 3 * knownNames {
		for range 3 {
			w.gate.hear("s", span.Placement{Upstream: "u0"}, &exchange.Declared{Unknown: []string{fmt.Sprint("Field", i)}})
		}
	}
	require.Equal(t, knownNames, strings.Count(lines.String(), `"unknown"`))
	require.Equal(t, knownNames, w.gate.unknown.count())
}

// An upstream says something that cannot be read in each of its answers, or something else each time, or something endless.
func TestWhatCannotBeReadIsLoggedOnce(t *testing.T) {
	var lines strings.Builder
	w := newWorld(t, whole("answer"))
	w.needs.Log = &log.Logger{Writer: &log.IOWriter{Writer: &lines}}
	w.start()
	long := strings.Repeat("9", 1<<16)
	for i := range 3 * knownNames {
		for range 3 {
			w.gate.hear("s", span.Placement{Upstream: "u0"}, &exchange.Declared{Unreadable: []string{fmt.Sprint("Rest: ", i, long)}, Limit: exchange.Limit{Unreadable: "soon"}})
		}
	}
	require.Equal(t, knownNames, strings.Count(lines.String(), `"unreadable"`))
	require.Equal(t, knownNames, w.gate.unreadable.count())
	require.Less(t, lines.Len(), 4*knownNames*knownBytes)
}
