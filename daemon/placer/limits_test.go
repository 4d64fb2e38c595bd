package placer

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"snipeshift.example/lib/clock"
	"snipeshift.example/lib/decide"
	"snipeshift.example/lib/decide/statement"
	"snipeshift.example/lib/peer"
)

// fleetSend is one request that reached an engine.
type fleetSend struct {
	upstream decide.UpstreamID
	at       time.Duration
}

// send has a request reach an engine and its answer say what the engine takes.
func (f *lossFleet) send(v *lossVM, u decide.UpstreamID) {
	now := clock.Boot{}.Now()
	f.mu.Lock()
	f.sends = append(f.sends, fleetSend{u, time.Since(f.began)})
	rate, named := f.limits[u]
	f.mu.Unlock()
	v.client.Hear("s", u, statement.Statement{Named: named, Rate: rate, At: now})
}

// name has an engine name a limit in its answers from now on.
func (f *lossFleet) name(u decide.UpstreamID, rate statement.PerSecond) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.limits == nil {
		f.limits = map[decide.UpstreamID]statement.PerSecond{}
	}
	f.limits[u] = rate
}

// got counts what an engine got in a span.
func (f *lossFleet) got(u decide.UpstreamID, from, to time.Duration) int {
	n := 0
	for _, s := range f.sends {
		if s.upstream == u && s.at >= from && s.at < to {
			n++
		}
	}
	return n
}

// An engine names a limit, and the VMs that keep to it are lost, stand still, are cut off or stop. Whoever decides next must keep to it from its
// first decision on, or the engine in need gets a burst with each change of owner.
func TestALimitOutlivesEachChangeOfOwner(t *testing.T) {
	const named, heard, end = 500 * time.Millisecond, time.Second, 5 * time.Second
	const rate, first = 5.0, "e00"
	for name, due := range map[string]func(f *lossFleet) map[time.Duration]func(){
		"calm": func(*lossFleet) map[time.Duration]func() { return map[time.Duration]func(){} },
		"lost in a row": func(f *lossFleet) map[time.Duration]func() {
			lose := func() { f.lose(f.placing()) }
			return map[time.Duration]func(){1500 * time.Millisecond: lose, 2500 * time.Millisecond: lose, 3500 * time.Millisecond: lose}
		},
		"frozen and back": func(f *lossFleet) map[time.Duration]func() {
			var owner peer.VM
			return map[time.Duration]func(){
				1500 * time.Millisecond: func() { owner = f.placing(); f.freeze(owner, true) },
				3 * time.Second:         func() { f.freeze(owner, false) },
			}
		},
		"cut off from half": func(f *lossFleet) map[time.Duration]func() {
			return map[time.Duration]func(){1500 * time.Millisecond: func() { f.cutFrom(f.placing()) }}
		},
		"stopped": func(f *lossFleet) map[time.Duration]func() {
			stop := func() { f.stopPlanned(f.placing()) }
			return map[time.Duration]func(){1500 * time.Millisecond: stop, 3 * time.Second: stop}
		},
	} {
		t.Run(name, func(t *testing.T) {
			f := newLossFleet(t)
			faults := due(f)
			faults[named] = func() { f.name(first, rate) }
			f.run(end, faults)
			require.Greater(t, f.got(first, 0, named), int(2*rate*named.Seconds()), "before it named a limit")
			span := (end - heard).Seconds()
			require.LessOrEqual(t, f.got(first, heard, end), int(rate*span)+5)
			require.GreaterOrEqual(t, f.got(first, heard, end), int(rate*span/2))
		})
	}
}
