package caller

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/stretchr/testify/require"

	"snipeshift.example/lib/fault"
)

// A body that spells a field in other letter case, or sends null for a limit, must not make the
// engine generate more than memory is reserved for. The engine matches exact names.
func TestEngineBodyRequestsReservedOutput(t *testing.T) {
	long := `[{"role":"user","content":"0123456789012345678901234567890123456789"}]`
	for _, x := range []struct {
		body           string
		prompt, output int
	}{
		{`{"model":"drafter","max_tokens":900,"MAX_TOKENS":5,"messages":` + long + `}`, 10, 900},
		{`{"model":"drafter","max_tokens":5,"max_tokens":900,"messages":` + long + `}`, 10, 900},
		{`{"model":"drafter","max_tokens":null,"messages":` + long + `}`, 10, 64},
		{`{"model":"drafter","max_tokens":null,"max_completion_tokens":900,"messages":` + long + `}`, 10, 900},
		{`{"model":"drafter","messages":` + long + `,"Messages":[{"content":"x"}]}`, 10, 64},
		{`{"model":"drafter","messages":[{"content":"0123456789012345678901234567890123456789","Content":"x"}]}`, 10, 64},
	} {
		q := newRequest(t)
		require.Nil(t, q.parse([]byte(x.body), newHarness(t, completeResponse).index), x.body)
		require.EqualValues(t, x.prompt, q.prompt, x.body)
		require.EqualValues(t, x.output, q.output, x.body)
		require.EqualValues(t, x.output, maxTokensOf(t, q.body), x.body)
	}
}

func newRequest(t testing.TB) *request {
	b := newHarness(t, completeResponse)
	k, ok := b.index.Kind("draft")
	require.True(t, ok)
	w, ok := b.index.WorkspaceByKey(wardsKey)
	require.True(t, ok)
	return &request{workspace: *w, kind: *k, chat: true}
}

// maxTokensOf returns the limit of output tokens that an engine reads from a body, by exact names.
func maxTokensOf(t testing.TB, body []byte) int {
	var m map[string]any
	require.NoError(t, json.Unmarshal(body, &m))
	for _, name := range []string{"max_completion_tokens", "max_tokens"} {
		if n, ok := m[name].(float64); ok {
			return int(n)
		}
	}
	require.Fail(t, "no limit", "%s", body)
	return 0
}

// FuzzHeaders searches for header values that pass the checks wrongly.
func FuzzHeaders(f *testing.F) {
	b := newHarness(f, completeResponse)
	f.Add("Bearer "+wardsKey, "draft", "100", "k")
	f.Add("Bearer "+deskKey, "send", "", "")
	f.Add("bearer "+wardsKey, "", "-1", "\xff")
	f.Add("Bearer "+wardsKey, "send", "9223372036854775808", "k")
	f.Fuzz(func(t *testing.T, authorization, kind, deadline, idempotency string) {
		r := httptest.NewRequest(http.MethodPost, "/v1/completions", http.NoBody)
		for name, value := range map[string]string{"Authorization": authorization, headerKind: kind, headerDeadline: deadline, headerIdempotencyKey: idempotency} {
			if value != "" {
				r.Header[http.CanonicalHeaderKey(name)] = []string{value}
			}
		}
		q, e := b.gate.identify(r, b.index, "")
		require.NotEmpty(t, q.id)
		if e != nil {
			require.Equal(t, fault.RanNo, e.Ran)
			return
		}
		require.Contains(t, []string{"Bearer " + wardsKey, "Bearer " + deskKey}, authorization)
		require.True(t, q.workspace.AllowsKind(q.kind.Name))
		require.Greater(t, q.deadline, q.arrived)
		require.LessOrEqual(t, q.deadline-q.arrived, q.kind.TimeLimit)
		require.True(t, q.kind.Repeatable || q.idempotencyKey != "")
	})
}

// FuzzBody searches for bodies that the gate and the engine read differently.
func FuzzBody(f *testing.F) {
	index := newHarness(f, completeResponse).index
	template := newRequest(f)
	f.Add([]byte(chatBody), true)
	f.Add([]byte(`{"model":"drafter","prompt":"x","max_tokens":7}`), false)
	f.Add([]byte(`{"model":"drafter","max_tokens":null,"messages":[{"content":[{"type":"text"}]}],"n":1}`), true)
	f.Add([]byte(`{"model":"drafter","Max_Tokens":1,"messages":[null]}`), true)
	f.Fuzz(func(t *testing.T, body []byte, chat bool) {
		q := *template
		q.chat = chat
		if e := q.parse(body, index); e != nil {
			require.Equal(t, fault.RanNo, e.Ran)
			return
		}
		require.Positive(t, q.output)
		require.EqualValues(t, q.output, maxTokensOf(t, q.body))
		reparsed := *template
		reparsed.chat = chat
		require.Nil(t, reparsed.parse(q.body, index), "parsing the body for the engine gives the same values as parsing the client's")
		require.Equal(t, q.prompt, reparsed.prompt)
		require.Equal(t, q.output, reparsed.output)
		require.True(t, reparsed.stream && reparsed.includeUsage)
	})
}
