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
	"snipeshift.example/daemon/listener"
	"snipeshift.example/daemon/member"
	"snipeshift.example/daemon/orders"
	"snipeshift.example/daemon/pool"
	"snipeshift.example/daemon/quarantine"
	"snipeshift.example/daemon/settings"
	"snipeshift.example/daemon/tunnel"
	"snipeshift.example/lib/accept"
	"snipeshift.example/lib/clock"
	"snipeshift.example/lib/decide"
	"snipeshift.example/lib/dial"
	"snipeshift.example/lib/door"
	"snipeshift.example/lib/engine"
	"snipeshift.example/lib/peer"
	"snipeshift.example/lib/platform"
	"snipeshift.example/lib/timeline"
)

// Times of the daemon.
const (
	// dialTimeout bounds a connect to an upstream. The network delay to the farthest upstream is
	// only milliseconds.
	dialTimeout = 2 * time.Second
	// upstreamKeepAlive is the interval of keepalive probes on connections to upstreams.
	upstreamKeepAlive = 5 * time.Second
	// headerTimeout bounds the reading of a request's header: a client that sends its header
	// byte by byte would otherwise occupy a connection indefinitely.
	headerTimeout = 5 * time.Second
	// headerLimit is the header size, in bytes, at which the HTTP server stops reading. The gate
	// has a lower limit: it refuses headers between the two limits and names the kind of error
	// in its response.
	headerLimit = 4 * caller.MaxHeaderBytes
	// idleTimeout closes idle client connections, so that few are open when the daemon stops.
	idleTimeout = 2 * time.Minute
	// ownershipInterval is the time between two checks of which pools this VM owns.
	ownershipInterval = 250 * time.Millisecond
	// finalTimeout bounds the last writes to the store and the last messages to peers.
	finalTimeout = 3 * time.Second
)

// daemon is one process of snipeshiftd with all its components.
type daemon struct {
	settings *settings.Settings
	log      *log.Logger
	clock    *clock.Clock
	// incarnation is the wall time of the start, so that a later process has a larger one.
	incarnation peer.Incarnation
	ring        *timeline.Ring
	config      *config
	dialer      *peer.Dialer
	store       *recordedStore
	members     *member.Members
	pause       *member.PauseDetector
	directory   *directory
	// owner queues and places the requests of the pools that this VM owns.
	owner *pool.Owner
	// gate serves the requests of the clients that are connected to this VM.
	gate       *caller.Gate
	peers      *peer.Server
	quarantine *quarantine.Quarantine
	limits     *limit.Limits
	endpoint   *door.Endpoint
	// clients accepts the connections of clients; set by listen.
	clients *listener.Listener
	// paths opens connections to upstreams, directly or through other daemons; tunnels does so for them.
	paths   *tunnel.Dialer
	tunnels *tunnel.Server
	// accepts counts the failures of all listeners, upstreams the connections to upstreams.
	accepts   *accept.Monitor
	upstreams *dial.Bound
	engines   *engine.Client
	leases    *lease.Leases
	orders    *orders.Sender
	// unusableVMs is the number of unusable entries of the list of VMs that was logged last. Only watchVMList uses it.
	unusableVMs uint64
	// state is the state shared with other daemons through the store and heartbeats.
	state *sharedState
	// work is canceled when the last request has been served.
	work    context.Context //nolint:containedctx // the lifetime of the background work
	endWork context.CancelFunc
	// heartbeatsDone is closed once the last heartbeat has been sent.
	heartbeatsDone chan struct{}
	// stopping is set by the first signal or an operator's drain. From then on the daemon reports
	// that it is not ready.
	stopping atomic.Bool
	// drain is closed when an operator requests a drain.
	drain     chan struct{}
	drainOnce sync.Once
}

