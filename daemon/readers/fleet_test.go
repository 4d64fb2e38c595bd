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

// Intervals and bounds of the fleet test.
const (
	heartbeatInterval = 400 * time.Millisecond
	// mostInformed is the time within which 95 of 100 VMs must learn of an update after the store
	// is back, allInformed that for all VMs.
	mostInformed = time.Second
	allInformed  = 2500 * time.Millisecond
)

// testFleet is a fleet of registries on an emulated platform.
type testFleet struct {
	members    []peer.Member
	registries map[string]*registry.Registry
	stores     []*platform.Store
}

// Call implements registry.Peers without a network.
func (f *testFleet) Call(_ context.Context, address, _ string, args, reply any) error {
	return registry.NewReceiver(f.registries[address]).Tell(args.(*peer.RegistrySummary), reply.(*peer.RegistryReply))
}

func newTestFleet(ctx context.Context, t *testing.T, p *standin.Platform, vms int) *testFleet {
	t.Helper()
	f := &testFleet{registries: map[string]*registry.Registry{}}
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
	wg.Go(func() { f.sendHeartbeats(ctx) })
	t.Cleanup(wg.Wait)
	return f
}

// sendHeartbeats periodically delivers each VM's version summary to a few random VMs, as heartbeats
// do.
func (f *testFleet) sendHeartbeats(ctx context.Context) {
	for ctx.Err() == nil {
		for _, m := range f.members {
			written := clock.Boot{}.Now()
			b := &peer.BeatArgs{From: m}
			f.registries[m.Address].Fill("", b)
			for range 4 {
				f.registries[f.members[rand.IntN(len(f.members))].Address].Learn(b, written)
			}
		}
		time.Sleep(heartbeatInterval)
	}
}

// waitBound is the longest time that waitTimes waits.
const waitBound = 10 * time.Second

// waitTimes returns, sorted, how long each VM took to satisfy a condition. VMs that do not satisfy
// it within waitBound count as that.
func (f *testFleet) waitTimes(holds func(*registry.View) bool) []time.Duration {
	began := time.Now()
	took := make([]time.Duration, 0, len(f.members))
	pending := slices.Clone(f.members)
	for len(pending) > 0 && time.Since(began) < waitBound {
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
		took = append(took, waitBound)
	}
	return took
}

func (f *testFleet) storeCalls() int {
	sum := 0
	for _, s := range f.stores {
		n, _ := s.Calls()
		sum += int(n)
	}
	return sum
}

// isLeaving returns the condition that an upstream is known and leaving.
func isLeaving(id string) func(*registry.View) bool {
	return func(v *registry.View) bool {
		for _, u := range v.Upstreams[standin.Model] {
			if string(u.ID) == id {
				return u.Leaving
			}
		}
		return false
	}
}

// The store is restored from an older copy, and an upstream announces just then that it leaves. VMs
// that kept the readers' earlier list because its position is higher would continue to send
// requests to the upstream.
func TestUpdateAfterStoreRestoreReachesAllVMs(t *testing.T) {
	for _, vms := range []int{3, 76, 300} {
		t.Run(fmt.Sprint(vms), func(t *testing.T) {
			p := standin.New(6, 2, "ward")
			defer p.Close()
			ctx, cancel := context.WithCancel(context.Background())
			f := newTestFleet(ctx, t, p, vms)
			t.Cleanup(cancel)
			f.waitTimes(func(v *registry.View) bool { return v.Table != nil && len(v.Upstreams[standin.Model]) == 6 })
			for i := range 20 {
				p.AddRoute(fmt.Sprint("r", i))
			}
			p.Models[0].Drain(time.Minute)
			f.waitTimes(isLeaving(p.Models[0].ID()))
			time.Sleep(3 * time.Second)
			before := f.storeCalls()
			p.RestoreOlderCopy(standin.Unavailable, 300*time.Millisecond, 10*time.Second, 10*time.Millisecond, rand.New(rand.NewPCG(1, 2)))
			for _, m := range f.members {
				require.True(t, isLeaving(p.Models[0].ID())(f.registries[m.Address].View()), "%s applied the restored copy", m.VM)
			}
			p.Models[1].Drain(time.Minute)
			took := f.waitTimes(isLeaving(p.Models[1].ID()))
			calls := f.storeCalls() - before
			t.Logf("%d VMs: half informed after %v, 95 of 100 after %v, all after %v; %d calls of the store", vms, took[len(took)/2], took[len(took)*95/100], slices.Max(took), calls)
			require.LessOrEqual(t, took[len(took)*95/100], mostInformed)
			require.LessOrEqual(t, slices.Max(took), allInformed)
			require.LessOrEqual(t, calls, max(2*vms, 60))
		})
	}
}

// The store discards its history several times a second while upstreams leave. The watches of the VMs that
// read for all break off each time, but the store answers. If that counted as an outage, all other VMs would
// begin to read too, and each call lists a thousand upstreams.
func TestStoreWithoutHistoryIsReadByFewVMs(t *testing.T) {
	p := standin.New(6, 2, "ward")
	defer p.Close()
	ctx, cancel := context.WithCancel(context.Background())
	f := newTestFleet(ctx, t, p, 76)
	t.Cleanup(cancel)
	f.waitTimes(func(v *registry.View) bool { return v.Table != nil && len(v.Upstreams[standin.Model]) == 6 })
	time.Sleep(3 * time.Second)
	before := f.storeCalls()
	began := time.Now()
	for time.Since(began) < 5*time.Second {
		p.DropHistory()
		time.Sleep(200 * time.Millisecond)
	}
	p.Models[0].Drain(time.Minute)
	p.DropHistory()
	took := f.waitTimes(isLeaving(p.Models[0].ID()))
	calls := f.storeCalls() - before
	t.Logf("half informed after %v, all after %v; %d calls of the store", took[len(took)/2], slices.Max(took), calls)
	require.LessOrEqual(t, slices.Max(took), allInformed)
	// Two VMs list both kinds of objects and watch them again, with a pause after each of the two calls.
	const cycle = 900 * time.Millisecond
	require.LessOrEqual(t, calls, 2*2*2*int(1+time.Since(began)/cycle))
}
