package scenarios

import (
	"encoding/json"
	"os/exec"
	"path/filepath"
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"snipeshift.example/lib/operator"
	"snipeshift.example/platform/standin"
	"snipeshift.example/scenarios/fleet"
)

const (
	// whereRequests is the number of requests that are explained and then sent.
	whereRequests = 30
	// restTime is a pause after which an owner knows that the last request has ended.
	restTime = 50 * time.Millisecond
)

// askWhere runs the operators' command for a request to a route of the emulated platform.
func askWhere(t *testing.T, v *fleet.VM, route string, prompt int) operator.Where {
	t.Helper()
	c := exec.CommandContext(t.Context(), filepath.Join(binDir, "snipeshift"), "--daemon", v.Metrics, "where", "--json",
		"--host", "team.example", "--path", "/"+route+"/1", "--workspace", "ward", "--prompt", strconv.Itoa(prompt), "--output", "400", "--deadline", "8000")
	text, err := c.Output()
	require.NoError(t, err, "%s", text)
	var rows []operator.Where
	require.NoError(t, json.Unmarshal(text, &rows))
	require.Len(t, rows, 1)
	return rows[0]
}

// attemptsRun returns how many requests each upstream has run.
func attemptsRun(f *fleet.Fleet) map[string]int {
	runs := map[string]int{}
	for _, rs := range [][]*standin.Runner{f.Platform.Models, f.Platform.Desks} {
		for _, r := range rs {
			runs[r.ID()] = r.AttemptsRun()
		}
	}
	return runs
}

// requireRan requires that the only new request ran where the explanation says, or at one of the equal upstreams.
func requireRan(t *testing.T, x operator.Where, before, after map[string]int) {
	t.Helper()
	expected := map[string]bool{string(x.Upstream): true}
	for _, o := range x.Others {
		if o.Against == "equal" {
			expected[string(o.Upstream)] = true
		}
	}
	ran := 0
	for id, n := range after {
		ran += n - before[id]
		require.True(t, n == before[id] || expected[id], "ran at %s, and the explanation is %+v", id, x)
	}
	require.Equal(t, 1, ran)
}

// An operator acts on what the command says: at low load without faults requests must go there, and asking must send nothing.
func TestPlatformRequestsGoWhereCommandSays(t *testing.T) {
	f := newFleet(t, 3)
	l := newLoad(f)
	l.awaitResponses(t)
	l.stopAndCheck(t, f)
	time.Sleep(time.Second)
	c := standin.NewClient("ward")
	defer c.Close()
	prompts := map[string]int{"draft": 5000, "audit": 600_000, "lookup": 0}
	for n := range whereRequests {
		route, v := []string{"draft", "lookup", "audit"}[n%3], f.VMs[n/3%len(f.VMs)]
		before := attemptsRun(f)
		x := askWhere(t, v, route, prompts[route])
		require.Equal(t, before, attemptsRun(f))
		require.Empty(t, x.OwnerError)
		require.Equal(t, x.Owner, x.From)
		require.Equal(t, operator.Placed, x.Verdict, "%+v", x)
		require.True(t, c.Call(v.Caller, route).Complete)
		requireRan(t, x, before, attemptsRun(f))
		time.Sleep(restTime)
	}
}
