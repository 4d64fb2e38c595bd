package explain

import (
	"slices"
	"sort"
	"time"

	"snipeshift.example/lib/logline"
)

// Stage is one part of a request's way through a gate and an upstream.
type Stage uint8

// The stages, in their order.
const (
	// StageRead: the request is read, and its key looked up.
	StageRead Stage = iota
	// StageQueue: a place is asked for and waited for.
	StageQueue
	// StageEarlier: sends that failed or were turned away.
	StageEarlier
	// StageConnect: memory is reserved and a connection found or opened, for the last send.
	StageConnect
	// StageSend: its bytes are written.
	StageSend
	// StageUpstream: until the first byte of the answer.
	StageUpstream
	// StageWrite: from the first byte to the last.
	StageWrite
	// StageTotal: the time from arrival to the end.
	StageTotal
	stages
)

var stageNames = [stages]string{
	StageRead: "read", StageQueue: "queue", StageEarlier: "earlier sends", StageConnect: "connect", StageSend: "send", StageUpstream: "upstream", StageWrite: "write", StageTotal: "whole",
}

// String returns the stage's name.
func (s Stage) String() string { return stageNames[s] }

// Stages lists all stages.
func Stages() []Stage {
	out := make([]Stage, stages)
	for i := range out {
		out[i] = Stage(i)
	}
	return out
}

// spans are the lengths of one request's stages in milliseconds. A request that was refused has none after its queue.
func spans(l Line) map[Stage]int64 {
	out := map[Stage]int64{StageRead: l.Read, StageQueue: l.Queued, StageTotal: l.Total}
	if l.Placed == 0 && l.Connected == 0 {
		return out
	}
	out[StageEarlier] = max(0, l.Placed-l.Read-l.Queued)
	if l.Connected < l.Placed {
		return out
	}
	out[StageConnect] = l.Connected - l.Placed
	if l.Sent < l.Connected {
		return out
	}
	out[StageSend] = l.Sent - l.Connected
	if l.First >= l.Sent && l.Status > 0 {
		out[StageUpstream], out[StageWrite] = l.First-l.Sent, l.Total-l.First
	}
	return out
}

// LoadClass is how many requests come in a second, against the median second.
type LoadClass uint8

// The paces: below three quarters of the median second, up to one and a half times, and above.
const (
	Calm LoadClass = iota
	Mixed
	Flooded
	paces
)

var paceNames = [paces]string{Calm: "calm", Mixed: "mixed", Flooded: "flooded"}

// String returns the pace's name.
func (p LoadClass) String() string { return paceNames[p] }

const (
	calmBelow    = 0.75
	floodedAbove = 1.5
)

// pacer tells the pace of each second of a log.
type pacer struct {
	counts map[int64]int
	median float64
}

func newPacer(lines []Line) *pacer {
	p := &pacer{counts: map[int64]int{}}
	for _, l := range lines {
		if l.Event == logline.Request {
			p.counts[arrival(l).Unix()]++
		}
	}
	all := make([]int, 0, len(p.counts))
	for _, n := range p.counts {
		all = append(all, n)
	}
	slices.Sort(all)
	if len(all) > 0 {
		p.median = float64(all[len(all)/2])
	}
	return p
}

func (p *pacer) at(l Line) LoadClass {
	n := float64(p.counts[arrival(l).Unix()])
	switch {
	case n < calmBelow*p.median:
		return Calm
	case n > floodedAbove*p.median:
		return Flooded
	default:
		return Mixed
	}
}

// arrival is when a request came: its line is written at its end.
func arrival(l Line) time.Time { return l.Time.Add(-time.Duration(l.Total) * time.Millisecond) }

// Profile is the time that one kind of requests spent in one stage, at one pace.
type Profile struct {
	Kind  string
	Load  LoadClass
	Stage Stage
	// Requests went through the stage; P50, P90 and P99 are milliseconds.
	Requests      int
	P50, P90, P99 int64
}

// Lengths of prompts in tokens that part kinds of requests.
const (
	shortBelow = 16_000
	longFrom   = 100_000
)

// kind names what a request is by the length of its prompt: what is short and what is long share engines, and wait for each other.
func kind(l Line) string {
	switch {
	case l.Prompt == 0:
		return "plain"
	case l.Prompt < shortBelow:
		return "short prompt"
	case l.Prompt < longFrom:
		return "middle prompt"
	default:
		return "long prompt"
	}
}

// group is what a Profile is taken over.
type group struct {
	kind  string
	pace  LoadClass
	stage Stage
}

// ProfileStages takes the times of all stages, by kind and pace. Requests that no route or key allows are left out.
func ProfileStages(lines []Line) []Profile {
	p := newPacer(lines)
	groups := map[group][]int64{}
	for _, l := range lines {
		if l.Event != logline.Request || l.Outcome == "unknown" || l.Outcome == "unauthorized" {
			continue
		}
		for s, took := range spans(l) {
			g := group{kind(l), p.at(l), s}
			groups[g] = append(groups[g], took)
		}
	}
	out := make([]Profile, 0, len(groups))
	for g, all := range groups {
		slices.Sort(all)
		at := func(part int) int64 { return all[(len(all)-1)*part/100] }
		out = append(out, Profile{Kind: g.kind, Load: g.pace, Stage: g.stage, Requests: len(all), P50: at(50), P90: at(90), P99: at(99)})
	}
	sort.Slice(out, func(i, j int) bool { return before(out[i], out[j]) })
	return out
}

func before(x, y Profile) bool {
	switch {
	case x.Kind != y.Kind:
		return x.Kind < y.Kind
	case x.Load != y.Load:
		return x.Load < y.Load
	default:
		return x.Stage < y.Stage
	}
}
