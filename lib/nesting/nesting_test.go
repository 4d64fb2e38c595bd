package nesting

import (
	"encoding/json"
	"testing"

	"github.com/stretchr/testify/require"
)

func TestCut(t *testing.T) {
	for text, want := range map[string]string{
		`{"a":[{"b":1},{"c":[]}]}`: `{"a":[null,null]}`,
		`[[1],[[2]],"[[[",3]`:      `[[1],[null],"[[[",3]`,
		`["\"[[[",[["]"]]]`:        `["\"[[[",[null]]`,
		`["\\",[[[1]]],[2]]`:       `["\\",[null],[2]]`,
		`[[[`:                      `[[null`,
		`7`:                        `7`,
		`]]]`:                      `]]]`,
	} {
		require.Equal(t, want, string(Cut([]byte(text), 2)), text)
	}
}

func FuzzCut(f *testing.F) {
	f.Add([]byte(`{"a":[{"b":"]\"["}],"c":[[[]]]}`), uint8(2))
	f.Fuzz(func(t *testing.T, text []byte, limit uint8) {
		cut := Cut(text, int(limit))
		if !json.Valid(text) {
			return
		}
		require.True(t, json.Valid(cut), "%q", cut)
		require.LessOrEqual(t, Depth(cut), int(limit))
		if Depth(text) <= int(limit) {
			require.Equal(t, text, cut)
		}
	})
}
