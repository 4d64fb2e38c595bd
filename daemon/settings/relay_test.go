package settings

import (
	"os"
	"regexp"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"snipeshift.example/lib/decide"
)

const validRelaySettings = `{"name":"vm-1","domain":"hall","caller":"127.0.0.1:1","ready":"127.0.0.1:2","peer":"127.0.0.1:3","store":"127.0.0.1:4"}`

func TestRelayDefaults(t *testing.T) {
	s, err := ParseRelay([]byte(validRelaySettings), "vm.hujson")
	require.NoError(t, err)
	require.Equal(t, Bounds{Config: 2000, Revoke: 5000, Grace: 8000}, s.Bounds)
	require.Equal(t, Budget{Share: 0.2, Floor: 100, Window: 10_000}, s.Budget)
	require.Equal(t, Bookings{Horizon: 0, Limit: 256}, s.Bookings)
	require.Equal(t, 256, s.Memory)
	require.Equal(t, 8, s.Responses)
	require.False(t, s.Forecast.Enabled)
	require.False(t, s.Locality.Enabled)
	require.False(t, s.Recovery.Enabled)
}

func TestAllRelayProblemsAreReportedTogether(t *testing.T) {
	_, err := ParseRelay([]byte(`{"name":"VM 1","peers":["nowhere"],"peer":"0.0.0.0:3","metrics":"x","bounds":{"revoke":0},"budget":{"share":2},"bookings":{"horizon":10001,"limit":0},"forecast":{"enabled":1},"locality":{"enabled":"yes"},"recovery":{"enabled":1}}`), "vm.hujson")
	require.Error(t, err)
	for _, f := range []string{"name", "domain", "caller", "ready", "store", "peers[0]", "advertise: is needed, since peer", "metrics", "bounds.revoke", "budget.share", "bookings.horizon", "bookings.limit", "forecast.enabled", "locality.enabled", "recovery.enabled"} {
		require.ErrorContains(t, err, f)
	}
}

// If the settings template of the deployment names a field that the parser does not know, no VM
// starts, and the error appears only when the platform fills in the template.
func TestDeploymentTemplateYieldsValidSettings(t *testing.T) {
	text, err := os.ReadFile("../../deploy/node.hujson")
	require.NoError(t, err)
	values := map[string]string{
		"node_name|json": `"edge-1"`, "zone|json": `"hall"`, "listen_addresses.frontend|json": `"10.0.0.1:1"`,
		"listen_addresses.ready|json": `"10.0.0.1:2"`, "listen_addresses.control_plane|json": `"10.0.0.1:3"`,
		"ip": "10.0.0.1", "internal_port_range.0": "7340", "platform.address|json": `"10.0.0.9:1"`,
		"seed_nodes|json": `["10.0.0.1:3","10.0.0.2:3"]`, "is_first_start|json": "true", "limits.memory_mb|json": "284", "limits.cpu_share|json": "0.4", "limits.link_mbps|json": "20.0", "bounds.config_propagation_ms|json": "2000",
		"bounds.revocation_ms|json": "5000", "bounds.grace_period_s|json": "8", "bounds.retry_budget_ratio|json": "0.2",
		"bounds.retry_budget_slack|json": "106", "bounds.budget_window_s|json": "10",
		"#bounds.evacuation_ms": "", ".": "5000", "/bounds.evacuation_ms": "",
		"#limits.file_descriptors": "", "/limits.file_descriptors": "",
	}
	filled := regexp.MustCompile(`\{\{([^}]+)\}\}`).ReplaceAllStringFunc(string(text), func(m string) string {
		v, ok := values[m[2:len(m)-2]]
		require.True(t, ok, m)
		return v
	})
	s, err := ParseRelay([]byte(filled), "node.hujson")
	require.NoError(t, err)
	require.EqualValues(t, 8000, s.Bounds.Grace)
	require.EqualValues(t, 5000, s.Bounds.Evacuation)
	require.Equal(t, "10.0.0.1:7340", s.Metrics)
	require.Len(t, s.Peers, 2)
	require.True(t, s.First)
	require.InDelta(t, 0.4, s.Cores, 0)
	require.InDelta(t, 20, s.Link, 0)
	require.Equal(t, 5000, s.Descriptors)
}

// A weight that is out of bounds would starve a workspace or all others. The error must name it.
func TestWeightsOfWorkspacesAreChecked(t *testing.T) {
	with := func(weights string) []byte {
		return []byte(validRelaySettings[:len(validRelaySettings)-1] + `,"shares":{"enabled":true,"weights":` + weights + `}}`)
	}
	s, err := ParseRelay(with(`{"a":0.5,"b":1000}`), "vm.hujson")
	require.NoError(t, err)
	require.Equal(t, Shares{Enabled: true, Weights: map[decide.WorkspaceID]float64{"a": 0.5, "b": 1000}}, s.Shares)
	_, err = ParseRelay(with(`{"a":0,"b":-1,"c":1000.5,"d":"x","e":1}`), "vm.hujson")
	for _, f := range []string{"shares.weights.a: is 0", "shares.weights.b: is -1", "shares.weights.c: is 1000.5", "shares.weights.d: must be a number"} {
		require.ErrorContains(t, err, f)
	}
	require.NotContains(t, err.Error(), "weights.e")
}

func FuzzParseRelay(f *testing.F) {
	f.Add([]byte(validRelaySettings))
	f.Fuzz(func(_ *testing.T, b []byte) { _, _ = ParseRelay(b, "fuzz") })
}

func TestRelaySpread(t *testing.T) {
	s, err := ParseRelay([]byte(validRelaySettings), "relay.json")
	require.NoError(t, err)
	require.False(t, s.Spread)
	_, err = ParseRelay([]byte(strings.Replace(validRelaySettings, "{", `{"spread": "yes",`, 1)), "relay.json")
	require.ErrorContains(t, err, "spread")
}
