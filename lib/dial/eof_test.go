package dial

import (
	"context"
	"io"
	"net"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

// largeWrite is more bytes than the kernel buffers of a connection on loopback.
const largeWrite = 32 << 20

// connect opens a connection with WithCheckedEOF to a server that calls serve with its end of the connection.
func connect(t *testing.T, serve func(*net.TCPConn)) net.Conn {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		c, err := l.Accept()
		if err != nil {
			return
		}
		serve(c.(*net.TCPConn))
	}()
	c, err := WithCheckedEOF((&net.Dialer{}).DialContext)(context.Background(), "tcp", l.Addr().String())
	require.NoError(t, err)
	t.Cleanup(func() { _ = c.Close() })
	return c
}

// respondAndReset sends a part of a response and resets the connection a moment later.
func respondAndReset(c *net.TCPConn) {
	_, _ = io.WriteString(c, "part")
	time.Sleep(10 * time.Millisecond)
	_ = c.SetLinger(0)
	_ = c.Close()
}

// The write of a request gets the error of a reset, so that the read of the response does not: it must fail all the same.
func TestResetReportedToWriteIsNoEOF(t *testing.T) {
	c := connect(t, respondAndReset)
	_, err := c.Write(make([]byte, largeWrite))
	require.Error(t, err)
	text, err := io.ReadAll(c)
	require.Error(t, err)
	require.Equal(t, "part", string(text))
}

// The same while both are under way. The read may return first.
func TestResetDuringWriteIsNoEOF(t *testing.T) {
	for range 50 {
		c := connect(t, respondAndReset)
		go func() { _, _ = c.Write(make([]byte, largeWrite)) }()
		_, err := io.ReadAll(c)
		require.Error(t, err)
	}
}

// stalledConn has reached the end of its data while writes go on until release is closed.
type stalledConn struct {
	net.Conn
	release chan struct{}
	err     error
}

func (c stalledConn) Read([]byte) (int, error) { return 0, io.EOF }

func (c stalledConn) Write(b []byte) (int, error) {
	<-c.release
	return len(b), c.err
}

// A write has got the error of a reset and has not returned when the read reaches the end of the data.
func TestEOFWaitsForWriteUnderWay(t *testing.T) {
	for writeErr, want := range map[error]error{nil: io.EOF, syscall.ECONNRESET: syscall.ECONNRESET} {
		synctest.Test(t, func(t *testing.T) {
			s := stalledConn{release: make(chan struct{}), err: writeErr}
			c := newCheckedConn(s)
			go func() { _, _ = c.Write(nil) }()
			synctest.Wait()
			time.AfterFunc(settleTime/2, func() { close(s.release) })
			_, err := c.Read(nil)
			require.ErrorIs(t, err, want)
		})
	}
}

// An upstream responds before it has the whole request, ends its side in order, and reads the rest. Its response is complete.
func TestEarlyResponseClosedInOrderIsComplete(t *testing.T) {
	c := connect(t, func(c *net.TCPConn) {
		defer func() { _ = c.Close() }()
		_, _ = io.WriteString(c, "whole")
		_ = c.CloseWrite()
		time.Sleep(10 * time.Millisecond)
		_, _ = io.CopyN(io.Discard, c, largeWrite)
	})
	wrote := make(chan error, 1)
	go func() {
		_, err := c.Write(make([]byte, largeWrite))
		wrote <- err
	}()
	text, err := io.ReadAll(c)
	require.NoError(t, err)
	require.Equal(t, "whole", string(text))
	require.NoError(t, <-wrote)
}

// An upstream ends its side in order, and neither reads the rest of the request nor closes the connection. The response must
// fail within a time, not wait for as long as the upstream likes.
func TestEOFDuringStalledWriteFailsInTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := stalledConn{release: make(chan struct{})}
		defer close(s.release)
		c := newCheckedConn(s)
		go func() { _, _ = c.Write(nil) }()
		synctest.Wait()
		began := time.Now()
		_, err := c.Read(nil)
		require.ErrorIs(t, err, errUnsettled)
		require.Equal(t, settleTime, time.Since(began))
	})
}