func newDaemon(s *settings.Settings) (*daemon, error) {
	k := clock.New()
	l := newLogger(s)
	endpoint, err := door.New(door.Files{Authority: s.TLS.CA, Certificate: s.TLS.Cert, Key: s.TLS.Key}, func(err error) {
		l.Error().Err(err).Msg("cannot load the changed certificates; the earlier ones stay in use")
	})
	if err != nil {
		return nil, err
	}
	d := &daemon{
		settings: s, clock: k, incarnation: peer.Incarnation(k.Now()),
		log:            l,
		endpoint:       endpoint,
		drain:          make(chan struct{}),
		heartbeatsDone: make(chan struct{}),
		config:         &config{},
		dialer:         peer.NewDialer(endpoint.Dial),
		peers:          peer.NewServer(),
	}
	d.work, d.endWork = context.WithCancel(context.Background())
	d.ring = timeline.NewRing("snipeshiftd", string(s.Name), uint64(d.incarnation), timeline.DefaultSize, k)
	d.store = &recordedStore{Client: platform.NewClient(s.Platform, platform.DefaultTimeouts), ring: d.ring}
	self := peer.Member{VM: s.Name, Incarnation: d.incarnation, Domain: s.Domain, Address: s.Advertise, Operator: s.Contact}
	d.members = member.New(self, member.DefaultRules, d.dialer, member.NewSeedList(s.Peers, d.store), k)
	d.directory = newDirectory(d.members, k, d.ring)
	shares := listener.QuotasOf(descriptors(s.Descriptors))
	d.accepts = accept.NewMonitor(k, d.reportAccept, d.shed)
	d.upstreams = dial.NewBound(func() int { return upstreamLimit(shares, d.clients) }, func() { d.engines.CloseIdle() })
	direct := dial.WithReceiveBuffer((&net.Dialer{Timeout: dialTimeout, KeepAlive: upstreamKeepAlive}).DialContext)
	d.paths = tunnel.NewDialer(tunnel.Needs{
		Clock: k, Log: l, Members: d.members, Upstreams: d.config, Direct: d.upstreams.Dial(direct), Peer: endpoint.Dial,
	})
	d.tunnels = tunnel.NewServer(d.paths)
	d.tunnels.SetLimit(shares.Tunnels)
	d.peers.ServeTunnels(d.tunnels.Serve)
	d.peers.SetLimit(shares.Peers)
	d.engines = engine.NewClient(d.paths.Dial)
	d.paths.OnHang(d.engines.CloseIdle)
	d.pause = member.NewPauseDetector(k, member.WallClock{}, pool.Lease, d.handlePause)
	d.leases = lease.New(d.store, k, lease.DefaultRules, d.pause, self)
	d.orders = orders.New(d.work, d.log, d.ring, d.config, d.engines, d.leases)
	d.owner = pool.New(d.work, k, d.log, d.ring, d.engines, d.config, pool.NewGateClient(d.directory, d.dialer), d.orders, decide.Epoch(d.incarnation))
	d.quarantine = quarantine.New(k, d.members, d.dialer)
	d.limits = limit.New(k, d.directory, d.dialer, peer.Gate(s.Name, d.incarnation))
	d.state = newState(d)
	d.gate = caller.New(caller.Dependencies{
		Clock: k, Log: d.log, Registry: d.config, Members: d.directory, Peers: d.dialer, Engines: d.engines,
		Claims: d.state.claims, Meter: d.state, Events: d.ring, Retries: caller.NewRetryBudgets(k), Suspects: d.quarantine, Limits: d.limits, Local: d.owner,
	}, s.Name, s.Domain, d.incarnation)
	d.members.Add(d.directory, d.state.follower, d.state.counters, d.quarantine)
	d.directory.summaries = d.owner.Summaries
	d.owner.CrashesElsewhere, d.owner.DocumentAge = d.directory.Crashes, d.state.follower.ContactAge
	return d, d.register()
}

// register registers the RPC receivers that peers call.
func (d *daemon) register() error {
	var g errList
	g.add(d.peers.Register("Pool", d.owner))
	g.add(d.peers.Register("Gate", gateReceiver{d.gate}))
	g.add(d.peers.Register(quarantine.Name, quarantine.NewReceiver(d.quarantine)))
	g.add(d.peers.Register(claim.Name, claim.NewReceiver(d.state.claims)))
	g.add(d.peers.Register(limit.Name, limit.NewReceiver(d.limits)))
	g.add(d.peers.Register(member.Name, member.NewReceiver(d.members, d.state)))
	return g.err
}

