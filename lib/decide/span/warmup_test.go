package span

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"snipeshift.example/lib/clock"
	"snipeshift.example/lib/decide"
	"snipeshift.example/lib/decide/gate"
	"snipeshift.example/lib/route"
)

// coldService is a plain service whose upstreams take 20 requests a second while they are cold.
var coldService = route.Service{ID: "s", WarmUp: 3 * clock.Second, ColdRate: 20}

// newColdPool returns a pool of one upstream that runs six requests at a time.
func newColdPool(share float64, u route.Upstream) *Pool {
	p := New(DefaultRules, gate.NewBudget(0.2, 10, 10*clock.Second))
	p.SetLimitShare(now, share)
	u.ID, u.Slots = "a", 6
	p.SetUpstreams(now, &coldService, []route.Upstream{u})
	return p
}

// overload sends requests of ten milliseconds for as long as the pool grants them, and returns when each
// was granted.
func overload(p *Pool, from, to clock.Milli) []clock.Milli {
	var granted []clock.Milli
	ends := map[clock.Milli][]decide.RequestID{}
	for at, n := from, 0; at < to; at++ {
		for _, id := range ends[at] {
			p.End(at, id, Done, "")
		}
		for p.Counts().Queued < 20 {
			n++
			_, _ = p.Ask(at, Ask{ID: decide.RequestID(fmt.Sprint(from, "-", n)), Gate: "g", Aim: at + 300, Deadline: at + 1000})
		}
		for _, d := range p.Tick(at) {
			if d.Action == Granted {
				granted = append(granted, at)
				ends[at+10] = append(ends[at+10], d.Request)
			}
		}
	}
	return granted
}

// mostInSecond returns the largest number of grants within any second.
func mostInSecond(granted []clock.Milli) int {
	most, first := 0, 0
	for i, at := range granted {
		for at-granted[first] >= clock.Second {
			first++
		}
		most = max(most, i-first+1)
	}
	return most
}

// maxPerSecond is what a cold upstream of coldService takes in any second: half more than its rate, and five.
const maxPerSecond = 1.5*20 + 5

// An upstream has just started, and all that waits goes to it at once, since it is empty. It crashes.
func TestColdUpstreamIsNotFlooded(t *testing.T) {
	p := newColdPool(0, route.Upstream{Cold: 2 * clock.Second})
	granted := overload(p, now, now+2*clock.Second)
	require.LessOrEqual(t, mostInSecond(granted), int(maxPerSecond))
	require.Greater(t, len(granted), 30, "it is used all the same")
	require.Greater(t, mostInSecond(overload(p, now+6*clock.Second, now+11*clock.Second)), 200, "it is warm")
}

// Two owners on both sides of a partition each know of the same cold upstream. It counts the requests
// of both.
func TestOwnersOnTwoSidesShareColdUpstream(t *testing.T) {
	a := overload(newColdPool(0.5, route.Upstream{Cold: 2 * clock.Second}), now, now+2*clock.Second)
	require.LessOrEqual(t, 2*mostInSecond(a), int(maxPerSecond))
}

// An upstream crashes and restarts under its ID, or its failure domain is evacuated and taken back. It
// is cold, and its entry does not show that yet.
func TestUpstreamThatReturnsCountsAsCold(t *testing.T) {
	for name, before := range map[string]route.Upstream{"restarted": {Born: 5}, "evacuated": {Born: 6, Leaving: true}} {
		t.Run(name, func(t *testing.T) {
			p := newColdPool(0, before)
			p.SetUpstreams(now, &coldService, []route.Upstream{{ID: "a", Slots: 6, Born: 6}})
			require.LessOrEqual(t, mostInSecond(overload(p, now, now+2*clock.Second)), int(maxPerSecond))
		})
	}
}

// A service changes its owner while an upstream is cold. The next owner must not flood it.
func TestNextOwnerKnowsColdUpstreams(t *testing.T) {
	p := newColdPool(0, route.Upstream{Cold: 2 * clock.Second})
	next := newColdPool(0, route.Upstream{})
	next.Restore(now+100, p.Snapshot(now+100))
	require.LessOrEqual(t, mostInSecond(overload(next, now+100, now+2*clock.Second)), int(maxPerSecond))
}

// Short requests are packed on the first engines, and the first one has just started. While the others
// have room, it must not be sent requests that it serves late.
func TestColdEngineIsUsedAfterOthers(t *testing.T) {
	b := newTestPool(t, 0)
	s := route.Service{ID: "s", Engine: &engine, WarmUp: 3 * clock.Second, ColdRate: 20}
	b.SetUpstreams(now, &s, []route.Upstream{{ID: "e00", Slots: engine.Slots, Cold: 2 * clock.Second}, {ID: "e01", Slots: engine.Slots}})
	require.EqualValues(t, "e01", b.mustStream(b.shortAsk(now)).Leader.Upstream)
}
