package expect

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

func TestAnswerIsItsPromptsOwn(t *testing.T) {
	a := SeedOf("ward 7").Answer(5)
	require.Len(t, a, 5*TokenBytes)
	require.Equal(t, a, SeedOf("ward 7").Answer(5))
	require.NotEqual(t, a, SeedOf("ward 8").Answer(5))
	require.Equal(t, a[4:8], SeedOf("ward 7").Token(1))
}

func TestCheckTellsShortFromForeign(t *testing.T) {
	a := SeedOf("ward 7").Answer(5)
	require.NoError(t, Check("ward 7", a, 5))
	require.ErrorContains(t, Check("ward 7", a[:8], 5), "stops after 8 of 20")
	require.ErrorContains(t, Check("ward 7", a+"x", 5), "differs")
	require.ErrorContains(t, Check("ward 7", strings.Repeat("aaa ", 5), 5), "differs")
}

func TestTokensRoundUp(t *testing.T) {
	require.Equal(t, 0, Tokens(""))
	require.Equal(t, 1, Tokens("a"))
	require.Equal(t, 2, Tokens("abcde"))
}
