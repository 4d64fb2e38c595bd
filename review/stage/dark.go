package main

import (
	"errors"
	"net"
	"os"
	"sync"
	"syscall"
	"time"
)

// darkListener is the listener of a server that can lose power: from then on connects to it get no answer, since its
// queue of new channels is full and nobody accepts them.
type darkListener struct {
	*net.TCPListener
	dark chan struct{}
	once sync.Once
	// over is closed by end, ended guards it.
	over  chan struct{}
	ended sync.Once
	// fill are the connections that fill the queue.
	fill []net.Conn
}

func listenDark(address string) (*darkListener, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	return &darkListener{TCPListener: l.(*net.TCPListener), dark: make(chan struct{}), over: make(chan struct{})}, nil
}

// Accept implements net.Listener. It accepts nothing once the server is dark.
func (l *darkListener) Accept() (net.Conn, error) {
	c, err := l.TCPListener.Accept()
	if err != nil && l.isDark() && errors.Is(err, os.ErrDeadlineExceeded) {
		<-l.over
		return nil, net.ErrClosed
	}
	return c, err
}

func (l *darkListener) isDark() bool {
	select {
	case <-l.dark:
		return true
	default:
		return false
	}
}

// goDark makes the server dark and fills its queue, until a connect hangs.
func (l *darkListener) goDark() {
	l.once.Do(func() {
		close(l.dark)
		raw, err := l.SyscallConn()
		if err != nil {
			return
		}
		_ = l.SetDeadline(time.Unix(1, 0))
		_ = raw.Control(func(fd uintptr) { _ = syscall.Listen(int(fd), 0) })
		for range 8 {
			c, err := net.DialTimeout("tcp", l.Addr().String(), 50*time.Millisecond)
			if err != nil {
				return
			}
			l.fill = append(l.fill, c)
		}
	})
}

// end closes the listener, and the connections that filled its queue.
func (l *darkListener) end() {
	l.ended.Do(func() { close(l.over) })
	for _, c := range l.fill {
		_ = c.Close()
	}
	_ = l.Close()
}
