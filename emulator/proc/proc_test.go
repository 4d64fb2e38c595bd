package proc

import (
	"os"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestOfThisProcess(t *testing.T) {
	u, err := ReadUsage(os.Getpid())
	require.NoError(t, err)
	require.Greater(t, u.Memory, int64(1<<20))
	_, err = ReadUsage(-1)
	require.Error(t, err)
}

func TestParseTakesAnyName(t *testing.T) {
	u, err := parse("7 (a) b) S 1 2 3 4 5 6 7 8 9 10 50 25 0 0 0 0 0 0 0 0 3 0")
	require.NoError(t, err)
	require.Equal(t, 750*time.Millisecond, u.Processor)
	require.Equal(t, int64(3*os.Getpagesize()), u.Memory)
	_, err = parse("7 (a) S 1")
	require.Error(t, err)
}
