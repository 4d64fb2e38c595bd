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
	"snipeshift.example/daemon/member"
	"snipeshift.example/daemon/placer"
	"snipeshift.example/daemon/quarantine"
	"snipeshift.example/daemon/readers"
	"snipeshift.example/daemon/registry"
	"snipeshift.example/daemon/relay"
	"snipeshift.example/daemon/settings"
	"snipeshift.example/lib/clock"
	"snipeshift.example/lib/dial"
	"snipeshift.example/lib/logline"
	"snipeshift.example/lib/peer"
	"snipeshift.example/platform"
)

// Sizes and times of a relaying VM.
const (
	// memoryShare of the VM's memory is what the runtime may fill before it
	// collects at any cost: bytes that the kernel holds for connections count too.
	memoryShare = 0.6
	// bodiesShare of it is what requests' bodies may fill: each is held until its answer
	// is over, and once more while it is written.
	bodiesShare = 0.25
	// upstreamDial bounds a connect to an upstream, which is 3 ms away. The first lost
	// packet of a connect costs a second; another upstream is asked before.
	upstreamDial = 300 * time.Millisecond
	// peerDial bounds a connect to a peer for the same reason.
	peerDial = 300 * time.Millisecond
	// upstreamIdle closes connections to upstreams that nobody uses.
	upstreamIdle = 20 * time.Second
	// keptEach bounds the idle connections to one upstream: it takes some hundred from all VMs.
	keptEach = 16
	// relayHeader bounds a caller's header; the document may say less.
	relayHeader = 64 << 10
	// closing is what remains of the grace once the last answers must be out.
	closing = 700 * clock.Milli(1)
	// turnedAway is how long the balancer goes on sending new callers to a
	// VM that says no: it asks each second and believes the second no.
	turnedAway = 2500 * clock.Milli(1)
	// thousandths are in one core.
	thousandths = 1000
	// logQueue bounds the lines that wait for whoever reads them.
	logQueue = 4096
)

// budgetShare is the part of the fleet's budget of repeats that one owner gives
// out: two owners of a service may overlap, and a window may straddle the change.
const budgetShare = 0.4

// relayRules are the heartbeats of VMs a few milliseconds from each other. A dead
// owner costs each gate one unanswered question, so the table may be quicker to
// doubt than among domains that lose each other.
var relayRules = func() member.Rules {
	r := member.DefaultRules
	r.MeshPeriod, r.MaxMisses, r.RefutePeriods, r.MeshSeedPeriod = 400, 2, 2, 2*clock.Second
	// All VMs may start at once after a loss of power. Until they know each other
	// each places by itself, and all on the same engines.
	r.IsolatedSeedPeriod = 100
	return r
}()

// relayed is one life of a VM that relays opaque requests.
type relayed struct {
	settings *settings.Relay
	lines    *logline.Writer
	log      *log.Logger
	clock    clock.Boot
	dialer   *peer.Dialer
	members  *member.Members
	registry *registry.Registry
	readers  *readers.Selector
	holders  *placer.Holders
	owner    *placer.Owner
	placer   *placer.Client
	gate     *relay.Gate
	peers    *peer.Server
	store    *platform.Store
	stopping chan struct{}
	// born is when this life began.
	born clock.Milli
}

// runRelay serves until ctx ends, then stops gracefully.
func runRelay(ctx context.Context, s *settings.Relay) error {
	debug.SetMemoryLimit(int64(memoryShare * float64(s.Memory) * (1 << 20)))
	d, err := newRelayed(s)
	if err != nil {
		return err
	}
	return d.run(ctx)
}

