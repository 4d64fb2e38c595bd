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

// assignDaemonAddresses chooses the addresses of all daemons and assigns the daemons to the failure
// domains in turn.
func (l *Local) assignDaemonAddresses(ctx context.Context) error {
	domainNames := domains(l.document)
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
			Domain:   domainNames[i%len(domainNames)],
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

// freeAddresses replaces port 0 in each address by a free port. All ports stay bound until the last
// one has been chosen, so that they differ.
func freeAddresses(ctx context.Context, addresses ...string) ([]string, error) {
	var chosen []string
	for _, w := range addresses {
		listener, err := bind(ctx, w)
		if err != nil {
			return nil, err
		}
		defer listener.Close()
		chosen = append(chosen, listener.Addr().String())
	}
	return chosen, nil
}

// Ports are chosen from a range below the ephemeral ports, which operating systems assign to outgoing
// connections.
//
// A chosen port is unbound until the daemon listens on it. In that interval a port of the ephemeral
// range can be assigned to a connection of any process, and the daemon then exits with "address
// already in use". With ephemeral ports, two of three starts of 27 daemons failed on a busy machine.
const (
	firstPort = 10_000
	lastPort  = 32_000
	portTries = 100
)

// bind listens on an address. It replaces port 0 by a random port of the range above or, if
// portTries of these are in use, by a port that the operating system chooses.
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
		file, err := l.writeSettings(d.Name+".json", d)
		if err != nil {
			return err
		}
		p, err := l.startProcess(daemonTier, d.Name, filepath.Join(l.options.BinDir, DaemonProgram), "--settings", file)
		if err != nil {
			return err
		}
		g.Go(func() error { return p.awaitReady(ctx, d.Operator) })
	}
	return g.Wait()
}

// readyPollInterval is the interval between readiness checks of one daemon.
const readyPollInterval = 20 * time.Millisecond

// awaitReady polls a daemon's operator address until the daemon reports that it is ready. It returns
// an error if the process exits before that or readyTimeout passes.
func (p *process) awaitReady(ctx context.Context, operator string) error {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	t := time.NewTicker(readyPollInterval)
	defer t.Stop()
	for !IsReady(ctx, operator) {
		select {
		case <-t.C:
		case <-p.done:
			return p.errorWithLog("exited before it was ready")
		case <-ctx.Done():
			return p.errorWithLog("was not ready before the timeout")
		}
	}
	return nil
}

// IsReady sends one readiness check to a daemon's operator address and reports whether the daemon
// accepts requests. It returns false if the check fails.
func IsReady(ctx context.Context, operator string) bool {
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+operator+"/ready", nil)
	if err != nil {
		return false
	}
	resp, err := http.DefaultClient.Do(r)
	if err != nil {
		return false
	}
	defer resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}
