package scenarios

import (
	"fmt"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"snipeshift.example/scenarios/fleet"
	"snipeshift.example/scenarios/soak"
)

// Environment variables of the soak test.
const (
	// envSoakSeed sets the only seed to run, in place of the fixed seeds, envSoakLength how long faults are injected.
	envSoakSeed   = "SOAK"
	envSoakLength = "SOAKFOR"
	// envSoakLogs names a folder for the VMs' logs; if it is not set, they are deleted after the test.
	envSoakLogs = "SOAKLOGS"
)

// soakLength is how long faults are injected in CI. longSoakLength is for seeds whose failure needs a longer series of
// faults, and for a seed that envSoakSeed sets. manualSoakLength is the duration of manual runs, for seeds that failed there.
const (
	soakLength       = 12 * time.Second
	longSoakLength   = 25 * time.Second
	manualSoakLength = 20 * time.Second
)

// soakSeeds are the seeds that run in CI, with the time for which each injects faults. Failures they reproduced:
//   - 10: long prompts were refused with reason "pressure" on an idle fleet.
//   - 23: half of a stream was ended as if it were complete.
//   - 124, 136, 148: clients were told that a request had not run although its first attempt had.
//   - 6001, 6113: false alarms of the checks, about back-offs that upstreams requested from VMs which the relays could not
//     identify, and about a revoked API key that a restored older copy of the store contained.
//   - 6127: no VM used two of the four engines any more.
var soakSeeds = map[uint64]time.Duration{
	1: soakLength, 2: soakLength, 10: longSoakLength, 23: longSoakLength, 124: longSoakLength, 136: longSoakLength, 148: longSoakLength,
	6001: manualSoakLength, 6113: manualSoakLength, 6127: manualSoakLength,
}

// TestSoak kills, freezes, stops and reconfigures VMs on an emulated platform and makes the links between them, to the store
// and to upstreams fail in every way, as well as the store and the upstreams, one after the other and at the same time,
// while clients send requests over connections that they keep open. It guards against guarantees that hold under each single
// fault but not under several.
func TestSoak(t *testing.T) {
	runSoak(t, seeds(t, soakSeeds, envSoakSeed, envSoakLength, longSoakLength), soak.Plan)
}

// partitionSeeds are the seeds of TestSoakPartitions that run in CI.
var partitionSeeds = map[uint64]time.Duration{58: soakLength, 59: soakLength}

// TestSoakPartitions does the same while up to all VMs lose their paths to all upstreams again and again.
func TestSoakPartitions(t *testing.T) {
	runSoak(t, seeds(t, partitionSeeds, envSoakSeed, envSoakLength, longSoakLength), func(seed uint64, length time.Duration) []soak.Fault {
		return append(soak.Plan(seed, length), soak.PartitionFaults(seed, length)...)
	})
}

// partSeeds are the seeds of TestSoakParts that run in CI.
var partSeeds = map[uint64]time.Duration{61: soakLength, 62: soakLength}

// TestSoakParts does the same while requests share a part that crashes each upstream, and VMs of few descriptors are flooded
// with connections.
func TestSoakParts(t *testing.T) {
	runSoakOn(t, seeds(t, partSeeds, envSoakSeed, envSoakLength, longSoakLength), func(f *fleet.Fleet) {
		f.Respawn, f.Descriptors = respawnTime, floodDescriptors
	}, func(seed uint64, length time.Duration) []soak.Fault {
		return append(soak.Plan(seed, length), soak.PartFaults(seed, length)...)
	})
}

// optionalParts switches on what is off unless a deployment asks for it.
const optionalParts = `"shares": {"enabled": true}, "bookings": {"horizon": 4000}, "forecast": {"enabled": true}, "recovery": {"enabled": true}, "locality": {"enabled": true}, "spread": true,`

// optionalSeeds are the seeds of TestSoakOptionalParts that run in CI.
var optionalSeeds = map[uint64]time.Duration{65: soakLength, 66: soakLength}

// TestSoakOptionalParts does the same as TestSoakPartitions with workspace shares, bookings, forecasts, recovery and load balancing among
// owners that do not know of each other.
func TestSoakOptionalParts(t *testing.T) {
	runSoakOn(t, seeds(t, optionalSeeds, envSoakSeed, envSoakLength, longSoakLength), func(f *fleet.Fleet) { f.Settings = optionalParts }, func(seed uint64, length time.Duration) []soak.Fault {
		return append(soak.Plan(seed, length), soak.PartitionFaults(seed, length)...)
	})
}

// runSoak injects the faults that plan draws for each seed.
func runSoak(t *testing.T, lengths map[uint64]time.Duration, plan func(uint64, time.Duration) []soak.Fault) {
	runSoakOn(t, lengths, func(*fleet.Fleet) {}, plan)
}

// runSoakOn is runSoak on fleets that prepare changes before they start.
func runSoakOn(t *testing.T, lengths map[uint64]time.Duration, prepare func(*fleet.Fleet), plan func(uint64, time.Duration) []soak.Fault) {
	for seed, length := range lengths {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			slots <- struct{}{}
			defer func() { <-slots }()
			dir := t.TempDir()
			if logDir := os.Getenv(envSoakLogs); logDir != "" {
				dir = logDir
			}
			f, err := fleet.New(dir, filepath.Join(binDir, "snipeshiftd"), 4, prepare)
			t.Cleanup(f.Close)
			require.NoError(t, err)
			for _, v := range f.VMs {
				require.NoError(t, v.AwaitReady(startTimeout))
			}
			err = soak.New(f, seed, plan(seed, length), t.Logf).Execute(length)
			if err != nil {
				t.Log(f.Logs())
			}
			require.NoError(t, err)
		})
	}
}
