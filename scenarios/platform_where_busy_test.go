package scenarios

import (
	"encoding/json"
	"math/rand/v2"
	"net/http"
	"net/url"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"snipeshift.example/lib/operator"
	"snipeshift.example/platform/standin"
	"snipeshift.example/scenarios/fleet"
)

// busyRequests is the number of requests that are explained and then sent beside others.
const busyRequests = 60

// sendDrafts sends drafts of some clients through all VMs, each with a random pause after its last response. It returns a
// function that ends that.
func sendDrafts(f *fleet.Fleet, clients int, pause time.Duration) (stop func()) {
	done := make(chan struct{})
	var wg sync.WaitGroup
	for i := range clients {
		c := standin.NewClient("desk")
		random := rand.New(rand.NewPCG(1, uint64(i))) //nolint:gosec // a test
		wg.Go(func() {
			defer c.Close()
			for {
				select {
				case <-done:
					return
				case <-time.After(time.Duration(random.Int64N(int64(pause)))):
					c.Call(f.VMs[random.IntN(len(f.VMs))].Caller, "draft")
				}
			}
		})
	}
	return func() { close(done); wg.Wait() }
}

// askPage asks the page of a VM for a draft, without the time that the start of the command takes.
func askPage(t *testing.T, v *fleet.VM) operator.Where {
	t.Helper()
	query := `{"host":"team.example","path":"/draft/1","workspace":"ward","prompt":5000,"output":400,"deadline":8000}`
	resp, err := http.Get("http://" + v.Metrics + operator.PathWhere + "?" + url.Values{operator.ParamWhere: {query}}.Encode()) //nolint:noctx // a test
	require.NoError(t, err)
	defer resp.Body.Close()
	var x operator.Where
	require.NoError(t, json.NewDecoder(resp.Body).Decode(&x))
	return x
}

// explained is a request that ran after the question where it would.
type explained struct {
	answer operator.Where
	id     string
	asked  time.Time
	// ran is the runner that executed it, begun the time.
	ran   string
	begun time.Time
}

// during reports whether an instant is between the question and the execution, with margins for the time in which owners learn
// of events at runners, and in which a granted request reaches its runner.
func (x *explained) during(at time.Time) bool {
	return at.After(x.asked.Add(-restTime)) && at.Before(x.begun.Add(restTime))
}

// cause returns why the request did not run where the answer says, empty if other requests were not the cause.
func (x *explained) cause(f *fleet.Fleet) string {
	var filled, freed bool
	for _, r := range f.Platform.Models {
		for _, a := range r.RunTimes() {
			if a.ID == x.id {
				continue
			}
			// A stream makes room when its first event has arrived, since the engine then has computed its prompt.
			filled = filled || r.ID() == string(x.answer.Upstream) && a.Begun.After(x.asked) && x.during(a.Begun)
			freed = freed || r.ID() == x.ran && (x.during(a.Begun.Add(r.Pause)) || x.during(a.Ended))
		}
	}
	i := slices.IndexFunc(x.answer.Others, func(o operator.WhereOther) bool { return string(o.Upstream) == x.ran })
	if i < 0 {
		return ""
	}
	switch against := x.answer.Others[i].Against; {
	case against == "free" && filled:
		return "another request took the room that the answer names, and the next free upstream came"
	case against == "full" && freed:
		return "another request made room at an upstream that was full"
	case against == "full" && filled:
		return "another request took the room that the answer names, and no upstream was free"
	}
	return ""
}

// A busy fleet changes between the answer and the request. Each request that ran elsewhere must have a cause in what other
// requests did meanwhile: without one, the command explains decisions that the owner does not make.
func TestPlatformWhereOnBusyFleet(t *testing.T) {
	f := newFleet(t, 3)
	for _, x := range []struct {
		name    string
		clients int
		pause   time.Duration
	}{{"some load", 4, 600 * time.Millisecond}, {"full engines", 24, 200 * time.Millisecond}} {
		t.Run(x.name, func(t *testing.T) {
			stop := sendDrafts(f, x.clients, x.pause)
			defer stop()
			time.Sleep(time.Second)
			counts := explainAndSend(t, f)
			for cause, n := range counts {
				t.Logf("%d of %d: %s", n, busyRequests, cause)
			}
		})
	}
}

// explainAndSend asks and sends the requests, and returns how many ran where the answers say, or elsewhere and why.
func explainAndSend(t *testing.T, f *fleet.Fleet) map[string]int {
	t.Helper()
	c := standin.NewClient("ward")
	defer c.Close()
	random := rand.New(rand.NewPCG(2, 2)) //nolint:gosec // a test
	counts := map[string]int{}
	for range busyRequests {
		v := f.VMs[random.IntN(len(f.VMs))]
		x := explained{asked: time.Now(), answer: askPage(t, v)}
		response := c.Call(v.Caller, "draft")
		require.True(t, response.Complete, "%+v", response)
		x.id = response.ID
		for _, r := range f.Platform.Models {
			for _, a := range r.RunTimes() {
				if a.ID == x.id {
					x.ran, x.begun = r.ID(), a.Begun
				}
			}
		}
		if x.ran == string(x.answer.Upstream) {
			counts["as the answer says"]++
			continue
		}
		cause := x.cause(f)
		require.NotEmpty(t, cause, "ran at %s %v after the question: %+v", x.ran, x.begun.Sub(x.asked), x.answer)
		counts[cause]++
	}
	return counts
}
