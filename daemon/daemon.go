package main

import (
	"context"
	"crypto/tls"
	"errors"
	"net"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/phuslu/log"
	"golang.org/x/sync/errgroup"

	"snipeshift.example/daemon/caller"
	"snipeshift.example/daemon/claim"
	"snipeshift.example/daemon/guard"
	"snipeshift.example/daemon/lease"
	"snipeshift.example/daemon/limit"
	"snipeshift.example/daemon/member"
	"snipeshift.example/daemon/orders"
	"snipeshift.example/daemon/pool"
	"snipeshift.example/daemon/quarantine"
	"snipeshift.example/daemon/settings"
	"snipeshift.example/lib/clock"
	"snipeshift.example/lib/decide"
	"snipeshift.example/lib/door"
	"snipeshift.example/lib/engine"
	"snipeshift.example/lib/peer"
	"snipeshift.example/lib/platform"
	"snipeshift.example/lib/timeline"
)

// Times of the daemon.
const (
	// dialTimeout bounds a connect to an upstream; the farthest is milliseconds away.
	dialTimeout = 2 * time.Second
	// headerTimeout bounds the reading of a request's header: a caller that
	// trickles it would hold a connection for nothing.
	headerTimeout = 5 * time.Second
	// headerLimit is where the server stops reading a header; up to there the
	// gate refuses one over its own limit with the error kind.
	headerLimit = 4 * caller.MaxHeaderBytes
	// idleTimeout closes callers' idle connections, so that a stopping daemon has few.
	idleTimeout = 2 * time.Minute
	// dutyEvery is the time between two looks at which pools are owned here.
	dutyEvery = 250 * time.Millisecond
	// goodbye bounds the last words to peers and store.
	goodbye = 3 * time.Second
)

// daemon is one life of a VM's daemon with all its parts.
type daemon struct {
	settings *settings.Settings
	log      *log.Logger
	clock    *clock.Clock
	// incarnation is the wall time of the start, so that a later life has a larger one.
	incarnation peer.Incarnation
	ring        *timeline.Ring
	book        *book
	dialer      *peer.Dialer
	store       *store
	members     *member.Members
	pause       *member.PauseDetector
	directory   *directory
	owner       *pool.Owner
	gate        *caller.Gate
	peers       *peer.Server
	quarantine  *quarantine.Quarantine
	limits      *limit.Limits
	door        *door.Endpoint
	engines     *engine.Client
	leases      *lease.Leases
	orders      *orders.Sender
	// state is all that is shared through the store and heartbeats.
	state *state
	// work is cancelled when the last caller is served.
	work    context.Context //nolint:containedctx // the life of the background work
	endWork context.CancelFunc
	// quiet is closed once no heartbeat is sent any more.
	quiet chan struct{}
	// stopping is set by the first signal or an operator's drain: the daemon is not ready any more.
	stopping atomic.Bool
	// drain is closed by an operator's drain.
	drain     chan struct{}
	drainOnce sync.Once
}

func newDaemon(s *settings.Settings) (*daemon, error) {
	k := clock.New()
	l := newLogger(s)
	dr, err := door.New(door.Files{Authority: s.TLS.CA, Certificate: s.TLS.Cert, Key: s.TLS.Key}, func(err error) {
		l.Error().Err(err).Msg("changed certificates cannot be used")
	})
	if err != nil {
		return nil, err
	}
	d := &daemon{
		settings: s, clock: k, incarnation: peer.Incarnation(k.Now()),
		log:    l,
		door:   dr,
		drain:  make(chan struct{}),
		quiet:  make(chan struct{}),
		book:   &book{},
		dialer: peer.NewDialer(dr.Dial),
		peers:  peer.NewServer(),
	}
	d.work, d.endWork = context.WithCancel(context.Background())
	d.ring = timeline.NewRing("snipeshiftd", string(s.Name), uint64(d.incarnation), timeline.DefaultSize, k)
	d.store = &store{Client: platform.NewClient(s.Platform, platform.DefaultTimeouts), ring: d.ring}
	self := peer.Member{VM: s.Name, Incarnation: d.incarnation, Domain: s.Domain, Address: s.Advertise, Operator: s.Contact}
	d.members = member.New(self, member.DefaultRules, d.dialer, member.NewSeedList(s.Peers, d.store), k)
	d.directory = newDirectory(d.members, k, d.ring)
	d.engines = engine.NewClient(dialTimeout)
	d.pause = member.NewPauseDetector(k, member.WallClock{}, pool.Lease, d.paused)
	d.leases = lease.New(d.store, k, lease.DefaultRules, d.pause, self)
	d.orders = orders.New(d.work, d.log, d.ring, d.book, d.engines, d.leases)
	d.owner = pool.New(d.work, k, d.log, d.ring, d.engines, d.book, pool.NewGateClient(d.directory, d.dialer), d.orders, decide.Epoch(d.incarnation))
	d.quarantine = quarantine.New(k, d.members, d.dialer)
	d.limits = limit.New(k, d.directory, d.dialer, peer.Gate(s.Name, d.incarnation))
	d.state = newState(d)
	d.gate = caller.New(caller.Dependencies{
		Clock: k, Log: d.log, Registry: d.book, Members: d.directory, Peers: d.dialer, Engines: d.engines,
		Claims: d.state.claims, Meter: d.state, Events: d.ring, Retries: caller.NewRetryBudgets(k), Suspects: d.quarantine, Limits: d.limits,
	}, s.Name, s.Domain, d.incarnation)
	d.members.Add(d.directory, d.state.follower, d.state.counters, d.quarantine)
	d.directory.summaries = d.owner.Summaries
	return d, d.register()
}

