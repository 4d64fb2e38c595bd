package main

import (
	"context"
	"flag"
	"fmt"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"testing"

	"github.com/rogpeppe/go-internal/testscript"
	"github.com/stretchr/testify/require"

	"snipeshift.example/lib/platform"
	"snipeshift.example/lib/platform/platformtest"
	"snipeshift.example/operator/commands"
)

var update = flag.Bool("update", false, "rewrite the golden output")

func TestMain(m *testing.M) {
	testscript.Main(m, map[string]func(){
		"snipeshift": func() { os.Exit(run()) },
	})
}

// TestScripts runs the command as an operator does, against a fake of the platform's store and of
// three daemons, and compares its output.
func TestScripts(t *testing.T) {
	testscript.Run(t, testscript.Params{
		Dir:                 "testdata",
		RequireExplicitExec: true,
		UpdateScripts:       *update,
		Setup:               setUp,
		Cmds: map[string]func(*testscript.TestScript, bool, []string){
			"platform": platformCommand,
			"code":     codeCommand,
		},
	})
}

// storeKey is the key of the store in the values of a script.
type storeKey struct{}

// setUp starts the fake store and daemons of one script.
func setUp(e *testscript.Env) error {
	store := platformtest.New()
	e.Values[storeKey{}] = store
	p := httptest.NewServer(platformHandler(store))
	e.Defer(p.Close)
	e.Setenv("STORE", p.Listener.Addr().String())
	e.Setenv("SNIPESHIFT_STORE", p.Listener.Addr().String())
	f := startFleet(e)
	for i, a := range f.addresses() {
		e.Setenv("VM"+strconv.Itoa(i+1), a)
	}
	e.Setenv("SNIPESHIFT_DAEMON", f.addresses()[0])
	wd, err := os.Getwd()
	if err != nil {
		return err
	}
	e.Setenv("EXAMPLES", filepath.Join(wd, "..", "examples"))
	e.Setenv("BAD", filepath.Join(wd, "..", "lib", "document", "testdata", "bad"))
	return nil
}

// platformCommand implements the script command "platform FAULT", which makes the store simulate a fault
// from then on, and "platform put FILE", which writes a document as another operator.
func platformCommand(ts *testscript.TestScript, _ bool, args []string) {
	s := ts.Value(storeKey{}).(*platformtest.Store)
	switch args[0] {
	case "outage":
		s.SetOutage(true)
	case "loseanswers":
		s.LoseResponses(1)
	case "stale":
		s.SetStale(true)
	case "put":
		text := ts.ReadFile(args[1])
		_, err := s.Put(context.Background(), "config", "document", []byte(text), platform.Unconditional)
		ts.Check(err)
	default:
		ts.Fatalf("no fault %q", args[0])
	}
}

// codeCommand implements the script command "code N COMMAND...", which requires that the command exits
// with code N.
func codeCommand(ts *testscript.TestScript, _ bool, args []string) {
	err := ts.Exec(args[1], args[2:]...)
	got := 0
	if err != nil {
		got = exitCode(err)
	}
	if strconv.Itoa(got) != args[0] {
		ts.Fatalf("exit code %d, want %s", got, args[0])
	}
}

func exitCode(err error) int {
	var code int
	if _, scan := fmt.Sscanf(err.Error(), "exit status %d", &code); scan != nil {
		return -1
	}
	return code
}

// Each document in the folder of invalid documents is rejected with exactly the lines of its golden file.
// lib/document checks the same with the parser, this test with the command.
func TestCheckRejectsInvalidDocuments(t *testing.T) {
	files, err := filepath.Glob("../lib/document/testdata/bad/*.hujson")
	require.NoError(t, err)
	require.NotEmpty(t, files)
	for _, f := range files {
		golden, err := os.ReadFile(strings.TrimSuffix(f, ".hujson") + ".golden")
		require.NoError(t, err)
		t.Run(filepath.Base(f), func(t *testing.T) {
			t.Chdir(filepath.Dir(f))
			var out, errors strings.Builder
			args := []string{"snipeshift", "check", filepath.Base(f)}
			code := commands.Run(t.Context(), args, strings.NewReader(""), &out, &errors)
			require.Equal(t, 3, code)
			require.Equal(t, string(golden), out.String())
			require.Equal(t, 1, strings.Count(errors.String(), "\n"))
		})
	}
}
