package relay

import (
	"net/http"
	"time"

	"snipeshift.example/lib/dial"
	"snipeshift.example/lib/http1"
)

const (
	// upstreamIdleTimeout is how long an idle connection to an upstream stays open.
	upstreamIdleTimeout = 20 * time.Second
	// maxIdlePerUpstream bounds the idle connections of this VM to one upstream, which accepts only
	// some hundred connections from all VMs together.
	maxIdlePerUpstream = 16
	// responseHeaderLimit bounds the header of a response in bytes. Headers of upstreams have some hundred bytes; many short
	// fields take twenty times their size in memory.
	responseHeaderLimit = 32 << 10
	// upstreamWriteBuffer is the size in bytes of the write buffer of a connection to an upstream.
	upstreamWriteBuffer = 16 << 10
)

// NewTransport returns a transport for requests to upstreams, whose connections open opens.
func NewTransport(open dial.Dial) *http1.Transport {
	return http1.NewTransport(&http.Transport{
		DialContext:        DialPoolHost(open),
		DisableCompression: true, MaxIdleConnsPerHost: maxIdlePerUpstream, IdleConnTimeout: upstreamIdleTimeout,
		MaxResponseHeaderBytes: responseHeaderLimit, WriteBufferSize: upstreamWriteBuffer,
	})
}
