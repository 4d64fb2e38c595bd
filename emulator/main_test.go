package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"snipeshift.example/emulator/caller"
	"snipeshift.example/emulator/experiment"
	"snipeshift.example/emulator/listen"
	"snipeshift.example/emulator/load"
	"snipeshift.example/emulator/local"
)

// waitLimit is the timeout of every wait for a condition.
const waitLimit = 20 * time.Second

// TestMain runs the test executable as the emulator or the fake daemon if it is started under their
// names, so that the tests can run real processes.
func TestMain(m *testing.M) {
	switch filepath.Base(os.Args[0]) {
	case "emulator":
		main()
	case local.DaemonProgram:
		runFakeDaemon()
	default:
		// By default, the race detector delays the exit of each child by a second.
		if err := os.Setenv("GORACE", "atexit_sleep_ms=0"); err != nil {
			panic(err)
		}
		os.Exit(m.Run())
	}
}

// linkProgram links the test executable under a name that TestMain recognizes and returns its path.
func linkProgram(t *testing.T, dir, name string) string {
	t.Helper()
	self, err := os.Executable()
	require.NoError(t, err)
	file := filepath.Join(dir, name)
	require.NoError(t, os.Link(self, file))
	return file
}

func get(t *testing.T, url string) (string, error) {
	t.Helper()
	r, err := http.NewRequestWithContext(t.Context(), http.MethodGet, url, nil)
	require.NoError(t, err)
	a, err := http.DefaultClient.Do(r)
	if err != nil {
		return "", err
	}
	defer a.Body.Close()
	text, err := io.ReadAll(a.Body)
	return string(text), err
}

// start starts a command and decodes its first line of output into ready.
func start(t *testing.T, ready any, args ...string) (*exec.Cmd, *bufio.Scanner) {
	t.Helper()
	cmd := exec.CommandContext(t.Context(), args[0], args[1:]...)
	cmd.Stderr = os.Stderr
	out, err := cmd.StdoutPipe()
	require.NoError(t, err)
	require.NoError(t, cmd.Start())
	lines := bufio.NewScanner(out)
	lines.Buffer(nil, 1<<20)
	require.True(t, lines.Scan())
	require.NoError(t, json.Unmarshal(lines.Bytes(), ready), lines.Text())
	return cmd, lines
}

func TestEmulatorsRunAsProcesses(t *testing.T) {
	emulator := linkProgram(t, t.TempDir(), "emulator")
	for _, name := range []string{"platform", "service", "engine"} {
		args := []string{emulator, name}
		if name == "engine" {
			args = append(args, "--set", "notice=1", "--set", "name=e,1")
		}
		var r listen.Ready
		cmd, _ := start(t, &r, args...)
		_, err := get(t, "http://"+r.Address+"/health")
		require.NoError(t, err)
		require.Equal(t, name, r.Program)
		require.NoError(t, cmd.Process.Signal(syscall.SIGTERM))
		require.NoError(t, cmd.Wait())
	}
}

func TestUnknownSettingIsAnError(t *testing.T) {
	emulator := linkProgram(t, t.TempDir(), "emulator")
	text, err := exec.CommandContext(t.Context(), emulator, "engine", "--set", "sped=1").CombinedOutput()
	require.Error(t, err)
	require.Contains(t, string(text), "sped")
}

