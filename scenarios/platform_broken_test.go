package scenarios

import (
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"snipeshift.example/platform/standin"
	"snipeshift.example/scenarios/fleet"
)

const (
	// validHead begins a valid response, without its status and the empty line at its end.
	validHead = "X-Attempt-Id: %s\r\nX-Response-Signature: s.%s\r\nContent-Type: text/event-stream\r\n"
	// stolen is the body of responses that no client may get.
	stolen = "id: 1\ndata: stolen\n\n"
	// uploadBytes is the size of a body that is still being written when its runner responds.
	uploadBytes = 3 << 20
	// uploads is the number of such requests on each route.
	uploads = 6
)

// brokenRoutes are a stream, a route whose requests may be repeated, and one whose requests may not.
var brokenRoutes = []string{"draft", "lookup", "notice"}

// newBrokenFleet returns a fleet whose runners send a broken response. VMs connect to them without a relay between.
func newBrokenFleet(t *testing.T, b standin.BrokenResponse) *fleet.Fleet {
	t.Helper()
	f := newFleet(t, 2)
	for _, r := range f.Platform.Runners() {
		r.SetResponse(b)
		r.RegisterAt(r.ListenAddress())
	}
	for _, v := range f.VMs {
		require.Eventually(t, func() bool {
			return standin.NewClient("ward").Call(v.Caller, "lookup").Status == http.StatusBadGateway
		}, startTimeout, 20*time.Millisecond)
	}
	return f
}

// requireRefused calls a route until a runner has sent its response to the call. The VM may send nothing there for a moment after
// runners have failed.
func requireRefused(t *testing.T, v *fleet.VM, route, head string) {
	t.Helper()
	c := standin.NewClient("ward")
	defer c.Close()
	for until := time.Now().Add(startTimeout); time.Now().Before(until); time.Sleep(20 * time.Millisecond) {
		resp := c.Call(v.Caller, route)
		require.Contains(t, []int{http.StatusBadGateway, http.StatusServiceUnavailable}, resp.Status, "%s %q: %s", route, head, resp.Text)
		require.NotContains(t, resp.Text, "stolen")
		if resp.Status == http.StatusBadGateway {
			return
		}
	}
	require.Fail(t, "no runner got a call", "%s %q", route, head)
}

// Runners in trouble send responses with a malformed head. Clients must get a failure that the VM itself sends, neither that
// response nor a closed connection.
func TestPlatformMalformedHeadsAreRefused(t *testing.T) {
	f := newBrokenFleet(t, standin.BrokenResponse{Text: "garbage\r\n\r\n"})
	for _, head := range []string{
		"HTTP/1.1 000 Broken\r\n", "HTTP/1.1 200 OK\r\nA B: c\r\n", "HTTP/1.1 200 OK\r\nContent-Length : 3\r\n", "HTTP/1.1 200 OK\r\nA\x01: c\r\n",
	} {
		for _, r := range f.Platform.Runners() {
			r.SetResponse(standin.BrokenResponse{Text: head + validHead + "\r\n" + stolen})
		}
		for _, route := range brokenRoutes {
			requireRefused(t, f.VMs[0], route, head)
		}
	}
}

// Runners answer a long upload at once without a length, send a part of the body and reset the connection while the upload is
// still being written. No client may get that part as a complete response.
func TestPlatformResponsesResetDuringUploadAreNotComplete(t *testing.T) {
	f := newBrokenFleet(t, standin.BrokenResponse{Text: "HTTP/1.1 200 OK\r\n" + validHead + "\r\n" + stolen, DuringUpload: true})
	complete := map[string]int{}
	for _, route := range brokenRoutes {
		c := standin.NewClient("ward")
		for range uploads {
			if resp := c.CallWithBody(f.VMs[0].Caller, route, uploadBytes); resp.Status == http.StatusOK {
				complete[route]++
			}
		}
		c.Close()
	}
	require.Empty(t, complete, "of %d each", uploads)
}
