// Package caller is the door to callers: the OpenAI-compatible HTTP API and the
// plain services behind it. The daemon that takes a request is its gate: it asks
// the owner of a pool for a grant, streams between caller and upstream, and
// answers for the outcome.
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

// Registry gives the configuration in force; false while there is none yet.
type Registry interface {
	Index() (*document.Index, bool)
}

// Members knows who owns what.
type Members interface {
	// Owners returns the members that may own a pool, the owner first.
	Owners(id peer.PoolID) []peer.Member
	// Summary is the newest word on a pool; false when none was heard.
	Summary(id peer.PoolID) (decide.Summary, bool)
	// RecordSummary takes the word on a pool that came with its owner's answer.
	RecordSummary(id peer.PoolID, s decide.Summary)
}

// Peers calls methods of other daemons.
type Peers interface {
	Call(ctx context.Context, address, method string, args, reply any) error
}

// Claims keeps requests that must not be repeated from running twice.
type Claims interface {
	// Claim claims a key; only ClaimWon allows the dispatch.
	Claim(ctx context.Context, w decide.WorkspaceID, key, nonce string) (claim.Ticket, peer.ClaimReply)
	// Settle records the answer to a claim that was won.
	Settle(ctx context.Context, t claim.Ticket, status int, answer []byte) error
	// Release gives a key back, when nothing was sent.
	Release(ctx context.Context, t claim.Ticket) error
}

// Meter counts what workspaces use.
type Meter interface {
	Count(w decide.WorkspaceID, u peer.Usage)
}

// Retries is the retry budget of pools.
type Retries interface {
	// RecordSuccess notes a request that ended well; it earns a part of a retry.
	RecordSuccess(id peer.PoolID)
	// Allow takes a retry from the budget; false when there is none.
	Allow(id peer.PoolID) bool
}

// Suspects remembers the fingerprints of requests that were on an upstream when it died.
type Suspects interface {
	// Check tells how a request may run.
	Check(fingerprint uint64) gate.Verdict
	// Begin counts a run; false means that it must not start now.
	Begin(fingerprint uint64) bool
	// End undoes a Begin; whole tells that the request ran to its end.
	End(fingerprint uint64, whole bool)
	// RecordCrash records the death of an upstream, and returns once the other VMs had their time to hear of it.
	RecordCrash(fingerprint uint64, u decide.UpstreamID, born decide.Incarnation)
}

// Limits holds workspaces to their rates.
type Limits interface {
	// Take asks for tokens; zero means granted, otherwise it is when to come back.
	Take(w decide.WorkspaceID, t decide.Tokens) clock.Milli
	// Refund gives back tokens of a request that did not run.
	Refund(w decide.WorkspaceID, t decide.Tokens)
}

// Dependencies are the parts that a gate is built from.
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
	// Retries bounds how much work failures of upstreams may add.
	Retries Retries
	// Suspects remembers requests that killed upstreams.
	Suspects Suspects
	Limits   Limits
}

// Gate takes requests of callers.
type Gate struct {
	Dependencies
	vm          peer.VM
	domain      peer.Domain
	incarnation peer.Incarnation
	count       atomic.Uint64
	// asks numbers the questions to owners.
	asks    atomic.Uint64
	metrics *metrics
	// heard holds which upstreams want nothing from this VM for a while.
	heard *statements.Cache

	mu sync.Mutex
	// held is every request in work with its grant, if it has one.
	held map[decide.RequestID]*hold
	// settling counts what requests left to do beside their answers: ends of claims to
	// record, grants to return, engines to tell.
	settling sync.WaitGroup
	// stopping is set once; from then on answers close their connections.
	stopping atomic.Bool
}

// hold is a request in work.
type hold struct {
	// deadline is an instant of this clock; the grant carries spans.
	deadline clock.Milli
	// output counts the tokens that came so far.
	output atomic.Int64
	// first is the span from the grant to the first token, at least 1; zero before it came.
	first atomic.Int64

	// granted is false while the request waits; pool and grant are set with it, under Gate.mu.
	granted bool
	pool    peer.PoolID
	grant   decide.Grant
	// at is when the grant came.
	at clock.Milli
	// known is the address of the owner that knows the grant.
	known string
}

// New returns a gate of one life of a VM.
func New(n Dependencies, vm peer.VM, domain peer.Domain, i peer.Incarnation) *Gate {
	return &Gate{
		Dependencies: n, vm: vm, domain: domain, incarnation: i, held: map[decide.RequestID]*hold{}, metrics: newMetrics(),
		heard: statements.New(n.Clock, n.Log),
	}
}

