package main

import (
	"net/http"

	"snipeshift.example/daemon/operator"
	"snipeshift.example/lib/clock"
	"snipeshift.example/lib/decide"
	answers "snipeshift.example/lib/operator"
	"snipeshift.example/lib/peer"
)

// operatorHandler returns the handler of the operator address.
func (d *daemon) operatorHandler() http.Handler {
	v := operatorViews{d}
	s := operator.Sources{
		Health: v, Members: v, Pools: v, Usage: v, Documents: d.state, Timeline: d.ring, Stopper: v, Store: d.store, Where: d.gate,
		Metrics: []operator.Metrics{d.gate.Metrics(), peerTraffic{d.dialer.Traffic(), d.peers.Traffic()}, connectionMetrics{d.accepts, d.peers, d.upstreams}},
	}
	return operator.New(s, d.log).Handler()
}

// firstPeerWait is how long a starting daemon waits for the first heartbeat of a peer before it
// reports that it is ready. The time suffices for several attempts over new connections. The wait is
// bounded because the VM may have no peers, or all its peers may be unreachable.
const firstPeerWait = 5 * clock.Second

// awaitingFirstPeer reports whether this daemon has just started and has not received the state
// that it needs from a peer before it may serve requests.
//
// The store returns the document to a new VM within milliseconds, before the first heartbeat brings
// the fingerprints of requests that crash upstreams. A client that repeats such a request through
// the new VM in between would crash a third engine, although a request is quarantined after two
// crashes.
func (d *daemon) awaitingFirstPeer() bool {
	return d.members.LastContact() == 0 && d.clock.Now()-clock.Milli(d.incarnation) < firstPeerWait
}

// operatorViews builds the responses of the operator address from the daemon's components.
type operatorViews struct{ daemon *daemon }

// Unready implements operator.Health.
func (v operatorViews) Unready() []string {
	var why []string
	if _, ok := v.daemon.config.Index(); !ok {
		why = append(why, "no configuration document is in force")
	}
	if v.daemon.awaitingFirstPeer() {
		why = append(why, "no other VM was heard from since the start a moment ago")
	}
	if v.daemon.stopping.Load() {
		why = append(why, "this VM is stopping")
	}
	if v.daemon.clients.Full() {
		why = append(why, "there was no room for a connection a moment ago")
	}
	if v.daemon.accepts.Failing() {
		why = append(why, "a listener could not accept a connection a moment ago")
	}
	return append(why, v.daemon.state.unready()...)
}

// Drain implements operator.Stopper.
func (v operatorViews) Drain() { v.daemon.drainOnce.Do(func() { close(v.daemon.drain) }) }

// Draining implements operator.Stopper.
func (v operatorViews) Draining() (began bool, requests int) {
	return v.daemon.stopping.Load(), v.daemon.gate.InFlight()
}

// Members implements operator.Members.
func (v operatorViews) Members() []answers.Member {
	d := v.daemon
	now := d.clock.Now()
	var out []answers.Member
	for _, m := range d.members.Live() {
		revision, at := d.directory.lastHeartbeat(m.VM)
		a := answers.Member{VM: m.VM, Incarnation: m.Incarnation, Domain: m.Domain, Peer: m.Address, Operator: m.Operator, State: memberState(m), Revision: revision, Age: now - at}
		if m.VM == d.settings.Name {
			a.Revision, _ = d.state.Newest()
			a.Age = 0
		}
		out = append(out, a)
	}
	return out
}

func memberState(m peer.Member) answers.State {
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
func (v operatorViews) Pools() []answers.Pool {
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

// reportMaxAge is how old an engine's last load report may be before the engine is shown to
// operators as silent. It is the time of six polls. Plain services send no reports.
const reportMaxAge = 3 * clock.Second

// Upstreams implements operator.Pools.
func (v operatorViews) Upstreams() []answers.Upstream {
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
			a.State = upstreamState(u, a.Age)
			out = append(out, a)
		}
	}
	return out
}

// upstreamState returns the state of an upstream that is shown to operators. The age is that of its
// last report, negative if there is none.
//
// Silent has precedence: an engine that does not respond is marked as leaving too, so that it
// receives no requests, and an operator who reads that it is draining would wait for it to finish.
func upstreamState(u decide.UpstreamView, age clock.Milli) answers.State {
	switch {
	case u.Memory > 0 && (age < 0 || age > reportMaxAge):
		return answers.Silent
	case u.Leaving:
		return answers.Draining
	}
	return answers.Serving
}

// Grants implements operator.Pools.
func (v operatorViews) Grants() []answers.Grant {
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
func (v operatorViews) Usage() []answers.UsageCounter {
	var out []answers.UsageCounter
	for _, u := range v.daemon.state.usage() {
		out = append(out, answers.UsageCounter{
			VM: u.VM, Incarnation: u.Incarnation, Workspace: u.Workspace,
			Usage: answers.Usage{Requests: u.Usage.Requests, Prompt: u.Usage.Prompt, Cached: u.Usage.Cached, Output: u.Usage.Output},
		})
	}
	return out
}
