// Package registry maintains this VM's copy of the routing document and of the list of upstreams in
// the platform's store, and the age of that copy.
//
// A VM must enforce limits on the age of its copy even while the store is unreachable, rejects
// calls or answers slowly. So each part of the copy carries the latest instant at which it was
// verified as current. A VM that cannot reach the store itself copies the state of a peer that can.
package registry

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/phuslu/log"

	"snipeshift.example/daemon/changes"
	"snipeshift.example/lib/clock"
	"snipeshift.example/lib/decide"
	"snipeshift.example/lib/logline"
	"snipeshift.example/lib/peer"
	"snipeshift.example/lib/route"
)

// Store is the platform's store. A watch returns at the first change after a position, or without
// one when wait has passed.
type Store interface {
	Document(ctx context.Context) (*route.Document, route.Position, error)
	WatchDocument(ctx context.Context, after route.Position, wait clock.Milli) (*route.Document, route.Position, error)
	Upstreams(ctx context.Context) (route.UpstreamUpdate, route.Position, error)
	WatchUpstreams(ctx context.Context, after route.Position, wait clock.Milli) (route.UpstreamUpdate, route.Position, error)
}

// Peers calls net/rpc methods of other daemons.
type Peers interface {
	Call(ctx context.Context, address, method string, args, reply any) error
}

// Clock reads a clock that also advances while the VM is suspended.
type Clock interface{ Now() clock.Milli }

// Timing of reads of the store and of requests to peers.
const (
	// watchWait is how long a watch of the document waits at a VM that reads for others, or only
	// for itself. A change ends the watch at once. If the watch ends without a change, the document
	// is verified as current, so the wait bounds how old the verification of an API key can be, and
	// how long a hanging watch goes unnoticed. No other VM takes over until then, and all VMs must
	// learn of a leaving upstream within three seconds.
	watchWait = clock.Second
	// upstreamWatchWait is the wait of a watch of upstreams. No request depends on the age of the
	// list, so the wait only bounds how long a hanging watch goes unnoticed. Another reader
	// delivers updates meanwhile.
	upstreamWatchWait = 2500 * clock.Milli(1)
	// cutOffTTL is how long a member is not asked after it reported that it cannot reach the store.
	cutOffTTL = 2 * clock.Second
	// maxAsked is the maximum number of members that are asked in turn.
	maxAsked = 3
	// longWatchWait is how long a watch waits at a VM whose copy other VMs verify as current. A
	// change still ends it at once.
	longWatchWait = 15 * clock.Second
	// watchInterval is the minimum time between the starts of two watches, and busyWatchInterval
	// the same while consecutive watches end with updates. When all upstreams register at once,
	// each entry would otherwise cost one call of every VM. With the interval one answer carries
	// all updates that arrive within it, and the first update still arrives at once. The busy
	// interval and two layers of members that ask each other fit into the two seconds within which
	// a leaving upstream must be known.
	watchInterval     = 250 * clock.Milli(1)
	busyWatchInterval = 500 * clock.Milli(1)
	// retryWait is the pause after a failed call. The primary reader always uses it, since its
	// answers inform all other VMs that the store is back. Others double it up to maxRetryDoublings
	// times, to four seconds: API keys are accepted for that long without verification.
	retryWait         = 250 * time.Millisecond
	maxRetryDoublings = 4
	// retryWaitPerRank is the minimum pause per rank behind the readers. With it 300 VMs together
	// make about ten calls a second.
	retryWaitPerRank = 500 * time.Millisecond
	// maxRetryWait bounds the pause of a VM far behind the readers. That VM may lose its peers
	// during the pause and then has to read the store itself.
	maxRetryWait = 8 * time.Second
	// joinWait is about how long VMs that start together need to discover each other and to ask a
	// reader once.
	joinWait = 400 * time.Millisecond
	// defaultBootstrapWait is how long a starting VM waits for a peer to send its state before it
	// lists the store. A running peer that is named in the settings answers within 12 ms. When all
	// VMs start together no peer has any state, and requests that arrive meanwhile have a deadline
	// 300 ms later, which a longer wait would make them miss.
	defaultBootstrapWait = 30 * time.Millisecond
	// FirstBootstrapWait is the bootstrap wait for the first start of all VMs of a deployment.
	// There are no clients yet, and the wait suffices to discover the peers and to receive their
	// state. Without it 295 VMs that each list both kinds of objects make 590 calls.
	FirstBootstrapWait = clock.Second
	// bootstrapGrace is how long after the bootstrap wait a VM without a document still leaves
	// reading the first one to the members that it asks, as long as they answer.
	bootstrapGrace = 600 * clock.Milli(1)
	// bootstrapInterval is the time between two requests to peers until the document and the
	// upstreams are known.
	bootstrapInterval = 50 * time.Millisecond
	// outageHold is how long upstreams that the store no longer lists are retained after an outage
	// of the store. Their entries expire during the outage although the upstreams are alive, and
	// are written again within two seconds of its end. Without the hold all of them would be
	// removed at once.
	outageHold = 2200 * clock.Milli(1)
	// massRemovalHold is how long upstreams are retained if at least half of the upstreams of a
	// service disappear together. A VM that made no calls during an outage of the store, or only
	// had one long watch open, has not noticed the outage. The upstreams are alive and register
	// again within about a second. The hold is shorter than the two seconds after which an upstream
	// that left must receive no more requests.
	massRemovalHold = 1800 * clock.Milli(1)
	// massRemovalMin is the minimum number of upstreams of a service whose removal counts as a mass
	// removal.
	massRemovalMin = 2
	// entryTTL is how long an upstream must have sent no heartbeat before its entry expires: three
	// heartbeats of 1.2 s. A copy that is younger cannot have missed an expiry.
	entryTTL = 3600 * clock.Milli(1)
	// departureTTL is how long the departure of an upstream is remembered: longer than any message
	// of a peer can be in transit.
	departureTTL = 30 * clock.Second
)

