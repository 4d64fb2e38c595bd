package placer

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"snipeshift.example/lib/clock"
)

// Requests that start later than estimated have negative errors, which must not be lost.
func TestForecastErrorsOfBothSignsAreWritten(t *testing.T) {
	var h errorHistogram
	h.add([]clock.Milli{-7000, -100, 0, 30, 9000})
	var b strings.Builder
	h.write(&b, "s")
	for _, line := range []string{
		`_bucket{service="s",le="-5"} 1`, `_bucket{service="s",le="-0.1"} 2`, `_bucket{service="s",le="0"} 3`,
		`_bucket{service="s",le="5"} 4`, `_bucket{service="s",le="+Inf"} 5`, `_sum{service="s"} 1.93`, `_count{service="s"} 5`,
	} {
		require.Contains(t, b.String(), "snipeshift_forecast_error_seconds"+line+"\n")
	}
}
