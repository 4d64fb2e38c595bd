package fleet

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"

	"snipeshift.example/lib/clock"
	"snipeshift.example/lib/decide"
	"snipeshift.example/lib/decide/gate"
	"snipeshift.example/lib/decide/share"
	"snipeshift.example/lib/decide/span"
	"snipeshift.example/lib/route"
)

// ShareLoad is short requests of many workspaces at one owner, of which the first sends several times
// its share.
type ShareLoad struct {
	Gates, Engines, Workspaces int
	Seed                       uint64
	// Rate is the requests per second of all workspaces, and Heavy the fraction that the first one sends.
	Rate, Heavy float64
	For         clock.Milli
	Enabled     bool
}

// ShareResult is what the owner's decisions cost in processor time.
type ShareResult struct {
	Enabled                    bool
	Requests, Granted, Refused int
	// Queued is the mean number of waiting requests, Reserved that of reserved slots.
	Queued, Reserved float64
	// Ask and Tick are the mean times in microseconds; a Tick scans the queue once a millisecond.
	// Slowest is the longest Tick.
	Ask, Tick, Slowest float64
}

// shareEngine has the published figures of an engine with 16 slots.
var shareEngine = route.Engine{
	Slots: 16, Memory: 450_000, Step: 0.925, Writer: 0.00483, Context: 0.00254, Read: 256, Pairs: 0.0917, Stride: 46, Hop: 0.1, Lag: 200,
}

// shareEvent is the first byte or the end of a granted request.
type shareEvent struct {
	at  clock.Milli
	id  decide.RequestID
	end bool
}

type shareEvents []shareEvent

func (q shareEvents) Len() int           { return len(q) }
func (q shareEvents) Less(i, j int) bool { return q[i].at < q[j].at }
func (q shareEvents) Swap(i, j int)      { q[i], q[j] = q[j], q[i] }
func (q *shareEvents) Push(x any)        { *q = append(*q, x.(shareEvent)) }
func (q *shareEvents) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}

// RunShares simulates the load in simulated time and measures the processor time of the decisions.
// Answers take 1 to 3 s.
func RunShares(l ShareLoad) ShareResult {
	random := rand.New(rand.NewPCG(l.Seed, 0))
	p := span.New(span.DefaultRules, gate.NewBudget(0.2, 10, 10*clock.Second))
	p.SetShares(share.Settings{Enabled: l.Enabled})
	us := make([]route.Upstream, l.Engines)
	for i := range us {
		id := decide.UpstreamID(fmt.Sprintf("e%05d", i))
		us[i] = route.Upstream{ID: id, Service: "s", Address: string(id), Slots: shareEngine.Slots}
	}
	p.SetUpstreams(0, &route.Service{ID: "s", Engine: &shareEngine}, us)
	r := ShareResult{Enabled: l.Enabled}
	var events shareEvents
	var asking, ticking time.Duration
	due := 0.0
	for now := clock.Milli(1); now <= l.For; now++ {
		for len(events) > 0 && events[0].at <= now {
			if e := heap.Pop(&events).(shareEvent); e.end {
				p.End(now, e.id, span.Done, "")
			} else {
				p.First(now, e.id)
			}
		}
		start := time.Now()
		for due += l.Rate / 1000; due >= 1; due-- {
			r.Requests++
			workspace := 0
			if random.Float64() >= l.Heavy {
				workspace = 1 + random.IntN(l.Workspaces-1)
			}
			p.Ask(now, span.Ask{
				ID: decide.RequestID(fmt.Sprint(r.Requests)), Gate: decide.GateID(fmt.Sprint("g", random.IntN(l.Gates))),
				Workspace: decide.WorkspaceID(fmt.Sprint("w", workspace)), Prompt: 5000, Output: 1600, Likely: 400,
				Aim: now + 300, Deadline: now + 1100, Gap: 200, Stream: true,
			})
		}
		asked := time.Now()
		decisions := p.Tick(now)
		took := time.Since(asked)
		asking, ticking = asking+asked.Sub(start), ticking+took
		r.Slowest = max(r.Slowest, took.Seconds()*1e6)
		r.Queued += float64(p.Counts().Queued) / float64(l.For)
		r.Reserved += float64(p.ReservedSlots()) / float64(l.For)
		for _, d := range decisions {
			if d.Action == span.Refused {
				r.Refused++
				continue
			}
			r.Granted++
			first := now + max(d.Grant.First, 1)
			heap.Push(&events, shareEvent{at: first, id: d.Request})
			heap.Push(&events, shareEvent{at: first + 1000 + clock.Milli(random.IntN(2000)), id: d.Request, end: true})
		}
	}
	r.Ask = asking.Seconds() * 1e6 / float64(max(r.Requests, 1))
	r.Tick = ticking.Seconds() * 1e6 / float64(l.For)
	return r
}
