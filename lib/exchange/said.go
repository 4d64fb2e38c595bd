package exchange

import (
	"snipeshift.example/lib/clock"
	"snipeshift.example/lib/decide"
	"snipeshift.example/lib/decide/statement"
)

// Declared is what any answer of an upstream, to a request, an order or a poll, says of the upstream itself.
type Declared struct {
	Limit Limit
	// Leaving is set if the upstream ends soon.
	Leaving bool
	// BackOff is for how long it wants nothing from the VM that it answers; zero if it does not say.
	BackOff clock.Milli
	// Unreadable lists header fields, with their values quoted, that should tell of a rest or a leaving and do not.
	Unreadable []string
	// Unknown names header fields that nobody here reads.
	Unknown []string
}

// Limit is what an answer says of the requests that its upstream takes from all VMs together.
type Limit struct {
	// Named is set if the answer names a limit, of Rate.
	Named bool
	Rate  statement.PerSecond
	// Unreadable is what stands in place of a rate, quoted, if it is none.
	Unreadable string
}

// Statements are those of an answer that came now, to a VM in one life, from a life of the upstream; born is zero if that is not known. That a
// limit is over is not among them: an answer that names none may have been overtaken.
func (s *Declared) Statements(now clock.Milli, gate decide.GateID, born decide.Incarnation) []statement.Statement {
	var out []statement.Statement
	if s.Limit.Named {
		out = append(out, statement.Statement{Kind: statement.Limit, Named: true, Rate: s.Limit.Rate, Born: born, At: now})
	}
	if s.BackOff > 0 {
		out = append(out, statement.Statement{Kind: statement.BackOff, Named: true, Gate: gate, Born: born, At: now, Until: now + s.BackOff})
	}
	if s.Leaving {
		out = append(out, statement.Statement{Kind: statement.Leaving, Named: true, Gate: gate, Born: born, At: now})
	}
	return out
}
