package operator

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// Two daemons report the same counter, one of them an older value, and a VM was restarted. Adding up
// all values would charge a workspace twice; counting only one counter per VM would lose the usage
// before the restart.
func TestSumCountsEachIncarnationOnce(t *testing.T) {
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
