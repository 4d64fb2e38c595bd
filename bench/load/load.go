// Package load makes the requests of the two deployments, seeded and repeatable.
package load

import (
	"fmt"
	"math"
	"math/rand/v2"

	"snipeshift.example/bench/engine"
)

// Kind is a kind of request.
type Kind struct {
	Name    string
	Urgency int
	// Fraction is its part of all requests.
	Fraction float64
	// MinPrompt and Longest bound the prompt in tokens, log-uniform between.
	MinPrompt, MaxPrompt int64
	Output               int64
	// TimeLimit is in milliseconds.
	TimeLimit float64
}

// Deployment is the fleet and the mix of one user.
type Deployment struct {
	Name       string
	Engines    int
	Engine     engine.Spec
	Workspaces int
	Kinds      []Kind
}

// fleetEngine is one engine of either deployment: a prompt of a million tokens
// takes fifty seconds and needs the memory of three.
var fleetEngine = engine.Spec{Memory: 450_000, Slots: 64, PrefillRate: 20, DecodeRate: 0.05}

// Deployments are the two of the brief: about 20 runners of the large model and
// 3 of the other, ten workspaces; one request in fifty is over 100,000 tokens.
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

// Request is one request of a run, with what became of it.
type Request struct {
	ID        int
	Name      string
	Workspace int
	Kind      *Kind
	// Arrived, Deadline, First and Done are instants in milliseconds; First and Done
	// are negative until they happen.
	Arrived, Deadline, FirstToken, Done float64
	Prompt, Output                      int64
	Prefixes                            []engine.Prefix
	// Cached and Prefilled are tokens.
	Cached    int64
	Prefilled float64
	Refused   bool
	// RetryAfter is what a refusal said, in milliseconds.
	RetryAfter float64
	// Dropped is set where it was admitted and given up.
	Dropped bool
}

// Scenario varies the arrivals and the fleet.
type Scenario struct {
	Name string
	// BurstFactor is how many times the mean rate the bursts reach; 0 or 1 for none.
	BurstFactor float64
	// SkewFactor is how many times the others' rate the first workspace sends.
	SkewFactor float64
	// Slowdown is how many times slower one engine is.
	Slowdown float64
	// StartsFull fills the fleet with long prompts at the start.
	StartsFull bool
}

// Scenarios are the ones of the issue.
var Scenarios = []Scenario{
	{Name: "mix", SkewFactor: 1, Slowdown: 1},
	{Name: "bursts", BurstFactor: 3, SkewFactor: 1, Slowdown: 1},
	{Name: "skew", SkewFactor: 10, Slowdown: 1},
	{Name: "slow", SkewFactor: 1, Slowdown: 4},
	{Name: "saturation", SkewFactor: 1, Slowdown: 1, StartsFull: true},
}

const (
	burstEvery, burstLong = 60_000.0, 10_000.0
	// shared is the chance that a prompt starts like others of its workspace and kind.
	shared = 0.5
	// again is the chance that a long prompt repeats an earlier one of its workspace.
	again = 0.2
	// LongPrompt is where long work begins in the tables.
	LongPrompt = 100_000
)

// MeanPrompt is the mean prompt length of a deployment.
func (d *Deployment) MeanPrompt() float64 {
	mean := 0.0
	for _, k := range d.Kinds {
		a, b := float64(k.MinPrompt), float64(k.MaxPrompt)
		mean += k.Fraction * (b - a) / math.Log(b/a)
	}
	return mean
}

// packing is the part of the memory that can be filled, for a prompt of half an
// engine's memory and one of two thirds cannot share it.
const packing = 0.8

// Rate is the arrivals per millisecond at a load of one: where the engines either
// prefill all the time or have no memory left, whichever comes first.
func (d *Deployment) Rate() float64 {
	n := float64(d.Engines)
	return min(n*d.Engine.PrefillRate/d.MeanPrompt(), n*float64(d.Engine.Memory)*packing/d.meanHold())
}

// meanHold is the mean of a request's memory times its duration.
func (d *Deployment) meanHold() float64 {
	mean := 0.0
	for _, k := range d.Kinds {
		a, b := float64(k.MinPrompt), float64(k.MaxPrompt)
		square := (b*b - a*a) / (2 * math.Log(b/a))
		length := (b - a) / math.Log(b/a)
		mean += k.Fraction * (square/d.Engine.PrefillRate + length*float64(k.Output)*2/3/d.Engine.DecodeRate)
	}
	return mean
}

// Generate makes the requests of one run of length span milliseconds.
func (d *Deployment) Generate(seed uint64, s Scenario, load, span float64) []*Request {
	g := &generator{d: d, s: s, r: rand.New(rand.NewPCG(seed, 1)), recent: map[int][]*Request{}}
	if s.StartsFull {
		for range 2 * d.Engines {
			g.add(0, &d.Kinds[len(d.Kinds)-1])
		}
	}
	rate := d.Rate() * load
	for at := 0.0; at < span; {
		at += g.r.ExpFloat64() / (rate * g.intensity(at))
		g.add(at, g.kind())
	}
	return g.out
}

type generator struct {
	d      *Deployment
	s      Scenario
	r      *rand.Rand
	out    []*Request
	recent map[int][]*Request
}

// intensity keeps the mean at one.
func (g *generator) intensity(at float64) float64 {
	if g.s.BurstFactor <= 1 {
		return 1
	}
	if math.Mod(at, burstEvery) < burstLong {
		return g.s.BurstFactor
	}
	return (burstEvery - g.s.BurstFactor*burstLong) / (burstEvery - burstLong)
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

// prefixes gives a request the hashes of 1, 2, 4, ... blocks of 1024 tokens.
func (g *generator) prefixes(q *Request) {
	long := q.Kind.MaxPrompt > LongPrompt
	key, common := uint64(q.ID)+1<<40, int64(0)
	if !long && g.r.Float64() < shared {
		common = 1024 << (q.ID % 2)
	}
	old := g.recent[q.Workspace]
	if long && len(old) > 0 && g.r.Float64() < again {
		o := old[g.r.IntN(len(old))]
		q.Prompt = o.Prompt
		q.Prefixes = o.Prefixes
		return
	}
	for n := int64(1024); n <= q.Prompt; n *= 2 {
		h := key*1_000_003 + uint64(n)
		if n <= common {
			h = (uint64(q.Workspace)*64+uint64(q.Kind.MinPrompt))*7919 + uint64(n)
		}
		q.Prefixes = append(q.Prefixes, engine.Prefix{Hash: h, Tokens: n})
	}
	if long {
		g.recent[q.Workspace] = append(old, q)
		if len(old) > 3 {
			g.recent[q.Workspace] = g.recent[q.Workspace][1:]
		}
	}
}
