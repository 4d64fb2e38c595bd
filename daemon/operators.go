package main

import (
	"net/http"

	"snipeshift.example/daemon/operator"
	"snipeshift.example/lib/clock"
	"snipeshift.example/lib/decide"
	answers "snipeshift.example/lib/operator"
	"snipeshift.example/lib/peer"
)

// operatorHandler serves the operator's address from the daemon's parts.
func (d *daemon) operatorHandler() http.Handler {
	v := views{d}
	s := operator.Sources{
		Health: v, Members: v, Pools: v, Usage: v, Documents: d.state, Timeline: d.ring, Stopper: v, Store: d.store,
		Metrics: []operator.Metrics{d.gate.Metrics(), traffic{d.dialer.Traffic(), d.peers.Traffic()}},
	}
	return operator.New(s, d.log).Handler()
}

// hearFor is how long a daemon that starts waits for the word of a peer before it
// takes callers: several tries over new connections. A VM that is the only one, or
// whose peers are all out of reach, must not wait for good.
const hearFor = 5 * clock.Second

// unheard tells whether this daemon has just started and no peer has told it yet
// what it must know before it serves.
//
// The store gives a new VM its document within milliseconds, earlier than the first
// heartbeat brings the fingerprints of requests that kill upstreams. A caller that
// repeats such a request through the new VM in between costs a third engine.
func (d *daemon) unheard() bool {
	return d.members.LastContact() == 0 && d.clock.Now()-clock.Milli(d.incarnation) < hearFor
}

// views shows the daemon's parts in the answers that operators read.
type views struct{ daemon *daemon }

// Unready implements operator.Health.
func (v views) Unready() []string {
	var why []string
	if _, ok := v.daemon.book.Index(); !ok {
		why = append(why, "no configuration document is in force")
	}
	if v.daemon.unheard() {
		why = append(why, "no other VM was heard from since the start a moment ago")
	}
	if v.daemon.stopping.Load() {
		why = append(why, "this VM is stopping")
	}
	return append(why, v.daemon.state.unready()...)
}

// Drain implements operator.Stopper.
func (v views) Drain() { v.daemon.drainOnce.Do(func() { close(v.daemon.drain) }) }

// Draining implements operator.Stopper.
func (v views) Draining() (began bool, requests int) {
	return v.daemon.stopping.Load(), v.daemon.gate.InFlight()
}

// Members implements operator.Members.
func (v views) Members() []answers.Member {
	d := v.daemon
	now := d.clock.Now()
	var out []answers.Member
	for _, m := range d.members.Live() {
		revision, at := d.directory.heardOf(m.VM)
		a := answers.Member{VM: m.VM, Incarnation: m.Incarnation, Domain: m.Domain, Peer: m.Address, Operator: m.Operator, State: stateOf(m), Revision: revision, Age: now - at}
		if m.VM == d.settings.Name {
			a.Revision, _ = d.state.Newest()
			a.Age = 0
		}
		out = append(out, a)
	}
	return out
}

func stateOf(m peer.Member) answers.State {
	switch {
	case m.Stopping:
		return answers.Draining
	case m.Health == peer.Suspected:
		return answers.Silent
	case m.Health == peer.Gone:
		return answers.Gone
	}
	return answers.Serving
}

// Pools implements operator.Pools.
func (v views) Pools() []answers.Pool {
	var out []answers.Pool
	for _, p := range v.daemon.owner.Pools() {
		s := p.Status()
		out = append(out, answers.Pool{
			Pool: p.ID(), Owner: v.daemon.settings.Name, Epoch: p.Epoch(), Wait: s.Summary.Wait,
			Queued: s.Summary.Queued, Running: s.Summary.Running, Free: s.Summary.Free, Largest: s.Summary.Largest, Upstreams: len(s.Upstreams),
		})
	}
	return out
}

// silentAfter is how old an engine's last report may be before operators see the
// engine as silent: six polls. Plain services give no reports.
const silentAfter = 3 * clock.Second

// Upstreams implements operator.Pools.
func (v views) Upstreams() []answers.Upstream {
	now := v.daemon.clock.Now()
	var out []answers.Upstream
	for _, p := range v.daemon.owner.Pools() {
		s := p.Status()
		for _, u := range s.Upstreams {
			a := answers.Upstream{
				Name: u.ID, Pool: p.ID(), Owner: v.daemon.settings.Name, Address: s.Addresses[u.ID],
				Running: u.Running, Slots: u.Slots, Reserved: u.Reserved, Used: s.Used[u.ID], Memory: u.Memory, Age: -1, Fenced: s.Fenced[u.ID],
			}
			if at, ok := s.Reported[u.ID]; ok {
				a.Age = now - at
			}
			a.State = condition(u, a.Age)
			out = append(out, a)
		}
	}
	return out
}

// condition is an upstream's state, with the age of its last report, negative for none.
// Silence goes first: an engine that does not answer is shut out like one that leaves,
// and an operator who reads that it is draining would wait for its end.
func condition(u decide.UpstreamView, age clock.Milli) answers.State {
	switch {
	case u.Memory > 0 && (age < 0 || age > silentAfter):
		return answers.Silent
	case u.Leaving:
		return answers.Draining
	}
	return answers.Serving
}

// Grants implements operator.Pools.
func (v views) Grants() []answers.Grant {
	now := v.daemon.clock.Now()
	var out []answers.Grant
	for _, p := range v.daemon.owner.Pools() {
		for _, g := range p.Status().Grants {
			out = append(out, answers.Grant{
				Grant: g.ID, Pool: p.ID(), Owner: v.daemon.settings.Name, Request: g.Request, Workspace: g.Workspace, Gate: g.Gate,
				Upstreams: g.Upstreams, Urgency: g.Urgency, Prompt: g.Prompt, Output: g.Output, Reserved: g.Reserved, Lease: g.Until - now, Left: g.Deadline - now,
			})
		}
	}
	return out
}

// Usage implements operator.Usage.
func (v views) Usage() []answers.UsageCounter {
	var out []answers.UsageCounter
	for _, u := range v.daemon.state.usage() {
		out = append(out, answers.UsageCounter{
			VM: u.VM, Incarnation: u.Incarnation, Workspace: u.Workspace,
			Usage: answers.Usage{Requests: u.Usage.Requests, Prompt: u.Usage.Prompt, Cached: u.Usage.Cached, Output: u.Usage.Output},
		})
	}
	return out
}
