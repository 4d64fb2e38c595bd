package world

import (
	"context"
	"fmt"
	"net"
	"time"

	"golang.org/x/sys/unix"
)

// LimitDescriptors sets how many descriptors a running process may open.
func (w *World) LimitDescriptors(name string, limit uint64) error {
	_, p, err := w.runningProcess(name)
	if err != nil {
		return err
	}
	return unix.Prlimit(p.Pid(), unix.RLIMIT_NOFILE, &unix.Rlimit{Cur: limit, Max: limit}, nil)
}

// Occupy opens connections to a daemon that carry nothing, without a relay. They stay open until Vacate.
func (w *World) Occupy(ctx context.Context, name, where string, count int) error {
	n, err := w.node(name)
	if err != nil {
		return err
	}
	address, ok := n.listenAddresses[endpoint(where)]
	if !ok {
		return fmt.Errorf("%s has no address %q", name, where)
	}
	d := net.Dialer{Timeout: time.Second}
	for range count {
		c, err := d.DialContext(ctx, "tcp", address)
		if err != nil {
			return err
		}
		w.silent = append(w.silent, c)
	}
	return nil
}

// Vacate closes the connections of Occupy.
func (w *World) Vacate() error {
	for _, c := range w.silent {
		_ = c.Close()
	}
	w.silent = nil
	return nil
}
