package claim

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"pgregory.net/rapid"

	"snipeshift.example/lib/peer"
	"snipeshift.example/lib/platform/platformtest"
)

// schedule runs random events on three VMs and records which claims on each key were won.
type schedule struct {
	*fixture
	rt  *rapid.T
	vms []string
	// incarnations has the current incarnation of each VM. Earlier incarnations may still be
	// running in the background.
	incarnations map[string]*Claims
	nonce        int

	mu sync.Mutex
	// winners has, by key, the tickets that were won and not released.
	winners map[string][]Ticket
}

// Clients repeat their requests through any VM while the store loses responses, delays
// writes, returns old versions and is unavailable, VMs are restarted and disagree on the
// homes, and calls between VMs lose their replies. In no order of these events may claims
// of two gates on the same key be won, or the request would run twice.
func TestAtMostOneWinnerInAnySchedule(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		x := newFixture()
		x.rules.MaxPageSize = 6 * recordSize
		x.rules.CommitTimeout = 200
		s := &schedule{
			fixture: x, rt: rt, vms: []string{"a", "b", "c"},
			incarnations: map[string]*Claims{}, winners: map[string][]Ticket{},
		}
		for _, v := range s.vms {
			s.incarnations[v] = x.start(v)
		}
		for range rapid.IntRange(1, 40).Draw(rt, "steps") {
			s.step()
		}
		s.endFaults()
	})
}

func (s *schedule) step() {
	switch rapid.IntRange(0, 11).Draw(s.rt, "event") {
	case 0, 1, 2, 3:
		s.claimConcurrently()
	case 4, 5:
		s.endClaims()
	case 6:
		s.store.LoseResponses(rapid.IntRange(0, 10).Draw(s.rt, "lost answers"))
	case 7:
		s.store.LoseWrites(rapid.IntRange(0, 3).Draw(s.rt, "lost writes"))
	case 8:
		s.store.DelayWrites(rapid.IntRange(0, 10).Draw(s.rt, "delayed writes"))
	case 9:
		s.fault()
	case 10:
		s.changeMembership()
	case 11:
		v := rapid.SampledFrom(s.vms).Draw(s.rt, "replaced")
		s.incarnations[v] = s.start(v)
	}
}

func (s *schedule) fault() {
	switch rapid.IntRange(0, 4).Draw(s.rt, "fault") {
	case 0:
		s.store.SetStale(rapid.Bool().Draw(s.rt, "stale"))
	case 1:
		s.store.SetOutage(rapid.Bool().Draw(s.rt, "outage"))
	case 2:
		s.store.DeliverDelayed()
	case 3, 4:
		s.network.mu.Lock()
		s.network.loseReplies = rapid.IntRange(0, 3).Draw(s.rt, "lost calls")
		s.network.mu.Unlock()
	}
}

// changeMembership sets a random membership for one VM, which may be wrong.
func (s *schedule) changeMembership() {
	v := rapid.SampledFrom(s.vms).Draw(s.rt, "vm")
	live := []string{v}
	for _, o := range s.vms {
		if o != v && rapid.Bool().Draw(s.rt, "live member "+o) {
			live = append(live, o)
		}
	}
	s.peers[v].setLive(live...)
}

// claimConcurrently makes several gates claim the same key concurrently.
func (s *schedule) claimConcurrently() {
	key := rapid.SampledFrom([]string{"key-0", "key-1", "key-2"}).Draw(s.rt, "key")
	var wg sync.WaitGroup
	for range rapid.IntRange(1, 3).Draw(s.rt, "gates") {
		c := s.incarnations[rapid.SampledFrom(s.vms).Draw(s.rt, "gate")]
		s.nonce++
		nonce := fmt.Sprintf("n%d", s.nonce)
		wg.Go(func() { s.claim(c, key, nonce) })
	}
	wg.Wait()
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.winners[key]) > 1 {
		s.rt.Fatalf("%s was won by %v", key, s.winners[key])
	}
}

func (s *schedule) claim(c *Claims, key, nonce string) peer.ClaimReply {
	ctx, cancel := context.WithTimeout(context.Background(), 300*time.Millisecond)
	defer cancel()
	ticket, r := c.Claim(ctx, "w", key, nonce)
	if r.State == peer.ClaimWon {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.winners[key] = append(s.winners[key], ticket)
	}
	return r
}

// endClaims releases or settles claims that were won. A key counts as released before the
// call to Release, because a release may take effect without a reply.
func (s *schedule) endClaims() {
	for _, key := range []string{"key-0", "key-1", "key-2"} {
		if len(s.winners[key]) == 0 || !rapid.Bool().Draw(s.rt, "finish "+key) {
			continue
		}
		ticket := s.winners[key][0]
		c := s.incarnations[rapid.SampledFrom(s.vms).Draw(s.rt, "finisher")]
		ctx, cancel := context.WithTimeout(context.Background(), 20*time.Millisecond)
		if rapid.Bool().Draw(s.rt, "release") {
			s.winners[key] = nil
			_ = c.Release(ctx, ticket)
		} else {
			_ = c.Settle(ctx, ticket, 200, []byte(ticket.Nonce))
		}
		cancel()
	}
}

// endFaults ends all faults. A claim on each key must then have a definite result, and a key
// that was won and not released must not be won again.
func (s *schedule) endFaults() {
	s.store.SetOutage(false)
	s.store.SetStale(false)
	s.store.LoseResponses(0)
	s.store.LoseWrites(0)
	s.store.DelayWrites(0)
	s.store.DeliverDelayed()
	s.network.mu.Lock()
	s.network.loseReplies = 0
	s.network.mu.Unlock()
	for _, key := range []string{"key-0", "key-1", "key-2"} {
		s.nonce++
		before := len(s.winners[key])
		r := s.claim(s.incarnations["a"], key, fmt.Sprintf("n%d", s.nonce))
		if r.State == peer.ClaimUnknown {
			s.rt.Fatalf("claim on %s has no definite result after all faults ended: %+v", key, r.Fault)
		}
		if before == 1 && r.State == peer.ClaimWon {
			s.rt.Fatalf("%s was won by %v", key, s.winners[key])
		}
	}
}

var _ Store = (*platformtest.Store)(nil)
