package script

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"strings"
	"time"

	"snipeshift.example/lib/clock"
	"snipeshift.example/scenarios/world"
)

func init() {
	register("call", call)
	register("load", load)
	register("export", eachName(func(s *session, name string) error { return s.world.ExportCache(s.ctx, name) }))
	register("hangup", eachName(func(s *session, name string) error { return s.world.Hangup(name) }))
}

// callFlags defines the flags that call and load share. It returns the value of -deadline, in milliseconds.
func callFlags(f *flag.FlagSet, c *world.Call) (deadline *int64) {
	f.StringVar(&c.Kind, "kind", "", "")
	f.StringVar(&c.Workspace, "workspace", "", "")
	f.StringVar(&c.Key, "key", "", "")
	f.StringVar(&c.PromptStart, "text", "", "")
	f.StringVar(&c.System, "system", "", "")
	f.IntVar(&c.PromptTokens, "prompt", 0, "")
	f.IntVar(&c.OutputLimit, "output", 0, "")
	f.BoolVar(&c.Service, "service", false, "")
	f.BoolVar(&c.NonStreaming, "whole", false, "")
	return f.Int64("deadline", 0, "")
}

// call sends one request and waits for its end, or with a trailing "&" does not wait: call [flags] NAME [&]
func call(s *session, args []string) error {
	args, async := background(args)
	var c world.Call
	f := flag.NewFlagSet("call", flag.ContinueOnError)
	deadline := callFlags(f, &c)
	f.StringVar(&c.Daemon, "to", "vm-1", "")
	rest, err := parseFlags(f, args)
	if err != nil {
		return err
	}
	if len(rest) != 1 {
		return usageError("call [flags] NAME [&]")
	}
	c.Name, c.Deadline = rest[0], clock.Milli(*deadline)
	r, err := s.world.StartCall(c)
	if err != nil || async {
		return err
	}
	r.Wait()
	s.ts.Logf("%s", r)
	return nil
}

// load sends many requests over several daemons and waits for their ends, or with a trailing "&" does not wait:
// load [flags] NAME [&]. The calls are named NAME.1, NAME.2 and so on.
func load(s *session, args []string) error {
	args, async := background(args)
	var c world.Call
	f := flag.NewFlagSet("load", flag.ContinueOnError)
	deadline := callFlags(f, &c)
	to := f.String("to", "", "")
	n := f.Int("n", 100, "")
	gap := f.Duration("gap", 0, "")
	mixed := f.Bool("mixed", false, "")
	copies := f.Int("copies", 1, "")
	ready := f.Bool("ready", false, "")
	rest, err := parseFlags(f, args)
	if err != nil {
		return err
	}
	if len(rest) != 1 {
		return usageError("load [flags] NAME [&]")
	}
	c.Deadline = clock.Milli(*deadline)
	gates := s.world.Daemons()
	if *to != "" {
		gates = strings.Split(*to, ",")
	}
	b := batch{name: rest[0], done: make(chan struct{}), call: c, gates: gates, copies: *copies, mixed: *mixed, random: rand.New(rand.NewPCG(1, uint64(*n)))}
	if *ready {
		b.balancer = s.world.StartBalancer(s.ctx)
	}
	s.loads[b.name] = b.done
	if async {
		go func() { _ = b.send(s, *n, *gap) }()
		return nil
	}
	if err := b.send(s, *n, *gap); err != nil {
		return err
	}
	for _, r := range s.world.Results(b.name) {
		r.Wait()
	}
	return nil
}

// batch sends the calls of a load.
type batch struct {
	name string
	call world.Call
	// gates holds the names of the daemons to which calls are sent in turn.
	gates  []string
	mixed  bool
	random *rand.Rand
	// done is closed once all calls are sent.
	done chan struct{}
	// copies is how many daemons receive each request at the same time, with the same text and idempotency key.
	copies int
	// balancer chooses among the daemons that report ready; if nil, calls go to gates in turn.
	balancer *world.Balancer
}

// send sends n calls, with a gap between two of them.
func (b *batch) send(s *session, n int, gap time.Duration) error {
	defer close(b.done)
	t := time.NewTicker(max(gap, time.Nanosecond))
	defer t.Stop()
	for i := range n {
		if gap > 0 && i > 0 {
			select {
			case <-t.C:
			case <-s.ctx.Done():
				return s.ctx.Err()
			}
		}
		if err := b.startOne(s, b.callAt(i)); err != nil {
			return err
		}
	}
	return nil
}

// startOne starts one call, or several copies of it through different daemons.
func (b *batch) startOne(s *session, c world.Call) error {
	if b.balancer != nil {
		c.Daemon = b.balancer.Next()
	}
	if b.copies <= 1 {
		_, err := s.world.StartCall(c)
		return err
	}
	name := c.Name
	c.PromptStart = name
	for j := range b.copies {
		c.Name = fmt.Sprintf("%s.%d", name, j+1)
		c.Daemon = b.gates[j%len(b.gates)]
		if _, err := s.world.StartCall(c); err != nil {
			return err
		}
	}
	return nil
}

// callAt returns call i of the load.
func (b *batch) callAt(i int) world.Call {
	c := b.call
	c.Name = fmt.Sprintf("%s.%d", b.name, i+1)
	c.Daemon = b.gates[i%len(b.gates)]
	c.Workspace = world.Workspaces[i%len(world.Workspaces)]
	if b.mixed {
		b.mix(&c, i)
	}
	if c.Key != "" || c.Kind == world.KindNotice {
		c.Key = fmt.Sprintf("%s-%s", c.Key, c.Name)
	}
	return c
}

// mix varies the kind, the lengths and the streaming of call i.
func (b *batch) mix(c *world.Call, i int) {
	c.PromptTokens = 10 + b.random.IntN(500)
	c.OutputLimit = 4 + b.random.IntN(40)
	c.NonStreaming = b.random.IntN(3) == 0
	switch i % 5 {
	case 0:
		c.Kind, c.Service = world.KindLookup, true
	case 1:
		c.Kind = world.KindNotice
	case 2:
		c.Kind, c.PromptTokens = world.KindDossier, 5_000+b.random.IntN(10_000)
	case 3:
		c.Kind, c.Service = world.KindNotice, true
	default:
		c.Kind = world.KindDraft
	}
}
