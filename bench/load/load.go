// Package load generates the requests of the two modelled deployments from a seed.
package load

import (
	"fmt"
	"math"
	"math/rand/v2"

	"snipeshift.example/bench/engine"
)

// Kind is a class of requests with the same urgency, sizes and time limit.
type Kind struct {
	Name    string
	Urgency int
	// Fraction is the fraction of all requests that are of this kind.
	Fraction float64
	// MinPrompt and MaxPrompt bound the prompt length in tokens; lengths are log-uniform between
	// them.
	MinPrompt, MaxPrompt int64
	// Output scales the response length in tokens: lengths are uniform between a third of it and
	// all of it, plus one.
	Output int64
	// TimeLimit is the time limit of a request in milliseconds.
	TimeLimit float64
}

// Deployment is a fleet of equal engines and the mix of requests that it serves.
type Deployment struct {
	Name       string
	Engines    int
	Engine     engine.Spec
	Workspaces int
	Kinds      []Kind
}

// fleetEngine is one engine of either deployment: the prefill of a prompt of a million tokens takes
// 50 s and needs the memory of three engines.
var fleetEngine = engine.Spec{Memory: 450_000, Slots: 64, PrefillRate: 20, DecodeRate: 0.05}

// Deployments are the two modelled deployments. Each has 23 engines, about 20 for a large model and
// 3 for another one, and ten workspaces; one request in fifty has a prompt of more than 100,000
// tokens.
var Deployments = []Deployment{
	{
		Name: "directorate", Engines: 23, Engine: fleetEngine, Workspaces: 10,
		Kinds: []Kind{
			{"lookup", 0, 0.30, 1_000, 3_000, 60, 10_000},
			{"draft", 1, 0.40, 2_000, 16_000, 300, 120_000},
			{"summary", 2, 0.28, 4_000, 60_000, 200, 300_000},
			{"dossier", 3, 0.02, 100_000, 1_000_000, 300, 900_000},
		},
	},
	{
		Name: "induslift", Engines: 23, Engine: fleetEngine, Workspaces: 10,
		Kinds: []Kind{
			{"lookup", 0, 0.35, 1_000, 4_000, 40, 10_000},
			{"check", 0, 0.05, 1_000, 2_000, 30, 10_000},
			{"notes", 1, 0.38, 2_000, 12_000, 250, 90_000},
			{"batch", 2, 0.20, 8_000, 80_000, 300, 300_000},
			{"audit", 3, 0.02, 120_000, 1_000_000, 400, 900_000},
		},
	},
}

// Request is one request of a run and its outcome.
type Request struct {
	ID        int
	Name      string
	Workspace int
	Kind      *Kind
	// Arrived, Deadline, FirstToken and Done are instants in milliseconds; FirstToken and Done are
	// negative until they happen.
	Arrived, Deadline, FirstToken, Done float64
	Prompt, Output                      int64
	Prefixes                            []engine.Prefix
	// Cached is the part of the prompt found in the prefix cache, Prefilled the part computed, both
	// in tokens.
	Cached    int64
	Prefilled float64
	Refused   bool
	// RetryAfter is the retry delay of a refusal in milliseconds.
	RetryAfter float64
	// Dropped is set if the request was canceled after it was accepted, by the policy or at its
	// deadline.
	Dropped bool
}

// Scenario varies the arrivals and the fleet.
type Scenario struct {
	Name string
	// BurstFactor is the rate during bursts as a multiple of the mean rate; 0 or 1 for no bursts.
	BurstFactor float64
	// SkewFactor is the rate of the first workspace as a multiple of each other workspace's.
	SkewFactor float64
	// Slowdown is the factor by which one engine is slower than the others.
	Slowdown float64
	// StartsFull adds two requests of the last kind, the longest, per engine at the start.
	StartsFull bool
}

// Scenarios are the measured scenarios.
var Scenarios = []Scenario{
	{Name: "mix", SkewFactor: 1, Slowdown: 1},
	{Name: "bursts", BurstFactor: 3, SkewFactor: 1, Slowdown: 1},
	{Name: "skew", SkewFactor: 10, Slowdown: 1},
	{Name: "slow", SkewFactor: 1, Slowdown: 4},
	{Name: "saturation", SkewFactor: 1, Slowdown: 1, StartsFull: true},
}

const (
	// Each burstPeriod starts with a burst of burstDuration, both in milliseconds.
	burstPeriod, burstDuration = 60_000.0, 10_000.0
	// sharedPrefixChance is the probability that a short prompt starts with a prefix shared by
	// others of its workspace and kind.
	sharedPrefixChance = 0.5
	// repeatChance is the probability that a long prompt repeats a recent one of its workspace.
	repeatChance = 0.2
	// LongPrompt is the length in tokens from which the results count a prompt as long.
	LongPrompt = 100_000
)

// MeanPrompt returns the mean prompt length in tokens.
func (d *Deployment) MeanPrompt() float64 {
	mean := 0.0
	for _, k := range d.Kinds {
		a, b := float64(k.MinPrompt), float64(k.MaxPrompt)
		mean += k.Fraction * (b - a) / math.Log(b/a)
	}
	return mean
}

