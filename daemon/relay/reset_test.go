package relay

import (
	"net/http"
	"strings"
	"testing"

	"github.com/phuslu/log"
	"github.com/stretchr/testify/require"

	"snipeshift.example/daemon/tunnel"
	"snipeshift.example/lib/clock"
	"snipeshift.example/lib/dial/dialtest"
	"snipeshift.example/lib/peer"
)

// uploadBytes is the size of a request body that is still being written when its upstream responds.
const uploadBytes = 3 << 20

// soleMember is the list of VMs of a fleet of one.
type soleMember struct{}

func (soleMember) Live() []peer.Member { return nil }
func (soleMember) Self() peer.Member   { return peer.Member{} }

// noUpstreams lists no upstream for other VMs.
type noUpstreams struct{}

func (noUpstreams) Addresses() []string       { return nil }
func (noUpstreams) Usable(string) bool        { return false }
func (noUpstreams) Domain(string) peer.Domain { return "" }

// newUploadFixture returns a fixture that takes large requests and connects to upstreams as a daemon does. Reads wait for
// failed writes after a number of bytes.
func newUploadFixture(t *testing.T, after int, upstreams ...http.HandlerFunc) *fixture {
	t.Helper()
	w := newFixture(t, upstreams...)
	d := tunnel.NewDialer(tunnel.Needs{
		Clock: clock.Boot{}, Log: &log.Logger{Level: log.FatalLevel}, Members: soleMember{}, Upstreams: noUpstreams{}, Direct: dialtest.LateWrites(after),
	})
	pooled, unpooled := NewTransport(d.Dial), NewTransport(d.Dial)
	unpooled.DisableKeepAlives = true
	t.Cleanup(pooled.CloseIdleConnections)
	w.deps.Pooled, w.deps.Unpooled = pooled, unpooled
	w.start()
	w.gate.bounds.BodyBytes = 1 << 30
	return w
}

// An upstream responds without a length while the request is still being written, sends a part of the response and resets the
// connection. The client must not get that part as a complete response.
func TestResponseResetDuringUploadIsNotComplete(t *testing.T) {
	for name, x := range map[string]struct {
		path, part string
		after      int
	}{
		"once":       {"/once/x", "part", 1},
		"repeatable": {"/again/x", "part", 1},
		"stream":     {"/stream1/x", eventText(1, 2), 1},
		"resumable":  {"/stream/x", eventText(1, 2), 1},
		"large":      {"/once/x", strings.Repeat("x", 2*bufferLimit), bufferLimit + bufferStep},
	} {
		t.Run(name, func(t *testing.T) {
			h := dialtest.ResetDuringUpload(unframedHead + x.part)
			w := newUploadFixture(t, x.after, h, h)
			resp, body, err := w.call(http.MethodPost, x.path, strings.Repeat("x", uploadBytes))
			complete := err == nil && resp.StatusCode == http.StatusOK
			require.False(t, complete, "%d bytes passed for a complete response", len(body))
		})
	}
}
