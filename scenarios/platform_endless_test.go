package scenarios

import (
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"snipeshift.example/lib/clock"
	"snipeshift.example/lib/logline"
	"snipeshift.example/platform/standin"
	"snipeshift.example/scenarios/fleet"
)

// Sizes and times of the tests of responses without end.
const (
	// vmMemory is the memory of a VM in megabytes, as in its settings.
	// What the kernel holds for its connections counts.
	vmMemory = 284
	// endlessResponses is how many clients get responses without end at the same time, all through one VM.
	endlessResponses = 60
	// otherClients is how many clients send other requests meanwhile.
	otherClients = 4
	// endlessSlots is the number of slots of each runner, so that all of these requests run at once.
	endlessSlots = 24
	// endlessTime is how long each of the clients sends one such request after the other.
	endlessTime = 2 * time.Second
	// sampleInterval is the time between two samples of the VM's sockets.
	sampleInterval = 20 * time.Millisecond
	// endSlack is the time after a request's deadline within which the VM must have ended it. At most one client in lateShare
	// may have no answer by then.
	endSlack  = 500 * time.Millisecond
	lateShare = 4
)

// deadlines are the times that requests may take: the time that the client waits, or the route's timeout if that is less.
var deadlines = map[string]time.Duration{"draft": 8 * time.Second, "lookup": 2 * time.Second, "notice": 2 * time.Second}

// watchSockets samples what the kernel holds for the connections of a VM. The function that it returns ends that and returns
// the most, in megabytes.
func watchSockets(v *fleet.VM) (end func() int) {
	done, peak := make(chan struct{}), make(chan int64)
	go func() {
		var most int64
		for {
			held, err := v.Process.HeldByKernel()
			if err == nil { // the process may be ending
				most = max(most, held)
			}
			select {
			case <-done:
				peak <- most
				return
			case <-time.After(sampleInterval):
			}
		}
	}()
	return func() int { close(done); return int(<-peak >> 20) }
}

// peakMemory returns the largest resident memory that the process of a VM has had, in megabytes.
func peakMemory(t *testing.T, v *fleet.VM) int {
	t.Helper()
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", v.Process.Pid()))
	require.NoError(t, err)
	for line := range strings.Lines(string(text)) {
		if rest, ok := strings.CutPrefix(line, "VmHWM:"); ok {
			n, err := strconv.Atoi(strings.Fields(rest)[0])
			require.NoError(t, err)
			return n >> 10
		}
	}
	require.Fail(t, "no VmHWM")
	return 0
}

// timesAtVM returns how long a VM worked on each request, by the id of the attempt. Clients measure more: on a busy machine
// they go on reading what the VM has written long after it has ended the response.
func timesAtVM(t *testing.T, v *fleet.VM) map[string]time.Duration {
	t.Helper()
	text, err := v.Process.Log()
	require.NoError(t, err)
	times := map[string]time.Duration{}
	for line := range strings.Lines(text) {
		var x struct {
			ID    string      `json:"id"`
			Event string      `json:"event"`
			Total clock.Milli `json:"total"`
		}
		if json.Unmarshal([]byte(line), &x) == nil && x.Event == logline.Request {
			times[x.ID] = x.Total.Duration()
		}
	}
	return times
}

// leastCalls is the number of requests that each client sends at least, however slow the machine is.
const leastCalls = 2

// keepCalling has clients send requests on a route to a VM, each one after the other for a while, and returns all responses.
func keepCalling(v *fleet.VM, route string, clients int, d time.Duration) []standin.Response {
	var mu sync.Mutex
	var responses []standin.Response
	var wg sync.WaitGroup
	for range clients {
		wg.Go(func() {
			c := standin.NewClient("ward")
			defer c.Close()
			begun := time.Now()
			for n := 0; n < leastCalls || time.Since(begun) < d; n++ {
				r := c.Call(v.Caller, route)
				mu.Lock()
				responses = append(responses, r)
				mu.Unlock()
			}
		})
	}
	wg.Wait()
	return responses
}

// requireBoundedWhile lets all runners of one service respond without end to requests on flooded, and requires that these
// end in time, that the VM stays within its memory, and that requests on sound, of the other service, are served.
func requireBoundedWhile(t *testing.T, fault standin.RunnerFault, flooded, sound string) {
	t.Helper()
	f := newFleetWith(t, 2, func(f *fleet.Fleet) {
		f.Settings = fmt.Sprintf(`"memory": %d,`, vmMemory)
		for _, r := range f.Platform.Runners() {
			r.Slots = endlessSlots
		}
	})
	runners := f.Platform.Models
	if flooded != "draft" {
		runners = f.Platform.Desks
	}
	for _, r := range runners {
		r.SetFault(fault)
	}
	endWatch := watchSockets(f.VMs[0])
	var others []standin.Response
	var wg sync.WaitGroup
	wg.Go(func() { others = keepCalling(f.VMs[0], sound, otherClients, endlessTime) })
	responses := keepCalling(f.VMs[0], flooded, endlessResponses, endlessTime)
	wg.Wait()
	held := endWatch()
	limit := deadlines[flooded] + endSlack
	served := timesAtVM(t, f.VMs[0])
	late := 0
	for _, r := range responses {
		require.False(t, r.Complete)
		require.Contains(t, served, r.ID)
		require.Less(t, served[r.ID], limit, "status %d: %.100s", r.Status, r.Text)
		if r.Head >= limit {
			late++
		}
	}
	require.LessOrEqual(t, lateShare*late, len(responses), "clients without an answer")
	require.GreaterOrEqual(t, len(others), leastCalls*otherClients)
	for _, r := range others {
		require.True(t, r.Complete, "status %d after %v: %.100s", r.Status, r.Duration, r.Text)
		require.Less(t, r.Duration, deadlines[sound])
	}
	peak := peakMemory(t, f.VMs[0])
	t.Logf("%s: at most %d MB and %d MB of the kernel; %d requests, %d others", flooded, peak, held, len(responses), len(others))
	require.Less(t, peak+held, vmMemory)
	require.Equal(t, http.StatusOK, standin.NewClient("ward").Call(f.VMs[0].Caller, sound).Status)
}

// Upstreams in trouble respond with bytes that are no response, without end, in the header. A VM that reads on runs out of
// memory or of time, and all its clients lose their requests.
func TestPlatformEndlessHeadsStayWithinLimits(t *testing.T) {
	requireBoundedWhile(t, standin.EndlessHead, "draft", "lookup")
	requireBoundedWhile(t, standin.EndlessHead, "lookup", "draft")
	requireBoundedWhile(t, standin.EndlessHead, "notice", "draft")
}

// The same in the body, of streams and of plain responses.
func TestPlatformEndlessBodiesStayWithinLimits(t *testing.T) {
	requireBoundedWhile(t, standin.EndlessBody, "draft", "lookup")
	requireBoundedWhile(t, standin.EndlessBody, "lookup", "draft")
	requireBoundedWhile(t, standin.EndlessBody, "notice", "draft")
}
