package main

import (
	"context"
	"net"
	"net/http"
	"os"
	"runtime/debug"
	"slices"
	"time"

	"github.com/phuslu/log"
	"golang.org/x/sync/errgroup"

	"snipeshift.example/daemon/guard"
	"snipeshift.example/daemon/insight"
	"snipeshift.example/daemon/listener"
	"snipeshift.example/daemon/member"
	"snipeshift.example/daemon/placer"
	"snipeshift.example/daemon/quarantine"
	"snipeshift.example/daemon/readers"
	"snipeshift.example/daemon/registry"
	"snipeshift.example/daemon/relay"
	"snipeshift.example/daemon/settings"
	"snipeshift.example/daemon/tunnel"
	"snipeshift.example/lib/accept"
	"snipeshift.example/lib/clock"
	"snipeshift.example/lib/decide/booking"
	"snipeshift.example/lib/decide/share"
	"snipeshift.example/lib/decide/span"
	"snipeshift.example/lib/decide/statement"
	"snipeshift.example/lib/dial"
	"snipeshift.example/lib/http1"
	"snipeshift.example/lib/logline"
	"snipeshift.example/lib/peer"
	"snipeshift.example/lib/route"
	"snipeshift.example/platform"
)

// Sizes and times of a VM in relay mode.
const (
	// memoryLimitShare is the part of the VM's memory that is set as the limit of the Go runtime.
	// The rest is needed because the kernel's buffers for connections count too.
	memoryLimitShare = 0.6
	// bodyMemoryShare is the part of the VM's memory that request bodies may occupy. Each body is
	// kept until its response has ended, and a second copy exists while it is sent.
	bodyMemoryShare = 0.25
	// upstreamDialTimeout bounds a connect to an upstream. The network delay is 3 ms. TCP retransmits a lost
	// SYN only after a second; by then the request is sent to another upstream.
	upstreamDialTimeout = 300 * time.Millisecond
	// peerDialTimeout bounds a connect to a peer for the same reason.
	peerDialTimeout = 300 * time.Millisecond
	// relayHeaderLimit bounds a request's header, in bytes; the document may set a lower limit.
	relayHeaderLimit = 64 << 10
	// closingReserve is the last part of the grace period, reserved for ending the process: all
	// responses must have been sent before.
	closingReserve = 700 * clock.Milli(1)
	// balancerDelay is how long the balancer may still send new requests to a VM that is no longer
	// ready: it checks readiness every second and acts on the second failed check in a row.
	balancerDelay = 2500 * clock.Milli(1)
	// milliCoresPerCore converts cores to thousandths of a core, the unit of peer.Member.Cores.
	milliCoresPerCore = 1000
	// logQueueLines bounds the log lines that are queued for writing; further ones are dropped.
	logQueueLines = 4096
)

// ownerBudgetShare is the part of the fleet's retry budget that one owner may grant. It is below a
// half because two owners of a service may overlap, and a budget window may span a change of owner.
const ownerBudgetShare = 0.4

// relayDaemon is one process of snipeshiftd in relay mode, which relays opaque requests.
type relayDaemon struct {
	settings  *settings.Relay
	logWriter *logline.Writer
	log       *log.Logger
	clock     clock.Boot
	dialer    *peer.Dialer
	members   *member.Members
	registry  *registry.Registry
	readers   *readers.Selector
	holders   *placer.Holders
	owner     *placer.Owner
	placer    *placer.Client
	gate      *relay.Gate
	peers     *peer.Server
	paths     *tunnel.Dialer
	tunnels   *tunnel.Server
	store     *platform.Store
	stopping  chan struct{}
	// clients accepts the connections of clients; nil before run has opened it.
	clients *listener.Listener
	// accepts counts the failures of all listeners, upstreams the connections to upstreams.
	accepts   *accept.Monitor
	upstreams *dial.Bound
	// startedAt is when this process started.
	startedAt clock.Milli
}

// runRelay serves until ctx ends, then stops gracefully.
func runRelay(ctx context.Context, s *settings.Relay) error {
	debug.SetMemoryLimit(int64(memoryLimitShare * float64(s.Memory) * (1 << 20)))
	d, err := newRelayDaemon(s)
	if err != nil {
		return err
	}
	return d.run(ctx)
}

