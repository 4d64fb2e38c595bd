package dial

import (
	"context"
	"io"
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"golang.org/x/sys/unix"
)

// readFirst is how many bytes are read before the reader stops: the kernel lets the buffer grow with what is read.
const readFirst = 256 << 20

// unreadBytes returns how many bytes the kernel holds for a connection that d opens, a while after its reader has stopped.
func unreadBytes(t *testing.T, d Dial) int {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer l.Close()
	go func() {
		c, err := l.Accept()
		for block := make([]byte, 64<<10); err == nil; {
			_, err = c.Write(block)
		}
	}()
	c, err := d(context.Background(), "tcp", l.Addr().String())
	require.NoError(t, err)
	defer c.Close()
	_, err = io.CopyN(io.Discard, c, readFirst)
	require.NoError(t, err)
	time.Sleep(100 * time.Millisecond)
	raw, err := c.(*net.TCPConn).SyscallConn()
	require.NoError(t, err)
	var n int
	require.NoError(t, raw.Control(func(fd uintptr) { n, err = unix.IoctlGetInt(int(fd), unix.SIOCINQ) }))
	require.NoError(t, err)
	return n
}

// An upstream sends without end while the VM waits for a slow client. What the kernel has received and nobody has read counts
// against the memory of the VM.
func TestUnreadBytesAreBounded(t *testing.T) {
	open := (&net.Dialer{}).DialContext
	most := 0
	for range 5 {
		most = max(most, unreadBytes(t, WithReceiveBuffer(open)))
	}
	t.Logf("%d bytes at most, %d without the bound", most, unreadBytes(t, open))
	require.LessOrEqual(t, most, 2*bufferSize)
}
