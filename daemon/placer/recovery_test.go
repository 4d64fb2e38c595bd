package placer

import (
	"bytes"
	"testing"

	"github.com/phuslu/log"
	"github.com/stretchr/testify/require"

	"snipeshift.example/lib/decide"
)

// A setting that does not reach the pools would leave the recovery off without notice, and an operator
// must see in the log when one begins and ends.
func TestRecoverySettingReachesPools(t *testing.T) {
	for _, on := range []bool{false, true} {
		o := newOwner(t, "e1")
		o.Recovery = on
		var lines bytes.Buffer
		o.Log = &log.Logger{Level: log.InfoLevel, Writer: &log.IOWriter{Writer: &lines}}
		require.NoError(t, o.Ask(&AskArgs{Service: "s", Ask: wireAsk(decide.RequestID("r")), Wait: 500}, &AskReply{}))
		o.logRecoveries()
		rows := o.ListRecoveries()
		require.Equal(t, on, len(rows) == 1 && rows[0].Active)
		require.Equal(t, on, bytes.Contains(lines.Bytes(), []byte(`"event":"recovery"`)), lines.String())
	}
}
