package placer

import (
	"bytes"
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/phuslu/log"
	"github.com/stretchr/testify/require"

	"snipeshift.example/lib/decide"
	"snipeshift.example/lib/decide/locality"
	"snipeshift.example/lib/peer"
)

// A setting that does not reach the pools, or a domain that is lost on the way to the owner, would
// leave placement by domain off without notice.
func TestLocalitySettingReachesPools(t *testing.T) {
	for _, on := range []bool{false, true} {
		o := newOwner(t, "e1")
		o.Locality = on
		o.lockedPool("s").mu.Unlock()
		a := wireAsk("r")
		a.Domain = "elsewhere"
		var reply AskReply
		require.NoError(t, o.Ask(&AskArgs{Service: "s", Ask: a, Wait: 50}, &reply))
		rows := o.ListLocality()
		require.Equal(t, on, len(rows) > 0)
		if on {
			require.Equal(t, locality.Counts{Away: 1}, rows[0].Counts)
		}
	}
}

// Without the log line an operator does not see which engine is slow, and without the ratios not by how
// much.
func TestSlowUpstreamIsLoggedOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		o := newOwner(t, "e1")
		o.Locality = true
		var b bytes.Buffer
		o.Log = &log.Logger{Level: log.InfoLevel, Writer: &log.IOWriter{Writer: &b}}
		for i := range 30 {
			a := wireAsk(decide.RequestID(fmt.Sprint("r", i)))
			a.Deadline = 20_000
			require.NoError(t, o.Ask(&AskArgs{Service: "s", Ask: a, Wait: 50}, &AskReply{}))
			time.Sleep(700 * time.Millisecond)
			require.NoError(t, o.Note(&NoteArgs{Service: "s", Request: a.ID, Event: FirstByte}, &peer.Empty{}))
			require.NoError(t, o.Note(&NoteArgs{Service: "s", Request: a.ID, Event: Ended}, &peer.Empty{}))
		}
		require.Equal(t, 1, strings.Count(b.String(), `"slow":true`), b.String())
		require.Contains(t, b.String(), `"upstream":"e1"`)
		ratios := o.ListLocality()[0].Paces
		require.Zero(t, ratios.Below[len(ratios.Below)-4], "none up to 1.5")
		require.NotZero(t, ratios.Count) // few requests are placed once the engine is known to miss their aims
		require.Greater(t, ratios.Sum, 1.5*float64(ratios.Count))
		time.Sleep(time.Minute) // keepalives to standbys end
	})
}
