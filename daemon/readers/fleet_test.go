package readers

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/phuslu/log"
	"github.com/stretchr/testify/require"

	"snipeshift.example/daemon/registry"
	"snipeshift.example/lib/clock"
	"snipeshift.example/lib/peer"
	"snipeshift.example/platform"
	"snipeshift.example/platform/standin"
)

// Times of a fleet's drill.
const (
	beatEvery = 400 * time.Millisecond
	// knownSoon is when 95 of 100 VMs are to know news after the store is back, knownAll when all are.
	knownSoon = time.Second
	knownAll  = 2500 * time.Millisecond
)

// drilled is a fleet of registries on a stand-in of the platform.
type drilled struct {
	members    []peer.Member
	registries map[string]*registry.Registry
	stores     []*platform.Store
}

// Call implements registry.Peers.
func (f *drilled) Call(_ context.Context, address, _ string, args, reply any) error {
	return registry.NewReceiver(f.registries[address]).Tell(args.(*peer.RegistryWord), reply.(*peer.RegistryReply))
}

func newDrilled(ctx context.Context, t *testing.T, p *standin.Platform, vms int) *drilled {
	t.Helper()
	f := &drilled{registries: map[string]*registry.Registry{}}
	for i := range vms {
		name := fmt.Sprintf("vm-%03d", i)
		m := peer.Member{VM: peer.VM(name), Address: name, Incarnation: 1, Cores: 192, Link: 20}
		if i%12 == 0 {
			m.Cores, m.Link = 800, 200
		}
		f.members = append(f.members, m)
	}
	for _, m := range f.members {
		s := platform.NewStore(p.Address())
		r := registry.New(s, f, clock.Boot{}, &log.Logger{Level: log.FatalLevel})
		rs := New(m.VM, false)
		r.SetReaders(func() registry.Roster { return rs.Roster(f.members) })
		f.registries[m.Address] = r
		f.stores = append(f.stores, s)
	}
	var wg sync.WaitGroup
	for _, r := range f.registries {
		wg.Go(func() { _ = r.Run(ctx) })
	}
	wg.Go(func() { f.beat(ctx) })
	t.Cleanup(wg.Wait)
	return f
}

// beat carries what each VM knows to a few others, as heartbeats do.
func (f *drilled) beat(ctx context.Context) {
	for ctx.Err() == nil {
		for _, m := range f.members {
			b := &peer.BeatArgs{From: m}
			f.registries[m.Address].Fill("", b)
			for range 4 {
				f.registries[f.members[rand.IntN(len(f.members))].Address].Learn(b, false)
			}
		}
		time.Sleep(beatEvery)
	}
}

// until is how long each VM takes to fulfil a condition, sorted; those that don't within a bound take that long.
func (f *drilled) until(holds func(*registry.View) bool, bound time.Duration) []time.Duration {
	began := time.Now()
	took := make([]time.Duration, 0, len(f.members))
	pending := slices.Clone(f.members)
	for len(pending) > 0 && time.Since(began) < bound {
		pending = slices.DeleteFunc(pending, func(m peer.Member) bool {
			ok := holds(f.registries[m.Address].View())
			if ok {
				took = append(took, time.Since(began))
			}
			return ok
		})
		time.Sleep(5 * time.Millisecond)
	}
	for range pending {
		took = append(took, bound)
	}
	return took
}

func (f *drilled) calls() int {
	sum := 0
	for _, s := range f.stores {
		n, _ := s.Calls()
		sum += int(n)
	}
	return sum
}

func knows(id string, leaving bool) func(*registry.View) bool {
	return func(v *registry.View) bool {
		for _, u := range v.Upstreams[standin.Model] {
			if string(u.ID) == id {
				return u.Leaving == leaving
			}
		}
		return false
	}
}

// The store comes back from a copy, and an upstream announces just then that it leaves. VMs that keep to the readers' earlier list, since its
// position is higher, go on sending to it.
func TestNewsAfterADrillReachesAllVMsSoon(t *testing.T) {
	for _, vms := range []int{3, 76, 300} {
		t.Run(fmt.Sprint(vms), func(t *testing.T) {
			p := standin.New(6, 2, "ward")
			defer p.Close()
			ctx, cancel := context.WithCancel(context.Background())
			f := newDrilled(ctx, t, p, vms)
			t.Cleanup(cancel)
			f.until(func(v *registry.View) bool { return v.Table != nil && len(v.Upstreams[standin.Model]) == 6 }, 10*time.Second)
			for i := range 20 {
				p.AddRoute(fmt.Sprint("r", i))
			}
			p.Models[0].Drain(time.Minute)
			f.until(knows(p.Models[0].ID(), true), 10*time.Second)
			time.Sleep(3 * time.Second)
			before := f.calls()
			p.Drill(standin.Busy, 300*time.Millisecond, 10*time.Second, 10*time.Millisecond, rand.New(rand.NewPCG(1, 2)))
			for _, m := range f.members {
				require.True(t, knows(p.Models[0].ID(), true)(f.registries[m.Address].View()), "%s takes the copy's word", m.VM)
			}
			p.Models[1].Drain(time.Minute)
			took := f.until(knows(p.Models[1].ID(), true), 10*time.Second)
			calls := f.calls() - before
			t.Logf("%d VMs: half know after %v, 95 of 100 after %v, all after %v; %d calls of the store", vms, took[len(took)/2], took[len(took)*95/100], slices.Max(took), calls)
			require.LessOrEqual(t, took[len(took)*95/100], knownSoon)
			require.LessOrEqual(t, slices.Max(took), knownAll)
			require.LessOrEqual(t, calls, max(2*vms, 60))
		})
	}
}
