package document

import (
	"fmt"
	"os"
	"slices"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"snipeshift.example/lib/strict"
)

const (
	page      = "../../docs/CONFIGURATION.md"
	pageBegin = "<!-- fields of the document: written by go test ./document -update -->\n"
	pageEnd   = "<!-- end of the fields -->\n"
)

// The page of fields is what operators go by. It is held to the table that the
// reader checks by, so that a bound cannot change without its page.
func TestConfigurationPageListsEveryField(t *testing.T) {
	text, err := os.ReadFile(page)
	require.NoError(t, err)
	head, rest, ok := strings.Cut(string(text), pageBegin)
	require.True(t, ok)
	_, tail, ok := strings.Cut(rest, pageEnd)
	require.True(t, ok)
	want := head + pageBegin + rows() + pageEnd + tail
	if *update {
		require.NoError(t, os.WriteFile(page, []byte(want), 0o644))
		return
	}
	require.Equal(t, want, string(text))
}

// tables are the document's tables in the order of the page.
var tables = []string{"domains", "models", "services", "kinds", "workspaces", "upstreams", "limits"}

func rows() string {
	var b strings.Builder
	for _, table := range tables {
		fmt.Fprintf(&b, "\n### %s\n\n%s.\n\n", table, upper(fields[table].Description))
		b.WriteString("| field | unit | default | bounds | meaning |\n| --- | --- | --- | --- | --- |\n")
		for _, path := range sorted() {
			f := fields[path]
			if strings.HasPrefix(path, table+".") {
				fmt.Fprintf(&b, "| `%s` | %s | %s | %s | %s |\n", path, or(f.Unit, "-"), initial(f), limits(f), f.Description)
			}
		}
	}
	b.WriteString("\n")
	return b.String()
}

func sorted() []string {
	var paths []string
	for path := range fields {
		paths = append(paths, path)
	}
	slices.Sort(paths)
	return paths
}

func upper(text string) string { return strings.ToUpper(text[:1]) + text[1:] }

func or(text, other string) string {
	if text == "" {
		return other
	}
	return text
}

func initial(f strict.Field) string {
	switch {
	case f.Required:
		return "needed"
	case f.Default != nil:
		return fmt.Sprint(f.Default)
	default:
		return "none"
	}
}

func limits(f strict.Field) string {
	switch {
	case f.Max <= f.Min:
		return "-"
	case f.Unit == "" && f.Max == maxName:
		return fmt.Sprintf("%.0f to %.0f bytes", f.Min, f.Max)
	default:
		return fmt.Sprintf("%.0f to %.0f", f.Min, f.Max)
	}
}
