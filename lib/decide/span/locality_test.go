package span

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/require"

	"snipeshift.example/lib/clock"
	"snipeshift.example/lib/decide"
	"snipeshift.example/lib/route"
)

var domains = []route.Domain{"a", "b", "c"}

// domainPlay plays requests of three domains, each with the same number of engines.
type domainPlay struct {
	*flood
	random *rand.Rand
	asked  int
}

// upstreamsIn lists engines, or plain upstreams, in each of the given domains. Their IDs do not
// follow the domains, so a fixed order alone does not prefer one.
func upstreamsIn(each, slots int, ds ...route.Domain) []route.Upstream {
	var us []route.Upstream
	for i := range each {
		for k, d := range ds {
			id := decide.UpstreamID(fmt.Sprintf("e%02d", i*len(ds)+k))
			us = append(us, route.Upstream{ID: id, Service: "s", Address: string(id), Slots: slots, Domain: d})
		}
	}
	return us
}

var engineService = route.Service{ID: "s", Engine: &engine}

func newDomainPlay(t *testing.T, each int, on bool) *domainPlay {
	t.Helper()
	f := &domainPlay{flood: newFlood(t, 0), random: rand.New(rand.NewPCG(3, 4))}
	f.SetLocality(on)
	f.SetUpstreams(now, &engineService, upstreamsIn(each, engine.Slots, domains...))
	f.scanEvery = 5
	f.answerTime = func() clock.Milli { return clock.Milli(1000 + f.random.IntN(2000)) }
	return f
}

// play sends requests of each domain, one each interval on average, one in 40 of them long.
func (f *domainPlay) play(length clock.Milli, intervals ...float64) {
	start := f.at
	for k, interval := range intervals {
		for at := float64(start); at < float64(start+length); at += 2 * interval * f.random.Float64() {
			f.later(clock.Milli(at), func() {
				a := f.shortAsk(f.at)
				if f.random.IntN(40) == 0 {
					a = f.longAsk(f.at, 60_000)
				}
				a.Domain = domains[k]
				f.asked++
				f.Ask(f.at, a)
			})
		}
	}
	f.advance(length)
}

// ratios returns the share of requests in time, and that of grants in the home domain.
func (f *domainPlay) ratios() (inTime, home float64) {
	n := 0
	for _, ok := range f.inTime {
		if ok {
			n++
		}
	}
	c, _ := f.LocalityCounts()
	return float64(n) / float64(f.asked), float64(c.Home) / float64(max(c.Home+c.Away, 1))
}

// Three domains have 0.5, 1 and 1.5 times the demand that their engines serve in time. Guards against
// queues in the busy domain beside idle engines elsewhere, and against needless bytes between
// domains. At 1.1 times that load a quarter of the requests is late with any placement, and only that
// not more are late is required.
func TestPlacementStaysHomeWhileThatCostsNoTime(t *testing.T) {
	const each, capacity = 6, 150.0 // milliseconds of one engine per request, for 99 in 100 in time
	for _, load := range []float64{0.5, 0.9, 1, 1.1} {
		unit := capacity / each / load
		var inTime [2]float64
		var home float64
		for i, on := range []bool{false, true} {
			f := newDomainPlay(t, each, on)
			f.play(60_000, 2*unit, unit, unit/1.5)
			inTime[i], home = f.ratios()
		}
		t.Logf("load %.1f: in time %.3f without, %.3f with, %.3f home", load, inTime[0], inTime[1], home)
		require.GreaterOrEqual(t, inTime[1], inTime[0]-0.01)
		if load <= 1 {
			require.GreaterOrEqual(t, home, 2.0/3)
		}
	}
}

// Guards against short requests of several domains that take the engines which long prompts need.
func TestEachDomainOccupiesAtMostOneMoreEngine(t *testing.T) {
	for _, streams := range []int{1, 11, 30, 50, 120} {
		f := newDomainPlay(t, 5, true)
		used := map[decide.UpstreamID]bool{}
		for i := range streams {
			a := f.shortAsk(now)
			a.Domain = domains[i*i%7%3]
			used[f.mustStream(a).Leader.Upstream] = true
		}
		packed := DefaultRules.PackedStreams
		require.LessOrEqual(t, len(used), (streams+packed-1)/packed+len(domains)-1, "%d streams", streams)
	}
}

