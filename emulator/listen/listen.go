// Package listen runs the HTTP servers of an emulator process. It listens, prints a ready line and
// shuts down when its context ends.
package listen

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"

	"golang.org/x/sync/errgroup"
)

// headerTimeout is how long a client may take to send a request's header. It keeps a connection
// with an incomplete header from staying open without limit.
const headerTimeout = 10 * time.Second

// shutdownTimeout limits the wait for open requests at shutdown. Afterwards their connections are
// closed.
const shutdownTimeout = 5 * time.Second

// Ready is the line that a process prints to its standard output once it accepts connections.
type Ready struct {
	Ready   bool   `json:"ready"`
	Program string `json:"program"`
	Name    string `json:"name"`
	// Address is host:port with the actual port, which the operating system chose if the server
	// was configured with port 0.
	Address string `json:"address"`
	// Addresses maps server names to host:port in a process that runs several servers.
	Addresses map[string]string `json:"addresses,omitempty"`
}

// Print writes r to out as one line of JSON.
func (r Ready) Print(out io.Writer) error {
	line, err := json.Marshal(r)
	if err != nil {
		return err
	}
	_, err = fmt.Fprintf(out, "%s\n", line)
	return err
}

// Server describes one HTTP server to run.
type Server struct {
	// Program and Name are printed in the ready line.
	Program, Name string
	// Address is host:port. With port 0 the operating system chooses a port.
	Address string
	Handler http.Handler
	// Drain, if set, is called when the context ends and may block. The listener is closed after
	// it returns.
	Drain func()
}

// Listener is a server with an open listening socket. It accepts connections once Run is called.
type Listener struct {
	server Server
	net    net.Listener
}

// Open opens the listening socket of a server.
func Open(ctx context.Context, s Server) (*Listener, error) {
	var lc net.ListenConfig
	n, err := lc.Listen(ctx, "tcp", s.Address)
	if err != nil {
		return nil, err
	}
	return &Listener{s, n}, nil
}

// Address returns host:port with the actual port.
func (l *Listener) Address() string { return l.net.Addr().String() }

// Run serves until ctx ends, then drains and shuts down. The contexts of open requests are canceled
// after Drain has returned.
func (l *Listener) Run(ctx context.Context) error {
	base, cancelRequests := context.WithCancel(context.Background())
	defer cancelRequests()
	srv := &http.Server{
		Handler:           l.server.Handler,
		ReadHeaderTimeout: headerTimeout,
		BaseContext:       func(net.Listener) context.Context { return base },
	}
	g, ctx := errgroup.WithContext(ctx)
	g.Go(func() error {
		if err := srv.Serve(l.net); !errors.Is(err, http.ErrServerClosed) {
			return err
		}
		return nil
	})
	g.Go(func() error {
		<-ctx.Done()
		if l.server.Drain != nil {
			l.server.Drain()
		}
		cancelRequests()
		return shutdown(srv)
	})
	return g.Wait()
}

// Serve listens, prints the ready line to out and serves until ctx ends.
func Serve(ctx context.Context, s Server, out io.Writer) error {
	l, err := Open(ctx, s)
	if err != nil {
		return err
	}
	r := Ready{Ready: true, Program: s.Program, Name: s.Name, Address: l.Address()}
	if err := r.Print(out); err != nil {
		return err
	}
	return l.Run(ctx)
}

func shutdown(srv *http.Server) error {
	limit, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
	defer cancel()
	if err := srv.Shutdown(limit); err != nil {
		return srv.Close()
	}
	return nil
}
