package scenarios

import (
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"snipeshift.example/platform/standin"
	"snipeshift.example/scenarios/fleet"
)

// Sizes and times of the tests of VMs that are partitioned from all upstreams.
const (
	partitionedVMs, allVMs = 3, 5
	// detectTime is the time from the beginning of a partition in which requests may fail.
	detectTime = time.Second
	// partitionTime is how long requests are counted.
	partitionTime = 4 * time.Second
	// requestInterval is the time between two requests at one VM.
	requestInterval = 40 * time.Millisecond
	// refusalTime is how long a request that cannot be served may wait for its refusal.
	refusalTime = 500 * time.Millisecond
	// returnTime is how long after a partition VMs may need to use their direct paths again: the longest interval between
	// their tests, and twice a test.
	returnTime = 3 * time.Second
	// allowedFailures and allowedShare bound the failed first attempts.
	allowedFailures, allowedShare = 1, 0.02
)

// attempts counts the first attempts at some VMs.
type attempts struct {
	mu     sync.Mutex
	sent   int
	failed []string
}

func (a *attempts) add(v *fleet.VM, r standin.Response) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.sent++
	if !r.Complete {
		a.failed = append(a.failed, fmt.Sprintf("%s at %s: %d %s after %v", r.ID, v.Name, r.Status, r.Text, r.Duration))
	}
}

// requireServed requires that almost all of the attempts were served.
func (a *attempts) requireServed(t *testing.T, where string) {
	t.Helper()
	a.mu.Lock()
	defer a.mu.Unlock()
	require.Greater(t, a.sent, 100)
	require.LessOrEqual(t, float64(len(a.failed)), allowedFailures+allowedShare*float64(a.sent),
		"%d of %d first attempts failed at VMs %s: %q", len(a.failed), a.sent, where, a.failed[:min(len(a.failed), 20)])
}

// sendTo sends requests to one VM until the time is over, each at its time whatever became of those before.
func (a *attempts) sendTo(v *fleet.VM, until time.Time) {
	c := standin.NewClient("ward")
	var wg sync.WaitGroup
	for n := 0; time.Now().Before(until); n++ {
		wg.Go(func() { a.add(v, c.Call(v.Caller, []string{"draft", "lookup", "notice"}[n%3])) })
		time.Sleep(requestInterval)
	}
	wg.Wait()
}

// Most VMs, the one that holds the engines among them, lose their paths to all upstreams while clients, the store and the
// other VMs reach them; their clients must be served like those of the others.
func TestPlatformVMsPartitionedFromUpstreamsServeTheirClients(t *testing.T) {
	for _, fault := range []fleet.UpstreamFault{fleet.ResetAll, fleet.HangAll, fleet.RefuseNew} {
		t.Run(string(fault), func(t *testing.T) {
			f := newFleet(t, allVMs)
			l := newLoad(f)
			holder, others := awaitModelHolder(t, f, "")
			partitioned := append([]*fleet.VM{holder}, others[:partitionedVMs-1]...)
			l.awaitResponses(t)
			for _, v := range partitioned {
				require.NoError(t, f.CutUpstreams(v, fault))
			}
			time.Sleep(detectTime)
			var atPartitioned, atOthers attempts
			var wg sync.WaitGroup
			until := time.Now().Add(partitionTime)
			for _, v := range partitioned {
				wg.Go(func() { atPartitioned.sendTo(v, until) })
			}
			for _, v := range others[partitionedVMs-1:] {
				wg.Go(func() { atOthers.sendTo(v, until) })
			}
			wg.Wait()
			for _, v := range partitioned {
				require.NoError(t, f.HealUpstreams(v))
			}
			l.finish(t, f)
			t.Logf("failed: %d of %d at VMs that are partitioned, %d of %d at others", len(atPartitioned.failed), atPartitioned.sent, len(atOthers.failed), atOthers.sent)
			if len(atPartitioned.failed)+len(atOthers.failed) > 0 {
				t.Log(f.Logs())
			}
			atPartitioned.requireServed(t, "that are partitioned")
			atOthers.requireServed(t, "that are not")
		})
	}
}

// All VMs lose their paths to all upstreams: no request can be served, and none may wait for its deadline.
func TestPlatformAllVMsPartitionedFromUpstreamsRefuseAtOnce(t *testing.T) {
	for _, fault := range []fleet.UpstreamFault{fleet.ResetAll, fleet.HangAll} {
		t.Run(string(fault), func(t *testing.T) {
			f := newFleet(t, 3)
			l := newLoad(f)
			l.awaitResponses(t)
			l.stopAndCheck(t, f)
			for _, v := range f.VMs {
				require.NoError(t, f.CutUpstreams(v, fault))
			}
			var atFirst attempts
			for _, v := range f.VMs {
				atFirst.sendTo(v, time.Now().Add(detectTime))
			}
			c := standin.NewClient("ward")
			for n := range 30 {
				r := c.Call(f.VMs[n%3].Caller, []string{"draft", "lookup", "notice"}[n%3])
				require.Equal(t, http.StatusServiceUnavailable, r.Status, "%s %s", r.ID, r.Text)
				require.Less(t, r.Duration, refusalTime, "%s %s", r.ID, r.Text)
				require.Zero(t, f.Platform.RunCount(r.ID))
			}
			for _, v := range f.VMs {
				require.NoError(t, f.HealUpstreams(v))
			}
			time.Sleep(returnTime)
			var after attempts
			for _, v := range f.VMs {
				after.sendTo(v, time.Now().Add(detectTime))
			}
			require.LessOrEqual(t, len(after.failed), 1, "%q", after.failed)
		})
	}
}