// gateReceiver exposes the one method of the gate that peers may call.
type gateReceiver struct{ gate *caller.Gate }

// Holds implements Gate.Holds.
func (h gateReceiver) Holds(args peer.HoldsArgs, reply *peer.HoldsReply) error {
	return h.gate.Holds(args, reply)
}

// errList collects errors.
type errList struct{ err error }

func (e *errList) add(err error) { e.err = errors.Join(e.err, err) }

// handlePause gives up all leases and pools after this process was paused, for example by a
// signal or because the VM was suspended: other VMs may have taken them over meanwhile.
func (d *daemon) handlePause(gap clock.Milli) {
	d.log.Warn().Int64("gap", int64(gap)).Msg("this process was paused; all leases and pools are given up")
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
	d.clients.OnAccept(d.upstreams.Trim)
	clients := d.clientServer(d.gate.Handler())
	operators := d.server(d.operatorHandler())
	operators.ConnState = ls.trackOperators
	var g errgroup.Group
	d.spawn(&g, "peer door", func() error { return d.peers.Serve(ls.peer) })
	d.spawn(&g, "caller door", func() error { return ignoreServerClosed(clients.Serve(ls.client)) })
	d.spawn(&g, "operator door", func() error { return ignoreServerClosed(operators.Serve(ls.operator)) })
	d.spawn(&g, "heartbeats", func() error { return d.heartbeats() })
	d.spawn(&g, "paths", func() error { return d.paths.Run(d.work) })
	d.spawn(&g, "pause", func() error { return d.pause.Run(d.work) })
	d.spawn(&g, "duties", func() error { d.watchOwnership(); return nil })
	d.spawn(&g, "list of VMs", func() error { d.watchVMList(); return nil })
	d.spawn(&g, "leases", func() error { return d.leases.Run(d.work) })
	d.spawn(&g, "limits", func() error { d.limits.Run(d.work); return nil })
	d.spawn(&g, "renewals", func() error { d.gate.Renew(d.work); return nil })
	d.state.run(d, &g)
	d.log.Info().Str("caller", ls.client.Addr().String()).
		Str("operator", ls.operator.Addr().String()).Str("peer", ls.peer.Addr().String()).Msg("started")
	d.ring.Add(timeline.Event{Kind: timeline.Started})
	select {
	case <-ctx.Done():
	case <-d.drain:
	case <-d.work.Done():
	}
	d.stop(clients)
	_ = operators.Close()
	_ = ls.peer.Close()
	d.peers.Close()
	d.dialer.Close()
	return g.Wait()
}

// spawn runs a component in a goroutine. The daemon stops when the component fails.
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

// heartbeats sends heartbeats until all requests have been served: peers must see a stopping
// member as long as it holds grants.
func (d *daemon) heartbeats() error {
	defer close(d.heartbeatsDone)
	return d.members.Run(d.work)
}

// stop stops the daemon gracefully, without cutting off any request.
//
// First the VM reports that it is not ready and hands over its pools. It goes on accepting
// requests for the grace period, in which the balancer notices. Then it closes its listener and
// waits for every running request, however long its deadline is.
func (d *daemon) stop(clients *http.Server) {
	d.log.Info().Msg("stopping")
	d.ring.Add(timeline.Event{Kind: timeline.Stopping})
	d.stopping.Store(true)
	d.members.Stop()
	d.gate.Stop()
	d.tunnels.Stop()
	d.owner.HandOver()
	t := time.NewTimer(d.settings.Grace.Duration())
	<-t.C
	d.clients.Drain()
	if err := clients.Shutdown(context.Background()); err != nil {
		d.log.Warn().Err(err).Msg("cannot shut down the listener for clients")
	}
	ctx, cancel := context.WithTimeout(context.Background(), finalTimeout)
	defer cancel()
	d.tunnels.Drain(ctx)
	d.state.flush(ctx)
	d.endWork()
	d.leave(ctx)
	d.log.Info().Msg("stopped")
}

// leave announces to the other members that this VM leaves, after the last heartbeat has ended.
// While a heartbeat to a member is in flight, the leave message to the same member is not sent, and
// that member would take seconds to detect that this VM is gone.
func (d *daemon) leave(ctx context.Context) {
	select {
	case <-d.heartbeatsDone:
		d.members.Leave(ctx)
	case <-ctx.Done():
	}
}

