package decide

import (
	"math"

	"snipeshift.example/lib/clock"
)

// A lane is the queue of the requests of one urgency and one side of the boundary between short and
// long prompts. Within a lane workspaces share by start-time fair queueing over tokens. Within a
// workspace the request with the least slack is served first.

const (
	urgencies = 4
	lanes     = 2 * urgencies
)

// lane is the queue of one urgency and one side.
type lane struct {
	urgency Urgency
	long    bool
	// virtualTime is the largest start tag of a served request. It never decreases.
	virtualTime float64
	// flows contains the workspaces with queued requests, smallest start tag first.
	flows heap[*flow]
	// count, work (milliseconds of prefill) and weight are totals over the flows.
	count int
	// memoryTime is the total memory times duration of queued requests, in token-milliseconds.
	work       float64
	weight     float64
	memoryTime float64
	// active lists the workspaces with a request in the last idlePeriods periods. activeWeight is
	// the sum of their weights, admittedRate the sum of their rates of admitted work.
	active                     []*flow
	activeWeight, admittedRate float64
	// granted is the work granted in this period. contended is set if the lane was not empty at the
	// start of the period and has not been empty since; only then is granted the work that the lane
	// can obtain.
	granted   float64
	contended bool
	// rate is the smoothed work granted while requests queue, in milliseconds of prefill per
	// millisecond, that is, the number of upstreams kept busy.
	rate    float64
	periods int
	// refusedWork is the recently refused work that may come back, as of refusedAt.
	refusedWork float64
	refusedAt   clock.Milli
	// blocked is set within a tick once no further request of the lane can be placed.
	blocked bool
}

// flow is the part of a lane that belongs to one workspace.
type flow struct {
	lane      *lane
	workspace *workspace
	// queue is the queue, least slack first.
	queue heap[*waiting]
	// startTag is the virtual time at which the next request starts. It is at least the service
	// received so far divided by the weight.
	startTag float64
	work     float64
	// admitted is the work admitted in this period, admittedRate its smoothed rate.
	admitted, admittedRate float64
	// idle is the number of periods since the last request. active is set while the flow is in
	// lane.active.
	idle   int
	active bool
	// heapIndex is the position in lane.flows, -1 if the flow is empty.
	heapIndex int
}

func newLane(i int) *lane {
	l := &lane{urgency: Urgency(i / 2), long: i%2 == 1}
	l.flows.less = func(a, b *flow) bool {
		if a.startTag != b.startTag {
			return a.startTag < b.startTag
		}
		return a.workspace.spec.ID < b.workspace.spec.ID
	}
	l.flows.moved = func(f *flow, i int) { f.heapIndex = i }
	return l
}

func newFlow(l *lane, w *workspace) *flow {
	f := &flow{lane: l, workspace: w, heapIndex: -1}
	f.queue.less = func(a, b *waiting) bool {
		if a.latestStart != b.latestStart {
			return a.latestStart < b.latestStart
		}
		return a.ID < b.ID
	}
	f.queue.moved = func(w *waiting, i int) { w.heapIndex = i }
	return f
}

func laneOf(u Urgency, long bool) int {
	i := 2 * int(min(u, urgencies-1))
	if long {
		i++
	}
	return i
}

// flow returns the flow of a request and creates it if necessary.
func (p *Pool) flow(r *Request) *flow {
	w := p.workspaces[r.Workspace]
	if w == nil {
		w = &workspace{spec: Workspace{ID: r.Workspace, Weight: 1}}
		p.workspaces[r.Workspace] = w
	}
	i := laneOf(r.Urgency, p.isLong(r.Prompt))
	if w.flows[i] == nil {
		w.flows[i] = newFlow(p.lanes[i], w)
	}
	return w.flows[i]
}

// enqueue adds an admitted request. A workspace that was idle starts at the virtual time of the
// lane: it has no claim to service that it did not request, and is not charged for service that no
// other workspace needed.
func (p *Pool) enqueue(w *waiting) {
	f, l := w.flow, w.flow.lane
	l.markActive(f)
	f.admitted += w.work
	f.queue.push(w)
	p.expiries.push(w)
	f.work += w.work
	l.work += w.work
	l.memoryTime += w.memoryTime()
	l.count++
	if f.heapIndex < 0 {
		f.startTag = max(f.startTag, l.virtualTime)
		l.weight += f.workspace.spec.Weight
		l.flows.push(f)
	}
}

// markActive adds a workspace to those that may request their share.
func (l *lane) markActive(f *flow) {
	f.idle = 0
	if f.active {
		return
	}
	f.active = true
	l.active = append(l.active, f)
	l.activeWeight += f.workspace.spec.Weight
}

// dequeue removes a request from every table but does not release its row.
func (p *Pool) dequeue(w *waiting) {
	f, l := w.flow, w.flow.lane
	p.expiries.remove(w.expiryIndex)
	delete(p.queued, w.ID)
	if p.earmark.request == w {
		p.releaseEarmark()
	}
	if w.aside {
		p.aside = without(p.aside, w)
		return
	}
	f.queue.remove(w.heapIndex)
	f.work -= w.work
	l.work -= w.work
	l.memoryTime -= w.memoryTime()
	l.count--
	if f.queue.len() == 0 {
		f.work = 0
		l.weight -= f.workspace.spec.Weight
		l.flows.remove(f.heapIndex)
	}
	if l.count == 0 {
		l.contended = false
		l.work, l.weight, l.memoryTime = 0, 0, 0
	}
}

// charge accounts for the service of a request that is about to leave its flow. Between two
// workspaces with queued requests in a lane, the tokens served divided by the weights differ by at
// most the sum of each one's longest request divided by its weight: a burst of one workspace delays
// another by one request, not by the whole burst.
func (f *flow) charge(w *waiting) {
	f.lane.granted += w.work
	if w.aside {
		f.startTag = max(f.startTag, f.lane.virtualTime)
	}
	f.lane.virtualTime = max(f.lane.virtualTime, f.startTag)
	f.startTag += float64(w.tokens()) / f.workspace.spec.Weight
	if f.heapIndex >= 0 {
		f.lane.flows.fix(f.heapIndex)
	}
}

// rank returns the order in which lanes are served: by urgency, raised by one for each third of its
// allowed time that the first request has waited, so that steady urgent work cannot starve less
// urgent work. It never reaches the most urgent rank: an urgent request must not wait because a
// less urgent one is old. With equal ranks the first request with the earliest latest start is
// served first.
func (l *lane) rank(now clock.Milli) (float64, clock.Milli) {
	f, _ := l.flows.first()
	w, _ := f.queue.first()
	if l.urgency == 0 {
		return 0, w.latestStart
	}
	allowed := max(w.Deadline-w.queuedAt, 1)
	waited := now - w.queuedAt
	aged := float64(l.urgency) - math.Floor(agingSteps*float64(waited)/float64(allowed))
	return max(aged, 1), w.latestStart
}

// agingSteps is the number of ranks by which a request rises over its allowed time.
const agingSteps = 3