func newRelayDaemon(s *settings.Relay) (*relayDaemon, error) {
	logWriter := logline.NewWriter(os.Stdout, logQueueLines)
	d := &relayDaemon{
		settings: s, logWriter: logWriter, log: relayLogger(s, logWriter), dialer: peer.NewDialer(dialPeer).WithOpenTimeout(peerDialTimeout), peers: peer.NewServer(),
		store: platform.NewStore(s.Store), stopping: make(chan struct{}),
	}
	logline.RedirectStandard(d.log)
	d.startedAt = d.clock.Now()
	d.accepts = accept.NewMonitor(d.clock, d.reportAccept, d.shed)
	connections := listener.QuotasOf(descriptors(s.Descriptors))
	incarnation := peer.Incarnation(time.Now().UnixMilli())
	self := peer.Member{VM: s.Name, Incarnation: incarnation, Domain: s.Domain, Address: s.Advertise, Cores: int(s.Cores * milliCoresPerCore), Link: int(s.Link)}
	d.members = member.New(self, member.RelayRules, d.dialer, staticSeeds(s.Peers), d.clock)
	d.registry = registry.New(d.store, d.dialer, d.clock, d.log)
	d.readers = readers.New(s.Name, slices.Contains(s.Peers, s.Advertise))
	d.registry.SetReaders(d.roster)
	if s.Bounds.Evacuation > 0 {
		d.registry.FollowEvacuations(d.store)
	}
	if s.First {
		d.registry.SetBootstrapWait(registry.FirstBootstrapWait)
	}
	q := quarantine.New(d.clock, d.members, d.dialer)
	d.holders = placer.NewHolders(d.members, d.clock, d.log)
	d.members.Add(d.registry, q, d.holders)
	var pooled *http1.Transport
	d.upstreams = dial.NewBound(func() int { return upstreamLimit(connections, d.clients) }, func() { pooled.CloseIdleConnections() })
	d.paths = tunnel.NewDialer(tunnel.Needs{
		Clock: d.clock, Log: d.log, Members: d.members, Upstreams: listedUpstreams{registry: d.registry, domains: &domainIndex[uint64]{}, binding: d.binding},
		Direct: d.upstreams.Dial(directDial(s)), Peer: dialPeer,
	})
	d.tunnels = tunnel.NewServer(d.paths)
	d.tunnels.SetLimit(connections.Tunnels)
	d.peers.ServeTunnels(d.tunnels.Serve)
	d.peers.SetLimit(connections.Peers)
	pooled = relay.NewTransport(d.paths.Dial)
	d.paths.OnHang(pooled.CloseIdleConnections)
	engines := platform.NewEngineClient(pooled)
	id := peer.Gate(s.Name, incarnation)
	d.owner = placer.NewOwner(placer.OwnerNeeds{
		Clock: d.clock, Knowledge: d.registry, Reports: engines, Gate: id, Name: string(s.Name), Alone: func() bool { return d.members.LastContact() == 0 },
		Holders: d.holders, Members: d.members, Peers: d.dialer, Log: d.log, Spread: s.Spread,
		Shares:   share.Settings{Enabled: s.Shares.Enabled, Weights: s.Shares.Weights},
		Bookings: booking.Limits{Horizon: s.Bookings.Horizon, Most: s.Bookings.Limit},
		Forecast: s.Forecast.Enabled,
		Locality: s.Locality.Enabled,
		Recovery: s.Recovery.Enabled,
	}, placer.Budget{
		Share: ownerBudgetShare * s.Budget.Share, Floor: ownerBudgetShare * s.Budget.Floor, Window: s.Budget.Window,
	})
	d.placer = placer.NewClient(d.clock, d.log, d.members, d.dialer, d.owner, id)
	unpooled := relay.NewTransport(d.paths.Dial)
	unpooled.DisableKeepAlives = true
	d.gate = relay.New(relay.Dependencies{
		Clock: d.clock, Log: d.log, Codec: platform.Codec{}, Placer: d.placer, Registry: d.registry, Domain: route.Domain(s.Domain),
		Suspects: q, Memory: engines, Pooled: pooled, Unpooled: unpooled, Paths: d.paths,
	}, relay.Bounds{Revoke: s.Bounds.Revoke, Config: s.Bounds.Config, BodyBytes: int64(bodyMemoryShare * float64(s.Memory) * (1 << 20)), ResponseBytes: int64(s.Responses) << 20}, id)
	var g errList
	g.add(d.peers.Register(member.Name, member.NewReceiver(d.members, noDocuments{})))
	g.add(d.peers.Register(quarantine.Name, quarantine.NewReceiver(q)))
	g.add(d.peers.Register(registry.Name, registry.NewReceiver(d.registry)))
	g.add(d.peers.Register(placer.Name, d.owner))
	return d, g.err
}

// hedgedDial opens connections to peers. It starts a second attempt in parallel if the first one
// has not succeeded after dial.HedgeDelay.
var hedgedDial = dial.Hedged((&net.Dialer{}).DialContext, dial.HedgeDelay)

// dialPeer implements peer.Dial.
func dialPeer(ctx context.Context, address string) (net.Conn, error) {
	return hedgedDial(ctx, "tcp", address)
}

