package scenarios

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"testing"

	"github.com/rogpeppe/go-internal/testscript"

	"snipeshift.example/scenarios/script"
)

// Environment variables of the scenarios.
const (
	// envScripts names a folder of scripts from outside the repository.
	envScripts = "SCENARIOS"
	// envBin names a folder of built programs; if it is not set, the tests build them first.
	envBin = "SNIPESHIFT_BIN"
)

// maxConcurrent is the maximum number of scenarios that run concurrently; each has about ten processes.
const maxConcurrent = 4

// programs maps the names of the programs that scenarios start to their packages.
var programs = map[string]string{
	"snipeshiftd": "snipeshift.example/daemon",
	"snipeshift":  "snipeshift.example/operator",
	"emulator":    "snipeshift.example/emulator",
}

// binDir is the folder of the programs.
var binDir string

func TestMain(m *testing.M) {
	os.Exit(withPrograms(m))
}

// withPrograms builds the programs, so that no scenario runs stale ones, and runs the tests. It returns the exit code.
func withPrograms(m *testing.M) int {
	if binDir = os.Getenv(envBin); binDir != "" {
		return m.Run()
	}
	dir, err := os.MkdirTemp("", "snipeshift-scenarios-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer func() { _ = os.RemoveAll(dir) }()
	binDir = dir
	for name, pkg := range programs {
		out, err := exec.Command("go", "build", "-tags", "faults", "-o", filepath.Join(dir, name), pkg).CombinedOutput()
		if err != nil {
			fmt.Fprintf(os.Stderr, "build %s: %v\n%s", pkg, err, out)
			return 1
		}
	}
	return m.Run()
}

// slots bounds the scenarios that run concurrently in this process.
var slots = make(chan struct{}, maxConcurrent)

func newRunner() *script.Runner {
	return &script.Runner{Bin: binDir, Slots: slots}
}

// TestScenarios runs the project's own scripts.
func TestScenarios(t *testing.T) {
	testscript.Run(t, newRunner().Params(filepath.Join("testdata", "scripts")))
}

// TestExternalScripts runs the scripts of the folder that SCENARIOS names.
func TestExternalScripts(t *testing.T) {
	dir := os.Getenv(envScripts)
	if dir == "" {
		t.Skip("SCENARIOS names no folder")
	}
	testscript.Run(t, newRunner().Params(dir))
}
