package document

import (
	"bytes"
	"encoding/json"
	"flag"
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
	"github.com/tailscale/hujson"

	"snipeshift.example/lib/clock"
	"snipeshift.example/lib/decide"
	"snipeshift.example/lib/peer"
)

// examples are documents without a fault.
const examples = "testdata/good"

var update = flag.Bool("update", false, "write the golden files anew")

// An operator mends a document by what check prints. Were only the first
// problem printed, each run would show one more, and a wrong line or path
// would send the operator to the wrong place.
func TestBadDocumentsAreRefusedWithAllTheirLines(t *testing.T) {
	files, err := filepath.Glob("testdata/bad/*.hujson")
	require.NoError(t, err)
	require.NotEmpty(t, files)
	for _, f := range files {
		text, err := os.ReadFile(f)
		require.NoError(t, err)
		d, ps := Parse(text, filepath.Base(f))
		require.Nil(t, d, f)
		golden := strings.TrimSuffix(f, ".hujson") + ".golden"
		if *update {
			require.NoError(t, os.WriteFile(golden, []byte(ps.Error()+"\n"), 0o644))
		}
		want, err := os.ReadFile(golden)
		require.NoError(t, err)
		require.Equal(t, string(want), ps.Error()+"\n", f)
	}
}

func TestProblemsNeverRepeatAKey(t *testing.T) {
	for _, name := range []string{"keys.hujson", "unquoted.hujson"} {
		text, err := os.ReadFile(filepath.Join("testdata/bad", name))
		require.NoError(t, err)
		_, ps := Parse(text, name)
		require.NotEmpty(t, ps)
		require.NotContains(t, ps.Error(), "sk-")
	}
}

func good(t *testing.T, name string) *Document {
	t.Helper()
	text, err := os.ReadFile(filepath.Join(examples, name))
	require.NoError(t, err)
	d, ps := Parse(text, name)
	require.NoError(t, ps.Err())
	return d
}

func TestGoodDocuments(t *testing.T) {
	d := good(t, "directorate.hujson")
	require.Len(t, d.Upstreams, 3)
	require.Equal(t, clock.Milli(20000), d.Limits.Idle)
	require.Equal(t, decide.Rate(40000), d.Workspaces[0].Rate)
	require.False(t, d.Kinds[4].Repeatable)
}

func TestDefaults(t *testing.T) {
	d := good(t, "lifts.hujson")
	require.Equal(t, clock.Milli(30000), d.Limits.Idle)
	require.Equal(t, int64(32<<20), d.Limits.Body)
	require.Equal(t, decide.Tokens(512), d.Kinds[2].Output)

	d, ps := Parse([]byte(`{"workspaces": [{"name": "w"}]}`), "")
	require.Empty(t, ps)
	require.Equal(t, 1.0, d.Workspaces[0].Weight)
}

func TestParseRefusesWhatTheStoreCannotHold(t *testing.T) {
	_, ps := Parse([]byte(`{}`+strings.Repeat(" ", MaxSize)), "big")
	require.Len(t, ps, 1)
	require.Contains(t, ps[0].Text, "1048576")
}

func TestIndex(t *testing.T) {
	x := NewIndex(good(t, "directorate.hujson"))
	w, ok := x.WorkspaceByKey("test")
	require.True(t, ok)
	require.Equal(t, "ward-inspectors", w.Name)
	_, ok = x.WorkspaceByKey("tesu")
	require.False(t, ok)
	_, ok = x.WorkspaceByKey("")
	require.False(t, ok)

	k, ok := x.Kind("")
	require.True(t, ok)
	require.Equal(t, "ward-draft", k.Name)
	_, ok = x.Kind("nothing")
	require.False(t, ok)

	m, ok := x.Model("notice-writer")
	require.True(t, ok)
	require.Equal(t, decide.Tokens(1100000), m.Context)
	s, ok := x.Service("alert-desk")
	require.True(t, ok)
	require.Equal(t, "sms-notice", s.Kind)
	u, ok := x.Upstream("runner-02")
	require.True(t, ok)
	require.Equal(t, peer.PoolID("notice-writer@tvm-hall"), u.Pool())

	us := x.Upstreams("notice-writer@tvm-hall")
	require.Len(t, us, 2)
	require.Equal(t, "runner-01", us[0].Name)
	require.Empty(t, x.Upstreams("notice-writer@kochi-hall"))
	require.Equal(t, []peer.PoolID{"alert-desk@kochi-hall", "notice-writer@tvm-hall"}, x.Pools())
	require.Equal(t, []peer.Domain{"tvm-hall"}, x.Domains("notice-writer"))

	desk, ok := x.Workspace("sms-desk")
	require.True(t, ok)
	require.True(t, desk.AllowsKind("sms-notice"))
	require.False(t, desk.AllowsKind("lab-summary"))
	require.True(t, desk.AllowsModel("notice-writer"))
}

