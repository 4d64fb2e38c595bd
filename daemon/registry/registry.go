// Package registry follows what the platform's store says of routes and
// upstreams, and knows how old that word is.
//
// The word of the store is in force within bounds that a VM must keep although the
// way to the store may be silent, refused or slow. So each piece of knowledge
// carries the instant at which it was certainly the newest. A VM whose own way
// is shut takes the word of a peer whose way is open.
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

// Store is the platform's store.
type Store interface {
	Document(ctx context.Context) (*route.Document, route.Position, error)
	WatchDocument(ctx context.Context, after route.Position, wait clock.Milli) (*route.Document, route.Position, error)
	Upstreams(ctx context.Context) (route.UpstreamUpdate, route.Position, error)
	WatchUpstreams(ctx context.Context, after route.Position, wait clock.Milli) (route.UpstreamUpdate, route.Position, error)
}

// Peers calls methods of other daemons.
type Peers interface {
	Call(ctx context.Context, address, method string, args, reply any) error
}

// Clock reads a clock that goes on while the VM is suspended.
type Clock interface{ Now() clock.Milli }

// Times of following.
const (
	// watchWait is how long a watch of the document waits at a VM that reads for others, or for itself
	// alone. News ends it at once; its end without news proves that nothing has changed, so the wait bounds how
	// old the proof of a key grows and how long a watch that went silent goes unnoticed. Until then nobody
	// steps in, and an upstream that leaves must be known to all within three seconds.
	watchWait = clock.Second
	// newsWait is the same for upstreams. No request needs a proof of their age, so the wait only
	// bounds how long a watch that went silent goes unnoticed; another reader brings the news meanwhile.
	newsWait = 2500 * clock.Milli(1)
	// shutFor is how long a member is passed over that said that its way to the store is shut.
	shutFor = 2 * clock.Second
	// askedMost is how many members are asked in turn.
	askedMost = 3
	// longWait is how long a watch waits at a VM to which others prove that its
	// knowledge is new. News ends it at once all the same.
	longWait = 15 * clock.Second
	// newsEvery is the least time between two watches, and newsBusy the same once one piece of news has followed
	// the other. When all upstreams register at once, each entry would else cost a call of every VM; now what comes within
	// the time comes in one answer, and the first news still comes at once. The busy time and two layers of
	// members that ask each other stay within the two seconds in which a leaving upstream must be known.
	newsEvery = 250 * clock.Milli(1)
	newsBusy  = 500 * clock.Milli(1)
	// retryWait is the pause after a failed call. Members that read for all keep to it: the
	// store's return is known to all by their word. Others double it up to
	// retryDoublings times, to four seconds: as long as keys are served without proof.
	retryWait      = 250 * time.Millisecond
	retryDoublings = 4
	// retryRank is the least pause for each VM that stands nearer to the readers, so that three hundred VMs make
	// some ten calls a second together.
	retryRank = 500 * time.Millisecond
	// retryLongest bounds the pause of a VM far behind the readers. It may find itself cut off from its peers
	// meanwhile, and must read for itself then.
	retryLongest = 8 * time.Second
	// joinTime is about how long VMs that start together need to meet and to ask a reader once.
	joinTime = 400 * time.Millisecond
	// bootstrapTime is how long a VM that starts waits for a peer to hand over what it knows before it lists the store.
	// A peer of the settings that is up answers within 12 ms. Where all start together nobody knows anything, and requests that
	// come meanwhile are due 300 ms later: a longer wait would make them late.
	bootstrapTime = 30 * time.Millisecond
	// FirstBootstrapWait is the same wait at the first start of all VMs of a deployment: no caller is there yet, and it is time enough to
	// meet and to be told. 295 VMs that each list both kinds of objects make 590 calls.
	FirstBootstrapWait = clock.Second
	// bootstrapLimit is how long after this wait a VM without any document leaves it to the members that it asks to read
	// the first one, if they answer.
	bootstrapLimit = 600 * clock.Milli(1)
	// bootstrapPoll is the time between two questions meanwhile.
	bootstrapPoll = 50 * time.Millisecond
	// holdGone is how long upstreams that are missing are kept after the store
	// was away. Their entries lapse meanwhile though they live, and are back
	// within two seconds of its return; all would be taken for gone at once.
	holdGone = 2200 * clock.Milli(1)
	// massHold is how long upstreams are kept that vanish together with half of their service. A VM that had nothing to ask
	// while the store was away, or only a watch that waited, knows nothing of the outage; the upstreams live, and
	// register again within about a second. It is less than the two seconds after which one that left must get nothing.
	massHold = 1800 * clock.Milli(1)
	// massLeast is how many upstreams of a service make a mass.
	massLeast = 2
	// lapseLeast is how long upstreams must have been silent before their entries lapse: three
	// heartbeats of 1.2 s. Knowledge that is younger has missed no lapse.
	lapseLeast = 3600 * clock.Milli(1)
	// leftKept is how long it is remembered that an upstream has left: longer than any
	// peer's word may be on its way.
	leftKept = 30 * clock.Second
)

