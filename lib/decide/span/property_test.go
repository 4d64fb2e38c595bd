package span

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"

	"snipeshift.example/lib/clock"
	"snipeshift.example/lib/decide"
	"snipeshift.example/lib/decide/gate"
	"snipeshift.example/lib/exchange"
	"snipeshift.example/lib/route"
)

// In any order of events, no engine is granted more streams than it has slots or more memory than
// it has, and ended requests leave nothing behind.
func TestGrantsStayWithinEngineCapacity(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := New(DefaultRules, gate.NewBudget(0.2, 100, 10*clock.Second))
		us := make([]route.Upstream, rapid.IntRange(1, 6).Draw(t, "engines"))
		for i := range us {
			us[i] = route.Upstream{ID: decide.UpstreamID(fmt.Sprint("e", i)), Slots: engine.Slots}
		}
		p.SetUpstreams(now, &route.Service{ID: "s", Engine: &engine}, us)
		p.SetSpread(rapid.Bool().Draw(t, "spread"), drawnRandom{t})
		at := now
		var live []decide.RequestID
		for i := range rapid.IntRange(1, 120).Draw(t, "steps") {
			at += clock.Milli(rapid.IntRange(0, 400).Draw(t, "pause"))
			switch rapid.IntRange(0, 5).Draw(t, "step") {
			case 0, 1, 2:
				_, _ = p.Ask(at, Ask{
					ID: decide.RequestID(fmt.Sprint(i)), Gate: "g", Prompt: decide.Tokens(rapid.IntRange(1, 900_000).Draw(t, "prompt")),
					Output: 500, Aim: at + 1000, Deadline: at + 9000, Gap: clock.Milli(rapid.IntRange(1, 10).Draw(t, "gap") * 100),
				})
			case 3:
				if len(live) > 0 {
					p.First(at, rapid.SampledFrom(live).Draw(t, "first"))
				}
			case 4:
				if len(live) > 0 {
					o := Outcome(rapid.IntRange(int(Done), int(Left)).Draw(t, "outcome"))
					p.End(at, rapid.SampledFrom(live).Draw(t, "end"), o, "")
				}
			case 5:
				p.Report(at, us[rapid.IntRange(0, len(us)-1).Draw(t, "upstream")].ID, exchange.Load{Requests: rapid.IntRange(0, 20).Draw(t, "requests"), Used: 1000, Pace: float64(rapid.IntRange(0, 4).Draw(t, "pace"))})
			}
			for _, d := range p.Tick(at) {
				if d.Action == Granted {
					live = append(live, d.Request)
				}
			}
			requireWithinCapacity(t, p)
		}
		for _, id := range live {
			p.End(at, id, Done, "")
		}
		for _, r := range p.upstreams {
			if len(r.grants) > 0 || r.backlog(at) > 0 {
				t.Fatalf("%s has %d grants and a backlog of %f ms after all requests ended", r.ID, len(r.grants), r.backlog(at))
			}
		}
	})
}

func requireWithinCapacity(t *rapid.T, p *Pool) {
	for _, r := range p.upstreams {
		if r.streams > engine.Slots {
			t.Fatalf("%s has %d streams, more than its slots", r.ID, r.streams)
		}
		if r.grantedMemory > engine.Memory {
			t.Fatalf("%s has %d tokens granted, more than its memory", r.ID, r.grantedMemory)
		}
	}
}

// BenchmarkAsk measures one short request, from Ask to End, in pools of 23 and 230 engines.
func BenchmarkAsk(b *testing.B) {
	for _, engines := range []int{23, 230} {
		b.Run(fmt.Sprint(engines), func(b *testing.B) {
			p := New(DefaultRules, gate.NewBudget(0.2, 100, 10*clock.Second))
			us := make([]route.Upstream, engines)
			for i := range us {
				us[i] = route.Upstream{ID: decide.UpstreamID(fmt.Sprintf("e%03d", i)), Slots: engine.Slots}
			}
			p.SetUpstreams(now, &route.Service{ID: "s", Engine: &engine}, us)
			at := now
			for i := range b.N {
				at++
				id := decide.RequestID(fmt.Sprint(i))
				_, _ = p.Ask(at, Ask{ID: id, Gate: "g", Prompt: 5000, Output: 1600, Aim: at + 300, Deadline: at + 9000, Gap: 200})
				p.Tick(at)
				p.First(at, id)
				if i >= 6*engines {
					p.End(at, decide.RequestID(fmt.Sprint(i-6*engines)), Done, "")
				}
			}
		})
	}
}

// BenchmarkThousandRunning measures one short request, from Ask to End, with the polls of its
// owner, while a thousand others run.
func BenchmarkThousandRunning(b *testing.B) {
	for _, engines := range []int{300, 1000, 3000} {
		b.Run(fmt.Sprint(engines), func(b *testing.B) {
			p := New(DefaultRules, gate.NewBudget(0.2, 100, 10*clock.Second))
			us := make([]route.Upstream, engines)
			for i := range us {
				us[i] = route.Upstream{ID: decide.UpstreamID(fmt.Sprintf("e%04d", i)), Slots: engine.Slots}
			}
			p.SetUpstreams(now, &route.Service{ID: "s", Engine: &engine}, us)
			at := now
			step := func() { p.TakeDuePolls(at, "owner", 128); p.Tick(at) }
			for i := range b.N {
				at++
				_, _ = p.Ask(at, Ask{ID: decide.RequestID(fmt.Sprint(i)), Gate: "g", Prompt: 5000, Output: 1600, Aim: at + 300, Deadline: at + 9000, Gap: 200})
				step()
				old := decide.RequestID(fmt.Sprint(i - 1000))
				p.First(at, old)
				step()
				p.End(at, old, Done, "")
				step()
			}
		})
	}
}

// BenchmarkFlood measures one more request while all engines are full and a hundred requests wait.
func BenchmarkFlood(b *testing.B) {
	p := New(DefaultRules, gate.NewBudget(0.2, 100, 10*clock.Second))
	us := make([]route.Upstream, 18)
	for i := range us {
		us[i] = route.Upstream{ID: decide.UpstreamID(fmt.Sprintf("e%03d", i)), Slots: engine.Slots}
	}
	p.SetUpstreams(now, &route.Service{ID: "s", Engine: &engine}, us)
	ask := func(i int, at clock.Milli) {
		_, _ = p.Ask(at, Ask{ID: decide.RequestID(fmt.Sprint(i)), Gate: "g", Prompt: decide.Tokens(2000 + i%100*50), Output: 1600, Aim: at + 300, Deadline: at + 9000, Gap: 200})
	}
	for i := range 18*engine.Slots + 100 {
		ask(i, now)
		for _, d := range p.Tick(now) {
			p.First(now, d.Request)
		}
	}
	b.ResetTimer()
	for i := range b.N {
		ask(1000+i, now)
		p.Tick(now)
		p.Withdraw(now, decide.RequestID(fmt.Sprint(1000+i)))
	}
}

// drawnRandom draws random numbers from a test's source.
type drawnRandom struct{ t *rapid.T }

func (r drawnRandom) Float64() float64 { return rapid.Float64Range(0, 0.999).Draw(r.t, "random") }
