package member

import (
	"testing"

	"github.com/stretchr/testify/require"

	"snipeshift.example/lib/platform"
	"snipeshift.example/lib/platform/platformtest"
)

// A VM starts while the store is out. The addresses of its settings, and those
// of the last list it read, are all that leads it to its peers.
func TestSeedsOutliveAnOutageOfTheList(t *testing.T) {
	s := platformtest.New()
	s.SetVMs(
		platform.VM{Name: "a", Role: platform.Entry, Address: "127.0.0.1:1", State: platform.Live},
		platform.VM{Name: "b", Role: platform.Entry, Address: "127.0.0.1:2", State: platform.Leaving},
		platform.VM{Name: "c", Role: platform.Upstream, Address: "127.0.0.1:3", State: platform.Live},
	)
	l := NewSeedList([]string{"127.0.0.1:9"}, s)
	s.SetOutage(true)
	require.Equal(t, []string{"127.0.0.1:9"}, l.Seeds(t.Context()))
	s.SetOutage(false)
	want := []string{"127.0.0.1:9", "127.0.0.1:1"}
	require.Equal(t, want, l.Seeds(t.Context()))
	s.SetOutage(true)
	require.Equal(t, want, l.Seeds(t.Context()))
}
