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

// fleet are members of which none answers a probe until up is set.
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

// A VM without power is listed for seconds. Asked again after a fixed time, it would make a request late each time.
func TestASilentVMIsPassedOverUntilItAnswersAProbe(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f, s := newFleet()
		a := f.live[0]
		s.MarkUnresponsive(a, errDown)
		s.MarkUnresponsive(a, errDown)
		time.Sleep(10 * time.Second)
		require.True(t, s.IsUnresponsive(a))
		require.LessOrEqual(t, f.probes.Load(), int64(8), "probes become rare")
		f.up.Store(true)
		time.Sleep(proveLongest)
		require.False(t, s.IsUnresponsive(a))
	})
}

// It is back in another life before a probe has found that out.
func TestAnotherLifeIsNotPassedOver(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f, s := newFleet()
		a := f.live[0]
		f.live = nil
		s.MarkUnresponsive(a, errDown)
		require.True(t, s.IsUnresponsive(a))
		next := a
		next.Incarnation++
		require.False(t, s.IsUnresponsive(next))
		time.Sleep(proveLongest)
		require.False(t, s.IsUnresponsive(a), "who is no member any more is not probed for good")
	})
}

// All that this VM asks are silent: it is the one that is cut off, and to ask yet others would make callers late.
func TestSeveralSilentVMsAreACutOfThisOne(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f, s := newFleet()
		s.MarkUnresponsive(f.live[0], errDown)
		require.False(t, s.SelfCutOff(), "one may be lost")
		time.Sleep(time.Millisecond)
		s.MarkUnresponsive(f.live[1], errDown)
		require.True(t, s.SelfCutOff())
		s.MarkResponsive(f.live[1])
		require.False(t, s.SelfCutOff())
		f.up.Store(true)
		time.Sleep(proveLongest)
	})
}
