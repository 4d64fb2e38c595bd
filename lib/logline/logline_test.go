package logline

import (
	"os"
	"os/exec"
	"regexp"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// The operations manual must describe every event, or on-call engineers can't interpret its log lines.
func TestOperationsManualDescribesEveryEvent(t *testing.T) {
	page, err := os.ReadFile("../../docs/OPERATIONS.md")
	require.NoError(t, err)
	for event, meaning := range Descriptions {
		require.Contains(t, string(page), "| `"+event+"` | "+meaning+" |")
	}
}

// snipeshift explain can't interpret events that are not in the table, so daemons must not write the
// name of an event as a literal.
func TestDaemonWritesOnlyEventsOfTable(t *testing.T) {
	out, err := exec.Command("grep", "-rnE", `Str\("event"`, "--include=*.go", "../../daemon").Output()
	require.Error(t, err, "grep must find nothing: %s", out)
	source, err := os.ReadFile("logline.go")
	require.NoError(t, err)
	for _, m := range regexp.MustCompile(`(?m)^\t(\w+) +=? +"(\w+)"$`).FindAllStringSubmatch(string(source), -1) {
		if m[1] != "Key" {
			require.Contains(t, Descriptions, strings.ToLower(m[2]))
		}
	}
}
