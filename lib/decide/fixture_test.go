package decide

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"snipeshift.example/lib/clock"
)

// harness drives a pool with its own clock and collects the decisions.
type harness struct {
	t       *testing.T
	pool    *Pool
	now     clock.Milli
	granted map[RequestID]Grant
	refused map[RequestID]Decision
	lapsed  map[RequestID]Grant
	orders  []Decision
	// order lists the granted requests in the order of their grants.
	order []RequestID
	// prefillFree is when each simulated engine finishes its prefill; running are the simulated
	// requests of serve.
	prefillFree map[UpstreamID]clock.Milli
	running     map[GrantID]*run
}

// run has the times of the first token and of the end of a simulated request.
type run struct{ first, done clock.Milli }

func newHarness(t *testing.T, upstreams int) *harness {
	b := &harness{
		t: t, now: 1_000_000, granted: map[RequestID]Grant{}, refused: map[RequestID]Decision{}, lapsed: map[RequestID]Grant{},
		prefillFree: map[UpstreamID]clock.Milli{}, running: map[GrantID]*run{},
		pool: New(Config{Epoch: 2, Lease: 5000}),
	}
	for i := range upstreams {
		b.set(i, false)
	}
	return b
}

func (b *harness) set(i int, leaving bool) {
	b.pool.SetUpstream(b.now, Upstream{
		ID: name(i), Memory: 400_000, Slots: 16, Prefill: 20_000, Decode: 50, Leaving: leaving,
	})
}

func name(i int) UpstreamID { return UpstreamID(fmt.Sprintf("e%02d", i)) }

// request returns a short request with about a second of prefill and a deadline in five minutes.
func (b *harness) request(id string) Request {
	return Request{
		ID: RequestID(id), Workspace: "a", Gate: "g", Urgency: 1, Deadline: b.now + 5*clock.Minute,
		Prompt: 20_000, Output: 100, Repeatable: true,
	}
}

func (b *harness) submit(r Request) {
	b.pool.Submit(b.now, r)
	b.tick()
}

func (b *harness) tick() {
	for _, d := range b.pool.Tick(b.now) {
		switch d.Action {
		case Granted:
			b.granted[d.Request] = d.Grant
			b.order = append(b.order, d.Request)
		case Refused:
			b.refused[d.Request] = d
		case Lapsed:
			b.lapsed[d.Request] = d.Grant
		case Ordered:
			b.orders = append(b.orders, d)
		}
	}
}

// wait advances the clock by span, ticking whenever Next requires and renewing every lease.
func (b *harness) wait(span clock.Milli) {
	for end := b.now + span; b.now < end; {
		b.now = min(max(b.pool.Next(b.now), b.now+1), end)
		for _, g := range b.pool.Grants() {
			b.pool.Renew(b.now, g.ID)
		}
		b.tick()
	}
}

func (b *harness) firstToken(id string) {
	b.pool.Progress(b.now, b.grant(id).ID, true, 1)
	b.tick()
}

func (b *harness) finish(id string, o Outcome) {
	b.pool.Finish(b.now, b.grant(id).ID, o)
	b.tick()
}

func (b *harness) grant(id string) Grant {
	g, ok := b.granted[RequestID(id)]
	require.True(b.t, ok, "%s has no grant", id)
	return g
}

func (b *harness) view(i int) UpstreamView { return b.pool.Upstreams(b.now)[i] }

// serve simulates engines for the given time. They run at the rated speed, divided by the factor in
// slow if there is one.
func (b *harness) serve(slow map[UpstreamID]float64, span clock.Milli) {
	for end := b.now + span; b.now < end; {
		for _, g := range b.pool.Grants() {
			lead := g.Upstreams[0]
			s := b.running[g.ID]
			if s == nil {
				factor := max(slow[lead], 1)
				first := max(b.prefillFree[lead], b.now) + clock.Milli(float64(g.Prompt)/20*factor)
				b.prefillFree[lead] = first
				s = &run{first, first + clock.Milli(float64(g.Output)*20*factor)}
				b.running[g.ID] = s
			}
			b.pool.Renew(b.now, g.ID)
			if s.first <= b.now {
				b.pool.Progress(b.now, g.ID, true, 1)
			}
			if s.done <= b.now {
				b.pool.Finish(b.now, g.ID, Done)
			}
		}
		b.tick()
		b.now += 10
	}
}
