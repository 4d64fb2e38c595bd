package tunnel

import (
	"bufio"
	"context"
	"errors"
	"math/rand/v2"
	"net"
	"net/http"
	"net/url"
	"strings"
	"time"

	"github.com/zeebo/errs"

	"snipeshift.example/lib/dial"
	"snipeshift.example/lib/peer"
)

// errDeclined means that a VM can't tell whether the upstream takes connections.
var errDeclined = errors.New("the VM asked can't connect")

// errNoAnswer means that a VM or an upstream has not answered in time. It may be busy.
var errNoAnswer = errors.New("no answer in time")

// errUnreachable means that a VM that reaches other upstreams can't connect to this one.
var errUnreachable error = &net.OpError{Op: "dial", Net: "tcp", Err: errors.New("other VMs can't connect to the upstream either")}

// through connects through another VM, of which it asks a number at once. An error that is not of class dial.ErrNoPath means
// that the upstream takes no connection.
func (d *Dialer) through(ctx context.Context, address string, atOnce int) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, searchTimeout)
	defer cancel()
	s := &search{dialer: d, address: address, asked: map[peer.VM]bool{}, answers: make(chan answer), failedDomains: map[peer.Domain]bool{}}
	c, err := s.run(ctx, atOnce)
	d.recordSearch(s, err)
	return c, err
}

// recordSearch records what a search without a result says of the upstream or of this VM. A search in which a VM has not
// answered says nothing of this VM.
func (d *Dialer) recordSearch(s *search, err error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	switch {
	case errors.Is(err, errUnreachable):
		d.table.RecordDown(d.Clock.Now(), s.address)
	case dial.ErrNoPath.Has(err) && s.pending == 0:
		d.table.RecordIsolated(d.Clock.Now())
	}
}

// verdicts is how many VMs that reach other upstreams must fail to connect to one before it is at fault: each may have
// lost its path to that one as well. In smaller fleets it is at fault if more fail than can't tell.
const verdicts = 5

// verdictDomains is how many failure domains these VMs must be of, if there are as many: all VMs of one may lack the same
// path.
const verdictDomains = 2

// maxAsked bounds the VMs that are asked for one connect. With nine in ten VMs cut, one of so many probably is not.
const maxAsked = 24

// search is the search for a VM that connects to an upstream. Further VMs are asked while earlier ones have not
// answered.
type search struct {
	dialer  *Dialer
	address string
	asked   map[peer.VM]bool
	answers chan answer
	// pending counts the VMs that have not answered, failed those that reach other upstreams only, and declined
	// those that can't tell.
	pending, failed, declined int
	// failedDomains are the domains of the VMs counted in failed.
	failedDomains map[peer.Domain]bool
}

func (s *search) run(ctx context.Context, atOnce int) (net.Conn, error) {
	defer s.closePending()
	t := time.NewTicker(askInterval)
	defer t.Stop()
	more := true
	for range atOnce {
		more = more && s.askNext(ctx)
	}
	for s.pending > 0 && !(s.failed >= verdicts && s.enoughDomains()) {
		select {
		case a := <-s.answers:
			s.pending--
			if a.err == nil {
				return a.conn, nil
			}
			if errors.Is(a.err, errUnreachable) {
				s.failed++
				s.failedDomains[a.domain] = true
			} else {
				s.declined++
			}
			more = more && s.askNext(ctx)
		case <-t.C:
			more = more && s.askNext(ctx)
		case <-ctx.Done():
			return nil, s.failure()
		}
	}
	return nil, s.failure()
}

// failure returns the error of a search that found no VM.
func (s *search) failure() error {
	enough := s.failed >= verdicts || s.failed > s.declined && s.pending == 0
	if enough && s.enoughDomains() {
		return errUnreachable
	}
	return dial.ErrNoPath.New("%d other VMs were asked", len(s.asked))
}

// enoughDomains reports whether the VMs that failed are of enough domains for a verdict.
func (s *search) enoughDomains() bool {
	domains := map[peer.Domain]bool{}
	for _, m := range s.dialer.Members.Live() {
		domains[m.Domain] = true
	}
	return len(s.failedDomains) >= min(verdictDomains, len(domains))
}

