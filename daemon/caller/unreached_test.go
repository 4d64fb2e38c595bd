package caller

import (
	"net"
	"net/http"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"snipeshift.example/lib/decide"
	"snipeshift.example/lib/peer"
)

// Engines have crashed and refuse connections; owners that took that for crashes under the request refused it everywhere.
func TestRefusedConnectionIsNoCrash(t *testing.T) {
	b := newHarness(t, func(http.ResponseWriter, *http.Request) {})
	b.fakes.dialErr = func() error { return &net.OpError{Op: "dial", Err: net.ErrClosed} }
	b.post("/v1/chat/completions", chatBody)
	returned := func() []peer.ReturnArgs {
		b.fakes.mu.Lock()
		defer b.fakes.mu.Unlock()
		return slices.Clone(b.fakes.returned)
	}
	require.Eventually(t, func() bool { return len(returned()) == maxUnsent }, 5*time.Second, 5*time.Millisecond)
	for _, r := range returned() {
		require.Equal(t, decide.Unreached, r.Outcome)
	}
}
