package peer

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"snipeshift.example/lib/route"
)

// A change of a document with 1,100 routes goes to every VM of a fleet, many of them with a link of 20 Mbit/s. As net/rpc writes it, it
// takes 65 KB, and heartbeats wait behind it.
func TestADocumentIsSmallOnTheWire(t *testing.T) {
	d := &route.Document{Revision: 7}
	for i := range 1100 {
		n := i * 7919 % 9973
		d.Routes = append(d.Routes, route.Route{
			Name: fmt.Sprintf("route-%d", n), Host: fmt.Sprintf("h%d.example", n%40), Prefix: fmt.Sprintf("/p%d/q%d/", n, i),
			Targets: []route.Target{{Service: route.ServiceID(fmt.Sprintf("s%d", i%6)), Weight: 1}}, Timeout: 10_000, Aim: 300, Attempts: 2,
		})
	}
	b, err := PackDocument(d)
	require.NoError(t, err)
	require.Less(t, len(b), 16_000)
	back, err := UnpackDocument(b)
	require.NoError(t, err)
	require.Equal(t, d, back)
}
