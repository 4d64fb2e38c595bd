package member

import (
	"testing"

	"github.com/stretchr/testify/require"

	"snipeshift.example/lib/clock"
)

type handClock struct{ now clock.Milli }

func (h *handClock) Now() clock.Milli { return h.now }

// A VM is frozen for longer than its leases last and goes on as if nothing had
// happened, while others hold its duties by now. Duties must be given up
// before anything is done on them, by whichever clock the pause shows.
func TestPauseGivesDutiesUpBeforeTheNextAct(t *testing.T) {
	mono, wall := &handClock{now: 100}, &handClock{now: 9000}
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
