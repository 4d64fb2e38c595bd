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

// planner generates the requests of a run one after another. The same settings give the same requests.
type planner struct {
	settings Settings
	random   *rand.Rand
	// workspaces is the sorted list of the workspaces that have a key.
	workspaces []string
	shortKinds []Kind
	longKinds  []Kind
	number     int
	offset     time.Duration
}

func newPlanner(s Settings) *planner {
	p := &planner{
		settings:   s,
		random:     rand.New(rand.NewPCG(s.Seed, 1)),
		workspaces: slices.Sorted(maps.Keys(s.Keys)),
	}
	for _, k := range s.Kinds {
		if k.Long {
			p.longKinds = append(p.longKinds, k)
		} else {
			p.shortKinds = append(p.shortKinds, k)
		}
	}
	return p
}

// hasNext reports whether the run has another request.
func (p *planner) hasNext() bool {
	s := &p.settings
	return (s.Count == 0 || p.number < s.Count) && (s.RunTime == 0 || p.offset < s.RunTime.Duration())
}

// next generates the next request. At a fixed rate arrivals are independent of each other, so the
// times between them are distributed exponentially.
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
		PromptTokens: p.promptLength(k),
		OutputTokens: k.Output,
		Stream:       p.random.Float64() < s.StreamFraction || s.Direct, // always draws, so that Direct changes no other choice
		TimeLimit:    k.Allowed,
		Slack:        s.Slack,
		ReadPause:    k.Pause,
		Direct:       s.Direct,
		ID:           fmt.Sprintf("load-%d-%d", s.Seed, p.number),
		SendOffset:   p.offset,
	}
	if k.Deadline {
		r.Deadline = k.Allowed
	}
	if k.Once {
		r.IdempotencyKey = r.ID
	}
	p.fillBody(&r, k)
	p.number++
	if s.Rate > 0 {
		p.offset += time.Duration(p.random.ExpFloat64() / p.rate() * float64(time.Second))
	}
	return r
}

// maxChoice is far above the number of daemons, so that a random number below maxChoice, taken modulo
// the number of daemons, is nearly uniform.
const maxChoice = 1 << 20

// burstDivisor divides a period into parts. The burst lasts for the first part.
const burstDivisor = 5

// rate returns the request rate at the current offset.
func (p *planner) rate() float64 {
	s := &p.settings
	if s.Burst > 0 && p.offset%s.Period.Duration() < s.Period.Duration()/burstDivisor {
		return s.Rate * s.Burst
	}
	return s.Rate
}

// workspace chooses a workspace at random, weighted by the shares.
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
	if len(p.longKinds) > 0 && (len(p.shortKinds) == 0 || p.random.Float64() < p.settings.LongFraction) {
		return p.longKinds[p.random.IntN(len(p.longKinds))]
	}
	total := 0.0
	for _, k := range p.shortKinds {
		total += k.Weight
	}
	x := p.random.Float64() * total
	for _, k := range p.shortKinds {
		if x -= k.Weight; x < 0 {
			return k
		}
	}
	return p.shortKinds[len(p.shortKinds)-1]
}

func (p *planner) promptLength(k Kind) int {
	from, to := k.From, k.To
	if k.Long {
		from, to = p.settings.LongFrom, p.settings.LongTo
	}
	return from + p.random.IntN(to-from+1)
}

// fillBody generates the prompt and sets the path and body of the request.
func (p *planner) fillBody(r *caller.Request, k Kind) {
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

// prompt generates a prompt that begins with text common to all prompts of the kind and workspace and
// ends with random text. The random text makes the prompt, and therefore its answer, unique.
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
