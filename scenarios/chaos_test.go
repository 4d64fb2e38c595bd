package scenarios

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"snipeshift.example/scenarios/chaos"
	"snipeshift.example/scenarios/world"
)

// Environment variables of the chaos run.
const (
	// envChaosSeed sets the only seed to run, in place of the fixed seeds.
	envChaosSeed = "SEED"
	// envChaosLength sets how long faults are injected.
	envChaosLength = "CHAOS"
)

// chaosLength is how long faults are injected in CI. longChaosLength is for seeds whose failure needs a longer series of
// faults.
const (
	chaosLength     = 15 * time.Second
	longChaosLength = 25 * time.Second
)

// chaosSeeds are the seeds that run in CI, with the time for which each injects faults. With seed 7006 plain
// services reject calls for seconds; workspaces were once charged for the rejected calls.
var chaosSeeds = map[uint64]time.Duration{1: chaosLength, 2: chaosLength, 3: chaosLength, 7006: longChaosLength}

// TestChaos injects faults of every kind at random, up to two at a time, while clients send requests of every
// kind. It guards against guarantees that hold under each single fault but not under two at once.
func TestChaos(t *testing.T) {
	for seed, length := range seeds(t, chaosSeeds, envChaosSeed, envChaosLength, chaosLength) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) { runChaos(t, seed, length) })
	}
}

func runChaos(t *testing.T, seed uint64, length time.Duration) {
	t.Parallel()
	slots <- struct{}{}
	defer func() { <-slots }()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	w := world.New(t.TempDir(), binDir)
	defer w.Close()
	p := world.Plan{
		Daemons: 3, Engines: 4, Services: 2, Domains: 2,
		EngineSettings: []string{"orphan=-1"},
		DocumentEdits:  []string{"kinds.draft.allowed=8000", "kinds.notice.allowed=6000", "kinds.lookup.allowed=4000"},
	}
	require.NoError(t, w.Deploy(ctx, p))
	err := chaos.New(w, seed, t.Logf).Execute(ctx, length)
	if err != nil {
		t.Log(w.Logs())
	}
	require.NoError(t, err)
}
