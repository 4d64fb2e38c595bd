package tunnel

import (
	"context"
	"errors"
	"math/rand/v2"
	"net"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/phuslu/log"

	"snipeshift.example/daemon/guard"
	"snipeshift.example/lib/decide/path"
	"snipeshift.example/lib/dial"
	"snipeshift.example/lib/logline"
	"snipeshift.example/lib/peer"
)

// Needs are the dependencies of a Dialer.
type Needs struct {
	Clock     Clock
	Log       *log.Logger
	Members   Members
	Upstreams Upstreams
	// Direct opens a connection from this VM to an upstream. An error of class dial.ErrNoPath says neither anything of the
	// upstream nor of the path: this VM has no room for a connection.
	Direct dial.Dial
	// Peer opens a connection to the port for peers of another VM.
	Peer Dial
}

// Dialer opens connections to upstreams, directly or through other VMs. It is safe for concurrent use.
type Dialer struct {
	Needs

	mu    sync.Mutex
	table *path.Table
	// onHang is called once paths are lost whose connects get no answer.
	onHang  func()
	metrics *metrics
}

// NewDialer returns a dialer that connects directly until connects fail.
func NewDialer(n Needs) *Dialer {
	n.Direct = dial.WithCheckedEOF(n.Direct)
	d := &Dialer{Needs: n, table: path.New(n.Members.Self()), onHang: func() {}, metrics: newMetrics()}
	d.table.SetDomains(n.Upstreams.Domain)
	return d
}

// OnHang sets a function to be called when the paths are lost and connects get no answer, so that open
// connections carry nothing either. It must be called before the first Dial.
func (d *Dialer) OnHang(f func()) { d.onHang = f }

// Lost reports whether the direct paths of this VM to upstreams count as lost.
func (d *Dialer) Lost() bool { d.mu.Lock(); defer d.mu.Unlock(); return d.table.Lost() }

// lostTo reports whether the direct path of this VM to an upstream counts as lost, with those to all or to its domain.
func (d *Dialer) lostTo(address string) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.table.Lost() || d.table.DomainLost(address)
}

// Dial implements dial.Dial for addresses of upstreams. An error of class dial.ErrNoPath says nothing about the upstream;
// any other error but that of ctx means that the upstream takes no connection.
func (d *Dialer) Dial(ctx context.Context, network, address string) (net.Conn, error) {
	now := d.Clock.Now()
	d.mu.Lock()
	direct, isolated, down := d.table.Direct(now, address), d.table.Isolated(now), d.table.Down(now, address)
	d.mu.Unlock()
	switch {
	case direct:
		return d.directFirst(ctx, network, address)
	case down:
		return nil, errUnreachable
	case isolated:
		return d.lastResort(ctx, network, address, dial.ErrNoPath.New("no other VM could connect a moment ago"))
	}
	c, err := d.through(ctx, address, 1)
	if err == nil || !dial.ErrNoPath.Has(err) {
		return c, err
	}
	return d.lastResort(ctx, network, address, err)
}

// lastResort connects directly although the path counts as lost: it may be back, and no other VM can help.
func (d *Dialer) lastResort(ctx context.Context, network, address string, cause error) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, lastResortTimeout)
	defer cancel()
	c, err := d.connect(ctx, network, address)
	if err != nil {
		return nil, cause
	}
	return c, nil
}

// attempt is the result of one way to connect.
type attempt struct {
	conn net.Conn
	err  error
}

// directFirst connects directly, and through another VM if that fails or takes long. The first connection is
// returned. A direct connect that ends later is only recorded.
func (d *Dialer) directFirst(ctx context.Context, network, address string) (net.Conn, error) {
	direct := make(chan attempt, 1)
	go func() {
		c, err := d.connect(context.WithoutCancel(ctx), network, address)
		direct <- attempt{c, err}
	}()
	t := time.NewTimer(directWait)
	defer t.Stop()
	var directErr error
	select {
	case a := <-direct:
		if a.err == nil {
			return a.conn, nil
		}
		if dial.ErrNoPath.Has(a.err) {
			return nil, a.err
		}
		directErr = a.err
	case <-t.C:
	case <-ctx.Done():
		go closeLate(direct)
		return nil, ctx.Err()
	}
	if d.knownDown(address) {
		if directErr == nil {
			go closeLate(direct)
		}
		return nil, errUnreachable
	}
	if directErr == nil {
		c, err := d.through(ctx, address, 1)
		return d.directLate(ctx, address, direct, attempt{c, err})
	}
	c, err := d.through(ctx, address, verdicts)
	switch {
	case err == nil:
		d.recordBypass(address, directErr)
		return c, nil
	case dial.ErrNoPath.Has(err) && len(d.Members.Live()) > 1:
		return nil, err
	default:
		return nil, directErr
	}
}