// roster implements registry.Readers.
func (d *relayDaemon) roster() registry.Roster { return d.readers.Roster(d.members.Live()) }

// staticSeeds are the peer addresses of the settings.
type staticSeeds []string

// Seeds implements member.Seeds.
func (s staticSeeds) Seeds(context.Context) []string { return s }

// binding returns a statement that forbids this VM to send to an upstream now, if there is one.
func (d *relayDaemon) binding(s route.ServiceID, p span.Placement) (statement.Statement, bool) {
	return d.placer.Binding(s, p)
}

// listedUpstreams implements tunnel.Upstreams.
type listedUpstreams struct {
	registry *registry.Registry
	// domains is indexed by the generation of the view.
	domains *domainIndex[uint64]
	// binding returns a statement that forbids this VM to send to an upstream, if there is one.
	binding func(route.ServiceID, span.Placement) (statement.Statement, bool)
}

// Addresses implements tunnel.Upstreams.
func (l listedUpstreams) Addresses() []string {
	var addresses []string
	for _, us := range l.registry.View().Upstreams {
		for i := range us {
			if !us[i].Leaving {
				addresses = append(addresses, us[i].Address)
			}
		}
	}
	return addresses
}

// Domain implements tunnel.Upstreams.
func (l listedUpstreams) Domain(address string) peer.Domain {
	v := l.registry.View()
	return l.domains.domain(address, v.Generation, func(yield func(string, peer.Domain) bool) {
		for _, us := range v.Upstreams {
			for i := range us {
				if !yield(us[i].Address, peer.Domain(us[i].Domain)) {
					return
				}
			}
		}
	})
}

// Usable implements tunnel.Upstreams.
func (l listedUpstreams) Usable(address string) bool {
	for s, us := range l.registry.View().Upstreams {
		for i := range us {
			if us[i].Address != address || us[i].Leaving {
				continue
			}
			_, bound := l.binding(s, span.Placement{Upstream: us[i].ID, Born: us[i].Born})
			return !bound
		}
	}
	return false
}

// noDocuments is the empty source of documents: in relay mode peers fetch documents from the
// registry's receiver instead.
type noDocuments struct{}

// Newest implements member.Documents.
func (noDocuments) Newest() (peer.Revision, []byte) { return 0, nil }

// directDial returns the function that opens connections from this VM to upstreams.
func directDial(s *settings.Relay) dial.Dial {
	return dial.WithReceiveBuffer(dial.Hedged(injectFaults(s, (&net.Dialer{Timeout: upstreamDialTimeout}).DialContext), dial.HedgeDelay))
}

// run opens the listeners and serves until ctx ends or a component fails.
func (d *relayDaemon) run(ctx context.Context) error {
	work, end := context.WithCancel(context.Background())
	defer end()
	s := d.settings
	var c net.ListenConfig
	peers, err := c.Listen(ctx, "tcp", s.Peer)
	if err != nil {
		return err
	}
	callers, err := c.Listen(ctx, "tcp", s.Caller)
	if err != nil {
		return err
	}
	d.clients = listener.New(d.accepts.Listener(clientListener, callers), listener.LimitsOf(listener.Resources{Descriptors: descriptors(s.Descriptors), Memory: s.Memory << 20, Cores: s.Cores}), d.clock)
	d.clients.OnAccept(d.upstreams.Trim)
	clients := d.server(d.clients.Handler(d.gate))
	clients.ConnState = d.clients.Track
	ready := d.server(d.readiness())
	var g errgroup.Group
	start := func(name string, f func() error) {
		g.Go(func() error {
			defer guard.ReportPanic(d.log, name)
			err := f()
			if err != nil {
				d.log.Error().Str(logline.Key, logline.Failed).Str("part", name).Err(err).Msg("part failed")
				end()
			}
			return err
		})
	}
	start("peer door", func() error { return d.peers.Serve(d.accepts.Listener(peerListener, peers)) })
	start("caller door", func() error { return ignoreServerClosed(clients.Serve(d.clients)) })
	start("ready door", func() error { return d.listenAndServe(ctx, readyListener, ready, s.Ready) })
	servers := []*http.Server{ready}
	if s.Metrics != "" {
		m := d.server(d.insight().Handler())
		start("metrics door", func() error { return d.listenAndServe(ctx, metricsListener, m, s.Metrics) })
		servers = append(servers, m)
	}
	start("registry", func() error { return d.registry.Run(work) })
	start("heartbeats", func() error { return d.members.Run(work) })
	start("paths", func() error { return d.paths.Run(work) })
	start("placer", func() error { return d.placer.Run(work) })
	start("owner", func() error { return d.owner.Run(work) })
	d.log.Info().Str(logline.Key, logline.Started).Str("caller", s.Caller).Str("peer", s.Peer).Strs("peers", s.Peers).Msg("started")
	select {
	case <-ctx.Done():
	case <-work.Done():
	}
	d.stop(clients)
	end()
	for _, h := range servers {
		_ = h.Close()
	}
	_ = peers.Close()
	d.peers.Close()
	d.dialer.Close()
	d.log.Info().Str(logline.Key, logline.Stopped).Msg("stopped")
	return g.Wait()
}