// View is one state of knowledge. It never changes.
type View struct {
	// Table is nil until a document is known.
	Table *route.Table
	// TableVerified is the instant at which Table was certainly the newest.
	TableVerified clock.Milli
	// Upstreams are those that are there, by service.
	Upstreams map[route.ServiceID][]route.Upstream
	// UpstreamsVerified is the instant at which Upstreams were certainly right; zero
	// until a list is known.
	UpstreamsVerified clock.Milli
	// Generation rises when Upstreams or Table change.
	Generation uint64
}

// Upstream finds an upstream of a service by its address or id; nil if there is none.
func (v *View) Upstream(s route.ServiceID, match func(*route.Upstream) bool) *route.Upstream {
	us := v.Upstreams[s]
	for i := range us {
		if match(&us[i]) {
			return &us[i]
		}
	}
	return nil
}

// Registry is safe for concurrent use.
type Registry struct {
	store Store
	peers Peers
	clock Clock
	log   *log.Logger
	view  atomic.Pointer[View]
	// fetching is set while a peer's knowledge is being fetched.
	fetching atomic.Bool

	mu      sync.Mutex
	table   *route.Table
	tableAt clock.Milli
	// unread is set while something that cannot be read stands in the place of the document, behind while the store
	// has an earlier one than is in force here.
	unread, behind bool
	// era is the latest one of the store that is known, and entered when it began as far as this VM knows; zero for the first one.
	era     route.Era
	entered clock.Milli
	// heard is closed once a peer has told of a document that it knows, told is the latest one of these.
	// answered is set once any peer has told anything, awaited once this VM has waited for one.
	answered, awaited atomic.Bool
	heard             chan struct{}
	heardOnce         sync.Once
	told              route.Revision
	// doubted holds entries of the copy that the store came back from and that say less than was known, until they are believed.
	doubted map[decide.UpstreamID]route.Upstream
	// missed holds the upstreams that were missing already when the era began.
	missed    map[decide.UpstreamID]bool
	upstreams map[decide.UpstreamID]route.Upstream
	// gone holds upstreams that the store no longer lists and that are kept for
	// a while, with the instant of their end.
	gone map[decide.UpstreamID]clock.Milli
	// mass holds those of the news being taken that vanish together with half of their service.
	mass map[decide.UpstreamID]bool
	// left holds upstreams that the store said are gone. A peer's word never brings one back
	// in the life that left: it may be older than it says.
	left map[decide.UpstreamID]leaver
	// unusable holds entries that name no upstream, with what is wrong with each.
	unusable    map[decide.UpstreamID]string
	upstreamsAt clock.Milli
	// position is the place in the store's history at which upstreams were right.
	position   route.Position
	digest     uint64
	generation uint64
	// changes tells what peers lack that have an earlier list of upstreams.
	changes *changes.Log
	// askAll is set once a peer's changes did not make its list: the next question is for all of it.
	askAll atomic.Bool
	barred uint64
	// lost is set while the store fails, back is when it answered again.
	lost bool
	back clock.Milli
	// known is closed once both a document and a list are known.
	known     chan struct{}
	knownOnce sync.Once
	// readers names those who read for all; nil where each VM reads for itself.
	readers RosterFunc
	// polled is when one of the members that this VM asks last answered.
	polled clock.Milli
	// failing is set while the last call for the document failed.
	failing atomic.Bool
	// shut holds members whose way to the store was shut, until an instant.
	shut map[peer.VM]clock.Milli
	// bootstrapWait is how long this VM waits at its start for a peer to hand over what it knows.
	bootstrapWait time.Duration
	// bootstrapped is when that wait ends.
	bootstrapped clock.Milli
	calls        calls
	// handover limits what this VM hands over whole, and packed is the document as it is handed over.
	handover handover
	packed   packed
	// watches holds the ends of the long watches under way.
	watches map[string]watch
	// eras counts the changes of the store's era that were noticed.
	eras atomic.Uint64
}

// watch is a watch under way.
type watch struct {
	end  context.CancelFunc
	long bool
}

// leaver is an upstream that left.
type leaver struct {
	at   clock.Milli
	born decide.Incarnation
}

// RosterFunc names the members that read the store for all.
type RosterFunc func() Roster

