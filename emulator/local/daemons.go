package local

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"path/filepath"
	"strconv"
	"time"

	"golang.org/x/sync/errgroup"
)

// planDaemons gives every daemon its addresses, alternating over the domains.
func (l *Local) planDaemons(ctx context.Context) error {
	halls := domains(l.document)
	var peers []string
	for i := range l.options.Daemons {
		caller := "127.0.0.1:0"
		if i == 0 && l.options.ClientAddress != "" {
			caller = l.options.ClientAddress
		}
		a, err := freeAddresses(ctx, caller, "127.0.0.1:0", "127.0.0.1:0")
		if err != nil {
			return err
		}
		l.daemons = append(l.daemons, DaemonSettings{
			Name:     fmt.Sprintf("%s%d", DaemonPrefix, i+1),
			Domain:   halls[i%len(halls)],
			Caller:   a[0],
			Operator: a[1],
			Peer:     a[2],
			Platform: l.ready.PlatformAddress,
		})
		peers = append(peers, a[2])
		l.ready.ClientAddresses = append(l.ready.ClientAddresses, a[0])
		l.ready.OperatorAddresses = append(l.ready.OperatorAddresses, a[1])
	}
	for i := range l.daemons {
		l.daemons[i].Peers = append(append([]string{}, peers[:i]...), peers[i+1:]...)
	}
	if len(l.ready.ClientAddresses) > 0 {
		l.ready.Address = l.ready.ClientAddresses[0]
	}
	return nil
}

// freeAddresses chooses a free port where none is given. They are all held until
// the last is chosen, so that they differ.
func freeAddresses(ctx context.Context, wanted ...string) ([]string, error) {
	var got []string
	for _, w := range wanted {
		n, err := bind(ctx, w)
		if err != nil {
			return nil, err
		}
		defer n.Close()
		got = append(got, n.Addr().String())
	}
	return got, nil
}

// The ports to choose from lie below those that systems give to connections.
//
// A port is free again from its choice until the daemon listens. One that the
// system chose can meanwhile become the near end of anybody's connection, and
// the daemon ends with "address already in use": with 27 daemons on a busy
// machine, two starts of three failed.
const (
	firstPort = 10_000
	lastPort  = 32_000
	portTries = 100
)

func bind(ctx context.Context, wanted string) (net.Listener, error) {
	var lc net.ListenConfig
	host, port, err := net.SplitHostPort(wanted)
	if err != nil || port != "0" {
		return lc.Listen(ctx, "tcp", wanted)
	}
	for range portTries {
		port := firstPort + rand.IntN(lastPort-firstPort)
		n, err := lc.Listen(ctx, "tcp", net.JoinHostPort(host, strconv.Itoa(port)))
		if err == nil {
			return n, nil
		}
	}
	return lc.Listen(ctx, "tcp", wanted)
}

func (l *Local) startDaemons(ctx context.Context) error {
	g, ctx := errgroup.WithContext(ctx)
	for _, d := range l.daemons {
		file, err := l.write(d.Name+".json", d)
		if err != nil {
			return err
		}
		p, err := l.run(daemonTier, d.Name, filepath.Join(l.options.BinDir, DaemonProgram), "--settings", file)
		if err != nil {
			return err
		}
		g.Go(func() error { return p.awaitReady(ctx, d.Operator) })
	}
	return g.Wait()
}

// readyStep is how often a daemon is asked whether it is ready.
const readyStep = 20 * time.Millisecond

// awaitReady asks a daemon's operator address until it says that it is ready.
func (p *process) awaitReady(ctx context.Context, operator string) error {
	ctx, cancel := context.WithTimeout(ctx, readyLimit)
	defer cancel()
	t := time.NewTicker(readyStep)
	defer t.Stop()
	for !IsReady(ctx, operator) {
		select {
		case <-t.C:
		case <-p.done:
			return p.failed("ended before it was ready")
		case <-ctx.Done():
			return p.failed("was not ready in time")
		}
	}
	return nil
}

// IsReady asks a daemon's operator address once whether it takes requests.
func IsReady(ctx context.Context, operator string) bool {
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+operator+"/ready", nil)
	if err != nil {
		return false
	}
	a, err := http.DefaultClient.Do(r)
	if err != nil {
		return false
	}
	defer a.Body.Close()
	return a.StatusCode == http.StatusOK
}