// View is an immutable snapshot of the document and the upstreams.
type View struct {
	// Table is nil until a document is known.
	Table *route.Table
	// TableVerified is the latest instant at which Table was verified as current.
	TableVerified clock.Milli
	// Upstreams are the present upstreams by service. Those in an evacuated failure domain are leaving.
	Upstreams map[route.ServiceID][]route.Upstream
	// listed are the same upstreams as the store lists them, for peers.
	listed map[route.ServiceID][]route.Upstream
	// Evacuated are the evacuated failure domains, in order.
	Evacuated []route.Domain
	// UpstreamsVerified is the latest instant at which Upstreams were verified as current; zero
	// until a list is known.
	UpstreamsVerified clock.Milli
	// Generation increases when Upstreams or Table change.
	Generation uint64
}

// Upstream returns the first upstream of a service that matches, or nil.
func (v *View) Upstream(s route.ServiceID, match func(*route.Upstream) bool) *route.Upstream {
	us := v.Upstreams[s]
	for i := range us {
		if match(&us[i]) {
			return &us[i]
		}
	}
	return nil
}

// Registry follows the store. It is safe for concurrent use.
type Registry struct {
	store Store
	peers Peers
	clock Clock
	log   *log.Logger
	view  atomic.Pointer[View]
	// fetching is set while a fetch of a peer's state, triggered by a heartbeat, is in progress.
	fetching atomic.Bool

	mu            sync.Mutex
	table         *route.Table
	tableVerified clock.Milli
	// unreadable is set while the store's document cannot be parsed. storeBehind is set while the
	// store has an earlier revision than the one in force here.
	unreadable, storeBehind bool
	// era is the latest known era of the store. eraStart is when this VM learned of it; zero for
	// the first era.
	era      route.Era
	eraStart clock.Milli
	// peerDocument is closed once a peer has reported the revision of its document, and
	// peerRevision is the highest one reported. peerAnswered is set once any peer has sent its
	// version summary, awaitedPeer once awaitPeer has waited.
	peerAnswered, awaitedPeer atomic.Bool
	peerDocument              chan struct{}
	peerDocumentOnce          sync.Once
	peerRevision              route.Revision
	// unverified holds entries of a store restored from an older copy that contradict what was
	// known before the restore, until they are accepted.
	unverified map[decide.UpstreamID]route.Upstream
	// missingBefore holds the upstreams that the store no longer listed when the era began.
	missingBefore map[decide.UpstreamID]bool
	upstreams     map[decide.UpstreamID]route.Upstream
	// expiring holds upstreams that the store no longer lists but that are retained for a while,
	// with the instant of their removal.
	expiring map[decide.UpstreamID]clock.Milli
	// massRemoved holds the upstreams of the update being applied that disappear together with at
	// least half of their service.
	massRemoved map[decide.UpstreamID]bool
	// departed holds upstreams that were removed. A peer's list restores the same incarnation only if
	// the list has a later position in the same era than the removal.
	departed map[decide.UpstreamID]departure
	// unusable holds invalid entries, with the reason why each is unusable.
	unusable          map[decide.UpstreamID]string
	upstreamsVerified clock.Milli
	// position is the position in the store's history that upstreams reflects.
	position   route.Position
	digest     uint64
	generation uint64
	// unlogged are the changes of the list of upstreams that are not logged yet.
	unlogged []upstreamChange
	// evacuations are the evacuated failure domains.
	evacuations evacuations
	// changes computes what changed since the earlier list that a peer has.
	changes *changes.Log
	// fetchWhole is set after a peer's changes did not produce its list: the next request asks for
	// the whole list.
	fetchWhole    atomic.Bool
	unusableCount uint64
	// storeDown is set while calls of the store fail. storeBack is when the last outage
	// ended.
	storeDown bool
	storeBack clock.Milli
	// known is closed once both a document and a list of upstreams are known.
	known     chan struct{}
	knownOnce sync.Once
	// readers returns the members that read the store for all VMs; nil if each VM reads for itself.
	readers RosterFunc
	// lastAnswer is when the last answered request to a member was sent.
	lastAnswer clock.Milli
	// leadFeedFailing is set while the last call for the document failed.
	leadFeedFailing atomic.Bool
	// cutOff holds the members that could not reach the store or did not answer, with the instant
	// until which they are not asked.
	cutOff map[peer.VM]clock.Milli
	// bootstrapWait is how long this VM waits at its start for a peer to send its state.
	bootstrapWait time.Duration
	// bootstrapped is when the bootstrap wait ends.
	bootstrapped clock.Milli
	calls        calls
	// handover limits how many documents are sent to peers; packed caches the compressed document.
	handover handover
	packed   packed
	// watches holds the watches in progress by the name of their feed.
	watches map[string]watch
	// eras counts the observed changes of the store's era.
	eras atomic.Uint64
}