// ID is the gate's id in grants.
func (g *Gate) ID() decide.GateID { return peer.Gate(g.vm, g.incarnation) }

// Stop makes every further answer close its connection, so that callers move to other VMs.
func (g *Gate) Stop() { g.stopping.Store(true) }

// InFlight counts requests in work.
func (g *Gate) InFlight() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return len(g.held)
}

// Handler returns the HTTP handler of the caller's address.
func (g *Gate) Handler() http.Handler {
	m := http.NewServeMux()
	m.HandleFunc("GET /v1/models", g.models)
	m.HandleFunc("POST /v1/chat/completions", g.generate)
	m.HandleFunc("POST /v1/completions", g.generate)
	m.HandleFunc("/services/{name}/{rest...}", g.service)
	m.HandleFunc("/", g.unknown)
	return g.checkHeader(m)
}

// MaxHeaderBytes is the longest header of a request in bytes. The server's own bound must
// be above it: what the server refuses gets no error kind.
const MaxHeaderBytes = 32 << 10

// checkHeader refuses a request whose header is over the limit, before anything reads it.
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
			g.refuse(w, g.newID(g.Clock.Now()), fault.New(fault.Header, "the header is over %d bytes", MaxHeaderBytes))
			return
		}
		next.ServeHTTP(w, r)
	})
}

// Holds tells an owner which requests are still in work here. It is the method
// Gate.Holds of the peer door.
func (g *Gate) Holds(args peer.HoldsArgs, reply *peer.HoldsReply) error {
	g.mu.Lock()
	defer g.mu.Unlock()
	reply.Held = make([]bool, len(args.Requests))
	for i, id := range args.Requests {
		_, reply.Held[i] = g.held[id]
	}
	return nil
}

// renewEvery is the time between two renewals: five fit into a lease.
const renewEvery = time.Second

// Renew presents live grants to the owners until ctx ends.
func (g *Gate) Renew(ctx context.Context) {
	guard.Every(ctx, renewEvery, func() {
		g.renew(ctx)
		g.forgetRests()
	})
}

// renew sends one message a pool, each on its own so that a silent owner holds up no other.
func (g *Gate) renew(ctx context.Context) {
	for pool, hs := range g.granted() {
		owners := g.Members.Owners(pool)
		if len(owners) == 0 {
			continue
		}
		go g.present(ctx, pool, owners[0].Address, hs)
	}
}

// present renews grants of one pool at an owner. A grant goes whole only to an
// owner that did not grant it and has not adopted it yet: whole grants each
// second cost 40 KB/s at the planned size, where control may take 7.
func (g *Gate) present(ctx context.Context, pool peer.PoolID, owner string, hs []*hold) {
	ctx, cancel := context.WithTimeout(ctx, renewEvery)
	defer cancel()
	var reply peer.RenewReply
	err := g.Peers.Call(ctx, owner, "Pool.Renew", g.renewal(pool, owner, hs), &reply)
	if err != nil {
		g.Log.Debug().Str("pool", string(pool)).Err(err).Msg("renewal not answered")
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, h := range hs {
		h.known = owner
	}
	for _, id := range reply.Unknown {
		if h := g.held[id]; h != nil {
			h.known = ""
		}
	}
}

func (g *Gate) renewal(pool peer.PoolID, owner string, hs []*hold) peer.RenewArgs {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.Clock.Now()
	args := peer.RenewArgs{Pool: pool, Gate: g.ID()}
	for _, h := range hs {
		first, n := clock.Milli(h.first.Load()), decide.Tokens(h.output.Load())
		if h.known == owner {
			args.Known = append(args.Known, peer.Renewal{Grant: h.grant.ID, Request: h.grant.Request, First: first, Output: n})
			continue
		}
		x := h.grant
		x.Deadline = h.deadline - now
		args.Grants = append(args.Grants, peer.Progress{Grant: x, First: first, Output: n})
	}
	return args
}

// granted lists the requests that hold a grant, by pool.
func (g *Gate) granted() map[peer.PoolID][]*hold {
	g.mu.Lock()
	defer g.mu.Unlock()
	out := map[peer.PoolID][]*hold{}
	for _, h := range g.held {
		if h.granted {
			out[h.pool] = append(out[h.pool], h)
		}
	}
	return out
}
