package caller

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/stretchr/testify/require"

	"snipeshift.example/lib/fault"
)

// A caller's own spelling of a field, or null in place of a limit, would make the
// engine run more than memory was reserved for. The engine reads exact names.
func TestAnEngineIsAskedForWhatWasReserved(t *testing.T) {
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
		require.Nil(t, q.parse([]byte(x.body), newBench(t, wholeAnswer).index), x.body)
		require.EqualValues(t, x.prompt, q.prompt, x.body)
		require.EqualValues(t, x.output, q.output, x.body)
		require.EqualValues(t, x.output, limitOf(t, q.body), x.body)
	}
}

func newRequest(t testing.TB) *request {
	b := newBench(t, wholeAnswer)
	k, ok := b.index.Kind("draft")
	require.True(t, ok)
	w, ok := b.index.WorkspaceByKey(key)
	require.True(t, ok)
	return &request{workspace: *w, kind: *k, chat: true}
}

// limitOf is the limit of output tokens as an engine reads it, by exact names.
func limitOf(t testing.TB, body []byte) int {
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

// FuzzHeaders looks for header values that get past the checks.
func FuzzHeaders(f *testing.F) {
	b := newBench(f, wholeAnswer)
	f.Add("Bearer "+key, "draft", "100", "k")
	f.Add("Bearer "+deskKey, "send", "", "")
	f.Add("bearer "+key, "", "-1", "\xff")
	f.Add("Bearer "+key, "send", "9223372036854775808", "k")
	f.Fuzz(func(t *testing.T, authorization, kind, deadline, idempotency string) {
		r := httptest.NewRequest(http.MethodPost, "/v1/completions", http.NoBody)
		for name, value := range map[string]string{"Authorization": authorization, headerKind: kind, headerAllowed: deadline, headerKey: idempotency} {
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
		require.Contains(t, []string{"Bearer " + key, "Bearer " + deskKey}, authorization)
		require.True(t, q.workspace.AllowsKind(q.kind.Name))
		require.Greater(t, q.deadline, q.arrived)
		require.LessOrEqual(t, q.deadline-q.arrived, q.kind.TimeLimit)
		require.True(t, q.kind.Repeatable || q.key != "")
	})
}

// FuzzBody looks for bodies that are placed as something else than the engine runs.
func FuzzBody(f *testing.F) {
	index := newBench(f, wholeAnswer).index
	proto := newRequest(f)
	f.Add([]byte(ask), true)
	f.Add([]byte(`{"model":"drafter","prompt":"x","max_tokens":7}`), false)
	f.Add([]byte(`{"model":"drafter","max_tokens":null,"messages":[{"content":[{"type":"text"}]}],"n":1}`), true)
	f.Add([]byte(`{"model":"drafter","Max_Tokens":1,"messages":[null]}`), true)
	f.Fuzz(func(t *testing.T, body []byte, chat bool) {
		q := *proto
		q.chat = chat
		if e := q.parse(body, index); e != nil {
			require.Equal(t, fault.RanNo, e.Ran)
			return
		}
		require.Positive(t, q.output)
		require.EqualValues(t, q.output, limitOf(t, q.body))
		again := *proto
		again.chat = chat
		require.Nil(t, again.parse(q.body, index), "the body that goes on is read as the one that came")
		require.Equal(t, q.prompt, again.prompt)
		require.Equal(t, q.output, again.output)
		require.True(t, again.stream && again.usage)
	})
}
