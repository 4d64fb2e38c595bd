package world

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"
)

// inForceTimeout is the time within which an accepted document must be in force at every ready daemon.
const inForceTimeout = 8 * time.Second

// monitorInterval is the interval between two polls of the daemons.
const monitorInterval = 100 * time.Millisecond

// Monitor polls the revision of the document in force at every daemon. It records a
// problem if the revision falls while a process runs, if it was never accepted, or if
// a ready daemon still has a revision that was replaced more than inForceTimeout ago.
type Monitor struct {
	world *World

	mu sync.Mutex
	// latest is the last revision seen at each daemon.
	latest map[string]observation
	// accepted holds the time at which each revision was accepted, in rising order.
	accepted []acceptance
	// problems is a set of messages.
	problems map[string]bool
	// ignoreLag is set while faults may cut any daemon off from the store and its peers. The monitor
	// then ignores daemons that lag behind.
	ignoreLag bool
}

// observation is a revision seen at a daemon during one run of its process.
type observation struct {
	// start is the number of starts of the process, which tells its runs apart.
	start    int
	revision uint64
}

// acceptance is the time at which a revision was accepted.
type acceptance struct {
	revision uint64
	at       time.Time
}

// watchDocuments starts the monitor, which runs until the context ends.
func (w *World) watchDocuments(ctx context.Context) {
	w.monitor = &Monitor{world: w, latest: map[string]observation{}, problems: map[string]bool{}}
	w.monitor.recordAccepted(w.revision)
	go func() {
		t := time.NewTicker(monitorInterval)
		defer t.Stop()
		for {
			select {
			case <-ctx.Done():
				return
			case <-t.C:
				w.monitor.poll(ctx)
			}
		}
	}()
}

// recordAccepted records that a revision has just been accepted.
func (m *Monitor) recordAccepted(revision uint64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.accepted = append(m.accepted, acceptance{revision, time.Now()})
}

// requiredRevision returns the lowest revision that a ready daemon may have now. The caller holds m.mu.
func (m *Monitor) requiredRevision() uint64 {
	var r uint64
	for _, a := range m.accepted {
		if time.Since(a.at) > inForceTimeout {
			r = a.revision
		}
	}
	return r
}

// poll checks every daemon that runs and is not frozen. The required revision is determined before the
// daemon is called. The response is ignored if the daemon was restarted meanwhile.
func (m *Monitor) poll(ctx context.Context) {
	for _, name := range m.world.responding() {
		m.mu.Lock()
		required := m.requiredRevision()
		m.mu.Unlock()
		start := m.world.Starts(name)
		ready := m.world.Ready(ctx, name)
		r, err := m.world.DocumentRevision(ctx, name)
		if err != nil || start != m.world.Starts(name) {
			continue
		}
		m.check(name, start, r, required, ready)
	}
}

// check checks a revision seen at a daemon and records problems.
func (m *Monitor) check(name string, start int, r, required uint64, ready bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if s := m.latest[name]; s.start == start && r < s.revision {
		m.problems[fmt.Sprintf("%s reverted from document revision %d to %d", name, s.revision, r)] = true
	}
	m.latest[name] = observation{start, r}
	if ready && r < required && !m.ignoreLag {
		m.problems[fmt.Sprintf("%s is ready with document revision %d, more than %v after revision %d was accepted", name, r, inForceTimeout, required)] = true
	}
	if last := m.accepted[len(m.accepted)-1].revision; r > last && !m.world.applying.Load() {
		m.problems[fmt.Sprintf("%s has document revision %d in force, which was never accepted; the last accepted revision is %d", name, r, last)] = true
	}
}

// CheckRevisions returns the problems that the monitor has recorded.
func (w *World) CheckRevisions() error {
	if w.monitor == nil {
		return nil
	}
	w.monitor.mu.Lock()
	defer w.monitor.mu.Unlock()
	var errs []error
	for p := range w.monitor.problems {
		errs = append(errs, errors.New(p))
	}
	return errors.Join(errs...)
}

// IgnoreDocumentLag makes the monitor ignore daemons that lag behind, for a run in which faults may
// cut off any daemon. The run then has to call CheckDocument when the faults are over.
func (w *World) IgnoreDocumentLag() {
	w.monitor.mu.Lock()
	defer w.monitor.mu.Unlock()
	w.monitor.ignoreLag = true
}
