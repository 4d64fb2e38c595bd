package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"os"
	"strings"
	"sync"
	"syscall"
	"time"
)

func init() { cases["retire"] = retireCase }

// Figures of the case "retire".
const (
	oldService, newService = "notice-llm", "notice-llm-2"
	engines                = 9
	drafts, draftEvents    = 60, 85
	dossiers               = 6
	dossierPrompt          = "400000,800"
)

// cut is a request whose channel ended without a complete answer.
type cut struct {
	vm   *vm
	text string
}

// retireCase moves all routes of a service to another one, whose definition takes the place of the old one, and then stops
// the VM that places the old service's requests, as planned. Rule LOST: a VM that has passed requests on must not cut them
// because of that, and a VM whose process ends by itself counts as running.
func retireCase(r *run) int {
	quiet = true
	r.store = startStore()
	for i := range engines {
		r.startRunner(fmt.Sprintf("i-old-%d", i+1), oldService, zones[i%3], 16, stream(draftEvents, 0))
		r.startRunner(fmt.Sprintf("i-new-%d", i+1), newService, zones[i%3], 16, stream(draftEvents, 0))
	}
	r.configure(3, oldService)
	r.startVMs(3)
	var wg sync.WaitGroup
	var mu sync.Mutex
	var cuts []cut
	whole := 0
	send := func(i int, path, tokens string) {
		v := r.vms[i%len(r.vms)]
		id := fmt.Sprintf("%016x", 0x4000000+i)
		a := r.send(v, id, path, tokens)
		wg.Go(func() {
			events, status, err := a.events()
			mu.Lock()
			defer mu.Unlock()
			if err == nil && events == draftEvents {
				whole++
				return
			}
			text := fmt.Sprintf("%s %s sent to %s: status %d, %d of %d events, %v", path, id, v.name, status, events, draftEvents, err)
			r.note("client: %s", text)
			if status == 200 || status == 0 {
				cuts = append(cuts, cut{v, text})
			}
		})
	}
	for i := range dossiers {
		send(100+i, dossier, dossierPrompt)
	}
	time.Sleep(100 * time.Millisecond)
	for i := range drafts {
		send(i, draft, "5000,4000")
	}
	time.Sleep(300 * time.Millisecond)
	stopped := r.holder(oldService)
	if r.trouble {
		r.configure(6, newService)
		r.note("confirmed: version 6, all routes lead to %s", newService)
		time.Sleep(500 * time.Millisecond)
		stopped.signal(syscall.SIGTERM)
		r.note("SIGTERM to %s, which places the requests of %s", stopped.name, oldService)
	}
	wg.Wait()
	var crashed []*vm
	for _, v := range r.vms {
		select {
		case <-v.ended:
			if v != stopped {
				r.note("the process of %s has ended by itself: %v", v.name, v.cmd.ProcessState)
				r.note("its log: %s", v.lastPanic())
				crashed = append(crashed, v)
			}
		default:
		}
	}
	lost := 0
	for _, c := range cuts {
		for _, v := range crashed {
			if c.vm == v {
				lost++
			}
		}
	}
	r.note("%d requests answered whole; %d channels ended without a complete answer, %d of them at a VM that had no disruption and ended by itself", whole, len(cuts), lost)
	return r.verdict(lost > 0)
}

// events reads a stream to its end and returns the number of its events.
func (a *attempt) events() (n, status int, err error) {
	defer a.conn.Close()
	_ = a.conn.SetReadDeadline(time.Now().Add(20 * time.Second))
	resp, err := a.head()
	if err != nil {
		return 0, 0, err
	}
	lines := bufio.NewScanner(resp.Body)
	for lines.Scan() {
		if strings.HasPrefix(lines.Text(), "id: ") {
			n++
		}
	}
	return n, resp.StatusCode, lines.Err()
}

// holder returns the VM that places the requests of a service, by the latest word in the logs.
func (r *run) holder(service string) *vm {
	name, latest := "", uint64(0)
	for _, v := range r.vms {
		text, err := os.ReadFile(v.log.Name())
		if err != nil {
			cannotRun("%v", err)
		}
		for line := range strings.Lines(string(text)) {
			var l struct {
				Service, Owner string
				Epoch          uint64
			}
			if json.Unmarshal([]byte(line), &l) == nil && l.Service == service && l.Epoch > latest {
				name, latest = l.Owner, l.Epoch
			}
		}
	}
	for _, v := range r.vms {
		if v.name == name {
			return v
		}
	}
	cannotRun("no VM places the requests of %s", service)
	return nil
}

// lastPanic returns the line of the log that names a panic.
func (v *vm) lastPanic() string {
	text, _ := os.ReadFile(v.log.Name()) // without a log there is nothing to quote
	for line := range strings.Lines(string(text)) {
		if strings.HasPrefix(line, "panic:") {
			return strings.TrimSpace(line)
		}
	}
	return "no panic"
}