// register serves the receivers of the peer door.
func (d *daemon) register() error {
	var g errs
	g.add(d.peers.Register("Pool", d.owner))
	g.add(d.peers.Register("Gate", holds{d.gate}))
	g.add(d.peers.Register(quarantine.Name, quarantine.NewReceiver(d.quarantine)))
	g.add(d.peers.Register(claim.Name, claim.NewReceiver(d.state.claims)))
	g.add(d.peers.Register(limit.Name, limit.NewReceiver(d.limits)))
	g.add(d.peers.Register(member.Name, member.NewReceiver(d.members, d.state)))
	return g.err
}

// holds serves the one method of the gate that peers may call.
type holds struct{ gate *caller.Gate }

// Holds implements Gate.Holds.
func (h holds) Holds(args peer.HoldsArgs, reply *peer.HoldsReply) error {
	return h.gate.Holds(args, reply)
}

type errs struct{ err error }

func (e *errs) add(err error) { e.err = errors.Join(e.err, err) }

// paused gives every duty up after this process stood still.
func (d *daemon) paused(gap clock.Milli) {
	d.log.Warn().Int64("gap", int64(gap)).Msg("this process stood still; all duties are given up")
	d.ring.Add(timeline.Event{Kind: timeline.Paused})
	d.leases.Drop()
	d.owner.DiscardPools()
	d.members.Resume()
}

// run serves until ctx ends, then stops gracefully.
func (d *daemon) run(ctx context.Context) error {
	ls, err := d.listen()
	if err != nil {
		return err
	}
	callers := d.server(d.gate.Handler())
	operators := d.server(d.operatorHandler())
	var g errgroup.Group
	d.spawn(&g, "peer door", func() error { return d.peers.Serve(ls.peer) })
	d.spawn(&g, "caller door", func() error { return served(callers.Serve(ls.caller)) })
	d.spawn(&g, "operator door", func() error { return served(operators.Serve(ls.operator)) })
	d.spawn(&g, "heartbeats", func() error { return d.heartbeats() })
	d.spawn(&g, "pause", func() error { return d.pause.Run(d.work) })
	d.spawn(&g, "duties", func() error { d.duties(); return nil })
	d.spawn(&g, "list of VMs", func() error { d.watchList(); return nil })
	d.spawn(&g, "leases", func() error { return d.leases.Run(d.work) })
	d.spawn(&g, "limits", func() error { d.limits.Run(d.work); return nil })
	d.spawn(&g, "renewals", func() error { d.gate.Renew(d.work); return nil })
	d.state.run(d, &g)
	d.log.Info().Str("caller", ls.caller.Addr().String()).
		Str("operator", ls.operator.Addr().String()).Str("peer", ls.peer.Addr().String()).Msg("started")
	d.ring.Add(timeline.Event{Kind: timeline.Started})
	select {
	case <-ctx.Done():
	case <-d.drain:
	case <-d.work.Done():
	}
	d.stop(callers)
	_ = operators.Close()
	_ = ls.peer.Close()
	d.peers.Close()
	d.dialer.Close()
	return g.Wait()
}

// spawn runs a part; when it fails the daemon stops.
func (d *daemon) spawn(g *errgroup.Group, name string, f func() error) {
	g.Go(func() error {
		defer guard.ReportPanic(d.log, name)
		err := f()
		if err != nil {
			d.log.Error().Str("part", name).Err(err).Msg("part failed")
			d.endWork()
		}
		return err
	})
}