// watchOwnership checks periodically which pools this VM owns. It opens those pools, releases all
// others, and records changes of membership and ownership in the timeline.
func (d *daemon) watchOwnership() {
	var seen changeTracker
	guard.Every(d.work, ownershipInterval, func() {
		d.pause.Check()
		owned := d.ownedPools()
		d.recordEvents(seen.memberEvents(d.members.Live(), d.settings.Name))
		d.recordEvents(seen.poolEvents(owned))
		d.owner.SetOwned(owned)
		d.orders.RequestLeases(owned)
	})
}

func (d *daemon) recordEvents(events []timeline.Event) {
	for _, e := range events {
		d.ring.Add(e)
	}
}

// ownedPools lists the pools that rendezvous hashing currently assigns to this VM.
func (d *daemon) ownedPools() []peer.PoolID {
	x, ok := d.config.Index()
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

// listeners are the listeners for clients, operators and peers.
type listeners struct {
	client, operator, peer net.Listener
	// trackOperators is the ConnState hook of the server for operators.
	trackOperators func(net.Conn, http.ConnState)
}

// listen opens the listeners. Without certificates the listeners for peers and operators bind to
// loopback only: whoever can connect to them can drain VMs and read which workspace sends which
// requests.
func (d *daemon) listen() (ls listeners, err error) {
	ctx := context.Background()
	if !d.endpoint.Secure() {
		d.log.Warn().Msg("no certificates in the settings: the listeners for peers and operators bind to loopback only")
	}
	ls.operator, err = d.endpoint.ListenWrapped(ctx, d.settings.Operator, func(l net.Listener) net.Listener {
		bounded := listener.New(d.accepts.Listener(operatorListener, l), listener.OperatorLimits, d.clock)
		ls.trackOperators = bounded.Track
		return bounded
	})
	if err != nil {
		return ls, err
	}
	ls.peer, err = d.endpoint.ListenWrapped(ctx, d.settings.Peer, func(l net.Listener) net.Listener { return d.accepts.Listener(peerListener, l) })
	if err != nil {
		return ls, err
	}
	var c net.ListenConfig
	inner, err := c.Listen(ctx, "tcp", d.settings.Caller)
	if err != nil {
		return ls, err
	}
	d.clients = listener.New(d.accepts.Listener(clientListener, inner), listener.LimitsOf(listener.Resources{Descriptors: descriptors(d.settings.Descriptors)}), d.clock)
	ls.client = d.clients
	t := d.settings.TLS
	if t.CallerCert == "" {
		return ls, nil
	}
	conf, err := door.ClientListenerConfig(t.CallerCert, t.CallerKey, func(err error) {
		d.log.Error().Err(err).Msg("cannot load the changed certificate for clients; the earlier one stays in use")
	})
	if err != nil {
		return ls, err
	}
	ls.client = tls.NewListener(ls.client, conf)
	return ls, nil
}

// reportAccept logs that a listener has begun to fail.
func (d *daemon) reportAccept(name string, err error) {
	d.log.Error().Str("listener", name).Err(err).Msg("a listener cannot accept connections; it tries again")
}

// shed makes room for all listeners once the process is out of descriptors. The limit may have been lowered since its start.
func (d *daemon) shed() {
	n := descriptors(d.settings.Descriptors)
	d.clients.Shed(n)
	d.peers.SetLimit(listener.QuotasOf(n).Peers)
}

// clientServer returns the server of the listener for clients.
func (d *daemon) clientServer(h http.Handler) *http.Server {
	s := d.server(d.clients.Handler(h))
	s.ConnState = d.clients.Track
	return s
}

func (d *daemon) server(h http.Handler) *http.Server {
	return &http.Server{
		Handler: h, ReadHeaderTimeout: headerTimeout, MaxHeaderBytes: headerLimit, IdleTimeout: idleTimeout,
		ErrorLog: d.log.Std("", 0),
	}
}

// ignoreServerClosed drops the error that http.Server.Serve returns after a shutdown.
func ignoreServerClosed(err error) error {
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
