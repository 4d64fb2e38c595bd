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
	callers = 10
	// mine keeps its key, other loses it in the middle of the run.
	mine, other = "ward", "desk"
	// sticky is how many calls a caller makes over its connection before it turns to another VM.
	sticky = 12
)

// revocation is the time within which a withdrawn key must be refused everywhere.
const revocation = 5 * time.Second

// lateness is by how much an answer may pass its route's timeout, on a busy machine.
const lateness = 1500 * time.Millisecond

// timeouts are those of the stand-in's routes.
var timeouts = map[string]time.Duration{
	"draft": 8 * time.Second, "audit": 12 * time.Second, "lookup": 2 * time.Second, "notice": 2 * time.Second,
}

// routes are called in turn.
var routes = []string{"draft", "lookup", "notice", "draft", "lookup", "notice", "audit"}

// call is one request with its answer.
type call struct {
	vm               *fleet.VM
	route, workspace string
	at               time.Time
	answer           standin.Response
}

func (c *call) end() time.Time { return c.at.Add(c.answer.Duration) }

func (c *call) String() string {
	return fmt.Sprintf("%s at %s: status %d after %v (%.80s)", c.answer.ID, c.vm.Name, c.answer.Status, c.answer.Duration.Round(time.Millisecond), c.answer.Text)
}

// call makes calls, one after the other, until it is stopped. It goes on using a connection
// whatever its VM says of itself.
func (r *Run) call(i int, stop chan struct{}) {
	random := rand.New(rand.NewPCG(r.seed, uint64(i+1)))
	workspace := mine
	if i%5 == 4 {
		workspace = other
	}
	c := standin.NewClient(workspace)
	for n := random.IntN(len(routes)); ; {
		v := r.fleet.VMs[random.IntN(len(r.fleet.VMs))]
		for range sticky {
			select {
			case <-stop:
				return
			default:
			}
			x := call{vm: v, route: routes[n%len(routes)], workspace: workspace, at: time.Now()}
			x.answer = c.Call(v.Caller, x.route)
			n++
			r.mu.Lock()
			r.calls = append(r.calls, x)
			r.mu.Unlock()
			if x.answer.Status != http.StatusOK {
				time.Sleep(20 * time.Millisecond)
				break
			}
		}
	}
}

// check checks every promise over all calls.
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
		if err := r.judge(&calls[i]); err != nil {
			errs = append(errs, fmt.Errorf("%w: %s", err, &calls[i]))
			r.tell(&calls[i])
		}
	}
	if twice, wrong := p.RunViolations(); twice+wrong > 0 {
		errs = append(errs, fmt.Errorf("%d ran twice that may not, %d for another workspace", twice, wrong))
	}
	for _, f := range p.ReservationErrors() {
		errs = append(errs, errors.New(f))
	}
	for _, text := range p.LimitViolations(r.excused) {
		errs = append(errs, errors.New(text))
	}
	for _, text := range p.IgnoredStatements(standin.Exemptions{MissedResponse: r.unheard, Restarted: r.restarted, RestartedOrCut: r.cut}) {
		errs = append(errs, errors.New(text))
	}
	errs = append(errs, r.after()...)
	r.log("ends of %d calls: %v", len(calls), ends(calls))
	r.log("the store lists %v", p.Names("servers"))
	told, unknown := p.StatementCounts()
	r.log("%d answers asked a VM for rest or said to it that their upstream leaves; of %d it is not known which VM", told, unknown)
	return errors.Join(errs...)
}

// tell logs what the VM wrote of a call.
func (r *Run) tell(c *call) {
	for _, line := range c.vm.Process.Grep(c.answer.ID + `"`) {
		r.log("%s", line)
	}
}

// What breaks a promise.
var (
	errRan      = errors.New("it ran, and its caller got the answer that it had not")
	errNotWhole = errors.New("a success that is not the whole answer of its own")
	errDenied   = errors.New("a proper request was denied")
	errLate     = errors.New("answered long after its timeout")
	errKey      = errors.New("it ran for a key that was taken away")
	errBroken   = errors.New("cut off without a fault of its VM")
	errCalm     = errors.New("not served on a calm fleet")
)

func (r *Run) judge(c *call) error {
	p, a := r.fleet.Platform, c.answer
	switch a.Status {
	case http.StatusOK:
		if !a.Complete {
			return errNotWhole
		}
	case http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		if p.RunCount(a.ID) > 0 {
			return errRan
		}
	case http.StatusUnauthorized:
		if c.workspace != other || c.end().Before(r.withdrawing) {
			return errDenied
		}
	case http.StatusBadRequest, http.StatusForbidden, http.StatusNotFound:
		return errDenied
	}
	if c.workspace == other && !r.withdrawn.IsZero() && c.at.After(r.confirmed().Add(revocation)) && p.RunCount(a.ID) > 0 {
		return errKey
	}
	hit := r.hit(c)
	if a.Duration > timeouts[c.route]+lateness && !hit {
		return errLate
	}
	if a.Status == 0 && !hit && c.route != "draft" && c.route != "audit" {
		return errBroken
	}
	// Ten callers ask for more long prompts than four engines read, so some are refused.
	refused := c.route == "audit" && a.Status == http.StatusServiceUnavailable
	if !a.Complete && !refused && c.workspace == mine && r.calm(c) {
		return errCalm
	}
	return nil
}