// watch is a watch in progress.
type watch struct {
	cancel context.CancelFunc
	long   bool
}

// departure is when an upstream was removed, its incarnation, and the position at which the store no
// longer listed it.
type departure struct {
	at       clock.Milli
	born     decide.Incarnation
	position route.Position
}

// before reports whether the upstream had departed before a position of the same era.
func (d departure) before(p route.Position) bool {
	return p.Era == d.position.Era && p.After(d.position)
}

// RosterFunc returns the current roster.
type RosterFunc func() Roster

// Roster describes which members read the store and which of them this VM asks.
type Roster struct {
	// Sources are the members that this VM asks. They are the members that watch the store and those
	// that stand in for them, in order of rank. In a large fleet they may be members that ask
	// these.
	Sources []peer.Member
	// Primary is set if this VM is the primary reader: its short watches verify for all VMs that
	// their copies are current.
	Primary bool
	// Rank is the position of this VM in the order in which VMs stand in for readers that cannot
	// reach the store.
	Rank int
	// Seed is set if the settings of other VMs name this VM. They ask it at their start, so it
	// lists the store at once.
	Seed bool
	// LargeFleet is set if the fleet is too large for each VM to watch the store. This VM then
	// receives updates from the members that it asks.
	LargeFleet bool
}

// New returns an empty registry. Run fills it and follows the store.
func New(s Store, p Peers, k Clock, l *log.Logger) *Registry {
	r := &Registry{
		store: s, peers: p, clock: k, log: l, known: make(chan struct{}), peerDocument: make(chan struct{}),
		upstreams: map[decide.UpstreamID]route.Upstream{}, expiring: map[decide.UpstreamID]clock.Milli{},
		cutOff:   map[peer.VM]clock.Milli{},
		departed: map[decide.UpstreamID]departure{}, unusable: map[decide.UpstreamID]string{}, watches: map[string]watch{}, unverified: map[decide.UpstreamID]route.Upstream{},
		changes: changes.NewLog(),
	}
	r.handover.clock = k
	r.SetBootstrapWait(clock.Of(defaultBootstrapWait))
	r.view.Store(&View{})
	return r
}

