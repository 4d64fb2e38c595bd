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

// Variables of the chaos run.
const (
	// envSeed is the one seed to run in place of the fixed ones.
	envSeed = "SEED"
	// envLength is how long faults come.
	envLength = "CHAOS"
)

// fixedLength is how long faults come in CI, and longLength with a seed whose failure
// needs more of them.
const (
	fixedLength = 15 * time.Second
	longLength  = 25 * time.Second
)

// fixedSeeds run in CI, each with faults for so long. Seed 7006 has plain services that turn
// calls away for seconds: the workspaces were charged for them.
var fixedSeeds = map[uint64]time.Duration{1: fixedLength, 2: fixedLength, 3: fixedLength, 7006: longLength}

// Faults of every kind come at random, also two at a time, while callers send
// requests of every kind. A user would notice any promise that holds under each
// fault alone and not under two.
func TestChaos(t *testing.T) {
	for seed, length := range seeds(t, fixedSeeds, envSeed, envLength, fixedLength) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) { runChaos(t, seed, length) })
	}
}

func runChaos(t *testing.T, seed uint64, length time.Duration) {
	t.Parallel()
	slots <- struct{}{}
	defer func() { <-slots }()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	w := world.New(t.TempDir(), bin)
	defer w.Close()
	p := world.Plan{
		Daemons: 3, Engines: 4, Services: 2, Domains: 2,
		EngineSettings: []string{"orphan=-1"},
		DocumentEdits:  []string{"kinds.draft.allowed=8000", "kinds.notice.allowed=6000", "kinds.lookup.allowed=4000"},
	}
	require.NoError(t, w.Deploy(ctx, p))
	err := chaos.New(w, seed, t.Logf).Go(ctx, length)
	if err != nil {
		t.Log(w.Logs())
	}
	require.NoError(t, err)
}