// confirmed is when the taking away of the key was confirmed last: a store that comes back from a copy without it answers that the
// key is good, until the operator has written it again.
func (r *Run) confirmed() time.Time {
	at := r.withdrawn
	for _, w := range r.fleet.Platform.RepeatedWrites() {
		if w.Kind == "config" && !w.First.Before(r.withdrawing) && w.Repeated.After(at) {
			at = w.Repeated
		}
	}
	return at
}

// hit tells whether the process of a call's VM was stopped, killed or standing still during it. A
// planned stop excuses only calls that began after it.
func (r *Run) hit(c *call) bool {
	for _, s := range r.spells {
		if s.vm != c.vm || c.at.After(s.to.Add(lateness)) || c.end().Before(s.from) {
			continue
		}
		switch s.fault.Kind {
		case Kill, Freeze:
			return true
		case Stop:
			if c.at.After(s.from) {
				return true
			}
		default:
		}
	}
	return false
}

// excusedAfter is how long after a fault of its own a VM still need not know what others do.
const excusedAfter = 3 * time.Second

// excused tells whether a VM was stopped, killed, standing still or cut off from other VMs in a span.
func (r *Run) excused(vm string, from, to time.Time) bool {
	for _, s := range r.spells {
		if s.to.Add(excusedAfter).Before(from) || s.from.After(to) {
			continue
		}
		switch s.fault.Kind {
		case Kill, Freeze, Stop:
			if s.vm.Name == vm {
				return true
			}
		case Cut, Reset, Silence, Delay:
			other := r.fleet.VMs[s.fault.Other%len(r.fleet.VMs)]
			if s.fault.End == Peer && (s.vm.Name == vm || other.Name == vm) {
				return true
			}
		default:
		}
	}
	return false
}

// answerSpan is how long the answer that a VM may have got, or not, was on its way.
const answerSpan = time.Second

// unheard tells whether a VM may not have got an upstream's answer of an instant, since it or the link between them was hit.
func (r *Run) unheard(vm string, u *standin.Runner, at time.Time) bool {
	from, to := at.Add(-answerSpan), at.Add(answerSpan)
	if r.restarted(vm, from, to) {
		return true
	}
	us := r.fleet.Platform.Runners()
	for _, s := range r.spells {
		if s.fault.End == Upstream && s.vm.Name == vm && us[s.fault.Other%len(us)].Address() == u.Address() && s.link() && s.overlaps(from, to) {
			return true
		}
	}
	return false
}

// restarted tells whether a VM was stopped, killed or standing still in a span.
func (r *Run) restarted(vm string, from, to time.Time) bool {
	return slices.ContainsFunc(r.spells, func(s spell) bool { return s.vm.Name == vm && s.process() && s.overlaps(from, to) })
}

// cut tells whether a VM was that, or any link of it was hit.
func (r *Run) cut(vm string, from, to time.Time) bool {
	return r.restarted(vm, from, to) || slices.ContainsFunc(r.spells, func(s spell) bool {
		return s.vm.Name == vm && s.link() && s.overlaps(from, to)
	})
}

// process tells whether a fault hits a VM's process, link whether it hits one of its links.
func (s *spell) process() bool {
	return s.fault.Kind == Kill || s.fault.Kind == Freeze || s.fault.Kind == Stop
}

func (s *spell) link() bool {
	return s.fault.Kind == Cut || s.fault.Kind == Reset || s.fault.Kind == Silence || s.fault.Kind == Delay
}

func (s *spell) overlaps(from, to time.Time) bool { return !s.to.Before(from) && !s.from.After(to) }

// calmAfter is how long the traces of a fault may last: an owner's books know of grants that have
// ended for three seconds, upstreams are shut out for four, lapsed entries kept for two.
const calmAfter = 5 * time.Second

// calm tells whether no fault was near a call.
func (r *Run) calm(c *call) bool {
	for _, s := range r.spells {
		if c.end().After(s.from) && c.at.Before(s.to.Add(calmAfter)) {
			return false
		}
	}
	return true
}

// after makes calls on the healed fleet, all of which must be served, and looks for memory that
// nobody uses.
func (r *Run) after() []error {
	var errs []error
	c := standin.NewClient(mine)
	for _, v := range r.fleet.VMs {
		for _, route := range routes {
			x := call{vm: v, route: route, workspace: mine, at: time.Now(), answer: c.Call(v.Caller, route)}
			if !x.answer.Complete {
				errs = append(errs, fmt.Errorf("%w: %s", errCalm, &x))
			}
		}
	}
	time.Sleep(settling)
	for _, u := range r.fleet.Platform.Runners() {
		if n := u.Reserved(); n > 0 {
			errs = append(errs, fmt.Errorf("%d tokens of memory are still set aside at %s", n, u.Address()))
		}
	}
	return errs
}

func ends(calls []call) map[string]int {
	out := map[string]int{}
	for i := range calls {
		a := calls[i].answer
		if a.Complete {
			out["whole"]++
			continue
		}
		out[fmt.Sprint(a.Status)]++
	}
	return out
}
