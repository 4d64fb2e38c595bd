// Package caller serves clients: the OpenAI-compatible HTTP API and the plain services behind it.
// The VM that receives a request is the request's gate: it acquires a grant from the owner of a
// pool, forwards data between the client and the upstream, and reports the outcome.
package caller

import (
	"context"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/phuslu/log"

	"snipeshift.example/daemon/claim"
	"snipeshift.example/daemon/guard"
	"snipeshift.example/daemon/statements"
	"snipeshift.example/lib/clock"
	"snipeshift.example/lib/decide"
	"snipeshift.example/lib/decide/gate"
	"snipeshift.example/lib/document"
	"snipeshift.example/lib/engine"
	"snipeshift.example/lib/fault"
	"snipeshift.example/lib/peer"
	"snipeshift.example/lib/timeline"
)

// Registry provides the current configuration. Index reports false while none is loaded.
type Registry interface {
	Index() (*document.Index, bool)
}

// Members looks up the owners of pools and what they last reported.
type Members interface {
	// Owners returns the members that may own a pool, the current owner first.
	Owners(id peer.PoolID) []peer.Member
	// Summary returns the latest known summary of a pool's load, false if none was received.
	Summary(id peer.PoolID) (decide.Summary, bool)
	// RecordSummary records the summary that an owner sent with its reply.
	RecordSummary(id peer.PoolID, s decide.Summary)
}

// Peers calls RPC methods of other VMs.
type Peers interface {
	Call(ctx context.Context, address, method string, args, reply any) error
}

// Claims prevents a non-repeatable request from running twice.
type Claims interface {
	// Claim tries to claim an idempotency key. Only the state ClaimWon permits sending the request.
	Claim(ctx context.Context, w decide.WorkspaceID, key, nonce string) (claim.Ticket, peer.ClaimReply)
	// Settle records the response to the request that won the claim.
	Settle(ctx context.Context, t claim.Ticket, status int, answer []byte) error
	// Release frees a claimed key whose request was not sent.
	Release(ctx context.Context, t claim.Ticket) error
}

// Meter counts the usage of workspaces.
type Meter interface {
	Count(w decide.WorkspaceID, u peer.Usage)
}

// Retries limits the retries on each pool to a budget.
type Retries interface {
	// RecordSuccess records a successful request, which adds a fraction of a retry to the budget.
	RecordSuccess(id peer.PoolID)
	// Allow takes one retry from the budget and reports whether one was available.
	Allow(id peer.PoolID) bool
}

// Suspects tracks the fingerprints (hashes) of requests that were running on an upstream when it
// crashed.
type Suspects interface {
	// Check returns whether a request is unsuspected, suspected or quarantined.
	Check(fingerprint uint64) gate.Verdict
	// Begin registers a run of a request. It returns false if the request must not start now.
	Begin(fingerprint uint64) bool
	// End undoes Begin. The parameter completed is true if the request got a complete response.
	End(fingerprint uint64, completed bool)
	// RecordCrash records that an upstream crashed, and returns after the other VMs had time to
	// learn of it.
	RecordCrash(fingerprint uint64, u decide.UpstreamID, incarnation decide.Incarnation)
}

// Limits enforces the token rates of workspaces.
type Limits interface {
	// Take requests tokens. It returns zero if they are granted, otherwise the time in milliseconds
	// after which to retry.
	Take(w decide.WorkspaceID, t decide.Tokens) clock.Milli
	// Refund returns tokens that a request did not use.
	Refund(w decide.WorkspaceID, t decide.Tokens)
}

// Dependencies holds the dependencies of a Gate.
type Dependencies struct {
	Clock    *clock.Clock
	Log      *log.Logger
	Registry Registry
	Members  Members
	Peers    Peers
	Engines  *engine.Client
	Claims   Claims
	Meter    Meter
	Events   *timeline.Ring
	// Retries bounds the additional load that retries after upstream failures may cause.
	Retries Retries
	// Suspects tracks requests that may have crashed upstreams.
	Suspects Suspects
	Limits   Limits
	// Local explains placements by the pools of this VM, for an operator whose question no owner answers.
	Local Explainer
}

// Gate serves the requests of clients on one VM.
type Gate struct {
	Dependencies
	vm            peer.VM
	domain        peer.Domain
	incarnation   peer.Incarnation
	requestSerial atomic.Uint64
	// acquireSerial numbers the acquire messages, so that a withdrawal names the one it cancels.
	acquireSerial atomic.Uint64
	metrics       *metrics
	// collected is what the responses that are collected hold beyond collectedEach, in bytes.
	collected atomic.Int64
	// statements holds the back-offs that upstreams have asked this VM for.
	statements *statements.Cache

	mu sync.Mutex
	// active holds every request in progress, with its grant if it has one.
	active map[decide.RequestID]*activeRequest
	// pending counts background work that outlives its request: recording the end of a claim,
	// returning a grant, canceling at an engine.
	pending sync.WaitGroup
	// stopping is set once, on shutdown. From then on each response closes its connection.
	stopping atomic.Bool
}

// activeRequest is a request in progress.
type activeRequest struct {
	// deadline is an instant on this VM's clock. Messages carry the time left instead.
	deadline clock.Milli
	// output counts the tokens received so far.
	output atomic.Int64
	// firstToken is the time from the grant to the first token in milliseconds, at least 1; zero
	// before the first token.
	firstToken atomic.Int64

	// granted is false while the request waits. The fields pool and grant are set together with it,
	// under Gate.mu.
	granted bool
	pool    peer.PoolID
	grant   decide.Grant
	// grantedAt is the time at which the grant was received.
	grantedAt clock.Milli
	// knownBy is the address of the owner that issued the grant or acknowledged it in a renewal.
	// It is empty if that owner has reported the grant as unknown since.
	knownBy string
}

