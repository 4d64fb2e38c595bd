package caller

import (
	"encoding/json"
	"fmt"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"snipeshift.example/daemon/openai"
	"snipeshift.example/lib/document"
)

// Fields that this program does not know, and strings that JSON can encode in several ways, must
// reach the engine as the client wrote them.
func TestBodyValuesAreForwardedUnchanged(t *testing.T) {
	x := smallIndex(t)
	body := `{"model":"drafter", "seed": 1e3, "messages":[{"role":"system","content":"a < b\u00e9"},` +
		`{"role":"user","content":[{"type":"text","text":"boil"}]},{"role":"assistant","content":null},{"role":"user"}], "a\"b":{"x": [1, 2]}}`
	q := request{chat: true, workspace: document.Workspace{Name: "wards"}, kind: document.Kind{Output: 9}}
	require.Nil(t, q.parse([]byte(body), x))
	require.JSONEq(t, strings.TrimSuffix(body, "}")+`,"stream":true,"stream_options":{"include_usage":true},"max_tokens":9}`, string(q.body))
	require.Contains(t, string(q.body), `"a < b\u00e9"`)
	require.Contains(t, string(q.body), `"seed":1e3`)

	read, e := openai.ParseRequest([]byte(body), true)
	require.Nil(t, e)
	require.Equal(t, "a < bé\n"+`[{"type":"text","text":"boil"}]`+"\n\n", string(read.Prompt))
}

func smallIndex(t testing.TB) *document.Index {
	d, ps := document.Parse([]byte(`{"models":[{"name":"drafter","context":1100000}],"kinds":[{"name":"draft","urgency":1,"allowed":20000,"repeat":true}]}`), "small")
	require.NoError(t, ps.Err())
	return document.NewIndex(d)
}

// BenchmarkParse measures how long a gate takes to parse prompts of several lengths in tokens.
func BenchmarkParse(b *testing.B) {
	x := smallIndex(b)
	for _, tokens := range []int{1000, 16_000, 1_000_000} {
		text, err := json.Marshal(strings.Repeat("abc ", tokens))
		require.NoError(b, err)
		body := fmt.Appendf(nil, `{"model":"drafter","stream":true,"max_tokens":4,"messages":[{"role":"user","content":%s}]}`, text)
		b.Run(fmt.Sprintf("tokens=%d", tokens), func(b *testing.B) {
			b.SetBytes(int64(len(body)))
			b.ReportAllocs()
			for b.Loop() {
				q := request{chat: true, workspace: document.Workspace{Name: "wards"}}
				require.Nil(b, q.parse(body, x))
			}
		})
	}
}
