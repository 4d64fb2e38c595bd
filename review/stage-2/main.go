// Command stage-2 plays the cases of the second review. It starts VMs as separate processes and stands in for their
// surroundings: the platform's store, runners and clients.
//
//	stage-2 CASE RECORD
//
// TROUBLE=0 in the environment leaves the disruption out. The exit status is 0 if the rule held, 1 if it was broken
// and 2 if the case could not run.
package main

import (
	"fmt"
	"os"
	"sync"
	"time"

	"snipeshift.example/scenarios/relay"
)

// quiet leaves the single requests out of the record.
var quiet bool

// run is one play of a case.
type run struct {
	dir     string
	store   *store
	vms     []*vm
	trouble bool
	// coulee is set for a case on coulee-rounds-grown; the others are on kwsd-notices.
	coulee bool
	// traffic is set once there are clients; runners that start then are cold.
	traffic bool
	began   time.Time
	// finder tells which VM has opened a connection to a proxy; nil if there are no proxies.
	finder *relay.Finder

	mu     sync.Mutex
	record *os.File
	// begun has the requests of which a run has begun.
	begun map[string]bool
}

// unable ends the play of a case that could not run.
type unable struct{ text string }

func cannotRun(format string, args ...any) { panic(unable{fmt.Sprintf(format, args...)}) }

// note writes a line to the record.
func (r *run) note(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.record, "%8.3f s  %s\n", time.Since(r.began).Seconds(), fmt.Sprintf(format, args...))
}

// startVMs starts VMs and waits until they are ready and have met.
func (r *run) startVMs(n int) {
	r.vms = newVMs(n)
	if r.finder != nil {
		r.startLinks()
	}
	var seeds []string
	for _, v := range r.vms[:min(3, n)] {
		seeds = append(seeds, v.address())
	}
	for _, v := range r.vms {
		v.start(r, seeds)
		if r.finder != nil {
			r.finder.AddProcess(v.cmd.Process.Pid, v.name)
		}
	}
	awaitReady(r.vms)
	time.Sleep(3 * time.Second)
	r.note("%d VMs are ready", n)
}

// startLinks puts a proxy before the port for peers of each VM.
func (r *run) startLinks() {
	for _, v := range r.vms {
		l, err := relay.New(r.finder)
		if err == nil {
			err = l.Up(v.peer)
		}
		if err != nil {
			cannotRun("%v", err)
		}
		l.WaitForSource(50 * time.Millisecond)
		v.link = l
	}
}

// cutOff partitions a VM from the others: nothing passes any more, also on new connections.
func (r *run) cutOff(x *vm) {
	for _, v := range r.vms {
		if v == x {
			v.link.Silence(relay.AnySource, relay.Both, true)
		} else {
			v.link.Silence(x.name, relay.Both, true)
		}
	}
}

// verdict notes whether the rule was broken and returns the exit status.
func (r *run) verdict(broken bool) int {
	if broken {
		r.note("the rule was BROKEN")
		return 1
	}
	r.note("the rule held")
	return 0
}

var cases = map[string]func(*run) int{}

func main() { os.Exit(play()) }

func play() (status int) {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: stage-2 CASE RECORD")
		return 2
	}
	record, err := os.Create(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer record.Close()
	dir, err := os.MkdirTemp("", "stage-2-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	if os.Getenv("KEEP") == "" {
		defer os.RemoveAll(dir)
	}
	r := &run{dir: dir, trouble: os.Getenv("TROUBLE") != "0", began: time.Now(), record: record}
	r.note("case %s, disruption: %v", os.Args[1], r.trouble)
	defer func() {
		for _, v := range r.vms {
			v.kill()
		}
		if x := recover(); x != nil {
			u, ok := x.(unable)
			if !ok {
				panic(x)
			}
			r.note("could not run: %s", u.text)
			status = 2
		}
	}()
	return cases[os.Args[1]](r)
}