// heartbeats go on until all callers are served: peers must see a stopping
// member as long as it holds grants.
func (d *daemon) heartbeats() error {
	defer close(d.quiet)
	return d.members.Run(d.work)
}

// stop is the planned stop: it cuts off no request.
//
// First this VM says that it is not ready and stops being an owner, then it
// still takes requests for as long as the balancer may need to notice, then it
// closes its listener and waits for every request in work, however long its
// allowed time is.
func (d *daemon) stop(callers *http.Server) {
	d.log.Info().Msg("stopping")
	d.ring.Add(timeline.Event{Kind: timeline.Stopping})
	d.stopping.Store(true)
	d.members.Stop()
	d.gate.Stop()
	d.owner.HandOver()
	t := time.NewTimer(d.settings.Grace.Duration())
	<-t.C
	if err := callers.Shutdown(context.Background()); err != nil {
		d.log.Warn().Err(err).Msg("callers' door")
	}
	ctx, cancel := context.WithTimeout(context.Background(), goodbye)
	defer cancel()
	d.state.flush(ctx)
	d.endWork()
	d.leave(ctx)
	d.log.Info().Msg("stopped")
}

// leave tells the members that this one is gone, once the last heartbeat is over:
// a beat in flight keeps the goodbye to its receiver from being sent, and that one would
// wait for seconds before it takes this VM for gone.
func (d *daemon) leave(ctx context.Context) {
	select {
	case <-d.quiet:
		d.members.Leave(ctx)
	case <-ctx.Done():
	}
}

// duties keeps the pools that are owned here open, and lets go of others.
func (d *daemon) duties() {
	var seen roster
	guard.Every(d.work, dutyEvery, func() {
		d.pause.Check()
		owned := d.owned()
		d.record(seen.see(d.members.Live(), d.settings.Name))
		d.record(seen.own(owned))
		d.owner.SetOwned(owned)
		d.orders.RequestLeases(owned)
	})
}

func (d *daemon) record(events []timeline.Event) {
	for _, e := range events {
		d.ring.Add(e)
	}
}

// owned lists the pools that rendezvous hashing gives to this VM now.
func (d *daemon) owned() []peer.PoolID {
	x, ok := d.book.Index()
	if !ok || d.stopping.Load() {
		return nil
	}
	var ids []peer.PoolID
	for _, id := range x.Pools() {
		if ms := d.directory.Owners(id); len(ms) > 0 && ms[0].VM == d.settings.Name {
			ids = append(ids, id)
		}
	}
	return ids
}

// listeners are the three doors.
type listeners struct{ caller, operator, peer net.Listener }

// listen opens the doors. Without certificates the peer and operator doors bind
// to loopback only: whoever reaches them could drain VMs and read who asks what.
func (d *daemon) listen() (ls listeners, err error) {
	ctx := context.Background()
	if !d.door.Secure() {
		d.log.Warn().Msg("no certificates in the settings: the peer and operator doors bind to loopback only")
	}
	if ls.operator, err = d.door.Listen(ctx, d.settings.Operator); err != nil {
		return ls, err
	}
	if ls.peer, err = d.door.Listen(ctx, d.settings.Peer); err != nil {
		return ls, err
	}
	var c net.ListenConfig
	if ls.caller, err = c.Listen(ctx, "tcp", d.settings.Caller); err != nil {
		return ls, err
	}
	t := d.settings.TLS
	if t.CallerCert == "" {
		return ls, nil
	}
	conf, err := door.ClientListenerConfig(t.CallerCert, t.CallerKey, func(err error) {
		d.log.Error().Err(err).Msg("changed certificate for callers cannot be used")
	})
	if err != nil {
		return ls, err
	}
	ls.caller = tls.NewListener(ls.caller, conf)
	return ls, nil
}

func (d *daemon) server(h http.Handler) *http.Server {
	return &http.Server{
		Handler: h, ReadHeaderTimeout: headerTimeout, MaxHeaderBytes: headerLimit, IdleTimeout: idleTimeout,
		ErrorLog: d.log.Std("", 0),
	}
}

func served(err error) error {
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return err
}

func newLogger(s *settings.Settings) *log.Logger {
	return &log.Logger{
		Level:      log.ParseLevel(s.Level),
		TimeFormat: "2006-01-02T15:04:05.000Z07:00",
		Context:    log.NewContext(nil).Str("vm", string(s.Name)).Value(),
		Writer:     &log.IOWriter{Writer: os.Stderr},
	}
}
