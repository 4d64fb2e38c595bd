package soak

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"time"

	"snipeshift.example/platform/standin"
	"snipeshift.example/scenarios/fleet"
)

const (
	clients = 10
	// The key of steadyWorkspace stays valid. That of revokedWorkspace is revoked halfway through the
	// run.
	steadyWorkspace, revokedWorkspace = "ward", "desk"
	// callsPerVM is how many calls a client makes to one VM before it chooses a VM again.
	callsPerVM = 12
)

// revocationLimit is the time within which every VM must reject a revoked key.
const revocationLimit = 5 * time.Second

// tolerance is the time by which a response may exceed its route's timeout, to allow for a busy
// machine.
const tolerance = 1500 * time.Millisecond

// routeTimeouts holds the timeouts of the routes that the emulated platform configures.
var routeTimeouts = map[string]time.Duration{
	"draft": 8 * time.Second, "audit": 12 * time.Second, "lookup": 2 * time.Second, "notice": 2 * time.Second,
}

// routes is the cycle of routes that a client calls.
var routes = []string{"draft", "lookup", "notice", "draft", "lookup", "notice", "audit"}

// call is one request with its response.
type call struct {
	vm               *fleet.VM
	route, workspace string
	at               time.Time
	response         standin.Response
}

func (c *call) end() time.Time { return c.at.Add(c.response.Duration) }

func (c *call) String() string {
	return fmt.Sprintf("%s at %s: status %d after %v (%.80s)", c.response.ID, c.vm.Name, c.response.Status, c.response.Duration.Round(time.Millisecond), c.response.Text)
}

// runClient makes calls one after the other until stop is closed. It uses its connection to a VM for
// all callsPerVM calls, also after the VM has announced that it stops, and leaves it only after a call
// whose status is not 200.
func (r *Run) runClient(i int, stop chan struct{}) {
	rng := rand.New(rand.NewPCG(r.seed, uint64(i+1)))
	workspace := steadyWorkspace
	if i%5 == 4 {
		workspace = revokedWorkspace
	}
	c := standin.NewClient(workspace)
	for n := rng.IntN(len(routes)); ; {
		v := r.fleet.VMs[rng.IntN(len(r.fleet.VMs))]
		for range callsPerVM {
			select {
			case <-stop:
				return
			default:
			}
			x := call{vm: v, route: routes[n%len(routes)], workspace: workspace, at: time.Now()}
			x.response = c.Call(v.Caller, x.route)
			n++
			r.mu.Lock()
			r.calls = append(r.calls, x)
			r.mu.Unlock()
			if x.response.Status != http.StatusOK {
				time.Sleep(20 * time.Millisecond)
				break
			}
		}
	}
}

// check checks the guarantees of the fleet over all calls and returns the violations, joined with the
// errors of faults that could not be injected.
func (r *Run) check(failed <-chan error) error {
	var errs []error
	for err := range failed {
		errs = append(errs, err)
	}
	p := r.fleet.Platform
	r.mu.Lock()
	calls := r.calls
	r.mu.Unlock()
	for i := range calls {
		if err := r.checkCall(&calls[i]); err != nil {
			errs = append(errs, fmt.Errorf("%w: %s", err, &calls[i]))
			r.logCall(&calls[i])
		}
	}
	if repeated, misattributed := p.RunViolations(); repeated+misattributed > 0 {
		errs = append(errs, fmt.Errorf("%d attempts ran more than once, %d ran for a workspace other than the key's", repeated, misattributed))
	}
	for _, f := range p.ReservationErrors() {
		errs = append(errs, errors.New(f))
	}
	for _, text := range p.LimitViolations(r.unsynced) {
		errs = append(errs, errors.New(text))
	}
	for _, text := range p.IgnoredStatements(standin.Exemptions{MissedResponse: r.mayHaveMissed, Restarted: r.restarted, RestartedOrCut: r.disrupted}) {
		errs = append(errs, errors.New(text))
	}
	errs = append(errs, r.partErrors...)
	errs = append(errs, r.checkRecovered()...)
	r.log("%d calls by outcome: %v", len(calls), countOutcomes(calls))
	r.log("upstreams in the store: %v", p.Names("servers"))
	declared, unknown := p.StatementCounts()
	r.log("%d responses asked a VM for back-off or announced to it that their upstream drains; for %d the VM is not known", declared, unknown)
	return errors.Join(errs...)
}

