// Package relay implements the gate, the VM that holds the client's connection of a request, for
// requests whose bodies it does not interpret. The gate admits a request, asks the owner of the
// service (the VM that queues and places its requests) for a grant, sends the request to the
// granted upstream, checks the response, and retries on another upstream where the route allows.
// A Codec reads the header fields that the gate needs.
package relay

import (
	"context"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/phuslu/log"

	"snipeshift.example/daemon/placer"
	"snipeshift.example/daemon/registry"
	"snipeshift.example/lib/clock"
	"snipeshift.example/lib/decide"
	"snipeshift.example/lib/decide/blame"
	"snipeshift.example/lib/decide/gate"
	"snipeshift.example/lib/decide/span"
	"snipeshift.example/lib/decide/statement"
	"snipeshift.example/lib/exchange"
	"snipeshift.example/lib/fault"
	"snipeshift.example/lib/peer"
	"snipeshift.example/lib/route"
)

// Codec reads and writes the header fields of one protocol.
type Codec interface {
	// RequestHead reads the header of a client's request.
	RequestHead(h http.Header) (exchange.RequestHead, error)
	// Forward returns the header of the request to the upstream.
	Forward(from http.Header, s exchange.Send) http.Header
	// ResponseHead reads the header of an upstream's response to the request with this id.
	ResponseHead(resp *http.Response, id string) exchange.ResponseHead
	// Answer copies the header of an upstream's response into the response to the client.
	Answer(to, from http.Header)
	// Refuse writes the header of a refusal by the gate itself; retry is the Retry-After time.
	Refuse(to http.Header, id string, retry clock.Milli)
}

// Placer asks the owners of services for grants and passes the statements of upstreams on to them.
type Placer interface {
	Ask(ctx context.Context, s route.ServiceID, a span.Ask) (placer.AskReply, error)
	// FirstByte reports that the first byte of the response has arrived.
	FirstByte(id decide.RequestID)
	// End reports the end of the send under a grant, and the upstream at fault if it is not the leader.
	End(id decide.RequestID, o span.Outcome, culprit decide.UpstreamID)
	// Withdraw cancels an Ask that has not been answered.
	Withdraw(s route.ServiceID, id decide.RequestID)
	// RecordStatement records a statement that upstream u has made about itself in a response.
	RecordStatement(s route.ServiceID, u decide.UpstreamID, st statement.Statement)
	// PassToCarrier passes a statement on to the VM that carried the response.
	PassToCarrier(carrier peer.VM, s route.ServiceID, u decide.UpstreamID, st statement.Statement)
	// Binding returns a statement of an upstream that forbids this VM to send to it now, if there
	// is one.
	Binding(s route.ServiceID, p span.Placement) (statement.Statement, bool)
}

// Registry provides the routes and upstreams that this VM knows.
type Registry interface {
	View() *registry.View
	// Known returns a channel that is closed once routes and upstreams are available.
	Known() <-chan struct{}
}

// Suspects tracks requests that were running on an upstream when it crashed. Such a request may
// be the cause, and is quarantined after repeated crashes.
type Suspects interface {
	Check(fingerprint uint64) gate.Verdict
	// Begin reports whether the request may be sent now. A suspect must not run twice at a time.
	Begin(fingerprint uint64) bool
	// End reports the end of a send; whole is set if the client received a complete response.
	End(fingerprint uint64, whole bool)
	// RecordCrash reports that an upstream crashed while it ran the request.
	RecordCrash(fingerprint uint64, u decide.UpstreamID, born decide.Incarnation)
}

// Memory reserves and releases KV memory on engines.
type Memory interface {
	Reserve(ctx context.Context, address, id string, tokens decide.Tokens, hold clock.Milli) (exchange.Reserved, error)
	Release(ctx context.Context, address, id string) (exchange.Declared, error)
}

// Paths opens connections to upstreams, directly or through another VM.
type Paths interface {
	// Dial opens a connection as the transports do. An error of class dial.ErrNoPath says nothing about the
	// upstream.
	Dial(ctx context.Context, network, address string) (net.Conn, error)
}

// Clock reads a clock that continues while the VM is suspended.
type Clock interface{ Now() clock.Milli }

