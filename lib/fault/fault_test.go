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

// Clients decide by the API documentation whether to send a request again. If its table differed from the
// code, they would send a request twice, or give up on one that had not run.
func TestAPIDocumentationMatchesAnswers(t *testing.T) {
	text, err := os.ReadFile("../../docs/API.md")
	require.NoError(t, err)
	_, errorsPart, ok := strings.Cut(string(text), "## Errors\n")
	require.True(t, ok)
	errorsPart, _, _ = strings.Cut(errorsPart, "\n## ")
	rows := regexp.MustCompile("(?m)^\\| `(\\w+)` \\| (\\d+) \\| (\\w+) \\| (yes|no) \\|").FindAllStringSubmatch(errorsPart, -1)
	require.Len(t, rows, len(Kinds()))
	retryable := map[string]bool{"yes": true, "no": false}
	listed := map[Kind]bool{}
	for _, r := range rows {
		k := Kind(r[1])
		require.Contains(t, answers, k)
		a := Lookup(k)
		require.Equal(t, r[2:4], []string{fmt.Sprint(a.Status), string(a.Ran)}, k)
		require.Equal(t, retryable[r[4]], a.Retryable, k)
		listed[k] = true
	}
	require.Len(t, listed, len(rows), "a kind is listed twice")
}

func TestFromUnwrapsError(t *testing.T) {
	e := New(Overloaded, "no room")
	require.Equal(t, e, From(fmt.Errorf("gate: %w", e)))
	require.Equal(t, Internal, From(errors.New("other")).Kind)
}
