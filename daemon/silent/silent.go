// Package silent tracks which VMs do not answer the queries of this gate. A gate is the VM that
// holds the client's connection of a request.
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
	// probeFirst and probeLongest are the first and the longest interval between probes of a VM
	// that does not answer; intervals double.
	probeFirst   = 250 * time.Millisecond
	probeLongest = 2 * time.Second
	// probeTimeout bounds one probe.
	probeTimeout = 300 * time.Millisecond
	// partitionThreshold is the number of unresponsive VMs from which on, if no VM has answered
	// since, this VM assumes that it is itself cut off from the network.
	partitionThreshold = 2
)

// Members lists the daemons that are considered live.
type Members interface{ Live() []peer.Member }

// Prover probes a daemon over a separate connection; nil means that it answered.
type Prover interface {
	Probe(ctx context.Context, address string) error
}

// VMs records the VMs that did not answer this gate. The gate skips each of them until it answers a
// probe, is no longer a member or has a new incarnation. A VM without power stays in the member
// list for seconds; with a fixed expiry in place of probes, gates would query it again in vain. It
// is safe for concurrent use.
type VMs struct {
	log     *log.Logger
	members Members
	prober  Prover

	mu           sync.Mutex
	unresponsive map[peer.VM]peer.Incarnation
	// firstUnanswered is when the first VM of a non-empty set failed to answer, lastAnswer when any
	// VM last answered.
	firstUnanswered, lastAnswer time.Time
}

// New returns an empty record: all VMs count as responsive.
func New(l *log.Logger, m Members, p Prover) *VMs {
	return &VMs{log: l, members: m, prober: p, unresponsive: map[peer.VM]peer.Incarnation{}}
}

// IsUnresponsive reports whether the gate skips a VM as unresponsive.
func (s *VMs) IsUnresponsive(m peer.Member) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	incarnation, ok := s.unresponsive[m.VM]
	return ok && incarnation == m.Incarnation
}

// MarkUnresponsive adds a VM to the set after a call to it failed with err, and starts to probe it.
func (s *VMs) MarkUnresponsive(m peer.Member, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if incarnation, ok := s.unresponsive[m.VM]; ok && incarnation == m.Incarnation {
		return
	}
	if len(s.unresponsive) == 0 {
		s.firstUnanswered = time.Now()
	}
	s.unresponsive[m.VM] = m.Incarnation
	s.log.Warn().Str(logline.Key, logline.Unreachable).Str("dependency", "owner").Str("peer", string(m.VM)).Err(err).Msg("owner does not answer; skipping it until it answers a probe")
	go s.probe(m)
}

// MarkResponsive records that a VM answered and removes it from the set.
func (s *VMs) MarkResponsive(m peer.Member) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lastAnswer = time.Now()
	if incarnation, ok := s.unresponsive[m.VM]; ok && incarnation == m.Incarnation {
		delete(s.unresponsive, m.VM)
		s.log.Info().Str(logline.Key, logline.Reached).Str("dependency", "owner").Str("peer", string(m.VM)).Msg("owner answers again")
	}
}

// SelfCutOff reports whether several VMs are unresponsive and no VM has answered since the first of
// them failed to. This VM is then probably cut off itself, and querying further VMs would only delay
// requests.
func (s *VMs) SelfCutOff() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.unresponsive) >= partitionThreshold && s.lastAnswer.Before(s.firstUnanswered)
}

// probe probes a VM until it answers, is no longer a member or has a new incarnation.
func (s *VMs) probe(m peer.Member) {
	for wait := probeFirst; ; wait = min(2*wait, probeLongest) {
		time.Sleep(wait)
		if !s.IsUnresponsive(m) {
			return
		}
		if !s.isMember(m) {
			s.remove(m)
			return
		}
		ctx, cancel := context.WithTimeout(context.Background(), probeTimeout)
		err := s.prober.Probe(ctx, m.Address)
		cancel()
		if err == nil {
			s.MarkResponsive(m)
			return
		}
	}
}

func (s *VMs) isMember(m peer.Member) bool {
	for _, l := range s.members.Live() {
		if l.VM == m.VM && l.Incarnation == m.Incarnation {
			return true
		}
	}
	return false
}

func (s *VMs) remove(m peer.Member) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.unresponsive, m.VM)
}
