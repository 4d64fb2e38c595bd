package placer

import (
	"bytes"
	"strings"
	"testing"

	"github.com/phuslu/log"
	"github.com/stretchr/testify/require"

	"snipeshift.example/lib/decide"
	"snipeshift.example/lib/decide/share"
	"snipeshift.example/lib/decide/span"
	"snipeshift.example/lib/route"
)

// A weight is set for a workspace that the document does not contain, mostly a misspelt name. One
// line must say so, not one for each change of the document or none. What is granted is counted for
// the workspaces that asked.
func TestUnknownWorkspaceIsLoggedOnce(t *testing.T) {
	o := newOwner(t, "e")
	var lines bytes.Buffer
	o.Log = &log.Logger{Level: log.WarnLevel, Writer: &log.IOWriter{Writer: &lines}}
	o.Shares = share.Settings{Enabled: true, Weights: map[decide.WorkspaceID]float64{"absent": 2}}
	for i, id := range []decide.RequestID{"1", "2"} {
		o.Knowledge.(fixedView).view.Generation = uint64(1 + i)
		args := &AskArgs{Service: "s", Wait: 100, Ask: span.Ask{ID: id, Gate: "g", Workspace: "w", Prompt: 5000, Output: 500, Aim: 300, Deadline: 9000}}
		var reply AskReply
		require.NoError(t, o.Ask(args, &reply))
		require.True(t, reply.Decided)
		require.EqualValues(t, "w", reply.Grant.Workspace)
	}
	require.Equal(t, 1, strings.Count(lines.String(), `"workspace":"absent"`))
	var usages []share.Usage
	o.ShareUsages(func(_ route.ServiceID, u share.Usage) { usages = append(usages, u) })
	require.Len(t, usages, 1)
	require.InDelta(t, 11_000, usages[0].Tokens, 0)
}
