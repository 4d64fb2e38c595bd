package decide

import "math"

// node is the placement state of one upstream, or the best values of a range of upstreams. Each
// field is the most favorable value of the range, so the cost computed from a node is never above
// the cost of an upstream below it.
type node struct {
	// urgent, short, shortOnLong, shortOnUrgent and long are the largest free memory available to
	// urgent work, to short work on upstreams of neither side, to short work on the long side, to
	// short work on the urgent side, and to long work; closed if none.
	urgent, short, shortOnLong, shortOnUrgent, long Tokens
	// idle is the largest free memory of an upstream without any grants.
	idle Tokens
	// urgentReady, shortReady and ready are the times in milliseconds at which the prefill ahead of
	// an urgent request, ahead of a short request, and all prefill will be done.
	urgentReady, shortReady, ready float64
	// rate is the prefill speed in tokens per millisecond.
	rate float64
	// running and runningUrgent are the numbers of all grants and of urgent grants.
	running, runningUrgent int32
	// interleave is the expected share of an output's time in which the engine also prefills.
	interleave float64
}

// closed marks memory as unavailable to a class of work. It is below every need.
const closed Tokens = -1

var closedNode = node{
	urgent: closed, short: closed, shortOnLong: closed, shortOnUrgent: closed, long: closed, idle: closed,
	urgentReady: math.Inf(1), shortReady: math.Inf(1), ready: math.Inf(1), running: math.MaxInt32, runningUrgent: math.MaxInt32,
	interleave: math.Inf(1),
}

// tree is a tournament tree over upstreams: an update or a search takes logarithmic time instead of
// a scan.
type tree struct {
	// nodes contains the root at index 1 and the leaves from index base on.
	nodes []node
	base  int
}

// resize makes room for n leaves and closes all of them.
func (t *tree) resize(n int) {
	t.base = 1
	for t.base < n {
		t.base *= 2
	}
	t.nodes = make([]node, 2*t.base)
	for i := range t.nodes {
		t.nodes[i] = closedNode
	}
}

func (t *tree) set(i int, n node) {
	i += t.base
	if t.nodes[i] == n {
		return
	}
	t.nodes[i] = n
	for i /= 2; i > 0; i /= 2 {
		n := combine(&t.nodes[2*i], &t.nodes[2*i+1])
		if t.nodes[i] == n {
			return
		}
		t.nodes[i] = n
	}
}

func combine(a, b *node) node {
	return node{
		urgent:        max(a.urgent, b.urgent),
		short:         max(a.short, b.short),
		shortOnLong:   max(a.shortOnLong, b.shortOnLong),
		shortOnUrgent: max(a.shortOnUrgent, b.shortOnUrgent),
		long:          max(a.long, b.long),
		idle:          max(a.idle, b.idle),
		urgentReady:   min(a.urgentReady, b.urgentReady),
		shortReady:    min(a.shortReady, b.shortReady),
		ready:         min(a.ready, b.ready),
		rate:          max(a.rate, b.rate),
		running:       min(a.running, b.running),
		runningUrgent: min(a.runningUrgent, b.runningUrgent),
		interleave:    min(a.interleave, b.interleave),
	}
}
