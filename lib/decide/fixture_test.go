package decide

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"snipeshift.example/lib/clock"
)

// bed is a pool with the answers that came out of it, on a clock of its own.
type bed struct {
	t       *testing.T
	pool    *Pool
	now     clock.Milli
	granted map[RequestID]Grant
	refused map[RequestID]Decision
	lapsed  map[RequestID]Grant
	orders  []Decision
	// order lists grants as they came.
	order []RequestID
	// free and runs are the engines that serve plays.
	free map[UpstreamID]clock.Milli
	runs map[GrantID]*run
}

// run is when a grant gets its first token and its end.
type run struct{ first, done clock.Milli }

func newBed(t *testing.T, upstreams int) *bed {
	b := &bed{
		t: t, now: 1_000_000, granted: map[RequestID]Grant{}, refused: map[RequestID]Decision{}, lapsed: map[RequestID]Grant{},
		free: map[UpstreamID]clock.Milli{}, runs: map[GrantID]*run{},
		pool: New(Config{Epoch: 2, Lease: 5000}),
	}
	for i := range upstreams {
		b.set(i, false)
	}
	return b
}

func (b *bed) set(i int, leaving bool) {
	b.pool.SetUpstream(b.now, Upstream{
		ID: name(i), Memory: 400_000, Slots: 16, Prefill: 20_000, Decode: 50, Leaving: leaving,
	})
}

func name(i int) UpstreamID { return UpstreamID(fmt.Sprintf("e%02d", i)) }

// request is a draft of a second's work with minutes of time.
func (b *bed) request(id string) Request {
	return Request{
		ID: RequestID(id), Workspace: "a", Gate: "g", Urgency: 1, Deadline: b.now + 5*clock.Minute,
		Prompt: 20_000, Output: 100, Repeatable: true,
	}
}

func (b *bed) submit(r Request) {
	b.pool.Submit(b.now, r)
	b.tick()
}

func (b *bed) tick() {
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

// wait lets time pass, with every tick that is due and every lease renewed.
func (b *bed) wait(span clock.Milli) {
	for end := b.now + span; b.now < end; {
		b.now = min(max(b.pool.Next(b.now), b.now+1), end)
		for _, g := range b.pool.Grants() {
			b.pool.Renew(b.now, g.ID)
		}
		b.tick()
	}
}

func (b *bed) first(id string) {
	b.pool.Progress(b.now, b.grant(id).ID, true, 1)
	b.tick()
}

func (b *bed) finish(id string, o Outcome) {
	b.pool.Finish(b.now, b.grant(id).ID, o)
	b.tick()
}

func (b *bed) grant(id string) Grant {
	g, ok := b.granted[RequestID(id)]
	require.True(b.t, ok, "%s has no grant", id)
	return g
}

func (b *bed) view(i int) UpstreamView { return b.pool.Upstreams(b.now)[i] }

// serve plays engines that keep the rated speed, slowed by the factor given for some,
// until all that is queued and running has ended.
func (b *bed) serve(slow map[UpstreamID]float64, span clock.Milli) {
	for end := b.now + span; b.now < end; {
		for _, g := range b.pool.Grants() {
			lead := g.Upstreams[0]
			s := b.runs[g.ID]
			if s == nil {
				factor := max(slow[lead], 1)
				first := max(b.free[lead], b.now) + clock.Milli(float64(g.Prompt)/20*factor)
				b.free[lead] = first
				s = &run{first, first + clock.Milli(float64(g.Output)*20*factor)}
				b.runs[g.ID] = s
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
