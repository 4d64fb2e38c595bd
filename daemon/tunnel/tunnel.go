// Package tunnel connects a VM to upstreams, directly or through another VM: a VM can lose its paths to upstreams
// while clients and other VMs still reach it.
//
// The protocol is HTTP CONNECT on the port for peers. The VM that is asked, the carrier, connects directly to the
// upstream and copies data in both directions. Which way a connect takes, and what a failed one means, is decided
// in package path.
package tunnel

import (
	"context"
	"net"
	"time"

	"snipeshift.example/lib/clock"
	"snipeshift.example/lib/dial"
	"snipeshift.example/lib/peer"
)

// Header fields of the protocol.
const (
	// headerVM names the asking VM in a CONNECT.
	headerVM = "Snipeshift-Vm"
	// headerThrough lists, in an answer with status 503, VMs that reach upstreams, separated by commas.
	headerThrough = "Snipeshift-Through"
)

// Times of connects.
const (
	// directWait is how long a direct connect may take before other VMs are asked beside. Upstreams are a few
	// milliseconds away; a connect whose first packet is lost succeeds soon after dial.HedgeDelay.
	directWait = dial.HedgeDelay + 15*time.Millisecond
	// lastResortTimeout bounds a direct connect over a path that counts as lost.
	lastResortTimeout = 80 * time.Millisecond
	// searchTimeout bounds the time for finding a VM that connects. It is longer than carryTimeout and a check of the
	// carrier's own paths, by the pauses of throttled processors.
	searchTimeout = 600 * time.Millisecond
	// askInterval is the time after which a further VM is asked while earlier ones have not answered.
	askInterval = 40 * time.Millisecond
	// carryTimeout bounds the connect of a carrier to an upstream.
	carryTimeout = 100 * time.Millisecond
	// checkTimeout bounds a connect that shows whether the paths of this VM work.
	checkTimeout = 80 * time.Millisecond
	// checkInterval is the time after which a further upstream is tried.
	checkInterval = 10 * time.Millisecond
	// testPeriod is the interval of checks for a due test of lost paths.
	testPeriod = 100 * time.Millisecond
)

// Members lists the daemons that are considered live.
type Members interface {
	Live() []peer.Member
	Self() peer.Member
}

// Upstreams lists the upstreams that this VM knows.
type Upstreams interface {
	// Addresses returns the addresses to which connections may be opened.
	Addresses() []string
	// Usable reports whether connections to address may be opened for other VMs: the upstream is listed, and has not
	// asked this VM to send nothing.
	Usable(address string) bool
	// Domain returns the failure domain of the upstream at address; empty if it is unknown, or if all upstreams are in one.
	Domain(address string) peer.Domain
}

// Clock reads the time of this process.
type Clock interface{ Now() clock.Milli }

// Dial opens a connection to a peer's address.
type Dial func(ctx context.Context, address string) (net.Conn, error)
