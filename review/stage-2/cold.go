package main

import (
	"fmt"
	"net/http"
	"sort"
	"sync"
	"time"

	"snipeshift.example/scenarios/relay"
)

func init() { cases["cold"] = coldCase }

// Figures of the case "cold". The first three are cold_per_s, cold_overshoot and cold_slack of the site.
const (
	coldRate, coldOvershoot, coldSlack = 26, 1.5, 5
	coldBound                          = coldRate*coldOvershoot + coldSlack
	coldTime                           = 3 * time.Second
	coldEvents                         = 4
	coldClients                        = 45
	coldSlots                          = 12
	downTime                           = 2 * time.Second
	// cutBefore is how long before the runner's return a VM is cut off.
	cutBefore = 300 * time.Millisecond
	// expiry is three heartbeats, after which the entry of a runner that crashed is removed.
	expiry = 3600 * time.Millisecond
)

// coldCase lets a zone's only runner come back cold while a VM is cut off from the others. Rule FAILBACK: all VMs together,
// in touch or not, may send a cold runner cold_per_s x cold_overshoot + cold_slack requests in a second.
func coldCase(r *run) int {
	quiet, r.coulee = true, true
	coldStart, coldPerSecond = coldTime.Seconds(), coldRate
	engineSlots, engineMemory = coldSlots, 382_500
	r.store = startStore()
	r.finder = relay.NewFinder()
	var mu sync.Mutex
	arrived := map[string][]arrival{}
	answer := stream(coldEvents, 0)
	seen := func(x *runner, w http.ResponseWriter, q *http.Request, body []byte) {
		mu.Lock()
		arrived[x.id] = append(arrived[x.id], arrival{time.Since(r.began), q.Header.Get("X-Attempt-Id")})
		mu.Unlock()
		answer(x, w, q, body)
	}
	r.startRunner("i-llm-1", "notice-llm", zones[1], coldSlots, seen)
	old := r.startRunner("i-llm-2", "notice-llm", zones[0], coldSlots, seen)
	r.configure(3, "notice-llm")
	r.startVMs(3)
	results := map[string]int{}
	end := r.coldLoad(func(v *vm, whole bool, status int) {
		mu.Lock()
		defer mu.Unlock()
		results[fmt.Sprintf("%s: status %d, whole %v", v.name, status, whole)]++
	})
	r.traffic = true
	time.Sleep(2 * time.Second)
	old.exit()
	r.note("i-llm-2, the only runner of its zone, goes down")
	time.AfterFunc(expiry, func() { r.store.remove("servers", old.id) })
	time.Sleep(downTime - cutBefore)
	if cutVM := r.vms[2]; r.trouble {
		r.cutOff(cutVM)
		r.note("%s is cut off from the other VMs", cutVM.name)
	}
	time.Sleep(cutBefore)
	back := r.startRunner("i-llm-3", "notice-llm", zones[0], coldSlots, seen)
	began := time.Since(r.began)
	r.note("it is back as %s, cold for %v", back.id, coldTime)
	time.Sleep(coldTime + time.Second)
	end()
	for how, n := range results {
		r.note("clients of %s: %d", how, n)
	}
	var cold []arrival
	for _, a := range arrived[back.id] {
		if a.at < began+coldTime {
			cold = append(cold, a)
		}
	}
	from, most := busiestSecond(cold)
	for _, a := range cold {
		r.note("%s: request %s arrived at %.3f s", back.id, a.request, a.at.Seconds())
	}
	r.note("%s got %d requests while it was cold; most in one second: %d, from %.3f s on; the bound is %v", back.id, len(cold), most, from.Seconds(), coldBound)
	return r.verdict(float64(most) > coldBound)
}

// arrival is the arrival of a request at a runner. The first two digits of its id are the number of the VM that it was sent
// to, from 00 on.
type arrival struct {
	at      time.Duration
	request string
}

// busiestSecond sorts arrivals and returns the second with the most of them.
func busiestSecond(as []arrival) (from time.Duration, most int) {
	sort.Slice(as, func(i, j int) bool { return as[i].at < as[j].at })
	first := 0
	for i := range as {
		for as[i].at-as[first].at >= time.Second {
			first++
		}
		if n := i - first + 1; n > most {
			from, most = as[first].at, n
		}
	}
	return from, most
}

// coldLoad lets clients send short requests to all VMs until the function that it returns is called.
func (r *run) coldLoad(ended func(v *vm, whole bool, status int)) (end func()) {
	over := make(chan struct{})
	var wg sync.WaitGroup
	for i, v := range r.vms {
		for k := range coldClients {
			wg.Go(func() {
				for n := 0; ; n++ {
					select {
					case <-over:
						return
					case <-time.After(150 * time.Millisecond):
					}
					a := r.send(v, fmt.Sprintf("%02x%02x%012x", i, k, n), draft, "1000,200")
					events, status, err := a.events()
					ended(v, err == nil && events == coldEvents, status)
				}
			})
		}
	}
	return func() {
		close(over)
		wg.Wait()
	}
}
