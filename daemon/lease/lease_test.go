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

// world is the true time and the store, which a test moves by hand.
type world struct {
	now   clock.Milli
	store *platformtest.Store
}

// vm is one VM with a clock of its own.
type vm struct {
	*Leases
	world  *world
	offset clock.Milli
	// paused is set when the VM stood still since its last check.
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

func TestHolderKeepsALeaseByRenewing(t *testing.T) {
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

// The holder is frozen past its lease, another VM takes over, and the holder
// thaws in the middle of giving an order. By its own clock it must see that its
// time is over, and the engine that checks must be able to tell the two apart.
func TestFrozenHolderIsFencedOff(t *testing.T) {
	w := newWorld()
	a, b := w.start("a", 0), w.start("b", 0)
	a.tick(t)
	old := a.fence(t)
	b.tick(t)
	w.now += DefaultRules.Span + DefaultRules.Margin
	b.tick(t)
	require.False(t, b.holds(), "not before the margin has passed")
	w.now++
	b.tick(t)
	require.Greater(t, b.fence(t), old)
	require.False(t, a.holds())
	a.tick(t)
	require.False(t, a.holds())
}

// The holder's VM is suspended, and its clock stands still with it: by that
// clock the lease would still hold. The guard sees the pause by another clock.
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
	w.store.LoseAnswers(1)
	a.tick(t)
	require.False(t, a.holds())
	w.now += DefaultRules.Renew
	a.tick(t)
	old := a.fence(t)
	w.store.LoseAnswers(1)
	w.now += DefaultRules.Renew
	a.tick(t)
	require.Equal(t, old, a.fence(t))
	w.now += DefaultRules.Renew
	a.tick(t)
	require.Greater(t, a.fence(t), old)
}

// The store is out. Orders stop when the lease has run out, and go on after.
func TestOutageEndsTheLease(t *testing.T) {
	w := newWorld()
	a := w.start("a", 0)
	a.tick(t)
	w.store.Outage(true)
	w.now += DefaultRules.Span - 1
	a.tick(t)
	require.True(t, a.holds())
	w.now++
	a.tick(t)
	require.False(t, a.holds())
	w.store.Outage(false)
	a.tick(t)
	require.True(t, a.holds())
}

func TestEnginesThatIgnoreTheNumberGetNoAutomaticOrder(t *testing.T) {
	require.False(t, Allowed(false))
	require.True(t, Allowed(true))
}

// VMs freeze, their clocks differ, and the store loses answers, delays writes,
// shows old states and goes out. In no order of these may two VMs believe at
// one instant that they may give orders, nor a later holder have a lower number.
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
				w.store.LoseAnswers(rapid.IntRange(0, 3).Draw(rt, "lost answers"))
			case 8:
				w.store.DelayWrites(rapid.IntRange(0, 3).Draw(rt, "delayed"))
			case 9:
				w.store.Stale(rapid.Bool().Draw(rt, "stale"))
			case 10:
				w.store.Deliver()
			}
			held := 0
			for i, v := range vms {
				f, _, ok := v.Fence(engine)
				if !ok {
					continue
				}
				held++
				require.True(rt, f >= last || lastBy == i, "fence %d of %d after %d of %d", f, i, last, lastBy)
				last, lastBy = max(last, f), i
			}
			require.LessOrEqual(rt, held, 1)
		}
	})
}
