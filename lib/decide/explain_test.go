package decide

import (
	"cmp"
	"fmt"
	"reflect"
	"slices"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"snipeshift.example/lib/clock"
	"snipeshift.example/lib/decide/blame"
)

// reference is a pointer, map or list in the memory of a pool.
type reference struct {
	kind    reflect.Type
	address uintptr
}

// memory describes all that is reachable from a pool except functions. Two pools whose rows refer to each other in the same way
// have the same text.
type memory struct {
	text strings.Builder
	// without are the names of fields that are left out.
	without []string
	// rows numbers the rows in the order in which they are reached.
	rows       map[reference]int
	references map[reference]bool
}

// notCopied are fields that hold only memory for reuse, or what is known of caches.
var notCopied = []string{"spareGrants", "spareWaiting", "groupBuffer", "decisions", "spare", "prefixes", "hints"}

func memoryOf(p *Pool, without ...string) *memory {
	m := &memory{without: without, rows: map[reference]int{}, references: map[reference]bool{}}
	m.add(reflect.ValueOf(p))
	return m
}

func (m *memory) add(v reflect.Value) {
	switch v.Kind() {
	case reflect.Pointer:
		r := reference{v.Type(), v.Pointer()}
		n, known := m.rows[r]
		if !known {
			n = len(m.rows)
			m.rows[r] = n
		}
		fmt.Fprintf(&m.text, "&%d", n)
		if !known && !v.IsNil() {
			m.references[r] = true
			m.add(v.Elem())
		}
	case reflect.Struct:
		for i := range v.NumField() {
			if name := v.Type().Field(i).Name; !slices.Contains(m.without, name) {
				fmt.Fprintf(&m.text, " %s:", name)
				m.add(v.Field(i))
			}
		}
	case reflect.Slice, reflect.Array:
		if v.Kind() == reflect.Slice && v.Cap() > 0 {
			m.references[reference{v.Type(), v.Pointer()}] = true
		}
		fmt.Fprintf(&m.text, "[%d", v.Len())
		for i := range v.Len() {
			m.text.WriteByte(' ')
			m.add(v.Index(i))
		}
		m.text.WriteByte(']')
	case reflect.Map:
		if !v.IsNil() {
			m.references[reference{v.Type(), v.Pointer()}] = true
		}
		keys := v.MapKeys()
		slices.SortFunc(keys, func(a, b reflect.Value) int { return cmp.Compare(fmt.Sprint(a), fmt.Sprint(b)) })
		for _, k := range keys {
			fmt.Fprintf(&m.text, " %v=", k)
			m.add(v.MapIndex(k))
		}
	case reflect.Func:
	default:
		fmt.Fprint(&m.text, v)
	}
}

// unchanging are the types of lists that no method changes once they are made.
var unchanging = []reflect.Type{reflect.TypeFor[[]UpstreamID](), reflect.TypeFor[[]blame.Part]()}

// requireIndependent requires that a copy equals its pool and shares only what no method changes. A table that is added to the
// pool and not to Copy is shared, and an explanation would change it.
func requireIndependent(t require.TestingT, p, q *Pool) {
	a, b := memoryOf(p, notCopied...), memoryOf(q, notCopied...)
	require.Equal(t, a.text.String(), b.text.String())
	for r := range a.references {
		if b.references[r] && r.kind.String() != "*blame.crash" {
			require.Contains(t, unchanging, r.kind)
		}
	}
}

// explain asks for an explanation and then for the decision, and requires that they agree.
func (m *model) explain(t *rapid.T) {
	r := m.request(t)
	if rapid.Bool().Draw(t, "part") {
		r.Parts = []blame.Part{blame.Part(rapid.IntRange(1, 2).Draw(t, "which"))}
	}
	if rapid.Bool().Draw(t, "avoids") {
		r.Avoid = []UpstreamID{m.upstream(t)}
	}
	if r.Prompt > PrefixBlock && rapid.Bool().Draw(t, "prefix") {
		r.Prefixes = []PrefixHash{PrefixHash(rapid.IntRange(0, 9).Draw(t, "beginning"))}
	}
	before := memoryOf(m.pool).text.String()
	c := m.pool.Copy(r.Prefixes...)
	requireIndependent(m.t, m.pool, c)
	e := c.Explain(m.now, r)
	require.Equal(m.t, before, memoryOf(m.pool).text.String(), "an explanation changes nothing")
	m.undecided[r.ID] = true
	m.pool.Submit(m.now, r)
	m.requireNext(t, r.ID, &e)
}

// explainQueued does the same for a request that is queued or has a grant.
func (m *model) explainQueued(t *rapid.T) {
	id := RequestID(fmt.Sprintf("r%d", rapid.IntRange(0, m.next).Draw(t, "which")))
	g, running := m.pool.live[id]
	before := memoryOf(m.pool).text.String()
	e, ok := m.pool.Copy().ExplainQueued(m.now, id)
	require.Equal(m.t, before, memoryOf(m.pool).text.String(), "an explanation changes nothing")
	require.Equal(m.t, m.undecided[id] || running, ok)
	switch {
	case running:
		require.Equal(m.t, ReasonRunning, e.Reason)
		require.Equal(m.t, g.Grant, e.Decision.Grant)
	case ok:
		m.requireNext(t, id, &e)
	}
}

