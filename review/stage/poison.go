package main

import (
	"fmt"
	"sort"
	"sync"
	"time"
)

// Times of the case.
const (
	// poisonPath is the path of the request that crashes each runner that runs it.
	poisonPath = "/draft/poison"
	// backAfter is when a crashed runner is back, as a new lifetime.
	backAfter = 3 * time.Second
	// poisonEvery is the time between two requests of the requester. With poisonModels runners, no more than maxDark of
	// them are dark at once: 0.13 of them, where srv_crash has up to 0.14.
	poisonEvery  = 3 * time.Second
	poisonModels = 23
	maxDark      = 3
	poisonFor    = 20 * time.Second
	// contactWindow is contact_window_ms.
	contactWindow = 3 * time.Second
)

// crashes records the crashes of runners, and the arrivals of the request that causes them.
type crashes struct {
	mu       sync.Mutex
	arrivals []time.Time
	at       []time.Time
}

// playDarkPoison lets a request crash each runner that begins to run it: the runner goes dark right after its first
// token. The request comes again with the same path, caller and body.
func playDarkPoison(s *stage) (bool, string, error) {
	s.crashes = &crashes{}
	if err := s.open(poisonModels, 1, 3); err != nil {
		return false, "", err
	}
	if err := s.startAll(); err != nil {
		return false, "", err
	}
	time.Sleep(4 * time.Second) // longer than contact_window_ms
	begin := time.Now()
	var wg sync.WaitGroup
	var mu sync.Mutex
	others, whole := 0, 0
	for i := range 3 { // other requesters
		wg.Go(func() {
			for n := 0; time.Since(begin) < poisonFor; n++ {
				c, err := open(s.vms[i].frontend)
				if err != nil {
					continue
				}
				a := c.send(call{
					id: fmt.Sprintf("other-%d-%d", i, n), method: "POST", path: fmt.Sprintf("/draft/%d", n), key: "k-two", usage: "4960,400",
					parts: fmt.Sprintf("5c1e07a2:40,%x:4920", 1000+i*1000+n), limit: 10 * time.Second,
				})
				c.close()
				mu.Lock()
				others++
				if a.status == 200 && a.whole {
					whole++
				}
				mu.Unlock()
				time.Sleep(100 * time.Millisecond)
			}
		})
	}
	for n := 0; time.Since(begin) < poisonFor; n++ {
		path := poisonPath
		if !s.trouble {
			path = "/draft/harmless"
		}
		wg.Go(func() {
			c, err := open(s.vms[n%len(s.vms)].frontend)
			if err != nil {
				return
			}
			defer c.close()
			a := c.send(call{
				id: fmt.Sprintf("again-%d", n), method: "POST", path: path, body: "the same body", key: "k-one", usage: "4960,1600",
				parts: "5c1e07a2:40,91bd3f06:4920", limit: 10 * time.Second,
			})
			s.record.add("again-%d at %s gets after %.3f s: %v", n, s.vms[n%len(s.vms)].name, a.ended.Sub(a.sent).Seconds(), a)
		})
		time.Sleep(poisonEvery)
	}
	wg.Wait()
	s.crashes.mu.Lock()
	defer s.crashes.mu.Unlock()
	s.record.add("%d of %d other requests were answered whole; %d crashes", whole, others, len(s.crashes.at))
	if whole == 0 {
		return false, "", fmt.Errorf("no other request was answered")
	}
	if len(s.crashes.at) < 3 {
		return false, fmt.Sprintf("%d runners crashed", len(s.crashes.at)), nil
	}
	sort.Slice(s.crashes.at, func(i, j int) bool { return s.crashes.at[i].Before(s.crashes.at[j]) })
	if n := mostDark(s.crashes.at); n > maxDark {
		return false, "", fmt.Errorf("%d runners were dark at once", n)
	}
	third, late := s.crashes.at[2], 0
	for _, at := range s.crashes.arrivals {
		if at.After(third.Add(contactWindow)) {
			late++
		}
	}
	return late > 3, fmt.Sprintf("the request reached runners %d times later than %v after it had crashed the third; it crashed %d, at most %d at once of %d", late, contactWindow, len(s.crashes.at), mostDark(s.crashes.at), poisonModels), nil
}

// mostDark returns the most runners that were dark at once, by the sorted times at which they went dark.
func mostDark(at []time.Time) int {
	most := 0
	for i := range at {
		n := 0
		for _, other := range at[:i+1] {
			if at[i].Sub(other) < backAfter {
				n++
			}
		}
		most = max(most, n)
	}
	return most
}

// crash takes a runner's power: it sends nothing more, and connects to it get no answer. It is back after a while at its
// address, with a new id; the entry of its earlier life is removed after three heartbeat intervals of silence.
func (s *stage) crash(r *runner) {
	if r.listener.isDark() {
		return
	}
	r.listener.goDark()
	s.crashes.mu.Lock()
	s.crashes.at = append(s.crashes.at, time.Now())
	s.crashes.mu.Unlock()
	s.record.add("%s goes dark", r.id)
	address := r.address()
	time.AfterFunc(3600*time.Millisecond, func() { s.store.remove("servers", r.id) })
	time.AfterFunc(backAfter, func() {
		r.close()
		n, err := s.newRunnerAt(address, fmt.Sprintf("%s.%d", r.id, signatures.Add(1)), r.service, r.zone, r.engine, r.work)
		if err != nil {
			s.record.add("%s is not back: %v", r.id, err)
			return
		}
		s.record.add("%s is back as %s", r.id, n.id)
	})
}
