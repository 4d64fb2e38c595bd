package main

import (
	"bufio"
	"strings"
	"syscall"
	"time"
)

func init() { cases["stop"] = stopCase }

// Figures of the case "stop".
const (
	stopPrompt = "270000,800"
	stopEvents = 17
	// preemptedAfter is the event after which the engine preempts the request.
	preemptedAfter = 5
)

// stopCase stops a VM as planned while it passes on a stream that its engine preempts and reads again. Rule LOST: the channel
// must not end without a complete answer, unless the runner broke it off, a time limit was reached, or the runner was still
// at work in the last sixth of the grace period. "A runner's silence is no reason to end an answer sooner."
func stopCase(r *run) int {
	r.store = startStore()
	for i := range stopRunners {
		r.startRunner([]string{"i-llm-1", "i-llm-2", "i-llm-3", "i-llm-4"}[i], "notice-llm", zones[i%3], 16, stream(stopEvents, preemptedAfter))
	}
	r.configure(3, "notice-llm")
	r.startVMs(3)
	a := r.send(r.vms[0], "9c41d07be2a35f68", dossier, stopPrompt)
	defer a.conn.Close()
	_ = a.conn.SetReadDeadline(time.Now().Add(20 * time.Second))
	resp, err := a.head()
	if err != nil {
		cannotRun("no answer: %v", err)
	}
	r.note("client: %s is answered %d", a.id, resp.StatusCode)
	if resp.StatusCode != 200 {
		cannotRun("no stream")
	}
	last, stopped := 0, time.Time{}
	lines := bufio.NewScanner(resp.Body)
	for lines.Scan() {
		if strings.HasPrefix(lines.Text(), "id: ") {
			last++
			r.note("client: event %d", last)
			if last == 2 && r.trouble {
				stopped = time.Now()
				r.vms[0].signal(syscall.SIGTERM)
				r.note("SIGTERM to %s", r.vms[0].name)
			}
		}
	}
	r.note("client: the channel ends after event %d of %d, error: %v", last, stopEvents, lines.Err())
	if last == stopEvents && lines.Err() == nil {
		return r.verdict(false)
	}
	if !r.trouble {
		return r.verdict(false) // LOST speaks of planned work only
	}
	r.note("that is %.3f s after the SIGTERM; the last sixth of the grace period begins after %.3f s", time.Since(stopped).Seconds(), graceSeconds*5.0/6)
	return r.verdict(time.Since(stopped).Seconds() < graceSeconds*5.0/6)
}

const stopRunners = 2
