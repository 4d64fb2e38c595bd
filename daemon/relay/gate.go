// Package relay is the gate for requests of opaque bytes: it admits a request,
// asks its service's owner for a place, sends it there, judges the answer, and
// sends it once more elsewhere where its route allows. What the bytes mean is the
// callers' and upstreams' matter; a Codec reads what a gate must know from the header.
package relay

import (
	"context"
	"net/http"
	"strings"
	"sync/atomic"

	"github.com/cespare/xxhash/v2"
	"github.com/phuslu/log"

	"snipeshift.example/daemon/placer"
	"snipeshift.example/daemon/registry"
	"snipeshift.example/lib/clock"
	"snipeshift.example/lib/decide"
	"snipeshift.example/lib/decide/gate"
	"snipeshift.example/lib/decide/span"
	"snipeshift.example/lib/decide/statement"
	"snipeshift.example/lib/exchange"
	"snipeshift.example/lib/fault"
	"snipeshift.example/lib/route"
)

// Codec reads and writes the headers of one protocol.
type Codec interface {
	// RequestHead reads a caller's header.
	RequestHead(h http.Header) (exchange.RequestHead, error)
	// Forward makes the header that an upstream is sent.
	Forward(from http.Header, s exchange.Send) http.Header
	// ResponseHead reads what an answer to the request id says of itself.
	ResponseHead(resp *http.Response, id string) exchange.ResponseHead
	// Answer copies the header of an upstream's answer for the caller.
	Answer(to, from http.Header)
	// Refuse writes the header of an answer of our own.
	Refuse(to http.Header, id string, retry clock.Milli)
}

// Placer asks owners for places.
type Placer interface {
	Ask(ctx context.Context, s route.ServiceID, a span.Ask) (placer.AskReply, error)
	FirstByte(id decide.RequestID)
	End(id decide.RequestID, o span.Outcome, culprit decide.UpstreamID)
	Withdraw(s route.ServiceID, id decide.RequestID)
	// RecordStatement takes what an answer says of its upstream.
	RecordStatement(s route.ServiceID, u decide.UpstreamID, st statement.Statement)
	// Binding returns a statement of an upstream by which this VM must not send to it now, if there is one.
	Binding(s route.ServiceID, p span.Placement) (statement.Statement, bool)
}

// Registry is what is known of routes and upstreams.
type Registry interface {
	View() *registry.View
	// Known is closed once there are routes and upstreams.
	Known() <-chan struct{}
}

// Suspects remembers requests that were on an upstream when it died.
type Suspects interface {
	Check(fingerprint uint64) gate.Verdict
	Begin(fingerprint uint64) bool
	End(fingerprint uint64, whole bool)
	RecordCrash(fingerprint uint64, u decide.UpstreamID, born decide.Incarnation)
}

// Memory reserves KV memory on engines.
type Memory interface {
	Reserve(ctx context.Context, address, id string, tokens decide.Tokens, hold clock.Milli) (exchange.Reserved, error)
	Release(ctx context.Context, address, id string) (exchange.Declared, error)
}

// Clock reads a clock that goes on while the VM is suspended.
type Clock interface{ Now() clock.Milli }

// Dependencies are what a Gate works with.
type Dependencies struct {
	Clock    Clock
	Log      *log.Logger
	Codec    Codec
	Placer   Placer
	Registry Registry
	Suspects Suspects
	Memory   Memory
	// Pooled keeps connections to upstreams between requests; Fresh opens one for each.
	Pooled, Unpooled http.RoundTripper
}

// Bounds are the deployment's, in milliseconds.
type Bounds struct {
	// Revoke is the time within which a withdrawn key must be refused, whatever
	// the way to the store does.
	Revoke clock.Milli
	// Config is the time within which a document must be in force.
	Config clock.Milli
	// BodyBytes is how many bytes of requests are held at once.
	BodyBytes int64
}

// Gate serves callers.
type Gate struct {
	Dependencies
	bounds Bounds
	id     decide.GateID
	// started is when this life of the VM began.
	started clock.Milli
	serial  atomic.Uint64
	// bodies is how many bytes of requests are held.
	bodies atomic.Int64
	// stopping asks callers to open their next connection elsewhere.
	stopping atomic.Bool
	// unknown are names of header fields in answers that nobody reads, unreadable are fields with values that cannot be read.
	unknown, unreadable names
	metrics             *metrics
}

// New returns a gate; id names this VM in this life.
func New(n Dependencies, b Bounds, id decide.GateID) *Gate {
	return &Gate{Dependencies: n, bounds: b, id: id, started: n.Clock.Now(), metrics: newMetrics()}
}

// Stop asks callers to open their next connection elsewhere.
func (g *Gate) Stop() { g.stopping.Store(true) }

// keyShare is the share of Bounds.Revoke up to which the word of the store may be
// old: what is left is for the request to reach its upstream.
const keyShare = 0.8