// Dependencies are the collaborators of a Gate.
type Dependencies struct {
	Clock    Clock
	Log      *log.Logger
	Codec    Codec
	Placer   Placer
	Registry Registry
	Suspects Suspects
	Memory   Memory
	// Pooled reuses connections to upstreams; Unpooled opens a connection for each request.
	Pooled, Unpooled http.RoundTripper
	Paths            Paths
	// Domain is the failure domain of this VM.
	Domain route.Domain
}

// Bounds are limits that the deployment sets. Times are in milliseconds.
type Bounds struct {
	// Revoke is the time within which a revoked key must be refused, even if the store cannot
	// be reached.
	Revoke clock.Milli
	// Config is the time within which a new document must be in force.
	Config clock.Milli
	// BodyBytes is the total size of the bodies of requests and responses that are buffered at a time, in bytes.
	BodyBytes int64
	// ResponseBytes is the size of the largest response of a plain service, in bytes.
	ResponseBytes int64
}

// Gate is the HTTP handler that serves clients.
type Gate struct {
	Dependencies
	bounds Bounds
	id     decide.GateID
	// started is the time at which this process started.
	started clock.Milli
	// serial counts the placement queries; it makes their ids unique within this process.
	serial atomic.Uint64
	// bodies is the total size of the bodies of requests and responses that are buffered, in bytes.
	bodies atomic.Int64
	// stop is the state of a planned stop.
	stop *stop
	// unknown are the names of response header fields that the codec does not recognize, unreadable
	// are fields whose values cannot be parsed. Each is logged once.
	unknown, unreadable nameSet
	metrics             *metrics
}

// New returns a gate. The id identifies this process: the VM and its incarnation.
func New(n Dependencies, b Bounds, id decide.GateID) *Gate {
	return &Gate{Dependencies: n, bounds: b, id: id, started: n.Clock.Now(), stop: newStop(), metrics: newMetrics()}
}

// keyAgeShare is the maximum age of the known keys as a share of Bounds.Revoke. The remainder is
// the time that the request needs to reach its upstream.
const keyAgeShare = 0.8

// request is one client request while the gate handles it.
type request struct {
	gate      *Gate
	w         http.ResponseWriter
	r         *http.Request
	head      exchange.RequestHead
	route     *route.Route
	workspace *route.Workspace
	service   route.ServiceID
	body      []byte
	// buffered is the number of bytes of bodies that this request counts for.
	buffered int64
	// keyRequired is set if clients authenticate by a key.
	keyRequired bool
	arrived     clock.Milli
	// deadline is the time by which the final response must be sent.
	deadline    clock.Milli
	fingerprint uint64
	// record collects the values of the log line that is written when the request ends.
	record record
	// started is set once the response to the client has begun.
	started bool
	// lastEventID is the id of the last event that was passed to the client completely.
	lastEventID string
	avoid       []decide.UpstreamID
	// carrier is the VM through which the current send goes; nil for a direct connection.
	carrier atomic.Pointer[peer.VM]
	// outlastStop lets the request go on after the end of a stop; it is called as the response begins.
	outlastStop func() bool
}

// ServeHTTP serves one request.
func (g *Gate) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	x := &request{gate: g, w: w, r: r, arrived: g.Clock.Now()}
	err := x.serve()
	if err != nil && !x.started {
		x.refuse(err)
	}
	x.logEnd(err)
	if err != nil && x.started {
		// Only a broken connection shows the client that its response is incomplete. net/http first writes what it has
		// buffered, which a client that does not read would hold up.
		_ = http.NewResponseController(w).SetWriteDeadline(time.Now())
		panic(http.ErrAbortHandler)
	}
	x.endWrites()
}

// serve admits and runs the request. If it returns an error, the error has not been sent to the
// client yet.
func (x *request) serve() *fault.Error {
	if err := x.admit(); err != nil {
		return err
	}
	release, err := x.reserveBody()
	if err != nil {
		return err
	}
	defer release()
	if err := x.readBody(); err != nil {
		return err
	}
	x.fingerprint = x.hash()
	x.record.read = x.elapsed()
	ctx, cancel := context.WithDeadlineCause(x.r.Context(), x.runtimeDeadline(), errDeadline)
	defer cancel()
	ctx, end := x.endAtStop(ctx)
	defer end()
	return x.run(ctx)
}

