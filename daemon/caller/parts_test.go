package caller

import (
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"

	"snipeshift.example/lib/decide/blame"
	"snipeshift.example/lib/fault"
	"snipeshift.example/lib/peer"
)

// partsOf returns the parts that a request names to the owner, which refuses it.
func partsOf(t *testing.T, path, body string) []blame.Part {
	t.Helper()
	b := newHarness(t, func(http.ResponseWriter, *http.Request) {})
	b.fakes.refusal = &peer.Fault{Kind: fault.Quarantined, Ran: fault.RanNo}
	require.Equal(t, http.StatusUnprocessableEntity, b.post(path, body).status)
	require.Len(t, b.fakes.acquired, 1)
	return b.fakes.acquired[0].Request.Parts
}

// Applications begin each conversation with the same message; without a part in common their requests are all new.
func TestConversationsAreKnownByTheirFirstMessage(t *testing.T) {
	chat := func(system, user string) []blame.Part {
		return partsOf(t, "/v1/chat/completions", `{"model":"drafter","messages":[{"role":"system","content":"`+system+`"},{"role":"user","content":"`+user+`"}]}`)
	}
	first := chat("x", "1")
	require.Len(t, first, 1)
	require.Equal(t, first, chat("x", "2"))
	require.NotEqual(t, first, chat("y", "2"))
	require.Empty(t, partsOf(t, "/v1/chat/completions", `{"model":"drafter","messages":[{"role":"user","content":"x"}]}`))
}