// requireNext requires that the next tick decides on a request as explained.
func (m *model) requireNext(t *rapid.T, id RequestID, e *Explanation) {
	m.tick(t)
	i := slices.IndexFunc(m.decisions, func(d Decision) bool { return d.Request == id && d.Action != Lapsed })
	require.Equal(m.t, e.Decided, i >= 0)
	require.NotEmpty(m.t, e.Reason)
	require.Len(m.t, m.pool.queued, e.Queued+min(e.Place, 1))
	require.LessOrEqual(m.t, e.Place, e.Queued+1)
	if !e.Decided {
		require.Positive(m.t, e.Place)
		return
	}
	require.Equal(m.t, m.decisions[i], e.Decision)
	for _, x := range e.Others {
		require.NotContains(m.t, e.Decision.Grant.Upstreams, x.Upstream)
	}
}

// Whatever happened before, the explanation of a request is what is decided on it next, and it leaves no trace in the pool: a
// grant, a fair-sharing charge, a measured demand or a verdict on a part that stayed behind would change later decisions.
func TestExplanationIsNextDecisionAndChangesNothing(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newModel(t)
		t.Repeat(map[string]func(*rapid.T){
			"explain": m.explain, "explain another": m.explain, "explain queued": m.explainQueued,
			"submit": m.submit, "finish": m.finish, "renew": m.renew, "report": m.report, "set": m.set, "remove": m.remove,
			"hint": func(t *rapid.T) {
				m.hints++
				m.pool.Hint(m.now, m.upstream(t), Hint{Seq: m.hints, Prefix: PrefixHash(rapid.IntRange(0, 9).Draw(t, "prefix"))})
			},
			"wait": func(t *rapid.T) { m.now += clock.Milli(rapid.IntRange(1, 3000).Draw(t, "ms")) },
		})
	})
}

// An operator sees for each upstream the one thing that keeps the request from it, and not another that also holds.
func TestExplanationNamesObstacles(t *testing.T) {
	for against, hinder := range map[Obstacle]func(*harness, *Request){
		ObstacleFull: func(b *harness, _ *Request) {
			for i := range 16 {
				r := b.request(fmt.Sprint("full", i))
				r.Urgency, r.Prompt, r.Avoid = 0, 10, []UpstreamID{name(1), name(2)}
				b.submit(r)
			}
		},
		ObstacleMemory:  func(b *harness, _ *Request) { b.external(390_000) },
		ObstacleLeaving: func(b *harness, _ *Request) { b.set(0, true) },
		ObstacleAvoided: func(_ *harness, r *Request) { r.Avoid = []UpstreamID{name(0)} },
	} {
		t.Run(string(against), func(t *testing.T) {
			b := newHarness(t, 3)
			b.tick()
			r := b.request("r")
			hinder(b, &r)
			e := b.pool.Copy().Explain(b.now, r)
			require.Equal(t, ReasonLeastCost, e.Reason)
			require.EqualValues(t, 1000, e.First, "20,000 tokens of prompt at 20,000 a second")
			require.Equal(t, Other{name(0), against}, e.Others[0])
			require.Equal(t, ObstacleFree, e.Others[1].Against)
		})
	}
}

// external makes the first engine report memory that no grant accounts for, twice, since one report alone proves nothing.
func (b *harness) external(used Tokens) {
	for range 2 {
		b.pool.Report(b.now, name(0), Report{At: b.now, Used: used})
	}
}

// Requests of the same workspace that are served first, and those of others by their shares, count as ahead.
func TestExplanationCountsRequestsAhead(t *testing.T) {
	b := newHarness(t, 1)
	for i := range 3 {
		b.submit(b.request(fmt.Sprint("a", i)))
	}
	require.Len(t, b.granted, 1, "an engine with a second of prefill gets no further prompt")
	r := b.request("r")
	r.Deadline++
	e := b.pool.Copy().Explain(b.now, r)
	require.Equal(t, Explanation{Reason: ReasonNoRoom, Place: 3, Queued: 2, Others: []Other{{name(0), ObstacleFull}}}, e)
	r.Workspace = "b"
	require.Equal(t, 1, b.pool.Copy().Explain(b.now, r).Place, "a workspace that was idle goes before the burst of another one")
	r.Deadline = b.now + 100
	require.Equal(t, ReasonLate, b.pool.Copy().Explain(b.now, r).Reason)
}

// BenchmarkExplain measures an explanation at 200 engines with 10 requests each, 1,000 queued ones and full tables of prefixes.
func BenchmarkExplain(b *testing.B) {
	h := newHarness(&testing.T{}, 200)
	h.tick()
	for i := 0; len(h.pool.queued) < 1000; i++ {
		r := h.request(fmt.Sprint(i))
		r.Workspace, r.Prompt = WorkspaceID(fmt.Sprint(i%50)), 2000
		if len(h.pool.grants) >= 2000 {
			r.Prompt = 20_000
		}
		h.submit(r)
		if len(h.pool.grants) < 2000 {
			h.now += 5
		}
	}
	for i := range 200 {
		for j := range maxHints {
			h.pool.Hint(h.now, name(i), Hint{Seq: uint64(j + 1), Prefix: PrefixHash(i*maxHints + j)})
		}
	}
	b.Run("copy", func(b *testing.B) {
		for b.Loop() {
			h.pool.Copy()
		}
	})
	b.Run("whole", func(b *testing.B) {
		for b.Loop() {
			h.pool.Copy().Explain(h.now, h.request("r"))
		}
	})
}
