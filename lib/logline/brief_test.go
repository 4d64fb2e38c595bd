package logline

import (
	"bytes"
	"encoding/json"
	stdlog "log"
	"os"
	"strings"
	"testing"

	"github.com/phuslu/log"
	"github.com/stretchr/testify/require"
)

// An upstream sends bytes on idle connections, and net/http writes them to the standard logger. The lines must be short, or
// they fill the queue and with it the memory.
func TestStandardLogIsRedirectedInShortLines(t *testing.T) {
	var out bytes.Buffer
	RedirectStandard(&log.Logger{Level: log.InfoLevel, Writer: &log.IOWriter{Writer: &out}})
	defer stdlog.SetOutput(os.Stderr)
	stdlog.Print(strings.Repeat("x", 1<<15))
	var line struct {
		Text string `json:"text"`
	}
	require.NoError(t, json.Unmarshal(out.Bytes(), &line))
	require.Len(t, line.Text, maxBrief)
}
