package operator

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// Two daemons tell the same counter, one of them an older reading, and a VM
// was restarted. Adding all up would charge a team twice; keeping one counter
// a VM would forget what it used before the restart.
func TestSumCountsEachLifeOnce(t *testing.T) {
	got := SumUsage([]UsageCounter{
		{VM: "a", Incarnation: 1, Workspace: "w", Usage: Usage{Requests: 5, Prompt: 50, Output: 9}},
		{VM: "a", Incarnation: 1, Workspace: "w", Usage: Usage{Requests: 7, Prompt: 70, Output: 11}},
		{VM: "a", Incarnation: 2, Workspace: "w", Usage: Usage{Requests: 1, Prompt: 10, Cached: 4}},
		{VM: "b", Incarnation: 1, Workspace: "v", Usage: Usage{Requests: 3}},
	})
	require.Equal(t, []Total{
		{"v", Usage{Requests: 3}},
		{"w", Usage{Requests: 8, Prompt: 80, Cached: 4, Output: 11}},
	}, got)
}
