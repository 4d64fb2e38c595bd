package scenarios

import (
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"snipeshift.example/platform/standin"
	"snipeshift.example/scenarios/fleet"
)

// Rates and times of the tests of a part of prompts that crashes runners.
const (
	partVMs = 5
	// respawnTime is how long a crashed runner is away.
	respawnTime = time.Second
	// soundInterval and badInterval are the times between two requests without and with the bad part.
	soundInterval, badInterval = 33 * time.Millisecond, 333 * time.Millisecond
	calmTime, badTime          = 3 * time.Second, 7 * time.Second
	// maxPartCrashes is the most runners that the part may crash, verdictCrashes the crashes after which it must be known
	// within verdictTime.
	maxPartCrashes, verdictCrashes = 5, 3
	verdictTime                    = time.Second
	// servedShare is the least share of sound first attempts that are served then, relative to the time before.
	servedShare = 0.95
)

// soundParts are the shared parts of sound prompts.
var soundParts = []string{"a1", "b2", "c3"}

// partCall is one first attempt with its response.
type partCall struct {
	at       time.Time
	response standin.Response
}

// partLoad sends requests at a fixed rate, each at another VM, whatever becomes of those before.
type partLoad struct {
	wg    sync.WaitGroup
	mu    sync.Mutex
	calls []partCall
}

// run sends requests by call until the time is over. If repeat is set, each failed one is sent once more, at another VM,
// which is not recorded.
func (l *partLoad) run(f *fleet.Fleet, interval time.Duration, until time.Time, repeat bool, call func(address string) standin.Response) {
	for n := 0; time.Now().Before(until); n++ {
		l.wg.Go(func() {
			at := time.Now()
			r := call(f.VMs[n%len(f.VMs)].Caller)
			l.mu.Lock()
			l.calls = append(l.calls, partCall{at, r})
			l.mu.Unlock()
			if repeat && !r.Complete {
				call(f.VMs[(n+1)%len(f.VMs)].Caller)
			}
		})
		time.Sleep(interval)
	}
}

// served returns the share of requests sent within a span that got their complete response.
func (l *partLoad) served(from, to time.Time) float64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	sent, complete := 0, 0
	for _, x := range l.calls {
		if x.at.Before(from) || !x.at.Before(to) {
			continue
		}
		sent++
		if x.response.Complete {
			complete++
		}
	}
	return float64(complete) / float64(max(sent, 1))
}

// draftOf returns a function that calls an engine with a prompt of these parts.
func draftOf(parts []string) func(string) standin.Response {
	c := standin.NewClient("ward")
	return func(address string) standin.Response { return c.CallParts(address, "draft", parts...) }
}

// lookupOf returns a function that calls a plain service with this path.
func lookupOf(path string) func(string) standin.Response {
	c := standin.NewClient("ward")
	return func(address string) standin.Response { return c.CallPath(address, "lookup", path) }
}

// Requests that share one part, and are otherwise new each time, crash each runner that begins to answer them; the service
// must not lose more than five runners to them, and all other requests must be served as before.
func TestPlatformPartOfPromptsCrashesFewUpstreams(t *testing.T) {
	for name, x := range map[string]struct {
		position  int
		headFirst bool
	}{"first": {0, false}, "middle": {1, true}, "last shared": {2, false}} {
		t.Run(name, func(t *testing.T) {
			bad := slices.Clone(soundParts)
			bad[x.position] = "bad"
			testBadPart(t, standin.BadPart{ID: "bad", HeadFirst: x.headFirst}, draftOf(soundParts), draftOf(bad))
		})
	}
}

// Lookups of one record crash each runner of a plain service, whoever sends them with whatever body.
func TestPlatformTargetCrashesFewPlainUpstreams(t *testing.T) {
	testBadPart(t, standin.BadPart{ID: "/lookup/bad"}, lookupOf("/lookup/1"), lookupOf("/lookup/bad"))
}

// testBadPart sends sound requests, and later bad ones beside them, and checks what these did.
func testBadPart(t *testing.T, part standin.BadPart, callSound, callBad func(address string) standin.Response) {
	t.Helper()
	f := newFleet(t, partVMs)
	f.Respawn = respawnTime
	f.Platform.SetBadPart(part)
	var sound, bad partLoad
	start := time.Now()
	turn, end := start.Add(calmTime), start.Add(calmTime+badTime)
	sound.wg.Go(func() { sound.run(f, soundInterval, end, false, callSound) })
	time.Sleep(calmTime)
	bad.run(f, badInterval, end, true, callBad)
	sound.wg.Wait()
	bad.wg.Wait()

	crashes, arrivals := f.Platform.BadPartCrashes(), f.Platform.BadPartArrivals()
	t.Logf("%d crashes, %d arrivals", len(crashes), len(arrivals))
	require.GreaterOrEqual(t, len(crashes), verdictCrashes)
	known := crashes[verdictCrashes-1].Add(verdictTime)
	before, after := sound.served(start, turn), sound.served(known, end)
	t.Logf("sound first attempts served: %.3f before, %.3f from %v after the first crash", before, after, known.Sub(crashes[0]))
	require.LessOrEqual(t, len(crashes), maxPartCrashes)
	require.False(t, arrivals[len(arrivals)-1].After(known), "sent %v after the verdict was due", arrivals[len(arrivals)-1].Sub(known))
	require.GreaterOrEqual(t, after, servedShare*before)
	for _, x := range bad.calls {
		require.False(t, x.response.Complete)
		if x.response.Status == http.StatusServiceUnavailable {
			require.Zero(t, f.Platform.RunCount(x.response.ID), "%s ran", x.response.ID)
		}
	}
}

// Runners crash by themselves under requests that share their parts; none of these is to blame, and all stay served.
func TestPlatformPartIsNotBlamedForOtherCrashes(t *testing.T) {
	f := newFleet(t, partVMs)
	f.Respawn = respawnTime
	var sound partLoad
	start := time.Now()
	end := start.Add(calmTime + badTime)
	sound.wg.Go(func() { sound.run(f, soundInterval, end, false, draftOf(soundParts)) })
	time.Sleep(calmTime)
	rng := rand.New(rand.NewPCG(1, 1))
	for range 12 {
		f.CrashAndRespawn(f.Platform.Runner(standin.Model, rng.IntN(4)))
		time.Sleep(badTime / 12)
	}
	sound.wg.Wait()
	before, after := sound.served(start, start.Add(calmTime)), sound.served(start.Add(calmTime), end)
	t.Logf("first attempts served: %.3f before, %.3f during", before, after)
	require.GreaterOrEqual(t, after, servedShare*before)
	for _, x := range sound.calls {
		require.NotContains(t, x.response.Text, "quarantined")
	}
}
