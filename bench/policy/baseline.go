package policy

import (
	"math"
	"math/rand/v2"

	"snipeshift.example/bench/load"
)

// Rule picks an engine for a request by what was reported.
type Rule uint8

// The baselines. None refuses, none tells engines a priority; every engine
// admits its own queue in order, and callers give up at their deadline.
const (
	RoundRobin    Rule = iota // next engine, FIFO
	LeastReported             // least reported backlog, FIFO
	TwoChoices                // the less loaded of two at random, FIFO
	ShortestFirst             // least reported backlog, shortest prompt first
)

type baseline struct {
	fleet  Fleet
	rule   Rule
	memory int64
	// backlog is the last report of each engine.
	backlog []int64
	next    int
	random  *rand.Rand
}

// NewBaseline returns a baseline over n engines of equal memory.
func NewBaseline(f Fleet, rule Rule, n int, memory int64) Policy {
	return &baseline{fleet: f, rule: rule, memory: memory, backlog: make([]int64, n), random: rand.New(rand.NewPCG(3, 4))}
}

// Arrive implements Policy.
func (b *baseline) Arrive(_ float64, q *load.Request) {
	lead := b.pick()
	need := q.Prompt + q.Output
	k := (need + b.memory - 1) / b.memory
	members := make([]int, k)
	for i := range members {
		members[i] = (lead + i) % len(b.backlog)
	}
	b.fleet.Dispatch(q, members, 0, (need+k-1)/k)
}

func (b *baseline) pick() int {
	n := len(b.backlog)
	switch b.rule {
	case RoundRobin:
		b.next++
		return b.next % n
	case TwoChoices:
		i, j := b.random.IntN(n), b.random.IntN(n)
		if b.backlog[j] < b.backlog[i] {
			return j
		}
		return i
	default:
		return b.least()
	}
}

func (b *baseline) least() int {
	low := int64(math.MaxInt64)
	var equal []int
	for i, l := range b.backlog {
		if l < low {
			low, equal = l, equal[:0]
		}
		if l == low {
			equal = append(equal, i)
		}
	}
	return equal[b.random.IntN(len(equal))]
}

// Report implements Policy.
func (b *baseline) Report(_ float64, r Report) { b.backlog[r.Engine] = r.Backlog }

// FirstToken implements Policy.
func (b *baseline) FirstToken(float64, *load.Request) {}

// Done implements Policy.
func (b *baseline) Done(float64, *load.Request) {}

// Canceled implements Policy.
func (b *baseline) Canceled(float64, *load.Request) {}

// CacheEvent implements Policy.
func (b *baseline) CacheEvent(float64, CacheEvent) {}

// Wake implements Policy.
func (b *baseline) Wake(float64) {}

// NextWake implements Policy.
func (b *baseline) NextWake(float64) float64 { return math.Inf(1) }