// flight is one request on its way.
type flight struct {
	gate    *Gate
	w       http.ResponseWriter
	r       *http.Request
	head    exchange.RequestHead
	route   *route.Route
	holder  *route.Workspace
	service route.ServiceID
	body    []byte
	// keyed is set where callers prove themselves by a key.
	keyed   bool
	arrived clock.Milli
	// deadline is when the final answer is due.
	deadline    clock.Milli
	fingerprint uint64
	// story is what the log line at the end tells.
	story story
	// begun is set once a byte of the answer went to the caller.
	begun bool
	// last is the id of the last event that the caller has whole.
	last  string
	avoid []decide.UpstreamID
}

// ServeHTTP serves one request.
func (g *Gate) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	x := &flight{gate: g, w: w, r: r, arrived: g.Clock.Now()}
	if g.stopping.Load() {
		w.Header().Set("Connection", "close")
	}
	err := x.serve()
	if err != nil && !x.begun {
		x.refuse(err)
	}
	x.logEnd(err)
	if err != nil && x.begun {
		// Only a broken connection tells the caller that its answer is not whole.
		panic(http.ErrAbortHandler)
	}
}

// serve admits and runs the request. An error has not been answered yet.
func (x *flight) serve() *fault.Error {
	if err := x.admit(); err != nil {
		return err
	}
	release, err := x.room()
	if err != nil {
		return err
	}
	defer release()
	if err := x.read(); err != nil {
		return err
	}
	x.fingerprint = x.hash()
	x.story.read = x.passed()
	ctx, cancel := context.WithDeadlineCause(x.r.Context(), x.clockDeadline(), errDeadline)
	defer cancel()
	return x.run(ctx)
}

// passed is the time since the request's arrival.
func (x *flight) passed() clock.Milli { return x.gate.Clock.Now() - x.arrived }

// admit finds the route and proves the workspace.
func (x *flight) admit() *fault.Error {
	g := x.gate
	head, err := g.Codec.RequestHead(x.r.Header)
	x.head = head
	x.awaitKnowledge()
	v := g.Registry.View()
	if v.Table == nil || v.UpstreamsVerified == 0 {
		return fault.New(fault.Unavailable, "no document is known yet").WithRetry(startRetry)
	}
	x.story.revision, x.story.age = uint64(v.Table.Revision()), max(x.arrived-v.TableVerified, 0)
	if err != nil {
		return fault.New(fault.Malformed, "%v", err)
	}
	stale := x.story.age > g.bounds.Config
	path, _, _ := strings.Cut(x.r.RequestURI, "?")
	x.route = v.Table.Find(x.r.Host, path)
	if x.route == nil {
		return x.absent(stale, fault.New(fault.Unknown, "no route for %s%s", x.r.Host, path))
	}
	x.service = x.route.Pick(xxhash.Sum64String(head.ID))
	x.deadline = x.arrived + x.route.Timeout
	if head.TimeLeft > 0 {
		x.deadline = min(x.deadline, x.arrived+head.TimeLeft)
	}
	x.keyed = v.Table.KeyRequired()
	if !x.keyed {
		return nil
	}
	x.holder = v.Table.WorkspaceByKey(head.Key)
	if x.route.Public {
		return nil
	}
	if x.holder == nil {
		return x.absent(stale, fault.New(fault.Unauthorized, "no workspace holds this key"))
	}
	return x.fresh(v)
}

// absent answers what the document does not hold. A document that may be out of date proves nothing:
// the operator may have added the route or key since.
func (x *flight) absent(stale bool, err *fault.Error) *fault.Error {
	if stale {
		return fault.New(fault.Unavailable, "the document is too old to tell: %s", err.Text).WithRetry(startRetry)
	}
	return err
}

// fresh refuses a key that may have been withdrawn without our knowledge.
// The way to the store may be silent while the operator takes a key away, so what is known must be young enough each time that one is used.
func (x *flight) fresh(v *registry.View) *fault.Error {
	if !x.keyed || x.route.Public {
		return nil
	}
	age := x.gate.Clock.Now() - v.TableVerified
	if float64(age) > keyShare*float64(x.gate.bounds.Revoke) {
		return fault.New(fault.Unavailable, "the keys known here are %d ms old", age).WithRetry(startRetry)
	}
	if x.holder != nil && v.Table.WorkspaceByKey(x.head.Key) != x.holder {
		if x.holder = v.Table.WorkspaceByKey(x.head.Key); x.holder == nil {
			return fault.New(fault.Unauthorized, "the key was withdrawn")
		}
	}
	return nil
}

// hash is equal for requests with the same content.
func (x *flight) hash() uint64 {
	var d xxhash.Digest
	d.Reset()
	for _, s := range []string{x.r.Method, x.r.Host, x.r.RequestURI, string(x.workspace())} {
		_, _ = d.WriteString(s)
		_, _ = d.Write([]byte{0})
	}
	_, _ = d.Write(x.body)
	return d.Sum64()
}

// workspace is the team that is charged; empty on routes that need no key.
func (x *flight) workspace() decide.WorkspaceID {
	if x.holder == nil {
		return ""
	}
	return x.holder.ID
}
