package caller

import (
	"io"
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"
)

// A client library sends null for a limit that its user did not set. The engine would otherwise
// generate beyond the reserved memory, and the responses of other clients would stall.
func TestNullTokenLimitUsesDefaultOfKind(t *testing.T) {
	got := make(chan string, 1)
	b := newHarness(t, func(w http.ResponseWriter, r *http.Request) {
		if r.Method == http.MethodPost {
			j, _ := io.ReadAll(r.Body)
			got <- string(j)
		}
		completeResponse(w, r)
	})
	b.post("/v1/chat/completions", `{"model":"drafter","max_tokens":null,"messages":[{"role":"user","content":"boil water"}],"stream":true}`)
	require.Contains(t, <-got, `"max_tokens":64`)
}