// The engines of a domain are lost, and come back cold. Guards against requests of that domain that
// wait for it, or that meet cold engines while others have room.
func TestDomainIsLostAndReturnsCold(t *testing.T) {
	f := newDomainPlay(t, 4, true)
	service := engineService
	service.WarmUp, service.ColdRate = 5000, 1
	f.SetUpstreams(f.at, &service, upstreamsIn(4, engine.Slots, domains...))
	place := func() route.Domain {
		a := f.shortAsk(f.at)
		a.Domain = "b"
		g := f.mustGrant(f.at, a)
		f.Withdraw(f.at, a.ID)
		return f.upstreams[g.Leader.Upstream].Domain
	}
	require.Equal(t, route.Domain("b"), place())
	f.SetUpstreams(f.at, &service, upstreamsIn(4, engine.Slots, "a", "c"))
	require.NotEqual(t, route.Domain("b"), place())
	back := upstreamsIn(4, engine.Slots, domains...)
	for i := range back {
		if back[i].Domain == "b" {
			back[i].Cold = 5000
		}
	}
	f.SetUpstreams(f.at, &service, back)
	require.NotEqual(t, route.Domain("b"), place(), "cold")
	f.at += 5000
	require.Equal(t, route.Domain("b"), place(), "warm")
}

// A long prompt uses engines of another domain only if its own has too few for its aim.
func TestLongPromptIsSpreadInItsDomain(t *testing.T) {
	f := newDomainPlay(t, 8, true)
	for prompt, home := range map[decide.Tokens]bool{60_000: true, 150_000: true, 600_000: false} {
		a := f.longAsk(now, prompt)
		a.Domain = "b"
		g := f.mustGrant(now, a)
		away := 0
		for _, x := range append(g.Helpers, g.Leader) {
			if f.upstreams[x.Upstream].Domain != a.Domain {
				away++
			}
		}
		require.Equal(t, home, away == 0, prompt)
		f.Withdraw(now, a.ID)
	}
	c, _ := f.LocalityCounts()
	require.Equal(t, [2]uint64{2, 1}, [2]uint64{c.Home, c.Away})
}

// A plain request leaves its domain for an upstream that is less loaded by a quarter of the slots, or if
// no slot is free at home. Guards against one domain's queue beside idle upstreams elsewhere.
func TestPlainRequestLeavesLoadedDomain(t *testing.T) {
	for _, x := range []struct {
		home, away int
		want       route.Domain
	}{{0, 0, "a"}, {1, 0, "a"}, {2, 0, "b"}, {7, 6, "a"}, {8, 7, "b"}, {8, 8, ""}} {
		b := newTestPool(t, 0)
		b.SetLocality(true)
		b.SetUpstreams(now, &route.Service{ID: "s"}, upstreamsIn(1, 8, "a", "b"))
		b.upstreams["e00"].external, b.upstreams["e01"].external = x.home, x.away
		a := Ask{ID: "x", Gate: "g", Aim: now + 300, Deadline: now + 5000, Domain: "a"}
		d, placed := b.ask(now, a)
		require.Equal(t, x.want != "", placed)
		if placed {
			require.Equal(t, x.want, b.upstreams[d.Grant.Leader.Upstream].Domain, "%+v", x)
		}
	}
}

// A pool without the setting ignores the domains of queries, and a pool with it decides as before on
// queries without one.
func TestLocalityAbsentChangesNothing(t *testing.T) {
	for _, s := range []*route.Service{&engineService, {ID: "s"}} {
		plays := []*domainPlay{newDomainPlay(t, 3, false), newDomainPlay(t, 3, false), newDomainPlay(t, 3, true)}
		for _, f := range plays {
			f.SetUpstreams(now, s, upstreamsIn(3, engine.Slots, domains...))
		}
		for at := now; at < now+20_000; at += 20 {
			var decisions [3][]Decision
			for i, f := range plays {
				f.advance(at - f.at)
				a := f.shortAsk(at)
				if f.random.IntN(20) == 0 {
					a = f.longAsk(at, 150_000)
				}
				if s.Engine == nil {
					a.Prompt, a.Output = 0, 0
				}
				if i == 1 {
					a.Domain = domains[at/20%3]
				}
				f.Ask(at, a)
				decisions[i] = f.Tick(at)
				for _, d := range decisions[i] {
					if d.Action == Granted {
						f.serveGrant(d.Grant)
					}
				}
			}
			require.Equal(t, decisions[0], decisions[1])
			require.Equal(t, decisions[0], decisions[2])
		}
		require.NotEmpty(t, plays[0].inTime)
	}
}
