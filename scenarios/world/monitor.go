package world

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"
)

// forceBound is the time within which an accepted document is in force everywhere.
const forceBound = 8 * time.Second

// monitorEvery is the time between two looks at the daemons.
const monitorEvery = 100 * time.Millisecond

// Monitor watches the document in force at every daemon: it never goes back
// within one life, and no daemon that says ready obeys one that was replaced
// longer ago than the bound.
type Monitor struct {
	world *World

	mu sync.Mutex
	// newest is the highest revision seen at each daemon in its present life.
	newest map[string]seen
	// accepted holds when each revision was accepted, rising.
	accepted []acceptance
	problems map[string]bool
	// relaxed is set while faults may cut any daemon off from store and peers:
	// only the reverting of a document then counts.
	relaxed bool
}

type seen struct {
	life     int
	revision uint64
}

type acceptance struct {
	revision uint64
	at       time.Time
}

// watchDocuments starts the monitor of a deployment.
func (w *World) watchDocuments(ctx context.Context) {
	w.monitor = &Monitor{world: w, newest: map[string]seen{}, problems: map[string]bool{}}
	w.monitor.accept(w.revision)
	go func() {
		t := time.NewTicker(monitorEvery)
		defer t.Stop()
		for {
			select {
			case <-ctx.Done():
				return
			case <-t.C:
				w.monitor.look(ctx)
			}
		}
	}()
}

func (m *Monitor) accept(revision uint64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.accepted = append(m.accepted, acceptance{revision, time.Now()})
}

// due is the revision that must be in force by now.
func (m *Monitor) due() uint64 {
	var r uint64
	for _, a := range m.accepted {
		if time.Since(a.at) > forceBound {
			r = a.revision
		}
	}
	return r
}

func (m *Monitor) look(ctx context.Context) {
	for _, name := range m.world.responding() {
		m.mu.Lock()
		due := m.due()
		m.mu.Unlock()
		life := m.world.Starts(name)
		ready := m.world.Ready(ctx, name)
		r, err := m.world.DocumentRevision(ctx, name)
		if err != nil || life != m.world.Starts(name) {
			continue
		}
		m.judge(name, life, r, due, ready)
	}
}

func (m *Monitor) judge(name string, life int, r, due uint64, ready bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if s := m.newest[name]; s.life == life && r < s.revision {
		m.problems[fmt.Sprintf("%s went back from revision %d to %d", name, s.revision, r)] = true
	}
	m.newest[name] = seen{life, r}
	if ready && r < due && !m.relaxed {
		m.problems[fmt.Sprintf("%s is ready with revision %d, %v after %d was accepted", name, r, forceBound, due)] = true
	}
	if last := m.accepted[len(m.accepted)-1].revision; r > last && !m.world.changing.Load() {
		m.problems[fmt.Sprintf("%s obeys revision %d that nobody accepted; the last is %d", name, r, last)] = true
	}
}

// CheckRevisions tells whether the document in force ever reverted or lagged.
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

// IgnoreDocumentLag stops judging how soon a document is in force, for a run in which any
// daemon may be cut off; the caller checks that at the end.
func (w *World) IgnoreDocumentLag() {
	w.monitor.mu.Lock()
	defer w.monitor.mu.Unlock()
	w.monitor.relaxed = true
}
