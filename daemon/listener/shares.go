package listener

import (
	"math"
	"syscall"
)

// Shares of a process's descriptors for connections other than those of clients, which get half. A tunnel takes one of the
// share of peers and one of that of upstreams. Connections to upstreams may also use what clients leave of theirs. The rest
// is for listeners, the store, connections to peers and files.
const (
	peerShare     = 3. / 16
	upstreamShare = 1. / 4
	tunnelShare   = 1. / 8
	// minShare is the least share in connections, however few descriptors there are.
	minShare = 16
)

// Quotas bounds the open connections of a process by kind; zero for no bound.
type Quotas struct {
	// Peers are those that other VMs opened, tunnels included, Upstreams those to upstreams beside what clients leave of
	// their share, and Tunnels those that this VM carries for others.
	Peers, Upstreams, Tunnels int
}

// QuotasOf returns the quotas of a process that may open a number of descriptors; zero for an unknown number.
func QuotasOf(descriptors int) Quotas {
	if descriptors == 0 {
		return Quotas{}
	}
	part := func(share float64) int { return max(int(share*float64(descriptors)), minShare) }
	return Quotas{Peers: part(peerShare), Upstreams: part(upstreamShare), Tunnels: part(tunnelShare)}
}

// Descriptors returns the number of descriptors that this process may open now; zero if it is not known.
func Descriptors() int {
	var x syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &x); err != nil || x.Cur > math.MaxInt32 {
		return 0
	}
	return int(x.Cur)
}
