package relay

import (
	"context"
	"net"
	"strconv"
	"strings"

	"snipeshift.example/lib/decide"
	"snipeshift.example/lib/dial"
)

// What goes wrong without this file: an engine crashes behind a cut, where no packet tells of it, and starts again under
// its id and address. Connections kept from its earlier life look open, and the first request on each is lost.
// It may have run, so it has used up one of its two sends. One notices streams that fail at an engine
// that is well. So connections are kept apart by life: the transport pools them by host, and the host says
// the life.

// lifeMark begins the host of an upstream whose life is known.
const lifeMark = "life-"

// host is the name under which connections to one life of an upstream are pooled.
func host(address string, born decide.Born) string {
	if born == 0 || strings.HasPrefix(address, "[") { // brackets must come first in a host
		return address
	}
	return lifeMark + strconv.FormatInt(int64(born), 36) + "." + address
}

// DialLives makes a dial of addresses into one that takes hosts of lives as well.
func DialLives(d dial.Dial) dial.Dial {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		if rest, ok := strings.CutPrefix(address, lifeMark); ok {
			_, address, _ = strings.Cut(rest, ".")
		}
		return d(ctx, network, address)
	}
}