func TestLocalStartsAndCleansUp(t *testing.T) {
	bin, temp := t.TempDir(), t.TempDir()
	emulator := linkProgram(t, bin, "emulator")
	linkProgram(t, bin, local.DaemonProgram)
	t.Setenv("TMPDIR", temp)
	var r local.Ready
	cmd, lines := start(t, &r, emulator, "local", "--bin", bin, "--engines", "4", "--set", "notice=1")
	require.True(t, lines.Scan())
	require.Contains(t, lines.Text(), "curl -sN http://"+r.Address)
	require.True(t, lines.Scan())
	require.Equal(t, "export SNIPESHIFT_DAEMON="+strings.Join(r.OperatorAddresses, ",")+" SNIPESHIFT_STORE="+r.PlatformAddress, lines.Text())
	require.Len(t, r.Pids, 1+4+2+3)
	doc, err := get(t, "http://"+r.PlatformAddress+"/objects/config/document")
	require.NoError(t, err)
	for _, a := range r.Upstreams {
		require.Contains(t, doc, a)
	}
	vms, err := get(t, "http://"+r.PlatformAddress+"/vms")
	require.NoError(t, err)
	require.Equal(t, 9, strings.Count(vms, `"live"`))
	require.NoError(t, cmd.Process.Signal(os.Interrupt))
	require.NoError(t, cmd.Wait())
	left, err := os.ReadDir(temp)
	require.NoError(t, err)
	require.Empty(t, left)
	requireExited(t, r.Pids)
}

func TestPackedDeploymentHasAllUpstreamsInOneProcess(t *testing.T) {
	bin := t.TempDir()
	emulator := linkProgram(t, bin, "emulator")
	linkProgram(t, bin, local.DaemonProgram)
	t.Setenv("TMPDIR", t.TempDir())
	var r local.Ready
	cmd, _ := start(t, &r, emulator, "local", "--bin", bin, "--packed", "--engines", "30", "--services", "4", "--set", "notice=1")
	require.Len(t, r.Pids, 1+1+3)
	require.Len(t, r.Upstreams, 34)
	for _, a := range r.Upstreams {
		_, err := get(t, "http://"+a+"/health")
		require.NoError(t, err)
	}
	require.NoError(t, cmd.Process.Signal(os.Interrupt))
	require.NoError(t, cmd.Wait())
	requireExited(t, r.Pids)
}

// The emulator is killed and cannot stop its child processes itself. They must exit with it, because
// they would occupy ports and memory.
func TestLocalKilledLeavesNoProcess(t *testing.T) {
	bin := t.TempDir()
	emulator := linkProgram(t, bin, "emulator")
	linkProgram(t, bin, local.DaemonProgram)
	t.Setenv("TMPDIR", t.TempDir())
	var r local.Ready
	cmd, _ := start(t, &r, emulator, "local", "--bin", bin, "--engines", "1")
	require.NoError(t, cmd.Process.Kill())
	_ = cmd.Wait()
	requireExited(t, r.Pids)
}

func requireExited(t *testing.T, pids map[string]int) {
	t.Helper()
	for name, pid := range pids {
		require.Eventually(t, func() bool { return exited(pid) }, waitLimit, time.Millisecond, name)
	}
}

// exited reports whether a process has exited, reaped or not.
func exited(pid int) bool {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return true
	}
	_, rest, _ := strings.Cut(string(text), ") ")
	return strings.HasPrefix(rest, "Z")
}

func TestLocalReportsWhyADaemonDidNotStart(t *testing.T) {
	emulator := linkProgram(t, t.TempDir(), "emulator")
	text, err := exec.CommandContext(t.Context(), emulator, "local", "--bin", t.TempDir(), "--engines", "1", "--set", "notice=1").CombinedOutput()
	require.Error(t, err)
	require.Contains(t, string(text), local.DaemonProgram)
}

// output runs the emulator and decodes its output as JSON.
func output(t *testing.T, into any, args ...string) {
	t.Helper()
	text, err := exec.CommandContext(t.Context(), args[0], args[1:]...).Output()
	require.NoError(t, err, string(text))
	require.NoError(t, json.Unmarshal(text, into), string(text))
}