// answer is the answer of one VM.
type answer struct {
	attempt
	domain peer.Domain
}

// askNext asks one more VM, if there is one.
func (s *search) askNext(ctx context.Context) bool {
	m, ok := s.dialer.nextCandidate(s.address, s.asked, s.declined)
	if !ok || ctx.Err() != nil || len(s.asked) >= maxAsked {
		return false
	}
	s.asked[m.VM] = true
	s.pending++
	go func() {
		c, err := s.dialer.ask(ctx, m, s.address)
		s.dialer.metrics.countAsk(err)
		s.answers <- answer{attempt{c, err}, m.Domain}
	}()
	return true
}

// closePending closes the connections that VMs still open.
func (s *search) closePending() {
	go func(n int) {
		for range n {
			if a := <-s.answers; a.err == nil {
				_ = a.conn.Close()
			}
		}
	}(s.pending)
}

// nextCandidate returns a VM that has not been asked for this connect. Each answer may name better ones.
func (d *Dialer) nextCandidate(address string, asked map[peer.VM]bool, declined int) (peer.Member, bool) {
	live := d.Members.Live()
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, m := range d.table.CandidatesFor(d.Clock.Now(), live, address, declined, rand.IntN) {
		if !asked[m.VM] {
			return m, true
		}
	}
	return peer.Member{}, false
}

// ask asks a VM to connect to an upstream and records what that says of the VM.
func (d *Dialer) ask(ctx context.Context, m peer.Member, address string) (net.Conn, error) {
	c, resp, err := d.connectRequest(ctx, m, address)
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.Clock.Now()
	switch {
	case errors.Is(ctx.Err(), context.Canceled):
		return nil, ctx.Err() // another VM has connected
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		d.table.Unanswered(now, m.VM)
		return nil, errNoAnswer
	case err != nil:
		d.table.Declined(now, m.VM, nil)
		return nil, err
	case resp.StatusCode == http.StatusOK:
		d.table.Carried(now, m.VM)
		c.directRefused = d.table.Refused()
		return c, nil
	case resp.StatusCode == http.StatusBadGateway:
		return nil, errUnreachable
	case resp.StatusCode == http.StatusServiceUnavailable:
		d.table.Declined(now, m.VM, carriersOf(resp.Header))
		return nil, errDeclined
	default:
		return nil, errs.New("CONNECT answered with status %d", resp.StatusCode)
	}
}

// connectRequest sends a CONNECT and reads the answer. The connection is closed unless the status is 200.
func (d *Dialer) connectRequest(ctx context.Context, m peer.Member, address string) (*Conn, *http.Response, error) {
	conn, err := d.Peer(ctx, m.Address)
	if err != nil {
		return nil, nil, err
	}
	dial.BoundReceiveBuffer(conn)
	stop := context.AfterFunc(ctx, func() { _ = conn.SetDeadline(time.Unix(1, 0)) })
	defer stop()
	r := &http.Request{Method: http.MethodConnect, URL: &url.URL{Host: address}, Host: address, Header: http.Header{headerVM: {string(d.Members.Self().VM)}}}
	br := bufio.NewReader(conn)
	var resp *http.Response
	if err = r.Write(conn); err == nil {
		resp, err = http.ReadResponse(br, r) //nolint:bodyclose // the connection is the body
	}
	if err == nil && !stop() {
		err = ctx.Err()
	}
	if err != nil || resp.StatusCode != http.StatusOK {
		_ = conn.Close()
		return nil, resp, err
	}
	return newConn(conn, br, m.VM), resp, nil
}

// carriersOf returns the VMs that an answer names.
func carriersOf(h http.Header) []peer.VM {
	var vs []peer.VM
	for _, name := range strings.Split(h.Get(headerThrough), ",") {
		if name != "" {
			vs = append(vs, peer.VM(name))
		}
	}
	return vs
}