// directLate chooses between a direct connect that takes long and the result of asking other VMs.
func (d *Dialer) directLate(ctx context.Context, address string, direct chan attempt, other attempt) (net.Conn, error) {
	if other.err == nil {
		// A connect that hangs fails a quarter of a second later; until then each further one would wait as well. If it
		// succeeds after all, that is recorded as any success.
		d.recordBypass(address, errNoAnswer)
		go func() {
			a := <-direct
			if a.err == nil {
				_ = a.conn.Close()
			} else if isRefusal(a.err) {
				d.recordBypass(address, a.err)
			}
		}()
		return other.conn, nil
	}
	if !dial.ErrNoPath.Has(other.err) {
		go closeLate(direct)
		return nil, other.err
	}
	select {
	case a := <-direct:
		if a.err != nil && len(d.Members.Live()) > 1 {
			return nil, other.err
		}
		return a.conn, a.err
	case <-ctx.Done():
		go closeLate(direct)
		return nil, ctx.Err()
	}
}

// closeLate closes a connection that is no longer wanted.
func closeLate(c chan attempt) {
	if a := <-c; a.err == nil {
		_ = a.conn.Close()
	}
}

// connect connects directly and records a success.
func (d *Dialer) connect(ctx context.Context, network, address string) (net.Conn, error) {
	c, err := d.Direct(ctx, network, address)
	if err != nil {
		return nil, err
	}
	d.mu.Lock()
	regained := d.table.Connected(d.Clock.Now(), address)
	d.mu.Unlock()
	if regained {
		d.Log.Info().Str(logline.Key, logline.Paths).Bool("lost", false).Msg("direct connects to upstreams work again")
	}
	return c, nil
}

// recordBypass records that another VM reaches an upstream that this VM does not.
func (d *Dialer) recordBypass(address string, err error) {
	if dial.ErrNoPath.Has(err) {
		return
	}
	d.mu.Lock()
	lost := d.table.Bypassed(d.Clock.Now(), address, isRefusal(err))
	d.mu.Unlock()
	if lost {
		d.noteLoss(err)
	}
}

// knownDown reports whether other VMs could not connect to the upstream either a moment ago.
func (d *Dialer) knownDown(address string) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.table.Down(d.Clock.Now(), address)
}

// noteLoss logs that the paths of this VM are lost.
func (d *Dialer) noteLoss(err error) {
	d.mu.Lock()
	domains := d.table.LostDomains()
	all := d.table.Lost()
	d.mu.Unlock()
	d.Log.Warn().Str(logline.Key, logline.Paths).Bool("lost", true).Bool("all", all).Strs("domains", domainNames(domains)).Err(err).
		Msg("this VM has lost its paths to upstreams; it connects through other VMs")
	if !isRefusal(err) {
		d.onHang()
	}
}

// isRefusal reports whether a connect was refused, not left without an answer.
func isRefusal(err error) bool { return errors.Is(err, syscall.ECONNREFUSED) }

// Run tests lost paths by direct connects until ctx ends.
func (d *Dialer) Run(ctx context.Context) error {
	guard.Every(ctx, testPeriod, func() {
		d.mu.Lock()
		due := d.table.TestDue(d.Clock.Now())
		domain, domainDue := d.table.DomainTestDue(d.Clock.Now())
		d.mu.Unlock()
		if due {
			d.test(ctx, "")
		}
		if domainDue {
			d.test(ctx, domain)
		}
	})
	return nil
}

// test connects directly to a random upstream of a domain, of any if that is empty.
func (d *Dialer) test(ctx context.Context, domain peer.Domain) {
	addresses := slices.DeleteFunc(d.Upstreams.Addresses(), func(a string) bool { return domain != "" && d.Upstreams.Domain(a) != domain })
	if len(addresses) == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, checkTimeout)
	defer cancel()
	c, err := d.connect(ctx, "tcp", addresses[rand.IntN(len(addresses))])
	if err == nil {
		_ = c.Close()
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if domain != "" {
		d.table.DomainTestFailed(domain)
		return
	}
	d.table.TestFailed(isRefusal(err))
}

// domainNames returns the names of domains in order.
func domainNames(ds []peer.Domain) []string {
	names := make([]string, len(ds))
	for i, d := range ds {
		names[i] = string(d)
	}
	slices.Sort(names)
	return names
}
