// Package silent remembers which of the VMs that a gate asks do not answer.
package silent

import (
	"context"
	"sync"
	"time"

	"github.com/phuslu/log"

	"snipeshift.example/lib/logline"
	"snipeshift.example/lib/peer"
)

const (
	// proveFirst and proveLongest are the times between two probes of a VM that did not answer; they double.
	proveFirst   = 250 * time.Millisecond
	proveLongest = 2 * time.Second
	// proveTimeout bounds one probe.
	proveTimeout = 300 * time.Millisecond
	// cutOffFrom is from how many silent VMs on, with none that answers, this VM takes itself for the one that is cut off.
	cutOffFrom = 2
)

// Members lists the daemons that count as live.
type Members interface{ Live() []peer.Member }

// Prover finds out over a connection of its own whether a daemon answers.
type Prover interface {
	Probe(ctx context.Context, address string) error
}

// VMs holds the VMs that did not answer this gate. They are passed over until they answer a probe, are no members any more, or
// begin another life.
// A VM without power is listed for seconds; after a fixed time gates would ask it again and wait in vain.
// It is safe for concurrent use.
type VMs struct {
	log     *log.Logger
	members Members
	prover  Prover

	mu  sync.Mutex
	vms map[peer.VM]peer.Incarnation
	// since is when the first of them fell silent, last when any VM answered.
	since, last time.Time
}

// New returns VMs of which all count as answering.
func New(l *log.Logger, m Members, p Prover) *VMs {
	return &VMs{log: l, members: m, prover: p, vms: map[peer.VM]peer.Incarnation{}}
}

// IsUnresponsive reports whether a VM is passed over.
func (s *VMs) IsUnresponsive(m peer.Member) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	life, ok := s.vms[m.VM]
	return ok && life == m.Incarnation
}

// MarkUnresponsive passes a VM over.
func (s *VMs) MarkUnresponsive(m peer.Member, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if life, ok := s.vms[m.VM]; ok && life == m.Incarnation {
		return
	}
	if len(s.vms) == 0 {
		s.since = time.Now()
	}
	s.vms[m.VM] = m.Incarnation
	s.log.Warn().Str(logline.Key, logline.Unreachable).Str("dependency", "owner").Str("peer", string(m.VM)).Err(err).Msg("an owner does not answer and is passed over")
	go s.prove(m)
}

// MarkResponsive notes that a VM answered.
func (s *VMs) MarkResponsive(m peer.Member) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.last = time.Now()
	if life, ok := s.vms[m.VM]; ok && life == m.Incarnation {
		delete(s.vms, m.VM)
		s.log.Info().Str(logline.Key, logline.Reached).Str("dependency", "owner").Str("peer", string(m.VM)).Msg("an owner answers again")
	}
}

// SelfCutOff reports whether several VMs are silent and none has answered since: asking yet others would make callers late.
func (s *VMs) SelfCutOff() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.vms) >= cutOffFrom && s.last.Before(s.since)
}

// prove probes a VM until it answers or is no member of this life any more.
func (s *VMs) prove(m peer.Member) {
	for wait := proveFirst; ; wait = min(2*wait, proveLongest) {
		time.Sleep(wait)
		if !s.IsUnresponsive(m) {
			return
		}
		if !s.member(m) {
			s.forget(m)
			return
		}
		ctx, cancel := context.WithTimeout(context.Background(), proveTimeout)
		err := s.prover.Probe(ctx, m.Address)
		cancel()
		if err == nil {
			s.MarkResponsive(m)
			return
		}
	}
}

func (s *VMs) member(m peer.Member) bool {
	for _, l := range s.members.Live() {
		if l.VM == m.VM && l.Incarnation == m.Incarnation {
			return true
		}
	}
	return false
}

func (s *VMs) forget(m peer.Member) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.vms, m.VM)
}
