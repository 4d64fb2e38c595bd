package logline

import (
	"os"
	"os/exec"
	"regexp"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// An event that the page of operations leaves out is a line that nobody on call understands.
func TestThePageNamesEveryEvent(t *testing.T) {
	page, err := os.ReadFile("../../docs/OPERATIONS.md")
	require.NoError(t, err)
	for event, meaning := range Descriptions {
		require.Contains(t, string(page), "| `"+event+"` | "+meaning+" |")
	}
}

// A daemon that writes an event of its own making is out of the reach of the command that explains.
func TestNoEventIsWrittenOutsideTheTable(t *testing.T) {
	out, err := exec.Command("grep", "-rnE", `Str\("event"`, "--include=*.go", "../../daemon").Output()
	require.Error(t, err, "grep finds nothing: %s", out)
	source, err := os.ReadFile("logline.go")
	require.NoError(t, err)
	for _, m := range regexp.MustCompile(`(?m)^\t(\w+) +=? +"(\w+)"$`).FindAllStringSubmatch(string(source), -1) {
		if m[1] != "Key" {
			require.Contains(t, Descriptions, strings.ToLower(m[2]))
		}
	}
}
