package relay

import (
	"testing"

	"github.com/stretchr/testify/require"

	"snipeshift.example/lib/route"
)

// Without the domain of the gate in its queries the owner has no preference, and requests are placed
// in any domain.
func TestQueryNamesDomainOfGate(t *testing.T) {
	w := newFixture(t, respond("fine"))
	w.deps.Domain = "d"
	g := New(w.deps, Bounds{}, "gate")
	require.Equal(t, route.Domain("d"), g.Describe(&route.Route{}, nil, 0, 0).Domain)
}