func newRelayed(s *settings.Relay) (*relayed, error) {
	lines := logline.NewWriter(os.Stdout, logQueue)
	d := &relayed{
		settings: s, lines: lines, log: relayLogger(s, lines), dialer: peer.NewDialer(dialPeer).WithOpenTimeout(peerDial), peers: peer.NewServer(),
		store: platform.NewStore(s.Store), stopping: make(chan struct{}),
	}
	d.born = d.clock.Now()
	incarnation := peer.Incarnation(time.Now().UnixMilli())
	self := peer.Member{VM: s.Name, Incarnation: incarnation, Domain: s.Domain, Address: s.Advertise, Cores: int(s.Cores * thousandths), Link: int(s.Link)}
	d.members = member.New(self, relayRules, d.dialer, seeds(s.Peers), d.clock)
	d.registry = registry.New(d.store, d.dialer, d.clock, d.log)
	d.readers = readers.New(s.Name, slices.Contains(s.Peers, s.Advertise))
	d.registry.SetReaders(d.roster)
	if s.First {
		d.registry.SetBootstrapWait(registry.FirstBootstrapWait)
	}
	q := quarantine.New(d.clock, d.members, d.dialer)
	d.holders = placer.NewHolders(d.members, d.clock, d.log)
	d.members.Add(d.registry, q, d.holders)
	kept := upstreamTransport()
	engines := platform.NewEngineClient(kept)
	id := peer.Gate(s.Name, incarnation)
	d.owner = placer.NewOwner(placer.OwnerNeeds{
		Clock: d.clock, Knowledge: d.registry, Reports: engines, Gate: id, Name: string(s.Name), Alone: func() bool { return d.members.LastContact() == 0 },
		Holders: d.holders, Members: d.members, Peers: d.dialer, Log: d.log,
	}, placer.Budget{
		Share: budgetShare * s.Budget.Share, Floor: budgetShare * s.Budget.Floor, Window: s.Budget.Window,
	})
	d.placer = placer.NewClient(d.clock, d.log, d.members, d.dialer, d.owner, id)
	fresh := upstreamTransport()
	fresh.DisableKeepAlives = true
	d.gate = relay.New(relay.Dependencies{
		Clock: d.clock, Log: d.log, Codec: platform.Codec{}, Placer: d.placer, Registry: d.registry,
		Suspects: q, Memory: engines, Pooled: kept, Unpooled: fresh,
	}, relay.Bounds{Revoke: s.Bounds.Revoke, Config: s.Bounds.Config, BodyBytes: int64(bodiesShare * float64(s.Memory) * (1 << 20))}, id)
	var g errs
	g.add(d.peers.Register(member.Name, member.NewReceiver(d.members, noDocuments{})))
	g.add(d.peers.Register(quarantine.Name, quarantine.NewReceiver(q)))
	g.add(d.peers.Register(registry.Name, registry.NewReceiver(d.registry)))
	g.add(d.peers.Register(placer.Name, d.owner))
	return d, g.err
}

// hedged opens connections to peers.
var hedged = dial.Hedged((&net.Dialer{}).DialContext, dial.HedgeDelay)

// dialPeer implements peer.Dial.
func dialPeer(ctx context.Context, address string) (net.Conn, error) {
	return hedged(ctx, "tcp", address)
}

// roster implements registry.Readers.
func (d *relayed) roster() registry.Roster { return d.readers.Roster(d.members.Live()) }

// seeds are the addresses of the settings.
type seeds []string

// Seeds implements member.Seeds.
func (s seeds) Seeds(context.Context) []string { return s }

// noDocuments says that documents are fetched from the registry's receiver.
type noDocuments struct{}

// Newest implements member.Documents.
func (noDocuments) Newest() (peer.Revision, []byte) { return 0, nil }

func upstreamTransport() *http.Transport {
	return &http.Transport{
		DialContext:        relay.DialPoolHost(dial.Hedged((&net.Dialer{Timeout: upstreamDial}).DialContext, dial.HedgeDelay)),
		DisableCompression: true, MaxIdleConnsPerHost: keptEach, IdleConnTimeout: upstreamIdle,
		WriteBufferSize: 16 << 10,
	}
}

