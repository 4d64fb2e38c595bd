package fault

import (
	"errors"
	"fmt"
	"os"
	"regexp"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

func TestEveryKindHasAnAnswer(t *testing.T) {
	for _, k := range Kinds() {
		a := Lookup(k)
		require.GreaterOrEqual(t, a.Status, 400, k)
		require.NotEmpty(t, a.Ran, k)
	}
}

// Callers decide by the page whether to send a request again. A row that differed
// from the table would make them double a notice, or give one up that had not run.
func TestPageOfTheAPIListsEveryKind(t *testing.T) {
	text, err := os.ReadFile("../../docs/API.md")
	require.NoError(t, err)
	_, errorsPart, ok := strings.Cut(string(text), "## Errors\n")
	require.True(t, ok)
	errorsPart, _, _ = strings.Cut(errorsPart, "\n## ")
	rows := regexp.MustCompile("(?m)^\\| `(\\w+)` \\| (\\d+) \\| (\\w+) \\| (yes|no) \\|").FindAllStringSubmatch(errorsPart, -1)
	require.Len(t, rows, len(Kinds()))
	again := map[string]bool{"yes": true, "no": false}
	listed := map[Kind]bool{}
	for _, r := range rows {
		k := Kind(r[1])
		require.Contains(t, answers, k)
		a := Lookup(k)
		require.Equal(t, r[2:4], []string{fmt.Sprint(a.Status), string(a.Ran)}, k)
		require.Equal(t, again[r[4]], a.Retryable, k)
		listed[k] = true
	}
	require.Len(t, listed, len(rows), "a kind stands twice")
}

func TestFromFindsAWrappedError(t *testing.T) {
	e := New(Overloaded, "no room")
	require.Equal(t, e, From(fmt.Errorf("gate: %w", e)))
	require.Equal(t, Internal, From(errors.New("other")).Kind)
}
