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

// schedule plays random events over three VMs, and notes who holds each key.
type schedule struct {
	*fixture
	rt  *rapid.T
	vms []string
	// lives are the present lives; earlier ones go on in the background.
	lives map[string]*Claims
	nonce int

	mu sync.Mutex
	// winners are the tickets won and neither released nor forgotten, by key.
	winners map[string][]Ticket
}

// Callers repeat their requests through any VM while the store loses answers,
// delays writes, shows old states and goes out, VMs are replaced, homes are
// disputed and calls between VMs lose their answers. Whatever the order, no
// key may be given to two gates, or a ward gets its notice twice.
func TestAtMostOneWinnerInAnySchedule(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		x := newFixture()
		x.rules.MaxPageSize = 6 * recordSize
		x.rules.CommitTimeout = 200
		s := &schedule{
			fixture: x, rt: rt, vms: []string{"a", "b", "c"},
			lives: map[string]*Claims{}, winners: map[string][]Ticket{},
		}
		for _, v := range s.vms {
			s.lives[v] = x.start(v)
		}
		for range rapid.IntRange(1, 40).Draw(rt, "steps") {
			s.step()
		}
		s.calm()
	})
}

func (s *schedule) step() {
	switch rapid.IntRange(0, 11).Draw(s.rt, "event") {
	case 0, 1, 2, 3:
		s.race()
	case 4, 5:
		s.finish()
	case 6:
		s.store.LoseResponses(rapid.IntRange(0, 10).Draw(s.rt, "lost answers"))
	case 7:
		s.store.LoseWrites(rapid.IntRange(0, 3).Draw(s.rt, "lost writes"))
	case 8:
		s.store.DelayWrites(rapid.IntRange(0, 10).Draw(s.rt, "delayed writes"))
	case 9:
		s.fault()
	case 10:
		s.believe()
	case 11:
		v := rapid.SampledFrom(s.vms).Draw(s.rt, "replaced")
		s.lives[v] = s.start(v)
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
		s.wire.mu.Lock()
		s.wire.lose = rapid.IntRange(0, 3).Draw(s.rt, "lost calls")
		s.wire.mu.Unlock()
	}
}

// believe sets what one VM takes for live, rightly or not.
func (s *schedule) believe() {
	v := rapid.SampledFrom(s.vms).Draw(s.rt, "believer")
	live := []string{v}
	for _, o := range s.vms {
		if o != v && rapid.Bool().Draw(s.rt, "believes in "+o) {
			live = append(live, o)
		}
	}
	s.peers[v].believe(live...)
}

// race lets several gates claim one of a few keys at once.
func (s *schedule) race() {
	key := rapid.SampledFrom([]string{"key-0", "key-1", "key-2"}).Draw(s.rt, "key")
	var wg sync.WaitGroup
	for range rapid.IntRange(1, 3).Draw(s.rt, "gates") {
		c := s.lives[rapid.SampledFrom(s.vms).Draw(s.rt, "gate")]
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

// finish releases or settles a claim that was won. A key counts as free from
// before the release is sent, since it may take effect without an answer.
func (s *schedule) finish() {
	for _, key := range []string{"key-0", "key-1", "key-2"} {
		if len(s.winners[key]) == 0 || !rapid.Bool().Draw(s.rt, "finish "+key) {
			continue
		}
		ticket := s.winners[key][0]
		c := s.lives[rapid.SampledFrom(s.vms).Draw(s.rt, "finisher")]
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

// calm ends all faults: each key must then have an answer, and a key that was
// won and not given back must not be given out again.
func (s *schedule) calm() {
	s.store.SetOutage(false)
	s.store.SetStale(false)
	s.store.LoseResponses(0)
	s.store.LoseWrites(0)
	s.store.DelayWrites(0)
	s.store.DeliverDelayed()
	s.wire.mu.Lock()
	s.wire.lose = 0
	s.wire.mu.Unlock()
	for _, key := range []string{"key-0", "key-1", "key-2"} {
		s.nonce++
		before := len(s.winners[key])
		r := s.claim(s.lives["a"], key, fmt.Sprintf("n%d", s.nonce))
		if r.State == peer.ClaimUnknown {
			s.rt.Fatalf("%s has no answer after all faults ended: %+v", key, r.Fault)
		}
		if before == 1 && r.State == peer.ClaimWon {
			s.rt.Fatalf("%s was won by %v", key, s.winners[key])
		}
	}
}

var _ Store = (*platformtest.Store)(nil)