// elapsed returns the time since the request's arrival.
func (x *request) elapsed() clock.Milli { return x.gate.Clock.Now() - x.arrived }

// admit finds the route and checks the client's key.
func (x *request) admit() *fault.Error {
	g := x.gate
	head, err := g.Codec.RequestHead(x.r.Header)
	x.head = head
	x.awaitDocument()
	v := g.Registry.View()
	if v.Table == nil || v.UpstreamsVerified == 0 {
		return fault.New(fault.Unavailable, "no document is known yet").WithRetry(notReadyRetry)
	}
	x.record.revision, x.record.age = uint64(v.Table.Revision()), max(x.arrived-v.TableVerified, 0)
	if err != nil {
		return fault.New(fault.Malformed, "%v", err)
	}
	stale := x.record.age > g.bounds.Config
	path, _, _ := strings.Cut(x.r.RequestURI, "?")
	x.route = v.Table.Find(x.r.Host, path)
	if x.route == nil {
		return x.notFound(stale, fault.New(fault.Unknown, "no route for %s%s", x.r.Host, path))
	}
	x.service = x.route.Pick(xxhash.Sum64String(head.ID))
	x.deadline = x.arrived + x.route.Timeout
	if head.TimeLeft > 0 {
		x.deadline = min(x.deadline, x.arrived+head.TimeLeft)
	}
	x.keyRequired = v.Table.KeyRequired()
	if !x.keyRequired {
		return nil
	}
	x.workspace = v.Table.WorkspaceByKey(head.Key)
	if x.route.Public {
		return nil
	}
	if x.workspace == nil {
		return x.notFound(stale, fault.New(fault.Unauthorized, "no workspace holds this key"))
	}
	return x.checkKey(v)
}

// notFound returns the fault for a route or key that the document does not contain. If the document
// may be out of date, the fault is Unavailable instead: the operator may have added the entry since.
func (x *request) notFound(stale bool, err *fault.Error) *fault.Error {
	if stale {
		return fault.New(fault.Unavailable, "the document is too old to tell: %s", err.Text).WithRetry(notReadyRetry)
	}
	return err
}

// checkKey refuses a key that may have been revoked without this VM's knowledge. The operator can
// revoke a key while the store does not respond, so the age of the known keys is checked
// before each send.
func (x *request) checkKey(v *registry.View) *fault.Error {
	if !x.keyRequired || x.route.Public {
		return nil
	}
	age := x.gate.Clock.Now() - v.TableVerified
	if float64(age) > keyAgeShare*float64(x.gate.bounds.Revoke) {
		return fault.New(fault.Unavailable, "the keys known here are %d ms old", age).WithRetry(notReadyRetry)
	}
	if x.workspace != nil && v.Table.WorkspaceByKey(x.head.Key) != x.workspace {
		if x.workspace = v.Table.WorkspaceByKey(x.head.Key); x.workspace == nil {
			return fault.New(fault.Unauthorized, "the key was withdrawn")
		}
	}
	return nil
}

// hash returns the fingerprint of the request: method, host, URI, workspace and body.
func (x *request) hash() uint64 {
	var d xxhash.Digest
	d.Reset()
	for _, s := range []string{x.r.Method, x.r.Host, x.r.RequestURI, string(x.workspaceID())} {
		_, _ = d.WriteString(s)
		_, _ = d.Write([]byte{0})
	}
	_, _ = d.Write(x.body)
	return d.Sum64()
}

// workspaceID returns the workspace that is charged; empty if the request carries no known key.
func (x *request) workspaceID() decide.WorkspaceID {
	if x.workspace == nil {
		return ""
	}
	return x.workspace.ID
}

// sharedParts returns the parts of the prompt that other requests may share: all but the last. A request without a prompt
// has one part, its method and target.
func (x *request) sharedParts() []blame.Part {
	parts := x.head.Parts
	if len(parts) > 0 {
		return parts[:min(len(parts)-1, blame.MaxParts)]
	}
	if x.head.Prompt > 0 {
		return nil
	}
	return []blame.Part{blame.Part(xxhash.Sum64String(x.r.Method + " " + x.r.Host + x.r.RequestURI))}
}
