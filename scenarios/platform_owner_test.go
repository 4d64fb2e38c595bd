package scenarios

import (
	"regexp"
	"strconv"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"snipeshift.example/platform/standin"
	"snipeshift.example/scenarios/fleet"
)

// streamClients is the number of clients of a stream load: as many as two engines serve.
const streamClients = 24

// newStreamLoad keeps streams open through some VMs until it is stopped.
func newStreamLoad(vms []*fleet.VM) *load {
	l := &load{stop: make(chan struct{})}
	for range streamClients {
		c := standin.NewClient("ward")
		l.wg.Go(func() {
			for n := 0; ; n++ {
				select {
				case <-l.stop:
					return
				default:
				}
				l.send(c, vms[n%len(vms)], "draft")
			}
		})
	}
	return l
}

// holderLine is the log line of a VM that learns who holds the engine service.
var holderLine = regexp.MustCompile(`"service":"` + standin.Model + `","owner":"([^"]+)","epoch":(\d+)`)

// modelHolder returns the name of the VM that holds the engine service, empty if no VM has logged one.
func modelHolder(f *fleet.Fleet) (name string) {
	latest := 0
	for _, v := range f.VMs {
		for _, line := range v.Process.Grep(`"event":"holder"`) {
			m := holderLine.FindStringSubmatch(line)
			if m == nil {
				continue
			}
			if epoch, err := strconv.Atoi(m[2]); err == nil && epoch > latest {
				name, latest = m[1], epoch
			}
		}
	}
	return name
}

// awaitModelHolder waits until a VM with another name than former holds the engine service, and returns it
// and all others.
func awaitModelHolder(t *testing.T, f *fleet.Fleet, former string) (holder *fleet.VM, others []*fleet.VM) {
	t.Helper()
	name := ""
	require.Eventually(t, func() bool { name = modelHolder(f); return name != "" && name != former }, startTimeout, time.Millisecond)
	for _, v := range f.VMs {
		if v.Name == name {
			holder = v
		} else {
			others = append(others, v)
		}
	}
	return holder, others
}

// brokenTwice matches the log line of a request whose first engine crashed and then, a moment later, its second: the two
// attempts that its route allows.
var brokenTwice = regexp.MustCompile(`"sends":"i-m[01]\+0 [^;"]*(EOF|reset by peer); i-m[01]\+0 [^;"]*(EOF|reset by peer)"`)

// requestsBrokenTwice returns the number of requests under which both crashed engines broke.
func requestsBrokenTwice(f *fleet.Fleet) (n int) {
	for _, v := range f.VMs {
		for _, line := range v.Process.Grep(`"event":"request"`) {
			if brokenTwice.MatchString(line) {
				n++
			}
		}
	}
	return n
}

// The owner of the engines stops, or is killed, and two of four engines crash as soon as it has a successor. That one must
// allow the retries of all streams that they were serving.
func TestPlatformStreamsResumeUnderNewOwner(t *testing.T) {
	for name, end := range map[string]func(*fleet.VM){
		"stopped": func(v *fleet.VM) { require.NoError(t, v.Process.Signal(syscall.SIGTERM)) },
		"killed":  func(v *fleet.VM) { v.Process.Kill() },
	} {
		t.Run(name, func(t *testing.T) {
			f := newFleet(t, 3)
			c := standin.NewClient("ward")
			require.Eventually(t, func() bool { // VMs that have met no other decide without a holder
				return c.Call(f.VMs[0].Caller, "draft").Complete && modelHolder(f) != ""
			}, startTimeout, time.Millisecond)
			owner, others := awaitModelHolder(t, f, "")
			l := newStreamLoad(others)
			l.awaitResponses(t)
			end(owner)
			awaitModelHolder(t, f, owner.Name)
			for _, r := range f.Platform.Models[:2] {
				f.Crash(r)
			}
			l.awaitResponses(t)
			l.finish(t, f)
			require.LessOrEqual(t, len(l.failures), requestsBrokenTwice(f), "%v", l.failures)
		})
	}
}
