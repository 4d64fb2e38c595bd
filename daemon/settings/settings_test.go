package settings

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

const validSettings = `{"name":"vm-1","domain":"hall","caller":"127.0.0.1:1","operator":"127.0.0.1:2","peer":"127.0.0.1:3","platform":"127.0.0.1:4" /* all that is needed */}`

func TestOmittedFieldsGetDefaults(t *testing.T) {
	s, err := Parse([]byte(validSettings), "vm.hujson")
	require.NoError(t, err)
	require.EqualValues(t, 3000, s.Grace)
	require.Equal(t, s.Peer, s.Advertise)
	require.Equal(t, s.Operator, s.Contact)
}

// A daemon listens on every address of its VM, such as 0.0.0.0, and would advertise that address.
// The other daemons would connect to themselves, and operators would see one VM under every name.
func TestAdvertisedAddressesMustBeReachable(t *testing.T) {
	for _, wild := range []string{"0.0.0.0:3", "[::]:3", "[::ffff:0.0.0.0]:3", "127.0.0.1:0"} {
		text := strings.NewReplacer("127.0.0.1:2", wild, "127.0.0.1:3", wild).Replace(validSettings)
		_, err := Parse([]byte(text), "vm.hujson")
		require.ErrorContains(t, err, "vm.hujson:1: advertise: is needed, since peer is "+wild)
		require.ErrorContains(t, err, "vm.hujson:1: contact: is needed, since operator is "+wild)

		advertised := strings.Replace(text, "{", `{"advertise":"10.0.0.7:3","contact":"10.0.0.7:2",`, 1)
		s, err := Parse([]byte(advertised), "vm.hujson")
		require.NoError(t, err)
		require.Equal(t, "10.0.0.7:3", s.Advertise)
		require.Equal(t, "10.0.0.7:2", s.Contact)

		advertised = strings.Replace(text, "{", `{"advertise":"`+wild+`","contact":"10.0.0.7:2",`, 1)
		_, err = Parse([]byte(advertised), "vm.hujson")
		require.ErrorContains(t, err, "advertise: is what others connect to")
	}
}

func TestAllProblemsAreReportedTogether(t *testing.T) {
	_, err := Parse([]byte(`{"name":"VM 1","peers":["nowhere"],"grace":-1,"tls":{"ca":"x"}}`), "vm.hujson")
	require.Error(t, err)
	require.ErrorContains(t, err, "vm.hujson:1: grace: is -1: use 0 to 300000 milliseconds")
	for _, f := range []string{"name", "domain", "caller", "operator", "peer:", "platform", "peers[0]", "grace", "tls"} {
		require.ErrorContains(t, err, f)
	}
}

// Operators copy the default file. A default in the file that differs from the one that the parser
// applies would mislead them.
func TestDefaultFileMatchesDefaults(t *testing.T) {
	text := strings.NewReplacer(`"name": ""`, `"name": "vm-1"`, `"domain": ""`, `"domain": "hall"`, `"caller": ""`, `"caller": "127.0.0.1:1"`,
		`"operator": ""`, `"operator": "127.0.0.1:2"`, `"peer": ""`, `"peer": "127.0.0.1:3"`, `"platform": ""`, `"platform": "127.0.0.1:4"`).Replace(string(Default))
	file, err := Parse([]byte(text), "default.hujson")
	require.NoError(t, err)
	bare, err := Parse([]byte(validSettings), "good.hujson")
	require.NoError(t, err)
	file.Peers = nil
	require.Equal(t, bare, file)
}

func TestUnknownFieldIsRejected(t *testing.T) {
	_, err := Parse([]byte(`{"titel":"vm-1"}`), "vm.hujson")
	require.ErrorContains(t, err, "titel")
}

func FuzzParse(f *testing.F) {
	f.Add([]byte(validSettings))
	f.Fuzz(func(_ *testing.T, b []byte) { _, _ = Parse(b, "fuzz") })
}
