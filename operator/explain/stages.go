package explain

import (
	"slices"
	"sort"
	"time"

	"snipeshift.example/lib/logline"
)

// Stage is one stage of the processing of a request by the gate (the VM that holds the client's
// connection) and an upstream.
type Stage uint8

// The stages, in their order.
const (
	// StageRead is reading the request and looking up its key.
	StageRead Stage = iota
	// StageQueue is waiting for a grant to run on an upstream.
	StageQueue
	// StageEarlier is earlier sends, which failed or were rejected.
	StageEarlier
	// StageConnect is reserving memory and obtaining a connection for the last send.
	StageConnect
	// StageSend is writing the request to the upstream.
	StageSend
	// StageUpstream is waiting for the first byte of the response.
	StageUpstream
	// StageWrite is passing on the response, from its first byte to its last.
	StageWrite
	// StageTotal is the total time from arrival to end.
	StageTotal
	stages
)

var stageNames = [stages]string{
	StageRead: "read", StageQueue: "queue", StageEarlier: "earlier sends", StageConnect: "connect", StageSend: "send", StageUpstream: "upstream", StageWrite: "write", StageTotal: "whole",
}

// String returns the name of the stage in the output.
func (s Stage) String() string { return stageNames[s] }

// Stages lists all stages.
func Stages() []Stage {
	out := make([]Stage, stages)
	for i := range out {
		out[i] = Stage(i)
	}
	return out
}

// stageDurations returns the duration of each stage of a request in milliseconds. A request that was refused has
// no stages after the queue.
func stageDurations(l Line) map[Stage]int64 {
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

// LoadClass classifies a second by its number of arriving requests, relative to the median second.
type LoadClass uint8

// Classes of a second.
const (
	// Calm is fewer than three quarters of the requests of the median second.
	Calm LoadClass = iota
	// Mixed is between Calm and Flooded.
	Mixed
	// Flooded is more than one and a half times the requests of the median second.
	Flooded
	loadClasses
)

var loadClassNames = [loadClasses]string{Calm: "calm", Mixed: "mixed", Flooded: "flooded"}

// String returns the name of the class in the output.
func (c LoadClass) String() string { return loadClassNames[c] }

// Limits of the classes, as multiples of the requests of the median second.
const (
	calmBelow    = 0.75
	floodedAbove = 1.5
)

// loadClassifier classifies the seconds of a log.
type loadClassifier struct {
	// counts holds the number of arrivals by Unix second.
	counts map[int64]int
	median float64
}

func newLoadClassifier(lines []Line) *loadClassifier {
	c := &loadClassifier{counts: map[int64]int{}}
	for _, l := range lines {
		if l.Event == logline.Request {
			c.counts[arrival(l).Unix()]++
		}
	}
	all := make([]int, 0, len(c.counts))
	for _, n := range c.counts {
		all = append(all, n)
	}
	slices.Sort(all)
	if len(all) > 0 {
		c.median = float64(all[len(all)/2])
	}
	return c
}

// classify returns the class of the second in which a request arrived.
func (c *loadClassifier) classify(l Line) LoadClass {
	n := float64(c.counts[arrival(l).Unix()])
	switch {
	case n < calmBelow*c.median:
		return Calm
	case n > floodedAbove*c.median:
		return Flooded
	default:
		return Mixed
	}
}

// arrival returns the arrival time of a request, whose log line is written at its end.
func arrival(l Line) time.Time { return l.Time.Add(-time.Duration(l.Total) * time.Millisecond) }

// Profile is the time that requests of one kind spent in one stage, in seconds of one class.
type Profile struct {
	Kind  string
	Load  LoadClass
	Stage Stage
	// Requests is the number of requests that went through the stage.
	Requests int
	// P50, P90 and P99 are percentiles of the time in milliseconds.
	P50, P90, P99 int64
}

// Boundaries between the kinds of requests, in tokens of the prompt.
const (
	shortBelow = 16_000
	longFrom   = 100_000
)

// kind classifies a request by the length of its prompt. Short and long prompts share engines and delay
// each other, so their times have to be compared separately.
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

// group identifies the requests of one Profile.
type group struct {
	kind  string
	class LoadClass
	stage Stage
}

// ProfileStages returns the times of all stages, by kind of request and class of second. It leaves out
// requests that were refused because of an unknown route or an invalid key.
func ProfileStages(lines []Line) []Profile {
	classifier := newLoadClassifier(lines)
	groups := map[group][]int64{}
	for _, l := range lines {
		if l.Event != logline.Request || l.Outcome == "unknown" || l.Outcome == "unauthorized" {
			continue
		}
		for s, took := range stageDurations(l) {
			g := group{kind(l), classifier.classify(l), s}
			groups[g] = append(groups[g], took)
		}
	}
	out := make([]Profile, 0, len(groups))
	for g, all := range groups {
		slices.Sort(all)
		percentile := func(part int) int64 { return all[(len(all)-1)*part/100] }
		out = append(out, Profile{Kind: g.kind, Load: g.class, Stage: g.stage, Requests: len(all), P50: percentile(50), P90: percentile(90), P99: percentile(99)})
	}
	sort.Slice(out, func(i, j int) bool { return less(out[i], out[j]) })
	return out
}

// less orders profiles by kind, class and stage.
func less(x, y Profile) bool {
	switch {
	case x.Kind != y.Kind:
		return x.Kind < y.Kind
	case x.Load != y.Load:
		return x.Load < y.Load
	default:
		return x.Stage < y.Stage
	}
}
