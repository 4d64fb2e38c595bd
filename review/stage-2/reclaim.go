package main

import (
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"
)

func init() { cases["reclaim"] = reclaimCase }

// Figures of the case "reclaim".
const (
	drainTimeout = 2 * time.Second
	// exitAfter is how long a runner that leaves goes on beyond drain_timeout_ms.
	exitAfter = 150 * time.Millisecond
	// reportGap is the time between the reports of runners that leave together.
	reportGap = 70 * time.Millisecond
	workTime  = 60 * time.Millisecond
	callers   = 8
	callEvery = 60 * time.Millisecond
)

// arrivals records when requests reach runners that leave.
type arrivals struct {
	mu sync.Mutex
	// confirmed holds the times of the store's confirmations by runner.
	confirmed map[string]time.Time
	// all lists the arrivals after them, late those beyond drain_timeout_ms.
	all, late []string
	lateID    map[string]bool
	last      time.Duration
}

func (a *arrivals) note(x *runner, id string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	at, leaves := a.confirmed[x.id]
	if !leaves {
		return
	}
	a.all = append(a.all, fmt.Sprintf("%s: request %s arrives %.3f s after the confirmation", x.id, id, time.Since(at).Seconds()))
	since := time.Since(at)
	a.last = max(a.last, since)
	if since > drainTimeout {
		a.late = append(a.late, fmt.Sprintf("request %s reaches %s %.3f s after the confirmation that it is gone", id, x.id, since.Seconds()))
		a.lateID[id] = true
	}
}

// reclaimCase takes all runners of a zone away, as planned. Rule DRAIN: no request may reach one of them later than
// drain_timeout_ms after the store has confirmed that it is draining or gone.
func reclaimCase(r *run) int {
	quiet = true
	r.store = startStore()
	seen := &arrivals{confirmed: map[string]time.Time{}, lateID: map[string]bool{}}
	answer := func(x *runner, w http.ResponseWriter, q *http.Request, _ []byte) {
		id := q.Header.Get("X-Attempt-Id")
		seen.note(x, id)
		select {
		case <-time.After(workTime):
			fmt.Fprint(w, "answer to "+id)
		case <-x.gone:
			panic(http.ErrAbortHandler)
		}
	}
	reclaimed := zones[0]
	var models, desks []*runner
	for i := range 4 {
		models = append(models, r.startRunner(fmt.Sprintf("i-llm-%d", i+1), "notice-llm", reclaimed, 16, answer))
	}
	for i := range 2 {
		desks = append(desks, r.startRunner(fmt.Sprintf("i-desk-%d", i+1), "alert-desk", reclaimed, 6, answer))
	}
	r.startRunner("i-llm-5", "notice-llm", zones[1], 16, answer)
	r.startRunner("i-llm-6", "notice-llm", zones[2], 16, answer)
	r.startRunner("i-desk-3", "alert-desk", zones[1], 6, answer)
	r.configure(3, "notice-llm")
	r.startVMs(3)
	lost := r.load(seen, func() {
		time.Sleep(2 * time.Second)
		if r.trouble {
			r.reclaim(seen, models, desks)
		} else {
			time.Sleep(drainTimeout)
		}
		time.Sleep(2 * time.Second)
	})
	for _, l := range append(seen.all, seen.late...) {
		r.note("%s", l)
	}
	r.note("the last request that reached a runner that left did so %.3f s after the confirmation; drain_timeout_ms is %d", seen.last.Seconds(), drainTimeout.Milliseconds())
	r.note("%d requests reached one later than that; %d of these had no success", len(seen.late), lost)
	return r.verdict(len(seen.late) > 0)
}

// reclaim takes runners away: those of models report that they are draining, one after the other, those of desks never do.
func (r *run) reclaim(seen *arrivals, models, desks []*runner) {
	for _, x := range models {
		x.register("draining")
		r.note("%s reports that it is draining", x.id)
		time.Sleep(reportGap)
	}
	for _, x := range desks {
		r.store.remove("servers", x.id)
		seen.mu.Lock()
		seen.confirmed[x.id] = time.Now()
		seen.mu.Unlock()
		r.note("the entry of %s is removed", x.id)
	}
	time.Sleep(drainTimeout + exitAfter)
	for _, x := range append(desks, models...) {
		x.exit()
	}
	r.note("the runners of the zone exit")
}

// load sends requests to all VMs while f runs, and returns how many of those that arrived late had no success.
func (r *run) load(seen *arrivals, f func()) (lost int) {
	end := make(chan struct{})
	var wg sync.WaitGroup
	var mu sync.Mutex
	failed := map[string]string{}
	sent := 0
	for i := range callers {
		wg.Go(func() {
			time.Sleep(time.Duration(i) * (callEvery + workTime) / callers) // not all at the same moment
			for n := 0; ; n++ {
				select {
				case <-end:
					return
				case <-time.After(callEvery):
				}
				id := fmt.Sprintf("%02x%014x", i, n)
				result := r.call(r.vms[(i+n)%len(r.vms)], id)
				mu.Lock()
				sent++
				if result != "200" {
					failed[id] = result
				}
				mu.Unlock()
			}
		})
	}
	f()
	close(end)
	wg.Wait()
	for id, how := range failed {
		if seen.lateID[id] {
			lost++
		}
		r.note("client: %s ended with %s", id, how)
	}
	r.note("client: %d requests sent, %d without success", sent, len(failed))
	return lost
}

// call sends one request that must not be repeated and returns its status, or how it failed.
func (r *run) call(v *vm, id string) string {
	a := r.send(v, id, record, "")
	defer a.conn.Close()
	_ = a.conn.SetReadDeadline(time.Now().Add(5 * time.Second))
	resp, err := a.head()
	if err != nil {
		return err.Error()
	}
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		return err.Error()
	}
	return fmt.Sprint(resp.StatusCode)
}
