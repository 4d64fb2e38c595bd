package fleet

import (
	"testing"

	"github.com/stretchr/testify/require"

	"snipeshift.example/lib/clock"
)

// The cost of shares is only shown by a load under which slots are reserved and requests wait.
func TestSharesReserveUnderSimulatedOverload(t *testing.T) {
	r := RunShares(ShareLoad{Gates: 8, Engines: 8, Workspaces: 10, Seed: 1, Rate: 72, Heavy: 0.3, For: 8 * clock.Second, Enabled: true})
	require.Positive(t, r.Queued)
	require.Positive(t, r.Reserved)
	require.Positive(t, r.Granted)
}
