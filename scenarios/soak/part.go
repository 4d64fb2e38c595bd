package soak

import (
	"fmt"
	"net"
	"sync"
	"time"

	"golang.org/x/sys/unix"

	"snipeshift.example/platform/standin"
	"snipeshift.example/scenarios/fleet"
)

// Rates and bounds of the faults SendBadPart and Flood.
const (
	badPartInterval = 200 * time.Millisecond
	// maxPartCrashes is the most upstreams that one part may crash. Two owners that do not know of each other may each lose
	// as many.
	maxPartCrashes = 5
	// claimTime is how long a fault waits for upstreams that other faults target.
	claimTime = 4 * time.Second
	// floodConnections is more than a VM with a limit of descriptors accepts.
	floodConnections = 400
	// reopenPause is how long after it was closed a connection of a flood opens again.
	reopenPause = 200 * time.Millisecond
)

// sendBadPart sends requests that share a part under which upstreams crash, no two alike, to all VMs in turn. Each failed one
// is repeated once at another VM.
func (r *Run) sendBadPart(f Fault) {
	release, ok := r.claimModels()
	if !ok {
		return
	}
	defer release()
	r.mu.Lock()
	r.parts++
	part := fmt.Sprintf("bad%d", r.parts)
	r.mu.Unlock()
	p, from := r.fleet.Platform, time.Now()
	before := len(p.BadPartCrashes())
	p.SetBadPart(standin.BadPart{ID: part, HeadFirst: r.parts%2 == 0})
	c := standin.NewClient(steadyWorkspace)
	var wg sync.WaitGroup
	for n := f.VM; time.Since(from) < f.Duration; n++ {
		wg.Go(func() {
			for i := range 2 {
				if c.CallParts(r.fleet.VMs[(n+i)%len(r.fleet.VMs)].Caller, "draft", "all", part).Complete {
					return
				}
			}
		})
		time.Sleep(badPartInterval)
	}
	wg.Wait()
	p.SetBadPart(standin.BadPart{})
	crashes := len(p.BadPartCrashes()) - before
	r.log("%d upstreams crashed under the part %s", crashes, part)
	time.Sleep(2 * r.fleet.Respawn)
	r.mu.Lock()
	defer r.mu.Unlock()
	limit := maxPartCrashes
	if r.membersDisturbed(from) {
		limit *= 2
	}
	if crashes > limit {
		r.partErrors = append(r.partErrors, fmt.Errorf("%d upstreams crashed under the part %s, %d may", crashes, part, limit))
	}
}

// claimModels reserves all upstreams of the engine service, so that no other fault replaces them.
func (r *Run) claimModels() (release func(), ok bool) {
	for until := time.Now().Add(claimTime); time.Now().Before(until); time.Sleep(reopenPause) {
		var claimed []string
		for i := range len(r.fleet.Platform.Models) {
			if a := r.fleet.Platform.Runner(standin.Model, i).Address(); r.acquire(a) {
				claimed = append(claimed, a)
			}
		}
		release = func() {
			for _, a := range claimed {
				r.release(a)
			}
		}
		if len(claimed) == len(r.fleet.Platform.Models) {
			return release, true
		}
		release()
	}
	return nil, false
}

// membersDisturbed reports whether a fault since from may have kept VMs from learning what others know. The lock is held.
func (r *Run) membersDisturbed(from time.Time) bool {
	for _, f := range r.faults {
		start := r.start.Add(f.At)
		if start.Add(f.Duration+peerSyncTime).Before(from) || start.After(time.Now()) {
			continue
		}
		switch f.Kind {
		case Kill, Freeze, Stop, Cut, Reset, Silence, Delay, Partition:
			return true
		default:
		}
	}
	return false
}

// exhaustedDescriptors is a limit below what a VM has open in a flood.
const exhaustedDescriptors = 150

// exhaust lowers the limit of descriptors of a VM while its port for peers is flooded.
func (r *Run) exhaust(f Fault, v *fleet.VM) error {
	if !r.acquire(v) {
		return nil
	}
	defer r.release(v)
	normal := unix.Rlimit{}
	if err := unix.Prlimit(v.Process.Pid(), unix.RLIMIT_NOFILE, nil, &normal); err != nil {
		return err
	}
	low := unix.Rlimit{Cur: exhaustedDescriptors, Max: normal.Max}
	if err := unix.Prlimit(v.Process.Pid(), unix.RLIMIT_NOFILE, &low, nil); err != nil {
		return err
	}
	flood(f, v.PeerListener())
	return unix.Prlimit(v.Process.Pid(), unix.RLIMIT_NOFILE, &normal, nil)
}

// flood keeps connections to an address open that carry nothing, and opens those again that are closed.
func flood(f Fault, address string) {
	stop := make(chan struct{})
	var wg sync.WaitGroup
	for range floodConnections {
		wg.Go(func() {
			for {
				if c, err := net.DialTimeout("tcp", address, time.Second); err == nil { //nolint:noctx // the connection has a deadline
					_ = c.SetDeadline(time.Now().Add(f.Duration))
					_, _ = c.Read(make([]byte, 1))
					_ = c.Close()
				}
				select {
				case <-stop:
					return
				case <-time.After(reopenPause):
				}
			}
		})
	}
	time.Sleep(f.Duration)
	close(stop)
	wg.Wait()
}
