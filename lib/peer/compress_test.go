package peer

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"snipeshift.example/lib/route"
)

// A document with 1,100 routes is sent to every VM after each change, to many of them over a link of 20 Mbit/s.
// Encoded by net/rpc it takes 65 KB and delays the heartbeats behind it.
func TestPackedDocumentIsSmall(t *testing.T) {
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
	unpacked, err := UnpackDocument(b)
	require.NoError(t, err)
	require.Equal(t, d, unpacked)
}
