package settings

import (
	"os"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/require"
)

type sample struct {
	Name  string   `json:"name"`
	Count int      `json:"count"`
	List  []string `json:"list"`
}

func TestLoad(t *testing.T) {
	file := filepath.Join(t.TempDir(), "s.hujson")
	require.NoError(t, os.WriteFile(file, []byte("{\n// a comment\n\"name\": \"a\", \"count\": 1,\n}"), 0o600))
	s := sample{Count: 7, List: []string{"kept"}}
	require.NoError(t, Load(file, []string{"count=2", "name=b,c", `list=["x"]`}, &s))
	require.Equal(t, sample{"b,c", 2, []string{"x"}}, s)
	require.NoError(t, Load("", nil, &s))
}

func TestLoadRejectsUnknownFieldsAndInvalidValues(t *testing.T) {
	var s sample
	require.ErrorContains(t, Load("", []string{"number=2"}, &s), "number")
	require.ErrorContains(t, Load("", []string{"count"}, &s), "field=value")
	require.Error(t, Load("", []string{"count=many"}, &s))
	require.Error(t, Load(filepath.Join(t.TempDir(), "none"), nil, &s))
	require.Error(t, Parse([]byte("{"), &s))
}