// Roster is who reads the store.
type Roster struct {
	// Sources are the members that this VM asks: those that keep watches and those that step in for them, in
	// this order, or in a large fleet some that ask these.
	Sources []peer.Member
	// Primary is set if this VM proves for all, by short watches, that what is known is new.
	Primary bool
	// Rank is the place of this VM in the order in which VMs step in for readers whose way to the store is shut.
	Rank int
	// Seed is set if the settings of others name this VM: they ask it at their start, so it lists the store at once.
	Seed bool
	// LargeFleet is set if the fleet is too large for a watch of this VM: news comes to it by those it asks.
	LargeFleet bool
}

// New returns a registry that knows nothing yet; Run follows the store.
func New(s Store, p Peers, k Clock, l *log.Logger) *Registry {
	r := &Registry{
		store: s, peers: p, clock: k, log: l, known: make(chan struct{}), heard: make(chan struct{}),
		upstreams: map[decide.UpstreamID]route.Upstream{}, gone: map[decide.UpstreamID]clock.Milli{},
		shut: map[peer.VM]clock.Milli{},
		left: map[decide.UpstreamID]leaver{}, unusable: map[decide.UpstreamID]string{}, watches: map[string]watch{}, doubted: map[decide.UpstreamID]route.Upstream{},
		changes: changes.NewLog(),
	}
	r.handover.clock = k
	r.SetBootstrapWait(clock.Of(bootstrapTime))
	r.view.Store(&View{})
	return r
}

// SetBootstrapWait sets how long this VM waits for a peer to hand over what it knows before it lists the store. It is called before Run.
func (r *Registry) SetBootstrapWait(d clock.Milli) {
	r.bootstrapWait = d.Duration()
	r.bootstrapped = r.clock.Now() + d
}

// View returns what is known now.
func (r *Registry) View() *View { return r.view.Load() }

// Known is closed once a document and a list of upstreams are known.
func (r *Registry) Known() <-chan struct{} { return r.known }

// publish makes a view of the state. The lock is held.
func (r *Registry) publish() {
	v := &View{
		Table: r.table, TableVerified: r.tableAt, UpstreamsVerified: r.upstreamsAt, Generation: r.generation,
		Upstreams: map[route.ServiceID][]route.Upstream{},
	}
	if old := r.view.Load(); old.Generation == r.generation {
		v.Upstreams = old.Upstreams
	} else {
		for _, u := range r.upstreams {
			v.Upstreams[u.Service] = append(v.Upstreams[u.Service], u)
		}
	}
	r.view.Store(v)
	if v.Table != nil && v.UpstreamsVerified > 0 {
		r.knownOnce.Do(func() { close(r.known) })
	}
}

// fromStore is the source of a document that the store gave to this VM itself.
const fromStore = "store"

// learnDocument takes a document that was the newest at an instant. One below
// what is known already is never taken: whoever saw a revision in force must not
// see it taken back.
func (r *Registry) learnDocument(d *route.Document, at clock.Milli, from string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if from == fromStore {
		r.behind = d.Revision < r.told || r.table != nil && d.Revision < r.table.Revision()
		if r.behind && r.table == nil {
			return // a peer's later one is on its way
		}
	}
	if r.table != nil && d.Revision <= r.table.Revision() {
		if d.Revision == r.table.Revision() {
			r.unread = r.unread && from != fromStore
			r.confirmDocument(at)
		}
		return
	}
	t, err := route.Index(d)
	if err != nil {
		r.log.Error().Str(logline.Key, logline.Rejected).Uint64("revision", uint64(d.Revision)).Err(err).Msg("document is not taken")
		return
	}
	r.log.Info().Str(logline.Key, logline.Applied).Uint64("revision", uint64(d.Revision)).Str("from", from).
		Int64("age", int64(r.clock.Now()-at)).Int("routes", len(d.Routes)).Msg("document is in force")
	r.logEngines(d)
	r.table, r.tableAt, r.unread = t, max(at, r.tableAt), false
	r.generation++
	r.publish()
}

// logEngines writes the data of engines that are new or changed, so that a log tells by itself what the decisions went by. The lock is held.
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
			Int("stride", e.Stride).Float64("hop", e.Hop).Msg("engines of a service are described anew")
	}
}

// service is what the document in force says of a service; nil for nothing. The lock is held.
func (r *Registry) service(id route.ServiceID) *route.Service {
	if r.table == nil {
		return nil
	}
	return r.table.Service(id)
}

// confirmDocument notes that the document was still the newest. The lock is held.
func (r *Registry) confirmDocument(at clock.Milli) {
	if at > r.tableAt && !r.unread {
		r.tableAt = at
		r.publish()
	}
}
