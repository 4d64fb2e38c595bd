// Package fleet runs many emulated engines and services in one process, each on its own port. It
// allows measuring daemons with more upstreams than one machine can run as separate processes.
package fleet

import (
	"context"
	"errors"
	"io"

	"golang.org/x/sync/errgroup"

	"snipeshift.example/emulator/engine"
	"snipeshift.example/emulator/listen"
	"snipeshift.example/emulator/service"
	"snipeshift.example/lib/clock"
)

// Settings lists the settings of each emulated engine and service. Names must be unique.
type Settings struct {
	Engines  []engine.Settings  `json:"engines"`
	Services []service.Settings `json:"services"`
}

// anyPort is the address of every server: the operating system chooses a free loopback port.
const anyPort = "127.0.0.1:0"

// Serve starts all engines and services, prints one ready line to out and serves until ctx ends.
// A request that crashes one engine ends the process and so all of them.
func Serve(ctx context.Context, s Settings, c *clock.Clock, out io.Writer) (err error) {
	var servers []listen.Server
	var closers []io.Closer
	defer func() {
		for _, x := range closers {
			err = errors.Join(err, x.Close())
		}
	}()
	for _, v := range s.Engines {
		e, err := engine.New(v, c)
		if err != nil {
			return err
		}
		closers = append(closers, e)
		servers = append(servers, listen.Server{Name: v.Name, Address: anyPort, Handler: e, Drain: e.Drain})
	}
	for _, v := range s.Services {
		x, err := service.New(v, c)
		if err != nil {
			return err
		}
		closers = append(closers, x)
		servers = append(servers, listen.Server{Name: v.Name, Address: anyPort, Handler: x})
	}
	return run(ctx, servers, out)
}

func run(ctx context.Context, servers []listen.Server, out io.Writer) error {
	r := listen.Ready{Ready: true, Program: "fleet", Name: "fleet", Addresses: map[string]string{}}
	g, ctx := errgroup.WithContext(ctx)
	for _, s := range servers {
		l, err := listen.Open(ctx, s)
		if err != nil {
			return err
		}
		r.Addresses[s.Name] = l.Address()
		g.Go(func() error { return l.Run(ctx) })
	}
	if err := r.Print(out); err != nil {
		return err
	}
	return g.Wait()
}
