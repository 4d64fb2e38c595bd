package exchange

import (
	"snipeshift.example/lib/clock"
	"snipeshift.example/lib/decide"
	"snipeshift.example/lib/decide/statement"
)

// Declared is what an upstream declares about itself in a response of any kind: to a client's
// request, a memory reservation or a load poll.
type Declared struct {
	Limit Limit
	// Leaving is set if the upstream will end soon.
	Leaving bool
	// BackOff is how long the VM that receives the response must not send to the upstream; zero if
	// not declared.
	BackOff clock.Milli
	// Unreadable lists the header fields for a back-off or for leaving whose values cannot be parsed,
	// with the values quoted.
	Unreadable []string
	// Unknown lists the names of header fields that the codec does not recognize.
	Unknown []string
}

// Limit is the rate limit that an upstream declares in a response. It applies to the requests of
// all VMs together.
type Limit struct {
	// Named is set if the response declares a limit; Rate is its value.
	Named bool
	Rate  statement.PerSecond
	// Unreadable is the quoted value of the field for the rate if it cannot be parsed; otherwise empty.
	Unreadable string
}

// Statements returns the statements in a response that arrived at the time now. The gate identifies
// the VM that received it, and born the upstream's incarnation that sent it (zero if unknown). The
// end of a rate limit is never among the statements: a response without a limit may have been
// overtaken by a later one that declares it.
func (s *Declared) Statements(now clock.Milli, gate decide.GateID, incarnation decide.Incarnation) []statement.Statement {
	var out []statement.Statement
	if s.Limit.Named {
		out = append(out, statement.Statement{Kind: statement.Limit, Named: true, Rate: s.Limit.Rate, Born: incarnation, At: now})
	}
	if s.BackOff > 0 {
		out = append(out, statement.Statement{Kind: statement.BackOff, Named: true, Gate: gate, Born: incarnation, At: now, Until: now + s.BackOff})
	}
	if s.Leaving {
		out = append(out, statement.Statement{Kind: statement.Leaving, Named: true, Gate: gate, Born: incarnation, At: now})
	}
	return out
}