// logCall logs the lines in the VM's log about a call.
func (r *Run) logCall(c *call) {
	for _, line := range c.vm.Process.Grep(c.response.ID + `"`) {
		r.log("%s", line)
	}
}

// Violations of the guarantees by one call.
var (
	errRan          = errors.New("request ran, but its client got a response that reports it did not run")
	errIncomplete   = errors.New("status 200, but the response is incomplete or belongs to another request")
	errDenied       = errors.New("valid request denied")
	errLate         = errors.New("response long after the route's timeout")
	errRevokedKey   = errors.New("request ran with a revoked key")
	errDisconnected = errors.New("connection lost without a fault of its VM")
	errNotServed    = errors.New("request not served although no fault lasted during the call or ended shortly before it")
)

// checkCall returns the guarantee that a call violated, or nil.
func (r *Run) checkCall(c *call) error {
	p, a := r.fleet.Platform, c.response
	switch a.Status {
	case http.StatusOK:
		if !a.Complete {
			return errIncomplete
		}
	case http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		if p.RunCount(a.ID) > 0 {
			return errRan
		}
	case http.StatusUnauthorized:
		if c.workspace != revokedWorkspace || c.end().Before(r.revokeStart) {
			return errDenied
		}
	case http.StatusBadRequest, http.StatusForbidden, http.StatusNotFound:
		return errDenied
	}
	if c.workspace == revokedWorkspace && !r.revoked.IsZero() && c.at.After(r.revocationConfirmed().Add(revocationLimit)) && p.RunCount(a.ID) > 0 {
		return errRevokedKey
	}
	processFault := r.processFaulted(c)
	if a.Duration > routeTimeouts[c.route]+tolerance && !processFault {
		return errLate
	}
	if a.Status == 0 && !processFault && c.route != "draft" && c.route != "audit" {
		return errDisconnected
	}
	// Ten clients send more long prompts than four engines can prefill, so some are refused.
	refusedAudit := c.route == "audit" && a.Status == http.StatusServiceUnavailable
	if !a.Complete && !refusedAudit && c.workspace == steadyWorkspace && r.undisturbed(c) {
		return errNotServed
	}
	return nil
}

// revocationConfirmed returns when the store last confirmed the revocation of the key. A store
// restored from a copy without the revocation reports the key as valid until the operator has
// written the revocation again.
func (r *Run) revocationConfirmed() time.Time {
	at := r.revoked
	for _, w := range r.fleet.Platform.RepeatedWrites() {
		if w.Kind == "config" && !w.First.Before(r.revokeStart) && w.Repeated.After(at) {
			at = w.Repeated
		}
	}
	return at
}

// processFaulted reports whether the process of a call's VM was stopped, killed or paused during the
// call. A graceful stop counts only for calls that began after the stop was requested.
func (r *Run) processFaulted(c *call) bool {
	for _, inj := range r.injections {
		if inj.vm != c.vm || c.at.After(inj.to.Add(tolerance)) || c.end().Before(inj.from) {
			continue
		}
		switch inj.fault.Kind {
		case Kill, Freeze, Flood, Exhaust:
			return true
		case Stop:
			if c.at.After(inj.from) {
				return true
			}
		default:
		}
	}
	return false
}

// peerSyncTime is how long after a fault that hit a VM's process or a link to a peer the VM may still
// be unaware of what other VMs do.
const peerSyncTime = 3 * time.Second

// unsynced reports whether a VM may have been unaware of what other VMs do between from and to,
// because it was stopped, killed or paused, or a link between it and a peer was hit.
func (r *Run) unsynced(vm string, from, to time.Time) bool {
	for _, inj := range r.injections {
		if inj.to.Add(peerSyncTime).Before(from) || inj.from.After(to) {
			continue
		}
		switch inj.fault.Kind {
		case Kill, Freeze, Stop:
			if inj.vm.Name == vm {
				return true
			}
		case Cut, Reset, Silence, Delay:
			other := r.fleet.VMs[inj.fault.Other%len(r.fleet.VMs)]
			if inj.fault.LinkEnd == Peer && (inj.vm.Name == vm || other.Name == vm) {
				return true
			}
		default:
		}
	}
	return false
}

