package explain

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestStagesOfARequest(t *testing.T) {
	l := Line{Total: 1000, Read: 5, Queued: 20, Placed: 325, Connected: 330, Sent: 331, First: 431, Status: 200}
	require.Equal(t, map[Stage]int64{
		StageRead: 5, StageQueue: 20, StageEarlier: 300, StageConnect: 5, StageSend: 1, StageUpstream: 100, StageWrite: 569, StageTotal: 1000,
	}, stageDurations(l))
	require.Equal(t, map[Stage]int64{StageRead: 0, StageQueue: 40, StageTotal: 40}, stageDurations(Line{Total: 40, Queued: 40}), "refused request")
	require.Equal(t, map[Stage]int64{StageRead: 1, StageQueue: 2, StageEarlier: 0, StageTotal: 90}, stageDurations(Line{Total: 90, Read: 1, Queued: 2, Placed: 3}), "connecting failed")
}

// The log has eight seconds with 100 requests each, one second with 20, and one with 300 requests, which
// have to wait for a grant.
func TestProfileStagesByClassOfSecond(t *testing.T) {
	var log strings.Builder
	start := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	write := func(second, n, queued int) {
		for i := range n {
			at := start.Add(time.Duration(second)*time.Second + time.Duration(queued+50+i)*time.Millisecond)
			fmt.Fprintf(&log, `{"time":%q,"event":"request","outcome":"ok","prompt":5000,"queued":%d,"placed":%d,"connected":%d,"sent":%d,"first":%d,"total":%d,"status":200}`+"\n",
				at.Format(time.RFC3339Nano), queued, queued, queued, queued, queued+40, queued+50)
		}
	}
	for s := range 8 {
		write(s, 100, 2)
	}
	write(8, 20, 1)
	write(9, 300, 100)
	lines, skipped, err := Read(strings.NewReader(log.String()))
	require.NoError(t, err)
	require.Zero(t, skipped)
	byClass := map[LoadClass]Profile{}
	for _, p := range ProfileStages(lines) {
		if p.Stage == StageQueue {
			require.Equal(t, "short prompt", p.Kind)
			byClass[p.Load] = p
		}
	}
	require.Equal(t, int64(1), byClass[Calm].P50)
	require.Equal(t, 800, byClass[Mixed].Requests)
	require.Equal(t, int64(100), byClass[Flooded].P99)
}
