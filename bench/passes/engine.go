// Package passes is a model of engines that work in passes, after their published
// figures: each step of a pass writes one token of every stream and reads a piece of
// the prompts that wait. It plays a load against the pool of lib/decide/span in
// simulated time, seeded, thousands of requests a second.
package passes

import (
	"snipeshift.example/lib/clock"
	"snipeshift.example/lib/decide"
	"snipeshift.example/lib/route"
)

// chunk is the most prompt tokens that one step reads.
const chunk = 2048

// part is one engine's share of a prompt.
type part struct {
	job *job
	// tokens are left to be read, at a cost in milliseconds each.
	tokens, cost float64
}

// engine is one engine of the model.
type engine struct {
	spec    *route.Engine
	parts   []*part
	writers []*job
	// busy is set while a pass is under way.
	busy bool
	// used sums the time of its passes, read the part that was reading.
	used, read float64
	// idle is its time without work, idleWaiting that while something waited for a place.
	idle, idleWaiting float64
}

// pass plans the next pass: how long it takes, and which parts it finishes. Without
// writers it is a single step.
func (e *engine) pass() (length float64, finished []*job) {
	steps := 1
	if len(e.writers) > 0 {
		steps = e.spec.Stride
	}
	step := e.spec.Step
	for _, w := range e.writers {
		step += e.spec.Writer + e.spec.Context*w.context()/1000
		if w.members > 1 {
			step += e.spec.Hop
		}
	}
	length = step * float64(steps)
	for _, w := range e.writers {
		w.written += length / float64(len(e.writers))
	}
	room := float64(steps * chunk)
	var left []*part
	for _, p := range e.parts {
		n := min(p.tokens, room)
		room -= n
		p.tokens -= n
		length += n * p.cost
		p.job.reading += n * p.cost
		e.read += n * p.cost
		if p.tokens > 0 {
			left = append(left, p)
			continue
		}
		if p.job.parts--; p.job.parts == 0 {
			finished = append(finished, p.job)
		}
	}
	e.parts = left
	e.used += length
	return length, finished
}

// job is one request in the model.
type job struct {
	kind   *Kind
	prompt decide.Tokens
	// events are left to be written, of perEvent tokens each.
	events  int
	members int
	// parts are not read yet.
	parts  int
	leader *engine
	// arrived, first and last are instants in milliseconds; first is zero before it came.
	arrived, first, last float64
	pause                float64
	id                   decide.RequestID
	// output is the most tokens that the answer may have, due how long after its arrival it is due.
	output  decide.Tokens
	due     clock.Milli
	urgency decide.Urgency
	// refused names the rule that refused it.
	refused string
	// reading and written are the engines' time in milliseconds that it took.
	reading, written float64
}

// end is how it ended.
func (j *job) end() Response {
	r := Response{Pause: j.pause, Complete: j.first > 0 && j.events <= 0, RefusalReason: j.refused}
	if j.first > 0 {
		r.First = j.first - j.arrived
	}
	return r
}

// worth is what an answer in time is worth.
func (j *job) worth() float64 { return j.kind.WorthOf(j.prompt) }

// context is the tokens whose attention the leader pays at each step.
func (j *job) context() float64 { return float64(j.prompt) / float64(max(j.members, 1)) }
