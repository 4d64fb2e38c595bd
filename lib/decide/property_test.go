package decide

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"snipeshift.example/lib/clock"
)

// model drives a pool by random operations and compares its state with a simple model.
type model struct {
	t    *rapid.T
	pool *Pool
	now  clock.Milli
	// memory and leaving mirror the configuration of each upstream.
	memory  map[UpstreamID]Tokens
	leaving map[UpstreamID]bool
	// taken is the memory of live grants and of orphaned grants not yet reported as gone.
	taken map[UpstreamID]Tokens
	// undecided contains submitted requests without a decision. live and orphans are grants.
	undecided map[RequestID]bool
	live      map[GrantID]Grant
	orphans   map[GrantID]Grant
	// lapseDue contains failed or canceled grants for which exactly one Lapsed decision must
	// follow.
	lapseDue map[GrantID]bool
	// decisions are those of the last tick.
	decisions []Decision
	next      int
	// hints is the number of hints so far.
	hints uint64
}

func newModel(t *rapid.T) *model {
	m := &model{
		t:         t,
		now:       1_000_000,
		memory:    map[UpstreamID]Tokens{},
		leaving:   map[UpstreamID]bool{},
		taken:     map[UpstreamID]Tokens{},
		undecided: map[RequestID]bool{},
		live:      map[GrantID]Grant{},
		orphans:   map[GrantID]Grant{},
		lapseDue:  map[GrantID]bool{},
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
	// The memory of an engine never changes, as grants made before could exceed it otherwise.
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
	for gid, g := range m.orphans {
		if m.drop(&g, id); len(g.Upstreams) == 0 {
			delete(m.orphans, gid)
			continue
		}
		m.orphans[gid] = g
	}
}

// drop removes one upstream from a grant of the model.
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
	r := m.request(t)
	m.undecided[r.ID] = true
	m.pool.Submit(m.now, r)
}

// request returns a new request.
func (m *model) request(t *rapid.T) Request {
	m.next++
	id := RequestID(fmt.Sprintf("r%d", m.next))
	prompt := rapid.SampledFrom([]int{10, 2_000, 30_000, 150_000, 390_000, 900_000}).Draw(t, "prompt")
	return Request{
		ID:        id,
		Workspace: WorkspaceID(fmt.Sprintf("w%d", rapid.IntRange(0, 3).Draw(t, "workspace"))),
		Urgency:   Urgency(rapid.IntRange(0, 5).Draw(t, "urgency")),
		Deadline:  m.now + clock.Milli(rapid.IntRange(-10, 400_000).Draw(t, "allowed")),
		Prompt:    Tokens(prompt),
		Output:    Tokens(rapid.IntRange(0, 1000).Draw(t, "output")),
		Suspect:   rapid.IntRange(0, 9).Draw(t, "suspect") == 0,
		// Few distinct fingerprints, so that requests share content and can become poison requests.
		Fingerprint: uint64(rapid.IntRange(0, 40).Draw(t, "content")) % 8,
	}
}

func (m *model) tick(_ *rapid.T) {
	// report calls tick first, so the pool sees the current time before any report of that time.
	m.decisions = m.pool.Tick(m.now)
	for _, d := range m.decisions {
		switch d.Action {
		case Granted:
			m.granted(d)
		case Refused:
			require.True(m.t, m.undecided[d.Request], "%s decided twice", d.Request)
			delete(m.undecided, d.Request)
		case Lapsed:
			m.lapsed(d)
		case Ordered:
		}
	}
	m.check()
}

func (m *model) granted(d Decision) {
	g := d.Grant
	require.True(m.t, m.undecided[d.Request], "%s decided twice", d.Request)
	delete(m.undecided, d.Request)
	require.Greater(m.t, g.Deadline, m.now)
	require.GreaterOrEqual(m.t, g.Reserved*Tokens(len(g.Upstreams)), g.Prompt+g.Output)
	for i, u := range g.Upstreams {
		_, known := m.memory[u]
		require.True(m.t, known, "grant on %s, which was removed", u)
		require.False(m.t, m.leaving[u], "grant on %s, which is leaving", u)
		require.True(m.t, i == 0 || g.Upstreams[i-1] < u, "group not in ascending order")
		m.taken[u] += g.Reserved
		require.LessOrEqual(m.t, m.taken[u], m.memory[u], "memory of %s over-granted", u)
	}
	m.live[g.ID] = g
}

func (m *model) lapsed(d Decision) {
	g, ok := m.live[d.Grant.ID]
	if ok {
		m.orphan(g)
		return
	}
	require.True(m.t, m.lapseDue[d.Grant.ID], "lapsed twice, or without a grant")
	delete(m.lapseDue, d.Grant.ID)
}

// orphan keeps the memory of a grant reserved on the upstreams that still exist.
func (m *model) orphan(g Grant) {
	delete(m.live, g.ID)
	for _, u := range g.Upstreams {
		if _, known := m.memory[u]; !known {
			m.drop(&g, u)
		}
	}
	if len(g.Upstreams) > 0 {
		m.orphans[g.ID] = g
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
			m.orphan(m.live[g.ID])
			m.lapseDue[g.ID] = true
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

// report makes an engine report its live grants and some of its orphaned ones.
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
	for gid, g := range m.orphans {
		if !contains(g.Upstreams, id) {
			continue
		}
		if rapid.Bool().Draw(t, "runs on") {
			r.Running = append(r.Running, g.Request)
			r.Used += g.Reserved
			continue
		}
		v := m.orphanedAt(g, id)
		if m.now-v >= DefaultReportLag {
			m.drop(&g, id)
			m.orphans[gid] = g
			if len(g.Upstreams) == 0 {
				delete(m.orphans, gid)
			}
		}
	}
	m.pool.Report(m.now, id, r)
	m.check()
}

func (m *model) orphanedAt(g Grant, _ UpstreamID) clock.Milli { return m.pool.grants[g.ID].orphanedAt }

func contains(ids []UpstreamID, id UpstreamID) bool { return avoided(ids, id) }

func (m *model) check() {
	for _, v := range m.pool.Upstreams(m.now) {
		require.Equal(m.t, m.taken[v.ID], v.Reserved, "reserved memory of %s differs", v.ID)
		require.LessOrEqual(m.t, v.Reserved, v.Memory)
	}
	require.Len(m.t, m.pool.Grants(), len(m.live))
}

// Each submitted request must get exactly one decision, whatever happens in between: upstreams that
// leave, come back or vanish, gates that do not respond, reports that lag. An engine granted more
// than its memory would stall or evict running requests; a grant on a leaving engine would be cut
// off.
func TestRandomOperationsKeepInvariants(t *testing.T) {
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
				if m.undecided[id] {
					m.pool.Withdraw(m.now, id)
					delete(m.undecided, id)
				}
			},
		})
		// After every deadline no request may be left without a decision.
		m.now += 500_000
		m.tick(t)
		require.Empty(t, m.lapseDue, "failed or canceled grants without a Lapsed decision")
		require.Empty(t, m.undecided, "requests without a decision")
		require.Empty(t, m.pool.Queue())
	})
}
