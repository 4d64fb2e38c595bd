package placer

import (
	"fmt"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"snipeshift.example/lib/clock"
	"snipeshift.example/lib/decide"
	"snipeshift.example/lib/peer"
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

// A setting that does not reach the pools would leave the forecast off without notice. Without the
// setting nothing is refused at arrival, and no metric is written.
func TestForecastSettingReachesPools(t *testing.T) {
	for _, on := range []bool{false, true} {
		o := newOwner(t, "e1")
		o.Forecast = on
		o.lockedPool("s").mu.Unlock()
		var reply AskReply
		for i := range 40 {
			reply = AskReply{}
			a := wireAsk(decide.RequestID(fmt.Sprint("r", i)))
			a.Output, a.Patience = 6000, 1000
			require.NoError(t, o.Ask(&AskArgs{Service: "s", Ask: a, Wait: 50}, &reply))
			if reply.Grant.Request != "" {
				require.NoError(t, o.Note(&NoteArgs{Service: "s", Request: a.ID, Event: FirstByte}, &peer.Empty{}))
			}
		}
		var b strings.Builder
		o.WriteMetrics(&b)
		require.Equal(t, on, reply.Decided, "%+v", reply)
		require.Equal(t, on, strings.Contains(b.String(), `snipeshift_forecast_error_seconds_count{service="s"}`))
	}
}