func TestMeasurementsOfALocalDeployment(t *testing.T) {
	bin := t.TempDir()
	emulator := linkProgram(t, bin, "emulator")
	linkProgram(t, bin, local.DaemonProgram)
	t.Setenv("TMPDIR", t.TempDir())
	var r local.Ready
	start(t, &r, emulator, "local", "--bin", bin, "--engines", "1", "--services", "1", "--daemons", "1", "--set", "notice=1")
	var one caller.Result
	output(t, &one, emulator, "call", "--address", r.Address, "--tokens", "100")
	require.Equal(t, caller.Finished, one.Outcome)
	output(t, &one, emulator, "call", "--address", r.Address, "--service", "alert-desk", "--once", "k")
	require.Equal(t, caller.Finished, one.Outcome)
	var streams load.StreamMemory
	output(t, &streams, emulator, "streams", "--address", r.Address, "--pid", fmt.Sprint(r.Pids["vm-1"]), "--count", "10", "--settle", "1ms")
	require.Equal(t, 10, streams.Open)
	require.Positive(t, streams.During)
	var c load.ComparisonResult
	output(t, &c, emulator, "compare", "--direct", r.Upstreams["notice-1"], "--through", r.Address, "--rounds", "1", "--slice", "200ms", "--rate", "50")
	require.Equal(t, c.Through.Sent, c.Through.Outcomes[caller.Finished])
	var report load.Report
	output(t, &report, emulator, "load", "--address", r.Address, "--set", "stream=1", "--set", "count=20", "--set", "long=0", "--set", "rate=100")
	require.Equal(t, 20, report.Outcomes[caller.Finished], report.Examples)
}

func TestExperimentMeasuresEveryLevel(t *testing.T) {
	bin := t.TempDir()
	emulator := linkProgram(t, bin, "emulator")
	linkProgram(t, bin, local.DaemonProgram)
	t.Setenv("TMPDIR", t.TempDir())
	var pairs []experiment.RatePair
	output(t, &pairs, emulator, "experiment", "--bin", bin, "--engines", "1", "--engine", "notice=1", "--rate", "20", "--rate", "40",
		"--set", "count=30", "--set", "stream=1", "--set", "long=0.2", "--set", "longfrom=100000", "--set", "longto=110000", "--set", "shared=0")
	require.Len(t, pairs, 2)
	for _, p := range pairs {
		require.Equal(t, 30, p.Short.Report.Outcomes[caller.Finished], p.Short.Report.Examples)
		require.Equal(t, 30, p.Mixed.Report.Outcomes[caller.Finished], p.Mixed.Report.Examples)
		require.Zero(t, p.Short.Report.Bands[load.LongBand].First.Count)
		require.NotZero(t, p.Mixed.Report.Bands[load.LongBand].First.Count)
		require.Positive(t, p.Mixed.Memory)
	}
}

func TestIdleMeasuresEverySize(t *testing.T) {
	bin := t.TempDir()
	emulator := linkProgram(t, bin, "emulator")
	linkProgram(t, bin, local.DaemonProgram)
	t.Setenv("TMPDIR", t.TempDir())
	var rows []experiment.IdleUsage
	output(t, &rows, emulator, "idle", "--bin", bin, "--size", "2x1", "--size", "21x2", "--settle", "1ms", "--span", "100ms", "--set", "notice=1")
	require.Len(t, rows, 2)
	require.Equal(t, experiment.Size{Engines: 21, Daemons: 2}, rows[1].Size)
	require.Positive(t, rows[1].Memory)
	_, err := experiment.ParseSize("12")
	require.Error(t, err)
}

func TestPathMeasuresModelAndService(t *testing.T) {
	bin := t.TempDir()
	emulator := linkProgram(t, bin, "emulator")
	linkProgram(t, bin, local.DaemonProgram)
	t.Setenv("TMPDIR", t.TempDir())
	var rows []experiment.RequestCost
	output(t, &rows, emulator, "path", "--bin", bin, "--daemons", "1", "--rate", "50", "--slice", "200ms", "--rounds", "1", "--settle", "1ms", "--idle", "1ms")
	require.Len(t, rows, 2)
	for _, r := range rows {
		require.Positive(t, r.Compared.Through.Sent)
		require.Equal(t, r.Compared.Through.Sent, r.Compared.Through.Outcomes[caller.Finished], r.Target)
		require.Equal(t, r.Compared.Direct.Sent, r.Compared.Direct.Outcomes[caller.Finished], r.Target)
	}
}
