// Program stage plays one case of the review: it starts the project's daemons as separate processes with
// the command of the deploy file, and acts as the platform, the servers (runners) and the requesters around them.
package main

import (
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"time"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// caseFunc plays a case. It returns whether the rule was broken, with a line that says how.
type caseFunc func(s *stage) (broken bool, summary string, err error)

var cases = map[string]caseFunc{
	"queued-at-stop":  playQueuedAtStop,
	"stale-heartbeat": playStaleHeartbeat,
	"dark-poison":     playDarkPoison,
}

// stage is the world of one case.
type stage struct {
	dir, root string
	trouble   bool
	record    *record
	store     *store
	vms       []*vm
	links     []*link
	// crashes is nil unless a request crashes runners.
	crashes *crashes

	mu      sync.Mutex
	runners []*runner
}

// record is the log of what was sent, answered and run.
type record struct {
	mu    sync.Mutex
	file  *os.File
	start time.Time
}

func (r *record) add(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%9.3f  %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, args...))
}

func main() { os.Exit(run()) }

func run() int {
	name := flag.String("case", "", "name of the case")
	root := flag.String("root", ".", "the repository")
	path := flag.String("record", "record.txt", "file of the record")
	flag.Parse()
	play := cases[*name]
	if play == nil {
		fmt.Fprintln(os.Stderr, "unknown case", *name)
		return exitNotRun
	}
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer func() { _ = os.RemoveAll(dir) }()
	f, err := os.Create(*path)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer f.Close()
	s := &stage{dir: dir, root: *root, trouble: os.Getenv("TROUBLE") != "0", record: &record{file: f, start: time.Now()}}
	s.record.add("case %s, disruption: %v", *name, s.trouble)
	broken, summary, err := play(s)
	s.close(err != nil)
	switch {
	case err != nil:
		s.record.add("could not run: %v", err)
		fmt.Println("could not run:", err)
		return exitNotRun
	case broken:
		s.record.add("rule broken: %s", summary)
		fmt.Println("rule broken:", summary)
		return exitBroken
	default:
		s.record.add("rule held: %s", summary)
		fmt.Println("rule held:", summary)
		return exitHeld
	}
}

// close ends all processes that the case started. With logs set it adds the ends of their logs to the record.
func (s *stage) close(logs bool) {
	for _, v := range s.vms {
		v.kill()
		if logs || os.Getenv("LOGS") != "" {
			text, _ := os.ReadFile(filepath.Join(s.dir, v.name+".log"))
			lines := strings.Split(string(text), "\n")
			s.record.add("log of %s:\n%s", v.name, strings.Join(lines, "\n"))
		}
	}
	for _, l := range s.links {
		l.close()
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, r := range s.runners {
		r.close()
	}
	if s.store != nil {
		s.store.close()
	}
}
