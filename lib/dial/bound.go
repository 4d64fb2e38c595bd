package dial

import (
	"context"
	"errors"
	"net"
	"sync"
	"syscall"
)

// Bound limits the connections that this process has open at a time through the Dials that it wraps. Without it upstreams
// could take the descriptors that the listeners need. It is safe for concurrent use.
type Bound struct {
	// limit returns the most connections that may be open now; zero for no bound.
	limit func() int
	// makeRoom closes idle connections.
	makeRoom func()

	mu   sync.Mutex
	open int
}

// NewBound returns a Bound of the number of connections that limit returns, zero for no bound. makeRoom is called when they
// are all open; it closes idle ones.
func NewBound(limit func() int, makeRoom func()) *Bound {
	return &Bound{limit: limit, makeRoom: makeRoom}
}

// Trim closes idle connections if more are open than may be: the limit may have fallen.
func (b *Bound) Trim() {
	if limit := b.limit(); limit > 0 && b.Open() > limit {
		b.makeRoom()
	}
}

// Open returns the number of open connections.
func (b *Bound) Open() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.open
}

// Dial returns a Dial that fails with class ErrNoPath if there is no room or if the process lacks the means for a connect:
// neither says anything of the target.
func (b *Bound) Dial(d Dial) Dial {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		if !b.take() {
			return nil, ErrNoPath.New("all %d connections of this VM to upstreams are in use", b.Open())
		}
		c, err := d(ctx, network, address)
		if err != nil {
			b.free()
			return nil, classifyLocal(err)
		}
		return &boundConn{Conn: c, bound: b}, nil
	}
}

// take counts one more connection if there is room.
func (b *Bound) take() bool {
	if b.tryTake() {
		return true
	}
	b.makeRoom()
	return b.tryTake()
}

func (b *Bound) tryTake() bool {
	limit := b.limit()
	b.mu.Lock()
	defer b.mu.Unlock()
	if limit > 0 && b.open >= limit {
		return false
	}
	b.open++
	return true
}

func (b *Bound) free() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.open--
}

// classifyLocal puts errors that come from this process or VM into class ErrNoPath.
func classifyLocal(err error) error {
	for _, e := range []syscall.Errno{syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.EADDRNOTAVAIL} {
		if errors.Is(err, e) {
			return ErrNoPath.Wrap(err)
		}
	}
	return err
}

// boundConn is a connection that counts until it is closed.
type boundConn struct {
	net.Conn
	bound *Bound
	once  sync.Once
}

// Close implements net.Conn.
func (c *boundConn) Close() error {
	c.once.Do(c.bound.free)
	return c.Conn.Close()
}
