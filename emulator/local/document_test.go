package local

import (
	"crypto/sha256"
	"encoding/hex"
	"net/netip"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/require"

	"snipeshift.example/emulator/settings"
	"snipeshift.example/lib/document"
)

// examples is where users find the documents.
const examples = "../../examples"

func TestExamplesHaveTheSizesOfTheDeployments(t *testing.T) {
	for _, d := range []Deployment{Directorate, Indus} {
		doc, err := Example(d)
		require.NoError(t, err)
		require.Len(t, doc.Upstreams, 23)
		require.Len(t, doc.Workspaces, 10)
		require.Len(t, domains(doc), 3)
		require.False(t, allRepeat(doc), "some calls may not be repeated")
		for _, w := range doc.Workspaces {
			sum := sha256.Sum256([]byte(APIKey(w.Name)))
			require.Equal(t, []string{"sha256:" + hex.EncodeToString(sum[:])}, w.Keys)
		}
		var shown document.Document
		require.NoError(t, settings.Load(filepath.Join(examples, string(d), "document.hujson"), nil, &shown))
		require.Equal(t, doc, shown)
		var daemon DaemonSettings
		require.NoError(t, settings.Load(filepath.Join(examples, string(d), "daemon.hujson"), nil, &daemon))
		require.Contains(t, domains(doc), daemon.Domain)
	}
	_, err := Example("elsewhere")
	require.Error(t, err)
}

func allRepeat(doc document.Document) bool {
	for _, k := range doc.Kinds {
		if !k.Repeatable {
			return false
		}
	}
	return true
}

func TestResizeKeepsSeveralDomains(t *testing.T) {
	doc, err := Example(Directorate)
	require.NoError(t, err)
	small := resize(doc, 3, 1)
	require.Len(t, small.Upstreams, 4)
	require.Len(t, domains(small), 3)
	large := resize(doc, 50, 7)
	names := map[string]bool{}
	for _, u := range large.Upstreams {
		names[u.Name] = true
	}
	require.Len(t, names, 57)
}

// A daemon's port is chosen before the daemon listens. If any connection on the
// machine can get the same port in between, deployments of many daemons fail to start.
func TestChosenPortsAreOutsideThoseOfConnections(t *testing.T) {
	got, err := freeAddresses(t.Context(), "127.0.0.1:0", "127.0.0.1:0")
	require.NoError(t, err)
	require.NotEqual(t, got[0], got[1])
	for _, a := range got {
		port, err := netip.ParseAddrPort(a)
		require.NoError(t, err)
		require.GreaterOrEqual(t, port.Port(), uint16(firstPort))
		require.Less(t, port.Port(), uint16(lastPort))
	}
}
