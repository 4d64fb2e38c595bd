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
	configurationPage = "../../docs/CONFIGURATION.md"
	fieldsBegin       = "<!-- fields of the document: written by go test ./document -update -->\n"
	fieldsEnd         = "<!-- end of the fields -->\n"
)

// Operators rely on the list of fields in the documentation. The test compares it with the table
// that Parse uses, so that no bound changes without the documentation.
func TestConfigurationPageListsEveryField(t *testing.T) {
	text, err := os.ReadFile(configurationPage)
	require.NoError(t, err)
	head, rest, ok := strings.Cut(string(text), fieldsBegin)
	require.True(t, ok)
	_, tail, ok := strings.Cut(rest, fieldsEnd)
	require.True(t, ok)
	want := head + fieldsBegin + fieldTables() + fieldsEnd + tail
	if *update {
		require.NoError(t, os.WriteFile(configurationPage, []byte(want), 0o644))
		return
	}
	require.Equal(t, want, string(text))
}

// tables are the top-level fields of the document in the order of the documentation.
var tables = []string{"domains", "models", "services", "kinds", "workspaces", "upstreams", "limits"}

func fieldTables() string {
	var b strings.Builder
	for _, table := range tables {
		fmt.Fprintf(&b, "\n### %s\n\n%s.\n\n", table, capitalize(fieldTable[table].Description))
		b.WriteString("| field | unit | default | bounds | meaning |\n| --- | --- | --- | --- | --- |\n")
		for _, path := range sortedPaths() {
			f := fieldTable[path]
			if strings.HasPrefix(path, table+".") {
				fmt.Fprintf(&b, "| `%s` | %s | %s | %s | %s |\n", path, orDefault(f.Unit, "-"), defaultText(f), boundsText(f), f.Description)
			}
		}
	}
	b.WriteString("\n")
	return b.String()
}

func sortedPaths() []string {
	var paths []string
	for path := range fieldTable {
		paths = append(paths, path)
	}
	slices.Sort(paths)
	return paths
}

func capitalize(text string) string { return strings.ToUpper(text[:1]) + text[1:] }

func orDefault(text, other string) string {
	if text == "" {
		return other
	}
	return text
}

func defaultText(f strict.Field) string {
	switch {
	case f.Required:
		return "needed"
	case f.Default != nil:
		return fmt.Sprint(f.Default)
	default:
		return "none"
	}
}

func boundsText(f strict.Field) string {
	switch {
	case f.Max <= f.Min:
		return "-"
	case f.Unit == "" && f.Max == maxNameLen:
		return fmt.Sprintf("%.0f to %.0f bytes", f.Min, f.Max)
	default:
		return fmt.Sprintf("%.0f to %.0f", f.Min, f.Max)
	}
}