// packingEfficiency is the fraction of the engines' memory that can be filled. It is below one
// because reservations leave gaps: for example, a prompt of half an engine's memory and one of two
// thirds cannot share an engine.
const packingEfficiency = 0.8

// Rate returns the arrivals per millisecond at a load factor of 1: the rate at which the engines either
// prefill all the time or have no memory left, whichever is reached first.
func (d *Deployment) Rate() float64 {
	n := float64(d.Engines)
	return min(n*d.Engine.PrefillRate/d.MeanPrompt(), n*float64(d.Engine.Memory)*packingEfficiency/d.meanMemoryTime())
}

// meanMemoryTime returns the mean of a request's memory multiplied by its duration, in tokens times
// milliseconds.
func (d *Deployment) meanMemoryTime() float64 {
	mean := 0.0
	for _, k := range d.Kinds {
		a, b := float64(k.MinPrompt), float64(k.MaxPrompt)
		square := (b*b - a*a) / (2 * math.Log(b/a))
		length := (b - a) / math.Log(b/a)
		mean += k.Fraction * (square/d.Engine.PrefillRate + length*float64(k.Output)*2/3/d.Engine.DecodeRate)
	}
	return mean
}

// Generate returns the requests of one run in which requests arrive for duration milliseconds, at
// loadFactor times Rate.
func (d *Deployment) Generate(seed uint64, s Scenario, loadFactor, duration float64) []*Request {
	g := &generator{d: d, s: s, r: rand.New(rand.NewPCG(seed, 1)), recent: map[int][]*Request{}}
	if s.StartsFull {
		for range 2 * d.Engines {
			g.add(0, &d.Kinds[len(d.Kinds)-1])
		}
	}
	rate := d.Rate() * loadFactor
	for at := 0.0; at < duration; {
		at += g.r.ExpFloat64() / (rate * g.rateFactor(at))
		g.add(at, g.kind())
	}
	return g.out
}

type generator struct {
	d   *Deployment
	s   Scenario
	r   *rand.Rand
	out []*Request
	// recent holds the latest long requests of each workspace.
	recent map[int][]*Request
}

// rateFactor returns the arrival rate at an instant as a multiple of the mean rate; its mean over a
// burst period is one.
func (g *generator) rateFactor(at float64) float64 {
	if g.s.BurstFactor <= 1 {
		return 1
	}
	if math.Mod(at, burstPeriod) < burstDuration {
		return g.s.BurstFactor
	}
	return (burstPeriod - g.s.BurstFactor*burstDuration) / (burstPeriod - burstDuration)
}

func (g *generator) kind() *Kind {
	x := g.r.Float64()
	for i := range g.d.Kinds {
		if x -= g.d.Kinds[i].Fraction; x < 0 {
			return &g.d.Kinds[i]
		}
	}
	return &g.d.Kinds[0]
}

func (g *generator) workspace() int {
	n := g.d.Workspaces
	x := g.r.Float64() * (float64(n-1) + g.s.SkewFactor)
	if x < g.s.SkewFactor {
		return 0
	}
	return min(1+int(x-g.s.SkewFactor), n-1)
}

func (g *generator) add(at float64, k *Kind) {
	ratio := float64(k.MaxPrompt) / float64(k.MinPrompt)
	prompt := int64(float64(k.MinPrompt) * math.Pow(ratio, g.r.Float64()))
	q := &Request{
		ID: len(g.out), Name: fmt.Sprint(len(g.out)), Workspace: g.workspace(), Kind: k,
		Arrived: at, Deadline: at + k.TimeLimit, FirstToken: -1, Done: -1, Prompt: prompt,
		Output: 1 + int64(float64(k.Output)*(0.5+g.r.Float64()))*2/3,
	}
	g.prefixes(q)
	g.out = append(g.out, q)
}

// prefixes sets the prefix hashes of a request: one for each leading 1024, 2048, 4096, ... tokens
// of its prompt. A request that repeats an earlier one also gets its prompt length.
func (g *generator) prefixes(q *Request) {
	long := q.Kind.MaxPrompt > LongPrompt
	key, sharedTokens := uint64(q.ID)+1<<40, int64(0)
	if !long && g.r.Float64() < sharedPrefixChance {
		sharedTokens = 1024 << (q.ID % 2)
	}
	recent := g.recent[q.Workspace]
	if long && len(recent) > 0 && g.r.Float64() < repeatChance {
		o := recent[g.r.IntN(len(recent))]
		q.Prompt = o.Prompt
		q.Prefixes = o.Prefixes
		return
	}
	for n := int64(1024); n <= q.Prompt; n *= 2 {
		h := key*1_000_003 + uint64(n)
		if n <= sharedTokens {
			h = (uint64(q.Workspace)*64+uint64(q.Kind.MinPrompt))*7919 + uint64(n)
		}
		q.Prefixes = append(q.Prefixes, engine.Prefix{Hash: h, Tokens: n})
	}
	if long {
		g.recent[q.Workspace] = append(recent, q)
		if len(recent) > 3 {
			g.recent[q.Workspace] = g.recent[q.Workspace][1:]
		}
	}
}
