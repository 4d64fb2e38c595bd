// Package passes simulates engines that work in passes (batch iterations), with published timing
// figures: each step of a pass decodes one token of every stream and prefills a chunk of the
// waiting prompts. The engines serve a load under the placement decisions of the pool in
// lib/decide/span, in simulated time and from a seed; the simulation is fast enough for thousands
// of requests a second.
package passes

import (
	"snipeshift.example/lib/clock"
	"snipeshift.example/lib/decide"
	"snipeshift.example/lib/route"
)

// maxStepTokens is the most prompt tokens that one step prefills.
const maxStepTokens = 2048

// part is the part of a prompt that one engine prefills.
type part struct {
	job *job
	// tokensLeft is the number of tokens still to prefill, costPerToken the time for each in
	// milliseconds.
	tokensLeft, costPerToken float64
}

// engine is the state of one simulated engine.
type engine struct {
	spec *route.Engine
	// parts are the prompt parts to prefill, in order; streams are the responses being decoded.
	parts   []*part
	streams []*job
	// busy is set during a pass.
	busy bool
	// passTime is the total time of the passes, prefillTime the part of it spent on prefill, in
	// milliseconds.
	passTime, prefillTime float64
	// idleTime is the time without work while no request was queued, idleQueuedTime that while one
	// was.
	idleTime, idleQueuedTime float64
}

// runPass simulates the next pass and returns its length in milliseconds and the jobs whose prefill
// it completes. A pass has Stride steps while any stream is decoded, otherwise a single step.
func (e *engine) runPass() (length float64, finished []*job) {
	steps := 1
	if len(e.streams) > 0 {
		steps = e.spec.Stride
	}
	step := e.spec.Step
	for _, w := range e.streams {
		step += e.spec.Writer + e.spec.Context*w.context()/1000
		if w.members > 1 {
			step += e.spec.Hop
		}
	}
	length = step * float64(steps)
	for _, w := range e.streams {
		w.decodeTime += length / float64(len(e.streams))
	}
	budget := float64(steps * maxStepTokens)
	var left []*part
	for _, p := range e.parts {
		n := min(p.tokensLeft, budget)
		budget -= n
		p.tokensLeft -= n
		length += n * p.costPerToken
		p.job.prefillTime += n * p.costPerToken
		e.prefillTime += n * p.costPerToken
		if p.tokensLeft > 0 {
			left = append(left, p)
			continue
		}
		if p.job.partsLeft--; p.job.partsLeft == 0 {
			finished = append(finished, p.job)
		}
	}
	e.parts = left
	e.passTime += length
	return length, finished
}

// job is one request in the simulation.
type job struct {
	kind   *Kind
	prompt decide.Tokens
	// eventsLeft is the number of response events still to be produced, of Stride tokens each.
	eventsLeft int
	// members is the number of engines that share the prefill.
	members int
	// partsLeft is the number of prompt parts whose prefill is not complete.
	partsLeft int
	leader    *engine
	// arrived, first and last are the instants in milliseconds of the arrival, the first and the
	// latest event; first is zero before the first event.
	arrived, first, last float64
	longestPause         float64
	id                   decide.RequestID
	// output is the token limit of the response, timeLimit the time from arrival to the deadline.
	output    decide.Tokens
	timeLimit clock.Milli
	// patience is the time for which the client waits for the first event.
	patience clock.Milli
	urgency  decide.Urgency
	// refused is the reason of the refusal; empty if the request was not refused.
	refused string
	// prefillTime and decodeTime are the engine time that the job took, in milliseconds.
	prefillTime, decodeTime float64
}

// response returns the response as the client of the request receives it.
func (j *job) response() Response {
	r := Response{Pause: j.longestPause, Complete: j.first > 0 && j.eventsLeft <= 0, RefusalReason: j.refused}
	if j.first > 0 {
		r.First = j.first - j.arrived
	}
	if j.refused != "" {
		r.Queued = j.last - j.arrived
	}
	return r
}

// worth returns the value of a response in time.
func (j *job) worth() float64 { return j.kind.WorthOf(j.prompt) }

// context returns the number of tokens of the job's context that the leader attends to at each
// step: an equal share with the other members of the group.
func (j *job) context() float64 { return float64(j.prompt) / float64(max(j.members, 1)) }
