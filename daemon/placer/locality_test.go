package placer

import (
	"testing"

	"github.com/stretchr/testify/require"

	"snipeshift.example/lib/decide/locality"
)

// A setting that does not reach the pools, or a domain that is lost on the way to the owner, would
// leave placement by domain off without notice.
func TestLocalitySettingReachesPools(t *testing.T) {
	for _, on := range []bool{false, true} {
		o := newOwner(t, "e1")
		o.Locality = on
		o.lockedPool("s").mu.Unlock()
		a := wireAsk("r")
		a.Domain = "elsewhere"
		var reply AskReply
		require.NoError(t, o.Ask(&AskArgs{Service: "s", Ask: a, Wait: 50}, &reply))
		require.Equal(t, on, len(o.ListLocality()) > 0)
		if on {
			require.Equal(t, []ServiceLocality{{Service: "s", Counts: locality.Counts{Away: 1}}}, o.ListLocality())
		}
	}
}
