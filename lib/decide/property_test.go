package decide

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"snipeshift.example/lib/clock"
)

// model drives a pool by random operations and keeps its own books.
type model struct {
	t    *rapid.T
	pool *Pool
	now  clock.Milli
	// memory and leaving mirror what the pool was told of each upstream.
	memory  map[UpstreamID]Tokens
	leaving map[UpstreamID]bool
	// taken is memory of grants and of lapsed grants not yet reported gone.
	taken map[UpstreamID]Tokens
	// open counts requests handed in without an end; live and ghosts are grants.
	open   map[RequestID]bool
	live   map[GrantID]Grant
	ghosts map[GrantID]Grant
	// due holds grants that ended badly and must be told as lapsed, once.
	due  map[GrantID]bool
	next int
}

func newModel(t *rapid.T) *model {
	m := &model{
		t:       t,
		now:     1_000_000,
		memory:  map[UpstreamID]Tokens{},
		leaving: map[UpstreamID]bool{},
		taken:   map[UpstreamID]Tokens{},
		open:    map[RequestID]bool{},
		live:    map[GrantID]Grant{},
		ghosts:  map[GrantID]Grant{},
		due:     map[GrantID]bool{},
	}
	m.pool = New(Config{Epoch: 7, Lease: 3000, Recovery: clock.Milli(rapid.IntRange(0, 1).Draw(t, "rebuild")) * 500})
	for range rapid.IntRange(1, 9).Draw(t, "upstreams") {
		m.set(t)
	}
	return m
}

func (m *model) upstream(t *rapid.T) UpstreamID {
	return UpstreamID(fmt.Sprintf("e%d", rapid.IntRange(0, 8).Draw(t, "upstream")))
}

func (m *model) set(t *rapid.T) {
	id := m.upstream(t)
	// An engine keeps its size for life, or grants made before could not fit.
	memory := Tokens(400_000)
	if id[1]%3 == 0 {
		memory = 200_000
	}
	m.memory[id] = memory
	m.leaving[id] = rapid.IntRange(0, 4).Draw(t, "leaving") == 0
	m.pool.SetUpstream(m.now, Upstream{
		ID: id, Memory: memory, Slots: rapid.IntRange(1, 12).Draw(t, "slots"),
		Prefill: 20_000, Decode: 40, Leaving: m.leaving[id],
	})
}

func (m *model) remove(t *rapid.T) {
	id := m.upstream(t)
	m.pool.RemoveUpstream(m.now, id)
	delete(m.memory, id)
	delete(m.leaving, id)
	for gid, g := range m.ghosts {
		if m.drop(&g, id); len(g.Upstreams) == 0 {
			delete(m.ghosts, gid)
			continue
		}
		m.ghosts[gid] = g
	}
}

// drop takes one upstream off a grant in the model's books.
func (m *model) drop(g *Grant, id UpstreamID) {
	var kept []UpstreamID
	for _, u := range g.Upstreams {
		if u == id {
			m.taken[u] -= g.Reserved
			continue
		}
		kept = append(kept, u)
	}
	g.Upstreams = kept
}

func (m *model) submit(t *rapid.T) {
	m.next++
	id := RequestID(fmt.Sprintf("r%d", m.next))
	prompt := rapid.SampledFrom([]int{10, 2_000, 30_000, 150_000, 390_000, 900_000}).Draw(t, "prompt")
	m.open[id] = true
	m.pool.Submit(m.now, Request{
		ID:        id,
		Workspace: WorkspaceID(fmt.Sprintf("w%d", rapid.IntRange(0, 3).Draw(t, "workspace"))),
		Urgency:   Urgency(rapid.IntRange(0, 5).Draw(t, "urgency")),
		Deadline:  m.now + clock.Milli(rapid.IntRange(-10, 400_000).Draw(t, "allowed")),
		Prompt:    Tokens(prompt),
		Output:    Tokens(rapid.IntRange(0, 1000).Draw(t, "output")),
		Suspect:   rapid.IntRange(0, 9).Draw(t, "suspect") == 0,
		// One in a few shares its content with others, and may be a killer.
		Fingerprint: uint64(rapid.IntRange(0, 40).Draw(t, "content")) % 8,
	})
}

func (m *model) tick(_ *rapid.T) {
	// The same instant reaches the pool before any later report.
	for _, d := range m.pool.Tick(m.now) {
		switch d.Action {
		case Granted:
			m.granted(d)
		case Refused:
			require.True(m.t, m.open[d.Request], "%s ended twice", d.Request)
			delete(m.open, d.Request)
		case Lapsed:
			m.lapsed(d)
		case Ordered:
		}
	}
	m.check()
}

func (m *model) granted(d Decision) {
	g := d.Grant
	require.True(m.t, m.open[d.Request], "%s ended twice", d.Request)
	delete(m.open, d.Request)
	require.Greater(m.t, g.Deadline, m.now)
	require.GreaterOrEqual(m.t, g.Reserved*Tokens(len(g.Upstreams)), g.Prompt+g.Output)
	for i, u := range g.Upstreams {
		_, known := m.memory[u]
		require.True(m.t, known, "grant on %s, which was removed", u)
		require.False(m.t, m.leaving[u], "grant on %s, which leaves", u)
		require.True(m.t, i == 0 || g.Upstreams[i-1] < u, "group not in ascending order")
		m.taken[u] += g.Reserved
		require.LessOrEqual(m.t, m.taken[u], m.memory[u], "memory of %s over-granted", u)
	}
	m.live[g.ID] = g
}

