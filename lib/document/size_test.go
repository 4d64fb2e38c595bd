package document

import (
	"bytes"
	"compress/gzip"
	"fmt"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// planned writes a document of the size that is planned for: 21 models, 8
// failure domains, 1,300 upstreams and 3,500 workspaces, an entry a line.
func planned(keys int) string {
	var b strings.Builder
	b.WriteString("{\n\"kinds\": [{\"name\": \"draft\", \"urgency\": 1, \"allowed\": 600000, \"repeat\": true}],\n\"models\": [\n")
	for i := range 21 {
		fmt.Fprintf(&b, "{\"name\": \"model-%d\", \"context\": 1100000},\n", i)
	}
	b.WriteString("],\n\"workspaces\": [\n")
	for i := range 3500 {
		hashes := make([]string, keys)
		for j := range hashes {
			hashes[j] = `"` + HashKey(fmt.Sprintf("key-%d-%d", i, j)) + `"`
		}
		fmt.Fprintf(&b, "{\"name\": \"workspace-%d\", \"weight\": 2, \"rate\": 40000, \"keys\": [%s]},\n", i, strings.Join(hashes, ", "))
	}
	b.WriteString("],\n\"upstreams\": [\n")
	for i := range 1300 {
		fmt.Fprintf(&b, "{\"name\": \"runner-%d\", \"model\": \"model-%d\", \"domain\": \"domain-%d\", \"address\": \"10.1.%d.%d:8000\", "+
			"\"memory\": 400000, \"slots\": 64, \"prefill\": 8000, \"decode\": 40, \"fenced\": true},\n", i, i%21, i%8, i/250, i%250+1)
	}
	b.WriteString("]}\n")
	return b.String()
}

// The store holds values of up to a mebibyte, and the whole configuration is
// one value. At the planned size it must fit, or no change could be applied.
func TestThePlannedSizeFitsTheStore(t *testing.T) {
	text := planned(1)
	_, ps := Parse([]byte(text), "planned")
	require.NoError(t, ps.Err())
	t.Logf("%d bytes with one key a workspace, %d with two, of %d", len(text), len(planned(2)), MaxSize)
	t.Logf("%d bytes compressed, %d with two keys", compressed(t, text), compressed(t, planned(2)))
}

func compressed(t *testing.T, text string) int {
	var b bytes.Buffer
	w := gzip.NewWriter(&b)
	_, err := w.Write([]byte(text))
	require.NoError(t, err)
	require.NoError(t, w.Close())
	return b.Len()
}

func BenchmarkParsePlanned(b *testing.B) {
	text := []byte(planned(1))
	b.SetBytes(int64(len(text)))
	for b.Loop() {
		d, _ := Parse(text, "planned")
		NewIndex(d)
	}
}

func BenchmarkKeyPlanned(b *testing.B) {
	d, _ := Parse([]byte(planned(1)), "planned")
	x := NewIndex(d)
	for b.Loop() {
		x.WorkspaceByKey("key-3000-0")
	}
}
