package dial

import (
	"context"
	"net"
)

// bufferSize is the size in bytes of the kernel's buffers of a connection, which the kernel doubles. By itself it lets them
// grow to megabytes, and what they hold counts against the memory of the VM.
const bufferSize = 128 << 10

// WithReceiveBuffer returns a Dial whose connections are as BoundReceiveBuffer makes them.
func WithReceiveBuffer(d Dial) Dial {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		c, err := d(ctx, network, address)
		if err != nil {
			return nil, err
		}
		BoundReceiveBuffer(c)
		return c, nil
	}
}

// BoundReceiveBuffer makes a connection hold little of what the VM has received and not read.
func BoundReceiveBuffer(c net.Conn) {
	if t, ok := tcpOf(c).(*net.TCPConn); ok {
		_ = t.SetReadBuffer(bufferSize) // an error means that the connection has ended
	}
}

// BoundSendBuffer makes a connection hold little of what the VM has written and its other end has not received.
func BoundSendBuffer(c net.Conn) {
	if t, ok := tcpOf(c).(*net.TCPConn); ok {
		_ = t.SetWriteBuffer(bufferSize) // an error means that the connection has ended
	}
}

// tcpOf returns the connection under that of another layer, such as TLS.
func tcpOf(c net.Conn) net.Conn {
	if n, ok := c.(interface{ NetConn() net.Conn }); ok {
		return n.NetConn()
	}
	return c
}
