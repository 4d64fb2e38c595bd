package member

import (
	"testing"

	"github.com/stretchr/testify/require"

	"snipeshift.example/lib/clock"
)

type fakeClock struct{ now clock.Milli }

func (h *fakeClock) Now() clock.Milli { return h.now }

// A VM is suspended for longer than its leases and resumes after other VMs have taken over its
// duties. It must give up the duties before acting on them, whichever of the clocks shows the pause.
func TestPauseIsDetectedByEitherClock(t *testing.T) {
	mono, wall := &fakeClock{now: 100}, &fakeClock{now: 9000}
	var gaps []clock.Milli
	p := NewPauseDetector(mono, wall, 3000, func(gap clock.Milli) { gaps = append(gaps, gap) })
	mono.now, wall.now = 3100, 12000
	require.False(t, p.Check())
	mono.now += 3001
	require.True(t, p.Check())
	require.False(t, p.Check())
	wall.now += 60000
	require.True(t, p.Check())
	require.Equal(t, []clock.Milli{3001, 60000}, gaps)
	require.Equal(t, 2, p.Count())
}