// New returns the gate of one incarnation of a VM.
func New(n Dependencies, vm peer.VM, domain peer.Domain, i peer.Incarnation) *Gate {
	return &Gate{
		Dependencies: n, vm: vm, domain: domain, incarnation: i, active: map[decide.RequestID]*activeRequest{}, metrics: newMetrics(),
		statements: statements.New(n.Clock, n.Log),
	}
}

// ID returns the ID that names this gate in grants.
func (g *Gate) ID() decide.GateID { return peer.Gate(g.vm, g.incarnation) }

// Stop makes every further response close its connection, so that clients reconnect to other VMs.
func (g *Gate) Stop() { g.stopping.Store(true) }

// InFlight returns the number of requests in progress.
func (g *Gate) InFlight() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return len(g.active)
}

// Handler returns the HTTP handler for requests of clients.
func (g *Gate) Handler() http.Handler {
	m := http.NewServeMux()
	m.HandleFunc("GET /v1/models", g.models)
	m.HandleFunc("POST /v1/chat/completions", g.generate)
	m.HandleFunc("POST /v1/completions", g.generate)
	m.HandleFunc("/services/{name}/{rest...}", g.service)
	m.HandleFunc("/", g.unknownPath)
	return g.checkHeader(m)
}

// MaxHeaderBytes is the maximum size of a request's header in bytes. The limit of the HTTP server
// must be higher, since its own refusal carries no error kind.
const MaxHeaderBytes = 32 << 10

// checkHeader refuses a request whose header exceeds MaxHeaderBytes, before any other handler reads
// it.
func (g *Gate) checkHeader(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		size := len(r.Method) + len(r.RequestURI)
		for name, values := range r.Header {
			for _, v := range values {
				size += len(name) + len(v)
			}
		}
		if size > MaxHeaderBytes {
			w.Header().Set("Connection", "close")
			g.writeError(w, g.newRequestID(g.Clock.Now()), fault.New(fault.Header, "the header is over %d bytes", MaxHeaderBytes))
			return
		}
		next.ServeHTTP(w, r)
	})
}

// Holds reports to an owner which requests are still in progress here. Peers call it as the RPC
// method Gate.Holds.
func (g *Gate) Holds(args peer.HoldsArgs, reply *peer.HoldsReply) error {
	g.mu.Lock()
	defer g.mu.Unlock()
	reply.Held = make([]bool, len(args.Requests))
	for i, id := range args.Requests {
		_, reply.Held[i] = g.active[id]
	}
	return nil
}

// renewInterval is the time between two renewals of a grant. Five renewals fit into a lease.
const renewInterval = time.Second

// Renew renews the grants of requests in progress with the owners of their pools until ctx ends.
func (g *Gate) Renew(ctx context.Context) {
	guard.Every(ctx, renewInterval, func() {
		g.renewAll(ctx)
		g.forgetExpiredBackoffs()
	})
}

// renewAll sends one message per pool, each in its own goroutine, so that an owner that does not
// respond delays no other pool.
func (g *Gate) renewAll(ctx context.Context) {
	for pool, requests := range g.grantedByPool() {
		owners := g.Members.Owners(pool)
		if len(owners) == 0 {
			continue
		}
		go g.renewPool(ctx, pool, owners[0].Address, requests)
	}
}

// renewPool renews the grants of one pool with its owner. A full grant is sent only to an owner
// that neither issued nor adopted it yet: sending full grants every second takes 40 KB/s at the
// planned size, where the budget for control traffic is 7 KB/s.
func (g *Gate) renewPool(ctx context.Context, pool peer.PoolID, owner string, requests []*activeRequest) {
	ctx, cancel := context.WithTimeout(ctx, renewInterval)
	defer cancel()
	var reply peer.RenewReply
	err := g.Peers.Call(ctx, owner, "Pool.Renew", g.renewArgs(pool, owner, requests), &reply)
	if err != nil {
		g.Log.Debug().Str("pool", string(pool)).Err(err).Msg("owner did not answer grant renewal; will renew again")
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, a := range requests {
		a.knownBy = owner
	}
	for _, id := range reply.Unknown {
		if a := g.active[id]; a != nil {
			a.knownBy = ""
		}
	}
}

func (g *Gate) renewArgs(pool peer.PoolID, owner string, requests []*activeRequest) peer.RenewArgs {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.Clock.Now()
	args := peer.RenewArgs{Pool: pool, Gate: g.ID()}
	for _, a := range requests {
		first, output := clock.Milli(a.firstToken.Load()), decide.Tokens(a.output.Load())
		if a.knownBy == owner {
			args.Known = append(args.Known, peer.Renewal{Grant: a.grant.ID, Request: a.grant.Request, First: first, Output: output})
			continue
		}
		grant := a.grant
		grant.Deadline = a.deadline - now
		args.Grants = append(args.Grants, peer.Progress{Grant: grant, First: first, Output: output})
	}
	return args
}

// grantedByPool returns the requests that hold a grant, grouped by pool.
func (g *Gate) grantedByPool() map[peer.PoolID][]*activeRequest {
	g.mu.Lock()
	defer g.mu.Unlock()
	byPool := map[peer.PoolID][]*activeRequest{}
	for _, a := range g.active {
		if a.granted {
			byPool[a.pool] = append(byPool[a.pool], a)
		}
	}
	return byPool
}
