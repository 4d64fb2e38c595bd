package relay

import (
	"context"
	"net"
	"strconv"
	"strings"

	"snipeshift.example/lib/decide"
	"snipeshift.example/lib/dial"
)

// An engine that crashes behind a cut and starts again under its id and address leaves connections that look open: the first request on each
// would be lost. So the transport, which pools connections by host, is given hosts that name the life.

// lifeMark begins the host of an upstream whose life is known.
const lifeMark = "life-"

// host is the name under which connections to one life of an upstream are pooled.
func host(address string, born decide.Incarnation) string {
	if born == 0 || strings.HasPrefix(address, "[") { // brackets must come first in a host
		return address
	}
	return lifeMark + strconv.FormatInt(int64(born), 36) + "." + address
}

// DialPoolHost makes a dial of addresses into one that takes hosts of lives as well.
func DialPoolHost(d dial.Dial) dial.Dial {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		if rest, ok := strings.CutPrefix(address, lifeMark); ok {
			_, address, _ = strings.Cut(rest, ".")
		}
		return d(ctx, network, address)
	}
}
