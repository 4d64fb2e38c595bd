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

// reportStatements passes the statements in a response header on to the placer. Any response may
// contain statements, also a rejection. That a rate limit has ended is only concluded from a
// regular response that declares none; the end holds as of sent, the time at which the request was
// sent.
func (x *request) reportStatements(head *exchange.ResponseHead, leader span.Placement, sent clock.Milli) {
	if head.Misdirected {
		return
	}
	x.gate.reportStatements(x.service, leader, &head.Declared)
	if carrier := x.carrier.Load(); carrier != nil {
		for _, st := range head.Declared.Statements(x.gate.Clock.Now(), x.gate.id, leader.Born) {
			x.gate.Placer.PassToCarrier(*carrier, x.service, leader.Upstream, st)
		}
	}
	limit := head.Declared.Limit
	if !limit.Named && limit.Unreadable == "" && head.Matches && head.Signed && !head.NotRun {
		x.gate.Placer.RecordStatement(x.service, leader.Upstream, statement.Statement{Kind: statement.Limit, Born: leader.Born, At: sent})
	}
}

// reportStatements passes the statements in a response that has just arrived on to the placer, and
// logs header fields that cannot be parsed or are not recognized.
func (g *Gate) reportStatements(s route.ServiceID, p span.Placement, declared *exchange.Declared) {
	unreadable := declared.Unreadable
	if declared.Limit.Unreadable != "" {
		unreadable = append(unreadable, "limit: "+declared.Limit.Unreadable)
	}
	for _, field := range unreadable {
		if !g.unreadable.add(field) {
			continue
		}
		g.Log.Warn().Str(logline.Key, logline.Unreadable).Str("service", string(s)).Str("upstream", string(p.Upstream)).
			Str("field", field[:min(len(field), maxNameBytes)]).Msg("cannot parse a statement in an upstream's response; ignored")
	}
	for _, name := range declared.Unknown {
		if g.unknown.add(name) {
			g.Log.Warn().Str(logline.Key, logline.Unknown).Str("service", string(s)).Str("upstream", string(p.Upstream)).
				Str("field", name[:min(len(name), maxNameBytes)]).Msg("unrecognized header field in an upstream's response")
		}
	}
	for _, st := range declared.Statements(g.Clock.Now(), g.id, p.Born) {
		g.Placer.RecordStatement(s, p.Upstream, st)
	}
}

// checkStatements reports whether a statement of an upstream of the grant forbids this VM to send
// to it now, and if so the result of the send. The owner that issued the grant may not have
// received the statement yet, and a VM that places requests by itself may receive statements from
// no other VM.
func (x *request) checkStatements(grant span.Grant) (result, bool) {
	g := x.gate
	for i, p := range append([]span.Placement{grant.Leader}, grant.Helpers...) {
		st, bound := g.Placer.Binding(x.service, p)
		if helps := i > 0; !bound || helps && st.Kind == statement.BackOff && p.Reserve == 0 {
			continue
		}
		g.Log.Info().Str(logline.Key, logline.Withheld).Str("id", x.head.ID).Str("service", string(x.service)).Str("upstream", string(p.Upstream)).
			Str("statement", st.Kind.String()).Int64("age", int64(g.Clock.Now()-st.At)).Msg("request not sent: a statement of the upstream forbids it")
		g.metrics.countWithheld(st.Kind)
		return result{verdict: notRun, outcome: span.Left, culprit: p.Upstream, err: errWithheld, unsent: true}, true
	}
	return result{}, false
}

// maxNames bounds how many names are stored, logged and counted; maxNameBytes is the length to
// which names are truncated before they are compared.
const (
	maxNames     = 64
	maxNameBytes = 128
)

// nameSet is a bounded set of names. It is safe for concurrent use.
type nameSet struct {
	mu   sync.Mutex
	seen map[string]bool
}

// add adds a name and reports whether it was new. A full set accepts no further names.
func (n *nameSet) add(name string) bool {
	name = name[:min(len(name), maxNameBytes)]
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.seen[name] || len(n.seen) >= maxNames {
		return false
	}
	if n.seen == nil {
		n.seen = map[string]bool{}
	}
	n.seen[strings.Clone(name)] = true
	return true
}

// count returns the number of names in the set.
func (n *nameSet) count() int { n.mu.Lock(); defer n.mu.Unlock(); return len(n.seen) }