// SetBootstrapWait sets how long this VM waits at its start for a peer to send its state before it
// lists the store. It must be called before Run.
func (r *Registry) SetBootstrapWait(d clock.Milli) {
	r.bootstrapWait = d.Duration()
	r.bootstrapped = r.clock.Now() + d
}

// View returns the current view.
func (r *Registry) View() *View { return r.view.Load() }

// Known returns a channel that is closed once a document and a list of upstreams are known.
func (r *Registry) Known() <-chan struct{} { return r.known }

// publish stores a new view of the state. The lock must be held.
func (r *Registry) publish() {
	v := &View{
		Table: r.table, TableVerified: r.tableVerified, UpstreamsVerified: r.upstreamsVerified, Generation: r.generation,
		listed: map[route.ServiceID][]route.Upstream{},
	}
	if old := r.view.Load(); old.Generation == r.generation {
		v.Upstreams, v.listed, v.Evacuated = old.Upstreams, old.listed, old.Evacuated
	} else {
		for _, u := range r.upstreams {
			v.listed[u.Service] = append(v.listed[u.Service], u)
		}
		v.Upstreams, v.Evacuated = r.withEvacuations(v.listed), r.evacuatedDomains()
	}
	r.view.Store(v)
	if v.Table != nil && v.UpstreamsVerified > 0 {
		r.knownOnce.Do(func() { close(r.known) })
	}
}

// fromStore is the source of a document that this VM read from the store itself, and the cause of
// an era that an answer of the store revealed.
const fromStore = "store"

// learnDocument applies a document that was current at an instant. A revision below the one in
// force is never applied: the revision that clients observe must not decrease.
func (r *Registry) learnDocument(d *route.Document, at clock.Milli, from string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if from == fromStore {
		r.storeBehind = d.Revision < r.peerRevision || r.table != nil && d.Revision < r.table.Revision()
		if r.storeBehind && r.table == nil {
			return // a peer has a later document, which is being fetched
		}
	}
	if r.table != nil && d.Revision <= r.table.Revision() {
		if d.Revision == r.table.Revision() {
			r.unreadable = r.unreadable && from != fromStore
			r.confirmDocument(at)
		}
		return
	}
	t, err := route.Index(d)
	if err != nil {
		r.log.Error().Str(logline.Key, logline.Rejected).Uint64("revision", uint64(d.Revision)).Err(err).Msg("document rejected")
		return
	}
	r.log.Info().Str(logline.Key, logline.Applied).Uint64("revision", uint64(d.Revision)).Str("from", from).
		Int64("age", int64(r.clock.Now()-at)).Int("routes", len(d.Routes)).Msg("document applied")
	r.logEngines(d)
	r.table, r.tableVerified, r.unreadable = t, max(at, r.tableVerified), false
	r.generation++
	r.publish()
}

// logEngines logs the settings of engines that are new or changed, so that the log alone explains
// the decisions based on them. The lock must be held.
func (r *Registry) logEngines(d *route.Document) {
	for i := range d.Services {
		s := &d.Services[i]
		if s.Engine == nil {
			continue
		}
		if before := r.service(s.ID); before != nil && before.Engine != nil && *before.Engine == *s.Engine {
			continue
		}
		e := s.Engine
		r.log.Info().Str(logline.Key, logline.Engine).Str("service", string(s.ID)).Int("slots", e.Slots).Int64("memory", int64(e.Memory)).
			Float64("step", e.Step).Float64("writer", e.Writer).Float64("context", e.Context).Float64("speed", e.Read).Float64("pairs", e.Pairs).
			Int("stride", e.Stride).Float64("hop", e.Hop).Msg("engine settings of a service changed")
	}
}

// service returns the definition of a service in the document in force, or nil. The lock must be
// held.
func (r *Registry) service(id route.ServiceID) *route.Service {
	if r.table == nil {
		return nil
	}
	return r.table.Service(id)
}

// confirmDocument records that the document was still current at an instant. The lock must be held.
func (r *Registry) confirmDocument(at clock.Milli) {
	if at > r.tableVerified && !r.unreadable {
		r.tableVerified = at
		r.publish()
	}
}
