package relay

import (
	"strings"
	"sync"

	"snipeshift.example/lib/clock"
	"snipeshift.example/lib/decide/span"
	"snipeshift.example/lib/decide/statement"
	"snipeshift.example/lib/exchange"
	"snipeshift.example/lib/logline"
	"snipeshift.example/lib/route"
)

// hear passes on what an answer says of its upstream. Any answer may say something, also one that turns the request away; that a limit is
// over shows in a whole one alone. Sent is when the request was sent.
func (x *flight) hear(word *exchange.ResponseHead, leader span.Placement, sent clock.Milli) {
	if word.Misdirected {
		return
	}
	x.gate.hear(x.service, leader, &word.Declared)
	limit := word.Declared.Limit
	if !limit.Named && limit.Unreadable == "" && word.Matches && word.Signed && !word.NotRun {
		x.gate.Placer.RecordStatement(x.service, leader.Upstream, statement.Statement{Kind: statement.Limit, Born: leader.Born, At: sent})
	}
}

// hear passes on what an answer that came now says of its upstream.
func (g *Gate) hear(s route.ServiceID, p span.Placement, said *exchange.Declared) {
	unreadable := said.Unreadable
	if said.Limit.Unreadable != "" {
		unreadable = append(unreadable, "limit: "+said.Limit.Unreadable)
	}
	for _, field := range unreadable {
		if !g.unreadable.first(field) {
			continue
		}
		g.Log.Warn().Str(logline.Key, logline.Unreadable).Str("service", string(s)).Str("upstream", string(p.Upstream)).
			Str("field", field[:min(len(field), knownBytes)]).Msg("an upstream says something of itself that cannot be read")
	}
	for _, name := range said.Unknown {
		if g.unknown.first(name) {
			g.Log.Warn().Str(logline.Key, logline.Unknown).Str("service", string(s)).Str("upstream", string(p.Upstream)).
				Str("field", name[:min(len(name), knownBytes)]).Msg("answers have a header field that nobody reads")
		}
	}
	for _, st := range said.Statements(g.Clock.Now(), g.id, p.Born) {
		g.Placer.RecordStatement(s, p.Upstream, st)
	}
}

// withheld reports whether an upstream of the grant has said to this VM that it must get nothing now. The owner may not have heard of it
// yet, and a VM that decides for itself may have nobody to hear it from.
func (x *flight) withheld(grant span.Grant) (result, bool) {
	g := x.gate
	for i, p := range append([]span.Placement{grant.Leader}, grant.Helpers...) {
		st, bound := g.Placer.Binding(x.service, p)
		if helps := i > 0; !bound || helps && st.Kind == statement.BackOff && p.Reserve == 0 {
			continue
		}
		g.Log.Info().Str(logline.Key, logline.Withheld).Str("id", x.head.ID).Str("service", string(x.service)).Str("upstream", string(p.Upstream)).
			Str("statement", st.Kind.String()).Int64("age", int64(g.Clock.Now()-st.At)).Msg("nothing is sent")
		g.metrics.withheld(st.Kind)
		return result{verdict: idle, outcome: span.Left, culprit: p.Upstream, err: errWithheld, withheld: true}, true
	}
	return result{}, false
}

// knownNames bounds the names that are remembered, logged and counted, knownBytes the length to which one is told from others.
const (
	knownNames = 64
	knownBytes = 128
)

// names remembers which names were seen.
type names struct {
	mu   sync.Mutex
	seen map[string]bool
}

// first reports whether a name is seen for the first time, as long as there is room to remember it.
func (n *names) first(name string) bool {
	name = name[:min(len(name), knownBytes)]
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.seen[name] || len(n.seen) >= knownNames {
		return false
	}
	if n.seen == nil {
		n.seen = map[string]bool{}
	}
	n.seen[strings.Clone(name)] = true
	return true
}

// count is how many names were seen.
func (n *names) count() int { n.mu.Lock(); defer n.mu.Unlock(); return len(n.seen) }