func TestHash(t *testing.T) {
	require.Equal(t, "sha256:9f86d081884c7d659a2feaa0c55ad015a3bf4f1b2b0b822cd15d6c15b0f00a08", HashKey("test"))
}

// A document comes from a person's editor or, after a fault of the store, cut
// or mixed up. Whatever the bytes, a daemon must refuse it rather than crash.
func FuzzParse(f *testing.F) {
	files, err := filepath.Glob("testdata/*/*.hujson")
	require.NoError(f, err)
	for _, file := range files {
		text, err := os.ReadFile(file)
		require.NoError(f, err)
		f.Add(text)
	}
	f.Fuzz(func(t *testing.T, text []byte) {
		d, ps := Parse(text, "fuzz")
		require.Equal(t, d == nil, len(ps) > 0)
		for _, p := range ps {
			require.NotContains(t, p.String(), "\n")
			require.Positive(t, p.Line)
		}
		if d != nil {
			NewIndex(d)
		}
	})
}

func TestSchemaAgreesWithParse(t *testing.T) {
	s, err := Schema()
	require.NoError(t, err)
	r, err := s.Resolve(nil)
	require.NoError(t, err)
	verdict := func(text []byte) error {
		text, err := hujson.Standardize(text)
		require.NoError(t, err)
		var value any
		require.NoError(t, json.Unmarshal(text, &value))
		return r.Validate(value)
	}
	for _, name := range []string{"directorate", "lifts"} {
		text, err := os.ReadFile(filepath.Join(examples, name+".hujson"))
		require.NoError(t, err)
		require.NoError(t, verdict(text), name)
	}
	for _, name := range []string{"unknown", "types", "bounds", "missing", "keys", "list"} {
		text, err := os.ReadFile("testdata/bad/" + name + ".hujson")
		require.NoError(t, err)
		require.Error(t, verdict(bytes.ReplaceAll(text, []byte("1e400"), []byte("1e300"))), name)
	}
}

// The table of fields and the structs are written apart. A field that stood in
// one alone would be read without its bounds, or have bounds that never apply.
func TestEveryFieldHasItsRow(t *testing.T) {
	var found []string
	var walk func(reflect.Type, string)
	walk = func(s reflect.Type, path string) {
		for i := range s.NumField() {
			f := s.Field(i)
			name, _, _ := strings.Cut(f.Tag.Get("json"), ",")
			at := dot(path, name)
			found = append(found, at)
			elem := f.Type
			if elem.Kind() == reflect.Slice {
				elem = elem.Elem()
			}
			if elem.Kind() == reflect.Struct {
				walk(elem, at)
			}
		}
	}
	walk(reflect.TypeFor[Document](), "")
	var rows []string
	for at := range fields {
		rows = append(rows, at)
	}
	require.ElementsMatch(t, found, rows)
}

func TestCompare(t *testing.T) {
	a := good(t, "directorate.hujson")
	b := good(t, "directorate.hujson")
	changes, err := Compare(a, b)
	require.NoError(t, err)
	require.Empty(t, changes)

	b.Kinds[0], b.Kinds[1] = b.Kinds[1], b.Kinds[0]
	b.Kinds[1].TimeLimit = 5
	b.Upstreams = b.Upstreams[:2]
	b.Workspaces[1].Kinds = []string{"sms-notice"}
	changes, err = Compare(a, b)
	require.NoError(t, err)
	var lines []string
	for _, c := range changes {
		lines = append(lines, c.String())
	}
	require.Contains(t, lines, `~ kinds (default): "ward-draft" -> "alert-lookup"`)
	require.Contains(t, lines, `~ kinds.ward-draft.allowed: 600000 -> 5`)
	require.Contains(t, lines, `- upstreams.desk-01.address: "10.3.0.21:8080"`)
	require.Contains(t, lines, `- workspaces.sms-desk.kinds.alert-lookup: true`)
}

func TestSetDrainChangesNothingElse(t *testing.T) {
	text, err := os.ReadFile(filepath.Join(examples, "directorate.hujson"))
	require.NoError(t, err)
	before := good(t, "directorate.hujson")
	for _, name := range []string{"runner-01", "desk-01"} {
		drained, err := SetDrain(text, name, true)
		require.NoError(t, err)
		require.Equal(t, bytes.Count(text, []byte("//")), bytes.Count(drained, []byte("//")))
		after, ps := Parse(drained, "")
		require.NoError(t, ps.Err(), string(drained))
		changes, err := Compare(before, after)
		require.NoError(t, err)
		require.Equal(t, []Change{{"upstreams." + name + ".drain", "false", "true"}}, changes)

		back, err := SetDrain(drained, name, false)
		require.NoError(t, err)
		require.Contains(t, string(back), `"drain": false`)
	}
	_, err = SetDrain(text, "nobody", true)
	require.ErrorContains(t, err, "nobody")
}
