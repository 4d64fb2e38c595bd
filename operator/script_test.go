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

var update = flag.Bool("update", false, "write the golden output anew")

func TestMain(m *testing.M) {
	testscript.Main(m, map[string]func(){
		"snipeshift": func() { os.Exit(run()) },
	})
}

// TestScripts runs the command as a user does, against a stand-in of the
// platform and of three daemons, and compares all that it prints.
func TestScripts(t *testing.T) {
	testscript.Run(t, testscript.Params{
		Dir:                 "testdata",
		RequireExplicitExec: true,
		UpdateScripts:       *update,
		Setup:               setUp,
		Cmds: map[string]func(*testscript.TestScript, bool, []string){
			"platform": breakPlatform,
			"code":     checkCode,
		},
	})
}

type storeKey struct{}

// setUp starts the stand-ins of one script.
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

// breakPlatform implements "platform FAULT": the store behaves so from then on.
func breakPlatform(ts *testscript.TestScript, _ bool, args []string) {
	s := ts.Value(storeKey{}).(*platformtest.Store)
	switch args[0] {
	case "outage":
		s.SetOutage(true)
	case "loseanswers":
		s.LoseResponses(1)
	case "stale":
		s.SetStale(true)
	case "put": // another operator's change
		text := ts.ReadFile(args[1])
		_, err := s.Put(context.Background(), "config", "document", []byte(text), platform.Unconditional)
		ts.Check(err)
	default:
		ts.Fatalf("no fault %q", args[0])
	}
}

// checkCode implements "code N COMMAND...": the command ends with exit code N.
func checkCode(ts *testscript.TestScript, _ bool, args []string) {
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

// The folder of bad documents is refused with just the lines that are kept
// beside each, which lib/document checks too; here the command is run on them.
func TestCheckRefusesEveryBadDocument(t *testing.T) {
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
