package silent

import (
	"context"
	"errors"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/phuslu/log"
	"github.com/stretchr/testify/require"

	"snipeshift.example/lib/peer"
)

var errDown = errors.New("down")

// fleet is a member list of which no VM answers a probe until up is set.
type fleet struct {
	live   []peer.Member
	up     atomic.Bool
	probes atomic.Int64
}

func (f *fleet) Live() []peer.Member { return f.live }

func (f *fleet) Probe(context.Context, string) error {
	f.probes.Add(1)
	if f.up.Load() {
		return nil
	}
	return errDown
}

func newFleet() (*fleet, *VMs) {
	f := &fleet{live: []peer.Member{{VM: "a", Incarnation: 1}, {VM: "b", Incarnation: 1}}}
	return f, New(&log.Logger{Level: log.FatalLevel}, f, f)
}

// A VM without power stays in the member list for seconds. If gates queried it again after a fixed
// time, each query would delay a request.
func TestUnresponsiveVMIsSkippedUntilItAnswersAProbe(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f, s := newFleet()
		a := f.live[0]
		s.MarkUnresponsive(a, errDown)
		s.MarkUnresponsive(a, errDown)
		time.Sleep(10 * time.Second)
		require.True(t, s.IsUnresponsive(a))
		require.LessOrEqual(t, f.probes.Load(), int64(8), "the interval between probes must grow")
		f.up.Store(true)
		time.Sleep(probeLongest)
		require.False(t, s.IsUnresponsive(a))
	})
}

// A VM returns as another incarnation before a probe has detected that.
func TestNewIncarnationIsNotSkipped(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f, s := newFleet()
		a := f.live[0]
		f.live = nil
		s.MarkUnresponsive(a, errDown)
		require.True(t, s.IsUnresponsive(a))
		next := a
		next.Incarnation++
		require.False(t, s.IsUnresponsive(next))
		time.Sleep(probeLongest)
		require.False(t, s.IsUnresponsive(a), "a VM that is no longer a member must not be probed forever")
	})
}

// None of the VMs that this VM queries answers: this VM is probably cut off itself, and querying
// further VMs would only delay requests.
func TestSeveralUnresponsiveVMsMeanThisVMIsCutOff(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f, s := newFleet()
		s.MarkUnresponsive(f.live[0], errDown)
		require.False(t, s.SelfCutOff(), "a single unresponsive VM may be lost")
		time.Sleep(time.Millisecond)
		s.MarkUnresponsive(f.live[1], errDown)
		require.True(t, s.SelfCutOff())
		s.MarkResponsive(f.live[1])
		require.False(t, s.SelfCutOff())
		f.up.Store(true)
		time.Sleep(probeLongest)
	})
}
