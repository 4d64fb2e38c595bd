package lease

import (
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"snipeshift.example/lib/clock"
	"snipeshift.example/lib/peer"
	"snipeshift.example/lib/platform"
	"snipeshift.example/lib/platform/platformtest"
)

const engine platform.Name = "engine-1"

// world is the true time and the store, both controlled by the test.
type world struct {
	now   clock.Milli
	store *platformtest.Store
}

// vm is one VM with its own clock.
type vm struct {
	*Leases
	world  *world
	offset clock.Milli
	// paused is set if the VM has been paused since its last check.
	paused bool
}

func (v *vm) Now() clock.Milli { return v.world.now + v.offset }

func (v *vm) Check() bool {
	if !v.paused {
		return false
	}
	v.paused = false
	v.Drop()
	return true
}

func newWorld() *world { return &world{now: 1000, store: platformtest.New()} }

func (w *world) start(name peer.VM, offset clock.Milli) *vm {
	v := &vm{world: w, offset: offset}
	v.Leases = New(w.store, v, DefaultRules, v, peer.Member{VM: name, Incarnation: 1})
	v.SetWanted(engine)
	return v
}

func (v *vm) tick(t *testing.T) { v.Tick(t.Context()) }

func (v *vm) fence(t *testing.T) Fence {
	f, left, ok := v.Fence(engine)
	require.True(t, ok)
	require.Positive(t, left)
	return f
}

func (v *vm) holds() bool { _, _, ok := v.Fence(engine); return ok }

func TestHolderRenewsLease(t *testing.T) {
	w := newWorld()
	a, b := w.start("a", 0), w.start("b", 99999)
	last := Fence(0)
	for range 10 {
		a.tick(t)
		b.tick(t)
		require.Greater(t, a.fence(t), last)
		last = a.fence(t)
		require.False(t, b.holds())
		w.now += DefaultRules.Renew
	}
	a.SetWanted()
	require.False(t, a.holds())
}

// The holder is frozen beyond the end of its lease, another VM acquires the lease, and the holder
// resumes while sending an order. Its own clock must show that its lease has expired, and the
// fencing numbers must tell the two holders apart.
func TestFrozenHolderIsFencedOff(t *testing.T) {
	w := newWorld()
	a, b := w.start("a", 0), w.start("b", 0)
	a.tick(t)
	old := a.fence(t)
	b.tick(t)
	w.now += DefaultRules.Span + DefaultRules.Margin
	b.tick(t)
	require.False(t, b.holds(), "a rival must wait until the margin has passed")
	w.now++
	b.tick(t)
	require.Greater(t, b.fence(t), old)
	require.False(t, a.holds())
	a.tick(t)
	require.False(t, a.holds())
}

// The holder's VM is suspended, and its clock stops with it: by that clock the lease is still
// valid. The pause detector notices the pause by another clock.
func TestSuspendedHolderDropsItsLeases(t *testing.T) {
	w := newWorld()
	a, b := w.start("a", 0), w.start("b", 0)
	a.tick(t)
	b.tick(t)
	w.now += clock.Minute
	a.offset -= clock.Minute
	b.tick(t)
	require.True(t, b.holds())
	a.paused = true
	require.False(t, a.holds())
}

func TestLostAnswerKeepsTheLease(t *testing.T) {
	w := newWorld()
	a := w.start("a", 0)
	w.store.LoseResponses(1)
	a.tick(t)
	require.False(t, a.holds())
	w.now += DefaultRules.Renew
	a.tick(t)
	old := a.fence(t)
	w.store.LoseResponses(1)
	w.now += DefaultRules.Renew
	a.tick(t)
	require.Equal(t, old, a.fence(t))
	w.now += DefaultRules.Renew
	a.tick(t)
	require.Greater(t, a.fence(t), old)
}

// The store is unavailable. Orders stop when the lease expires, and continue when the store is
// back.
func TestOutageEndsTheLease(t *testing.T) {
	w := newWorld()
	a := w.start("a", 0)
	a.tick(t)
	w.store.SetOutage(true)
	w.now += DefaultRules.Span - 1
	a.tick(t)
	require.True(t, a.holds())
	w.now++
	a.tick(t)
	require.False(t, a.holds())
	w.store.SetOutage(false)
	a.tick(t)
	require.True(t, a.holds())
}

func TestEngineWithoutFencingGetsNoAutomaticOrder(t *testing.T) {
	require.False(t, Allowed(false))
	require.True(t, Allowed(true))
}

// VMs freeze, their clocks differ, and the store loses answers, delays writes, returns stale states
// and becomes unavailable. No order of these events may let two VMs consider themselves holder at
// the same instant, or give a later holder a lower number.
func TestOneHolderInAnySchedule(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		w := newWorld()
		vms := []*vm{w.start("a", 0), w.start("b", 77777), w.start("c", -500)}
		var last Fence
		lastBy := -1
		for range rapid.IntRange(1, 80).Draw(rt, "steps") {
			switch rapid.IntRange(0, 10).Draw(rt, "event") {
			case 0, 1, 2:
				w.now += clock.Milli(rapid.IntRange(0, 5000).Draw(rt, "time"))
			case 3, 4, 5:
				rapid.SampledFrom(vms).Draw(rt, "tick").Tick(t.Context())
			case 6:
				rapid.SampledFrom(vms).Draw(rt, "pause").paused = true
			case 7:
				w.store.LoseResponses(rapid.IntRange(0, 3).Draw(rt, "lost answers"))
			case 8:
				w.store.DelayWrites(rapid.IntRange(0, 3).Draw(rt, "delayed"))
			case 9:
				w.store.SetStale(rapid.Bool().Draw(rt, "stale"))
			case 10:
				w.store.DeliverDelayed()
			}
			held := 0
			for i, v := range vms {
				f, _, ok := v.Fence(engine)
				if !ok {
					continue
				}
				held++
				require.True(rt, f >= last || lastBy == i, "fence %d of VM %d after fence %d of VM %d", f, i, last, lastBy)
				last, lastBy = max(last, f), i
			}
			require.LessOrEqual(rt, held, 1)
		}
	})
}