// run opens the doors and serves.
func (d *relayed) run(ctx context.Context) error {
	work, end := context.WithCancel(context.Background())
	defer end()
	s := d.settings
	var c net.ListenConfig
	peerDoor, err := c.Listen(ctx, "tcp", s.Peer)
	if err != nil {
		return err
	}
	callers := d.server(d.gate)
	ready := d.server(d.readiness())
	var g errgroup.Group
	part := func(name string, f func() error) {
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
	part("peer door", func() error { return d.peers.Serve(peerDoor) })
	part("caller door", func() error { return listenAndServe(ctx, callers, s.Caller) })
	part("ready door", func() error { return listenAndServe(ctx, ready, s.Ready) })
	servers := []*http.Server{ready}
	if s.Metrics != "" {
		m := d.server(d.insight().Handler())
		part("metrics door", func() error { return listenAndServe(ctx, m, s.Metrics) })
		servers = append(servers, m)
	}
	part("registry", func() error { return d.registry.Run(work) })
	part("heartbeats", func() error { return d.members.Run(work) })
	part("placer", func() error { return d.placer.Run(work) })
	part("owner", func() error { return d.owner.Run(work) })
	d.log.Info().Str(logline.Key, logline.Started).Str("caller", s.Caller).Str("peer", s.Peer).Strs("peers", s.Peers).Msg("started")
	select {
	case <-ctx.Done():
	case <-work.Done():
	}
	d.stop(callers)
	end()
	for _, h := range servers {
		_ = h.Close()
	}
	_ = peerDoor.Close()
	d.peers.Close()
	d.dialer.Close()
	d.log.Info().Str(logline.Key, logline.Stopped).Msg("stopped")
	return g.Wait()
}

// stop is the planned stop: it says that it is not ready, asks callers to go elsewhere
// with each answer, and closes once the balancer has noticed and all are served.
func (d *relayed) stop(callers *http.Server) {
	d.log.Info().Str(logline.Key, logline.Stopping).Msg("stopping")
	close(d.stopping)
	d.members.Stop()
	d.owner.HandOver(context.Background())
	d.gate.Stop()
	time.Sleep(turnedAway.Duration())
	left := max(d.settings.Bounds.Grace-turnedAway-closing, 0)
	ctx, cancel := context.WithTimeout(context.Background(), left.Duration())
	defer cancel()
	if err := callers.Shutdown(ctx); err != nil {
		d.log.Warn().Str(logline.Key, logline.Stopping).Err(err).Msg("some answers are cut off at the end of the grace")
	}
}

// readiness answers the balancer: this VM takes callers while it knows where to
// send them and is not about to stop.
func (d *relayed) readiness() http.Handler {
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

func (d *relayed) ready() bool {
	select {
	case <-d.stopping:
		return false
	default:
	}
	now := d.clock.Now()
	v := d.registry.View()
	return v.Table != nil && v.UpstreamsVerified > 0 && now-v.TableVerified < d.settings.Bounds.Revoke
}

func (d *relayed) server(h http.Handler) *http.Server {
	return &http.Server{
		Handler: h, ReadHeaderTimeout: headerTimeout, MaxHeaderBytes: relayHeader, IdleTimeout: idleTimeout,
		ErrorLog: d.log.Std("", 0),
	}
}

func listenAndServe(ctx context.Context, s *http.Server, address string) error {
	var c net.ListenConfig
	l, err := c.Listen(ctx, "tcp", address)
	if err != nil {
		return err
	}
	return served(s.Serve(l))
}

// insight is what the metrics address answers.
func (d *relayed) insight() *insight.Page {
	return insight.New(insight.Sources{
		VM: d.settings.Name, Clock: d.clock, Gate: d.gate, Registry: d.registry, Members: d.members, Holders: d.holders,
		Placer: d.placer, Owner: d.owner, Store: d.store, LogWriter: d.lines,
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