// stop stops the daemon gracefully. The VM reports that it is not ready and hands over its services,
// and each response from then on asks the client to use another VM. Once the balancer has had time
// to notice, the listener is closed, and stop waits until all requests have been served or the grace
// period is almost over. Requests without a response are refused before that.
func (d *relayDaemon) stop(clients *http.Server) {
	d.log.Info().Str(logline.Key, logline.Stopping).Msg("stopping")
	balanced := d.clock.Now() + balancerDelay
	end := max(d.clock.Now()+d.settings.Bounds.Grace-closingReserve, balanced)
	close(d.stopping)
	d.members.Stop()
	d.owner.HandOver(context.Background())
	d.gate.Stop(end)
	d.tunnels.Stop()
	time.Sleep((balanced - d.clock.Now()).Duration())
	ctx, cancel := context.WithTimeout(context.Background(), (end - d.clock.Now()).Duration())
	defer cancel()
	defer d.tunnels.Drain(ctx)
	d.clients.Drain()
	if err := clients.Shutdown(ctx); err != nil {
		d.log.Warn().Str(logline.Key, logline.Stopping).Err(err).Msg("the grace period ended before all responses that had begun were complete; the remaining ones are cut off")
	}
}

// readiness returns the handler of the balancer's readiness check. The VM is ready while it has a
// current configuration document, a list of upstreams and room for connections, its listeners accept, and it is not stopping.
func (d *relayDaemon) readiness() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path != platform.ReadyPath {
			http.NotFound(w, r)
			return
		}
		if !d.ready() {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	})
}

func (d *relayDaemon) ready() bool {
	select {
	case <-d.stopping:
		return false
	default:
	}
	now := d.clock.Now()
	v := d.registry.View()
	return v.Table != nil && v.UpstreamsVerified > 0 && now-v.TableVerified < d.settings.Bounds.Revoke && !d.clients.Full() && !d.accepts.Failing()
}

// descriptors returns the number of descriptors that the process may open, the smaller one of the setting and of the
// system's limit; zero if neither is known.
func descriptors(setting int) int {
	limit := listener.Descriptors()
	if setting > 0 && (limit == 0 || setting < limit) {
		return setting
	}
	return limit
}

func (d *relayDaemon) server(h http.Handler) *http.Server {
	return &http.Server{
		Handler: h, ReadHeaderTimeout: headerTimeout, MaxHeaderBytes: relayHeaderLimit, IdleTimeout: idleTimeout,
		ErrorLog: d.log.Std("", 0),
	}
}

func (d *relayDaemon) listenAndServe(ctx context.Context, name string, s *http.Server, address string) error {
	var c net.ListenConfig
	l, err := c.Listen(ctx, "tcp", address)
	if err != nil {
		return err
	}
	bounded := listener.New(d.accepts.Listener(name, l), listener.OperatorLimits, d.clock)
	s.ConnState = bounded.Track
	return ignoreServerClosed(s.Serve(bounded))
}

// reportAccept logs that a listener has begun to fail.
func (d *relayDaemon) reportAccept(name string, err error) {
	d.log.Error().Str(logline.Key, logline.Accept).Str("listener", name).Err(err).Msg("a listener cannot accept connections; it tries again")
}

// shed makes room for all listeners once the process is out of descriptors. The limit may have been lowered since its start.
func (d *relayDaemon) shed() {
	n := descriptors(d.settings.Descriptors)
	d.clients.Shed(n)
	d.peers.SetLimit(listener.QuotasOf(n).Peers)
}

// insight returns the page that the metrics address serves.
func (d *relayDaemon) insight() *insight.Page {
	return insight.New(insight.Sources{
		VM: d.settings.Name, Clock: d.clock, Gate: d.gate, Registry: d.registry, Members: d.members, Holders: d.holders,
		Placer: d.placer, Owner: d.owner, Store: d.store, LogWriter: d.logWriter, Tunnels: d.tunnels, Clients: d.clients,
		Connections: connectionMetrics{d.accepts, d.peers, d.upstreams},
	})
}

// relayLogger writes JSON lines.
func relayLogger(s *settings.Relay, w log.Writer) *log.Logger {
	return &log.Logger{
		Level:      log.ParseLevel(s.Level),
		TimeFormat: "2006-01-02T15:04:05.000Z07:00",
		Context:    log.NewContext(nil).Str("vm", string(s.Name)).Value(),
		Writer:     w,
	}
}
