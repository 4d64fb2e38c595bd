package relay

import (
	"context"
	"net"
	"strconv"
	"strings"

	"snipeshift.example/lib/decide"
	"snipeshift.example/lib/dial"
)

// If an engine crashes during a network partition and restarts under the same id and address, the
// connections to its earlier incarnation still look open, and the first request on each of them would
// be lost. http.Transport pools connections by host, so the host contains the incarnation.

// incarnationPrefix begins the host of an upstream whose incarnation is known.
const incarnationPrefix = "life-"

// poolHost returns the host under which connections to one incarnation of an upstream are pooled.
func poolHost(address string, born decide.Incarnation) string {
	if born == 0 || strings.HasPrefix(address, "[") { // a host with an IPv6 address must begin with the bracket
		return address
	}
	return incarnationPrefix + strconv.FormatInt(int64(born), 36) + "." + address
}

// DialPoolHost wraps a dial function for plain addresses so that it also accepts hosts made by
// poolHost, whose incarnation prefix is removed before dialing.
func DialPoolHost(d dial.Dial) dial.Dial {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		if rest, ok := strings.CutPrefix(address, incarnationPrefix); ok {
			_, address, _ = strings.Cut(rest, ".")
		}
		return d(ctx, network, address)
	}
}
