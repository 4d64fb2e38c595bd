package passes

import (
	"testing"

	"github.com/stretchr/testify/require"

	"snipeshift.example/lib/decide/span"
)

// Under an overload of two thirds of the time, a forecast that is too high refuses requests that would
// be served, and one that is too low keeps clients waiting for nothing.
func TestForecastAgreesWithOracle(t *testing.T) {
	l := Loads()["over18"]
	l.Forecast = true
	a := AuditLoad(l, span.DefaultRules, 1, 12)
	require.NotZero(t, a.Sampled)
	require.Less(t, a.WrongRate(), 0.02)
	require.Less(t, a.UselessRate(), 0.02)
}
