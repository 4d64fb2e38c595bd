package settings

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

const good = `{"name":"vm-1","domain":"hall","caller":"127.0.0.1:1","operator":"127.0.0.1:2","peer":"127.0.0.1:3","platform":"127.0.0.1:4" /* all that is needed */}`

func TestDefaultsFillWhatTheFileLeavesOut(t *testing.T) {
	s, err := Parse([]byte(good), "vm.hujson")
	require.NoError(t, err)
	require.EqualValues(t, 3000, s.Grace)
	require.Equal(t, s.Peer, s.Advertise)
	require.Equal(t, s.Operator, s.Contact)
}

// A daemon listens on every address of its VM and tells the others that very
// address. They would connect to themselves, and operators would see one VM in
// the place of all.
func TestAddressesThatOthersAreToldCanBeReached(t *testing.T) {
	for _, wild := range []string{"0.0.0.0:3", "[::]:3", "[::ffff:0.0.0.0]:3", "127.0.0.1:0"} {
		text := strings.NewReplacer("127.0.0.1:2", wild, "127.0.0.1:3", wild).Replace(good)
		_, err := Parse([]byte(text), "vm.hujson")
		require.ErrorContains(t, err, "vm.hujson:1: advertise: is needed, since peer is "+wild)
		require.ErrorContains(t, err, "vm.hujson:1: contact: is needed, since operator is "+wild)

		told := strings.Replace(text, "{", `{"advertise":"10.0.0.7:3","contact":"10.0.0.7:2",`, 1)
		s, err := Parse([]byte(told), "vm.hujson")
		require.NoError(t, err)
		require.Equal(t, "10.0.0.7:3", s.Advertise)
		require.Equal(t, "10.0.0.7:2", s.Contact)

		told = strings.Replace(text, "{", `{"advertise":"`+wild+`","contact":"10.0.0.7:2",`, 1)
		_, err = Parse([]byte(told), "vm.hujson")
		require.ErrorContains(t, err, "advertise: is what others connect to")
	}
}

func TestAllProblemsComeAtOnce(t *testing.T) {
	_, err := Parse([]byte(`{"name":"VM 1","peers":["nowhere"],"grace":-1,"tls":{"ca":"x"}}`), "vm.hujson")
	require.Error(t, err)
	require.ErrorContains(t, err, "vm.hujson:1: grace: is -1: use 0 to 300000 milliseconds")
	for _, f := range []string{"name", "domain", "caller", "operator", "peer:", "platform", "peers[0]", "grace", "tls"} {
		require.ErrorContains(t, err, f)
	}
}

// The file of defaults is what operators copy. A default that differed there
// from the one in force would mislead them.
func TestTheFileOfDefaultsIsTrue(t *testing.T) {
	text := strings.NewReplacer(`"name": ""`, `"name": "vm-1"`, `"domain": ""`, `"domain": "hall"`, `"caller": ""`, `"caller": "127.0.0.1:1"`,
		`"operator": ""`, `"operator": "127.0.0.1:2"`, `"peer": ""`, `"peer": "127.0.0.1:3"`, `"platform": ""`, `"platform": "127.0.0.1:4"`).Replace(string(Default))
	file, err := Parse([]byte(text), "default.hujson")
	require.NoError(t, err)
	bare, err := Parse([]byte(good), "good.hujson")
	require.NoError(t, err)
	file.Peers = nil
	require.Equal(t, bare, file)
}

func TestUnknownFieldIsRefused(t *testing.T) {
	_, err := Parse([]byte(`{"titel":"vm-1"}`), "vm.hujson")
	require.ErrorContains(t, err, "titel")
}

func FuzzParse(f *testing.F) {
	f.Add([]byte(good))
	f.Fuzz(func(_ *testing.T, b []byte) { _, _ = Parse(b, "fuzz") })
}