func (m *model) lapsed(d Decision) {
	g, ok := m.live[d.Grant.ID]
	if ok {
		m.haunt(g)
		return
	}
	require.True(m.t, m.due[d.Grant.ID], "lapsed without a grant, or twice")
	delete(m.due, d.Grant.ID)
}

// haunt keeps the memory of a grant on the upstreams that are still there.
func (m *model) haunt(g Grant) {
	delete(m.live, g.ID)
	for _, u := range g.Upstreams {
		if _, known := m.memory[u]; !known {
			m.drop(&g, u)
		}
	}
	if len(g.Upstreams) > 0 {
		m.ghosts[g.ID] = g
	}
}

func (m *model) finish(t *rapid.T) {
	for _, g := range m.pool.Grants() {
		if rapid.IntRange(0, 2).Draw(t, "ends") > 0 {
			continue
		}
		o := Outcome(rapid.IntRange(0, 4).Draw(t, "outcome"))
		m.pool.Finish(m.now, g.ID, o)
		if o == Failed || o == Canceled {
			m.haunt(m.live[g.ID])
			m.due[g.ID] = true
			continue
		}
		for _, u := range g.Upstreams {
			m.taken[u] -= g.Reserved
		}
		delete(m.live, g.ID)
	}
}

func (m *model) renew(t *rapid.T) {
	for _, g := range m.pool.Grants() {
		if rapid.Bool().Draw(t, "renews") {
			require.True(m.t, m.pool.Renew(m.now, g.ID))
			m.pool.Progress(m.now, g.ID, rapid.Bool().Draw(t, "first"), 1)
		}
	}
}

// report has an engine list its live grants and some of its ghosts.
func (m *model) report(t *rapid.T) {
	id := m.upstream(t)
	if _, known := m.memory[id]; !known {
		return
	}
	m.tick(t)
	r := Report{At: m.now}
	for _, g := range m.pool.Grants() {
		if contains(g.Upstreams, id) {
			r.Running = append(r.Running, g.Request)
			r.Used += g.Reserved
		}
	}
	for gid, g := range m.ghosts {
		if !contains(g.Upstreams, id) {
			continue
		}
		if rapid.Bool().Draw(t, "runs on") {
			r.Running = append(r.Running, g.Request)
			r.Used += g.Reserved
			continue
		}
		v := m.ghostSince(g, id)
		if m.now-v >= DefaultReportLag {
			m.drop(&g, id)
			m.ghosts[gid] = g
			if len(g.Upstreams) == 0 {
				delete(m.ghosts, gid)
			}
		}
	}
	m.pool.Report(m.now, id, r)
	m.check()
}

func (m *model) ghostSince(g Grant, _ UpstreamID) clock.Milli { return m.pool.grants[g.ID].ghost }

func contains(ids []UpstreamID, id UpstreamID) bool { return avoided(ids, id) }

func (m *model) check() {
	for _, v := range m.pool.Upstreams(m.now) {
		require.Equal(m.t, m.taken[v.ID], v.Reserved, "books of %s differ", v.ID)
		require.LessOrEqual(m.t, v.Reserved, v.Memory)
	}
	require.Len(m.t, m.pool.Grants(), len(m.live))
}

// A caller sends a request and must get exactly one end for it, whatever comes in
// between: upstreams that leave, come back or vanish, gates that fall silent,
// reports that lag. An engine granted more than its memory would stall or evict
// what runs there; a grant on a leaving one would be cut off.
func TestRandomOperationsKeepThePromises(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newModel(t)
		t.Repeat(map[string]func(*rapid.T){
			"submit": m.submit,
			"burst": func(t *rapid.T) {
				for range 5 {
					m.submit(t)
				}
				m.tick(t)
			},
			"tick":   m.tick,
			"finish": m.finish,
			"renew":  m.renew,
			"report": m.report,
			"set":    m.set,
			"remove": m.remove,
			"wait":   func(t *rapid.T) { m.now += clock.Milli(rapid.IntRange(1, 5000).Draw(t, "ms")) },
			"next":   func(t *rapid.T) { m.now = max(m.now, m.pool.Next(m.now)); m.tick(t) },
			"withdraw": func(t *rapid.T) {
				id := RequestID(fmt.Sprintf("r%d", rapid.IntRange(0, m.next).Draw(t, "which")))
				if m.open[id] {
					m.pool.Withdraw(m.now, id)
					delete(m.open, id)
				}
			},
		})
		// Once time has passed every deadline nothing may be left without an end.
		m.now += 500_000
		m.tick(t)
		require.Empty(t, m.due, "grants that ended badly and were not told as lapsed")
		require.Empty(t, m.open, "requests without an end")
		require.Empty(t, m.pool.Queue())
	})
}
