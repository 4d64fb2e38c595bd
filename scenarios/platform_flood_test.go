package scenarios

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"golang.org/x/sys/unix"

	"snipeshift.example/platform/standin"
	"snipeshift.example/scenarios/fleet"
)

// Sizes and times of the test of a VM that gets most new connections.
const (
	// floodDescriptors is the number of descriptors that each VM may open, floodConnections the number of connections that
	// open to one of them and carry nothing.
	floodDescriptors, floodConnections = 300, 400
	floodTime                          = 5 * time.Second
	floodInterval                      = 17 * time.Millisecond
	// refuseTime is how long a connection that is not served may stay open: a client gives a VM a second to read a request.
	refuseTime = time.Second
)

// flood keeps connections open to an address that carry nothing, and opens those again that are closed.
func flood(address string, stop chan struct{}) *sync.WaitGroup {
	var wg sync.WaitGroup
	for range floodConnections {
		wg.Go(func() {
			for {
				c, err := net.DialTimeout("tcp", address, time.Second)
				if err == nil {
					go func() { <-stop; _ = c.Close() }()
					_, _ = c.Read(make([]byte, 1))
					_ = c.Close()
				}
				select {
				case <-stop:
					return
				case <-time.After(200 * time.Millisecond):
				}
			}
		})
	}
	return &wg
}

// callOnce sends one request over a connection of its own.
func callOnce(v *fleet.VM) standin.Response {
	c := standin.NewClient("ward")
	defer c.Close()
	return c.Call(v.Caller, "lookup")
}

// Most new connections of a domain go to one VM, far more than it can serve; each of its clients must be served there, or be
// turned away at once, so that it is served by another VM.
func TestPlatformVMFloodedWithConnectionsTurnsClientsAway(t *testing.T) {
	f := newFleetWith(t, 3, func(f *fleet.Fleet) { f.Descriptors = floodDescriptors })
	requireServiceInFlood(t, f.VMs[0], f.VMs[1])
}

// The limit of descriptors is lowered while a VM runs, below what its listeners reckon with, and most new connections go to
// it. Accept fails at every listener; the process must live through it, and say so.
func TestPlatformVMOutOfDescriptorsServesOn(t *testing.T) {
	f := newFleet(t, 3)
	flooded := f.VMs[0]
	require.NoError(t, unix.Prlimit(flooded.Process.Pid(), unix.RLIMIT_NOFILE, &unix.Rlimit{Cur: floodDescriptors, Max: floodDescriptors}, nil))
	requireServiceInFlood(t, flooded, f.VMs[1])
	lines := flooded.Process.Grep(`"event":"accept"`)
	require.Len(t, lines, 1, "one line, however often Accept fails")
	require.Contains(t, metricsOf(t, flooded), `snipeshift_accept_failures_total{listener="clients"}`)
}

// Silent connections to the port for peers take all that a VM keeps for other VMs. Heartbeats, owners' answers and clients
// must go on, and the port must be free again as soon as the flood ends.
func TestPlatformPeerPortFloodedWithConnectionsServesOn(t *testing.T) {
	f := newFleetWith(t, 3, func(f *fleet.Fleet) { f.Descriptors = floodDescriptors })
	stop := make(chan struct{})
	silent := flood(f.VMs[0].PeerListener(), stop)
	time.Sleep(time.Second)
	for until := time.Now().Add(floodTime); time.Now().Before(until); time.Sleep(10 * floodInterval) {
		for _, v := range f.VMs {
			r := callOnce(v)
			require.Equal(t, http.StatusOK, r.Status, r.Text)
		}
	}
	for _, v := range f.VMs {
		require.True(t, v.Ready(), v.Name)
	}
	close(stop)
	silent.Wait()
}

// requireServiceInFlood opens hundreds of silent connections to a VM and requires that its clients are served there, or by
// another VM after they were turned away at once.
func requireServiceInFlood(t *testing.T, flooded, other *fleet.VM) {
	t.Helper()
	stop := make(chan struct{})
	silent := flood(flooded.Caller, stop)
	time.Sleep(time.Second)
	var mu sync.Mutex
	var wg sync.WaitGroup
	served, turnedAway := 0, 0
	var failed []string
	unready := false
	for until := time.Now().Add(floodTime); time.Now().Before(until); time.Sleep(floodInterval) {
		wg.Go(func() {
			r := callOnce(flooded)
			mu.Lock()
			defer mu.Unlock()
			switch {
			case r.Complete:
				served++
			case r.Status == 0 && r.Duration < refuseTime:
				turnedAway++
			default:
				failed = append(failed, fmt.Sprintf("%d %s after %v", r.Status, r.Text, r.Duration))
				return
			}
			if r.Complete {
				return
			}
			if again := callOnce(other); !again.Complete {
				failed = append(failed, fmt.Sprintf("second attempt: %d %s", again.Status, again.Text))
			}
		})
		if !unready {
			unready = !flooded.Ready()
		}
	}
	wg.Wait()
	close(stop)
	silent.Wait()
	t.Logf("%d served, %d turned away, %d failed", served, turnedAway, len(failed))
	require.Empty(t, failed)
	require.True(t, unready, "the balancer must learn that the VM has no room")
	require.Eventually(t, flooded.Ready, 15*time.Second, 100*time.Millisecond)
	for range 20 {
		r := callOnce(flooded)
		require.Equal(t, http.StatusOK, r.Status, r.Text)
	}
}

// metricsOf returns the metrics of a VM.
func metricsOf(t *testing.T, v *fleet.VM) string {
	t.Helper()
	resp, err := http.Get("http://" + v.Metrics + "/metrics")
	require.NoError(t, err)
	defer resp.Body.Close()
	b, err := io.ReadAll(resp.Body)
	require.NoError(t, err)
	return string(b)
}
