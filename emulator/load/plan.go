package load

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"snipeshift.example/emulator/caller"
	"snipeshift.example/lib/expect"
)

// planner makes the requests of a run one after another. The same settings
// make the same requests.
type planner struct {
	settings Settings
	random   *rand.Rand
	// workspaces is the sorted list of those with a key.
	workspaces []string
	normal     []Kind
	long       []Kind
	number     int
	after      time.Duration
}

func newPlanner(s Settings) *planner {
	p := &planner{
		settings:   s,
		random:     rand.New(rand.NewPCG(s.Seed, 1)),
		workspaces: slices.Sorted(maps.Keys(s.Keys)),
	}
	for _, k := range s.Kinds {
		if k.Long {
			p.long = append(p.long, k)
		} else {
			p.normal = append(p.normal, k)
		}
	}
	return p
}

// more tells whether the run has another request.
func (p *planner) more() bool {
	s := &p.settings
	return (s.Count == 0 || p.number < s.Count) && (s.RunTime == 0 || p.after < s.RunTime.Duration())
}

// next makes the next request. Arrivals at a rate are independent of each
// other, so the spans between them follow the exponential distribution.
func (p *planner) next() caller.Request {
	s := &p.settings
	k := p.kind()
	workspace := p.workspace()
	choice := p.random.IntN(maxChoice)
	r := caller.Request{
		Number:       p.number,
		DaemonIndex:  choice,
		Address:      s.Addresses[choice%len(s.Addresses)],
		Workspace:    workspace,
		Key:          s.Keys[workspace],
		Kind:         k.Name,
		PromptTokens: p.length(k),
		OutputTokens: k.Output,
		Stream:       p.random.Float64() < s.StreamFraction || s.Direct, // one draw in any case
		TimeLimit:    k.Allowed,
		Slack:        s.Slack,
		ReadPause:    k.Pause,
		Direct:       s.Direct,
		ID:           fmt.Sprintf("load-%d-%d", s.Seed, p.number),
		SendOffset:   p.after,
	}
	if k.Deadline {
		r.Deadline = k.Allowed
	}
	if k.Once {
		r.IdempotencyKey = r.ID
	}
	p.fill(&r, k)
	p.number++
	if s.Rate > 0 {
		p.after += time.Duration(p.random.ExpFloat64() / p.rate() * float64(time.Second))
	}
	return r
}

// maxChoice is far above the number of daemons, so that all get the same share.
const maxChoice = 1 << 20

// burstPart is the part of each period that bursts.
const burstPart = 5

// rate is the rate at the present place in the plan.
func (p *planner) rate() float64 {
	s := &p.settings
	if s.Burst > 0 && p.after%s.Period.Duration() < s.Period.Duration()/burstPart {
		return s.Rate * s.Burst
	}
	return s.Rate
}

// workspace chooses one by their shares.
func (p *planner) workspace() string {
	total := 0.0
	for _, w := range p.workspaces {
		total += p.share(w)
	}
	x := p.random.Float64() * total
	for _, w := range p.workspaces {
		if x -= p.share(w); x < 0 {
			return w
		}
	}
	return p.workspaces[len(p.workspaces)-1]
}

func (p *planner) share(workspace string) float64 {
	if n, ok := p.settings.Shares[workspace]; ok {
		return n
	}
	return 1
}

func (p *planner) kind() Kind {
	if len(p.long) > 0 && (len(p.normal) == 0 || p.random.Float64() < p.settings.LongFraction) {
		return p.long[p.random.IntN(len(p.long))]
	}
	total := 0.0
	for _, k := range p.normal {
		total += k.Weight
	}
	x := p.random.Float64() * total
	for _, k := range p.normal {
		if x -= k.Weight; x < 0 {
			return k
		}
	}
	return p.normal[len(p.normal)-1]
}

func (p *planner) length(k Kind) int {
	from, to := k.From, k.To
	if k.Long {
		from, to = p.settings.LongFrom, p.settings.LongTo
	}
	return from + p.random.IntN(to-from+1)
}

// fill makes the body.
func (p *planner) fill(r *caller.Request, k Kind) {
	r.Prompt = p.prompt(r)
	if k.Service != "" {
		r.Service, r.Stream = true, false
		r.Body = []byte(r.Prompt)
		r.Path = "/services/" + k.Service + "/lookup"
		if r.Direct {
			r.Path = "/lookup"
		}
		return
	}
	r.Path = caller.ChatPath
	r.Body = caller.ChatBody(p.settings.Model, r.Prompt, r.OutputTokens, r.Stream)
}

// prompt begins with text that the kind and workspace share, and ends with
// text of its own, so that its answer is its own too.
func (p *planner) prompt(r *caller.Request) string {
	shared := int(float64(r.PromptTokens) * p.settings.SharedFraction)
	b := make([]byte, 0, r.PromptTokens*expect.TokenBytes)
	common := expect.SeedOf(r.Workspace + "/" + r.Kind)
	for i := range shared {
		b = common.Append(b, i)
	}
	own := expect.Seed(p.random.Uint64())
	for i := range r.PromptTokens - shared {
		b = own.Append(b, i)
	}
	return string(b)
}
