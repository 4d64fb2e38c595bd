//go:build faults

package main

import (
	"context"
	"net"
	"os"
	"path/filepath"
	"strings"
	"syscall"

	"snipeshift.example/daemon/settings"
	"snipeshift.example/lib/dial"
)

// envFaults names the folder in which a test puts a file with the name of a VM to make the VM's connects to
// upstreams fail: "refuse" refuses them, "hang" leaves them without an answer. The tests' relays can't do
// that: a connection to a relay is open before the relay knows which VM opened it.
const envFaults = "SNIPESHIFT_FAULTS"

// injectFaults wraps d so that it fails as the file of this VM says.
func injectFaults(s *settings.Relay, d dial.Dial) dial.Dial {
	file := filepath.Join(os.Getenv(envFaults), string(s.Name))
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		fault, _ := os.ReadFile(file) // no file, no fault
		switch strings.TrimSpace(string(fault)) {
		case "refuse":
			return nil, &net.OpError{Op: "dial", Net: network, Err: os.NewSyscallError("connect", syscall.ECONNREFUSED)}
		case "hang":
			ctx, cancel := context.WithTimeout(ctx, upstreamDialTimeout)
			defer cancel()
			<-ctx.Done()
			return nil, &net.OpError{Op: "dial", Net: network, Err: ctx.Err()}
		}
		return d(ctx, network, address)
	}
}
