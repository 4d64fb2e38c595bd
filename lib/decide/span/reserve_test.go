package span

import (
	"fmt"
	"maps"
	"slices"
	"testing"

	"github.com/stretchr/testify/require"

	"snipeshift.example/lib/clock"
	"snipeshift.example/lib/decide"
	"snipeshift.example/lib/route"
)

// tokens returns what the workspace heavy was granted by this pool, and what all were.
func (f *loadPlay) tokens() (heavy, all float64) {
	for _, u := range f.Shares() {
		if all += u.Tokens; u.Workspace == "heavy" {
			heavy = u.Tokens
		}
	}
	return heavy, all
}

// Two owners on the sides of a partition do not know of each other. One workspace exceeds its share on both and is alone on
// one, so it gets more than double its share of what both grant. If requests were served without regard to the account
// after the partition, it would keep that; if it were charged for the time apart without bound, it would get nothing.
func TestShareIsNotDoubledAfterPartition(t *testing.T) {
	here, there := newLoadPlayOn(t, 8, true), newLoadPlayOn(t, 0, true)
	there.asked = 1_000_000
	var us []route.Upstream
	for i := range 16 {
		id := decide.UpstreamID(fmt.Sprintf("e%02d", i))
		us = append(us, route.Upstream{ID: id, Service: "s", Address: string(id), Slots: engine.Slots})
	}
	service := &route.Service{ID: "s", Engine: &engine}
	there.SetUpstreams(now, service, us[8:])
	heavy := load{workspace: "heavy", interval: 17}
	nine := nineInShare()
	for i := range nine {
		nine[i].interval = 70 // 1.2 of their shares of both sides
	}
	end := now + 20*clock.Second
	there.play(10*clock.Second, heavy)
	here.later(now+10*clock.Second, func() {
		heavyHere, allHere := here.tokens()
		heavyThere, allThere := there.tokens()
		require.Greater(t, heavyHere+heavyThere, 0.2*(allHere+allThere))
		here.SetUpstreams(here.at, service, us)
		var live []LiveGrant
		for _, p := range []*Pool{here.Pool, there.Pool} {
			for _, g := range p.grants {
				live = append(live, g.LiveGrant)
			}
		}
		here.Present(here.at, "g", live)
		for _, id := range slices.Sorted(maps.Keys(there.grants)) {
			at := here.at + here.answerTime()
			here.later(at, func() { here.End(at, id, Done, "") })
		}
	})
	var heavyBefore, allBefore float64
	here.later(now+11*clock.Second, func() { heavyBefore, allBefore = here.tokens() })
	here.play(end-now, append(nine, heavy)...)
	heavyAfter, allAfter := here.tokens()
	ratio := (heavyAfter - heavyBefore) / (allAfter - allBefore)
	t.Logf("share of the workspace from 1 s after the partition: %.3f", ratio)
	require.Less(t, ratio, 0.2)
	require.Greater(t, ratio, 0.05)
}

// The owner changes as planned while a workspace beyond its share has all engines nearly full. A successor that ignored the
// account would give that workspace the slots that are reserved for the others.
func TestSuccessorKeepsReserve(t *testing.T) {
	f := newLoadPlay(t, true)
	f.play(20*clock.Second, append(nineInShare(), load{workspace: "heavy", interval: 17})...)
	s := f.Snapshot(f.at)
	for _, handedOver := range []bool{true, false} {
		if !handedOver {
			s.Shares = nil
		}
		after := newLoadPlay(t, true)
		after.asked = 1_000_000
		after.Restore(f.at, s)
		ended := map[decide.UpstreamID]bool{}
		for _, id := range slices.Sorted(maps.Keys(after.grants)) {
			if u := after.grants[id].Grant.Leader.Upstream; len(ended) < 2 && !ended[u] {
				ended[u] = true
				after.End(f.at, id, Done, "")
			}
		}
		after.at = f.at
		for range 20 {
			after.send(load{workspace: "heavy"})
		}
		after.Tick(f.at)
		require.Equal(t, handedOver, after.ReservedSlots() > 0)
		after.send(load{workspace: "w0"})
		last := decide.RequestID(fmt.Sprintf("note%d", after.asked))
		after.Tick(f.at + 10)
		require.Equal(t, handedOver, after.grants[last] != nil)
	}
}