// responseTime is the time before and after a response was sent in which a fault may have kept it
// from reaching its VM.
const responseTime = time.Second

// mayHaveMissed reports whether a VM may not have received a response that upstream u sent at the
// given time, because a fault hit the VM's process or its link to the upstream.
func (r *Run) mayHaveMissed(vm string, u *standin.Runner, at time.Time) bool {
	from, to := at.Add(-responseTime), at.Add(responseTime)
	if r.restarted(vm, from, to) {
		return true
	}
	us := r.fleet.Platform.Runners()
	for _, inj := range r.injections {
		if inj.fault.Kind == Partition && inj.vm.Name == vm && inj.overlaps(from, to) {
			return true
		}
		if inj.fault.LinkEnd == Upstream && inj.vm.Name == vm && us[inj.fault.Other%len(us)].Address() == u.Address() && inj.hitsLink() && inj.overlaps(from, to) {
			return true
		}
	}
	return false
}

// restarted reports whether a VM was stopped, killed or paused between from and to.
func (r *Run) restarted(vm string, from, to time.Time) bool {
	return slices.ContainsFunc(r.injections, func(inj injection) bool { return inj.vm.Name == vm && inj.hitsProcess() && inj.overlaps(from, to) })
}

// disrupted reports whether a VM was stopped, killed or paused, or a link that it dials was hit,
// between from and to.
func (r *Run) disrupted(vm string, from, to time.Time) bool {
	return r.restarted(vm, from, to) || slices.ContainsFunc(r.injections, func(inj injection) bool {
		return inj.vm.Name == vm && inj.hitsLink() && inj.overlaps(from, to)
	})
}

// hitsProcess reports whether the fault hits a VM's process.
func (inj *injection) hitsProcess() bool {
	return inj.fault.Kind == Kill || inj.fault.Kind == Freeze || inj.fault.Kind == Stop
}

// hitsLink reports whether the fault hits a link that a VM dials.
func (inj *injection) hitsLink() bool {
	return inj.fault.Kind == Partition || inj.fault.Kind == Cut || inj.fault.Kind == Reset || inj.fault.Kind == Silence || inj.fault.Kind == Delay
}

func (inj *injection) overlaps(from, to time.Time) bool {
	return !inj.to.Before(from) && !inj.from.After(to)
}

// recoveryTime is how long a fault may have effects after its end: an owner counts grants that have
// ended for up to 3 s, excludes failed upstreams for 4 s, and retains expired entries for 2 s.
const recoveryTime = 5 * time.Second

// undisturbed reports whether no fault of any kind lasted during a call or ended less than recoveryTime
// before it.
func (r *Run) undisturbed(c *call) bool {
	for _, inj := range r.injections {
		if c.end().After(inj.from) && c.at.Before(inj.to.Add(recoveryTime)) {
			return false
		}
	}
	return true
}

// checkRecovered makes calls after all faults have ended, all of which must be served, and then checks
// that no upstream has memory reserved.
func (r *Run) checkRecovered() []error {
	var errs []error
	c := standin.NewClient(steadyWorkspace)
	for _, v := range r.fleet.VMs {
		for _, route := range routes {
			x := call{vm: v, route: route, workspace: steadyWorkspace, at: time.Now(), response: c.Call(v.Caller, route)}
			if !x.response.Complete {
				errs = append(errs, fmt.Errorf("%w: %s", errNotServed, &x))
			}
		}
	}
	time.Sleep(settleTime)
	for _, u := range r.fleet.Platform.Runners() {
		if n := u.Reserved(); n > 0 {
			errs = append(errs, fmt.Errorf("%d tokens of memory are still reserved at %s", n, u.Address()))
		}
	}
	return errs
}

// countOutcomes counts the calls with a complete response, and all others by status.
func countOutcomes(calls []call) map[string]int {
	out := map[string]int{}
	for i := range calls {
		a := calls[i].response
		if a.Complete {
			out["whole"]++
			continue
		}
		out[fmt.Sprint(a.Status)]++
	}
	return out
}
