package http1

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"snipeshift.example/lib/dial/dialtest"
)

// get sends a request to a server that responds with raw bytes and closes the connection, and returns the body.
func get(t *testing.T, response string) (int, string, error) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer l.Close()
	go func() {
		c, err := l.Accept()
		if err != nil {
			return
		}
		defer func() { _ = c.Close() }()
		if _, err = http.ReadRequest(bufio.NewReader(c)); err == nil {
			_, _ = io.WriteString(c, response)
		}
	}()
	r, err := http.NewRequest(http.MethodGet, "http://"+l.Addr().String(), nil)
	require.NoError(t, err)
	tr := NewTransport(&http.Transport{DialContext: (&net.Dialer{}).DialContext, DisableKeepAlives: true})
	resp, err := tr.RoundTrip(r)
	if err != nil {
		return 0, "", err
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	return resp.StatusCode, string(body), err
}

// An upstream in trouble responds with a status that is none. Passed on, the client would get an answer that nobody gave, or
// the handler would end without one.
func TestInvalidStatusIsRefused(t *testing.T) {
	for _, line := range []string{
		"HTTP/1.1 000 X", "HTTP/1.1 099 X", "HTTP/1.1 99 X", "HTTP/1.1 1000 X", "HTTP/1.1 +20 X", "HTTP/1.1 -00 X", "HTTP/1.1 +200 X",
		"HTTP/1.1 2x0 X", "HTTP/1.1 600 X", "HTTP/1.1 999 X", "HTTP/1.1 101 X", "HTTP/1.1 0x1 X", "HTTP/1.1 2_0 X", "HTTP/1.1  200 X", "HTTP/1.1 200\tX", "HTTP/1.1", "HTTP/1.1 ",
		"HTTP/2.0 200 X", "HTTP/0.9 200 X", "HTTP/1.01 200 X", "http/1.1 200 X", "HTTP/1.x 200 X", " HTTP/1.1 200 X", "HTTP/1.1\t200 X", "",
		"HTTP/1.1 200 X\x00Y", "HTTP/1.1 200 X\rY", "HTTP/1.1 200 X\x7f",
		"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 000 X",
	} {
		_, body, err := get(t, line+"\r\nContent-Length: 2\r\n\r\nok")
		require.True(t, ErrHead.Has(err), "%q: %q %v", line, body, err)
	}
}

// An upstream in trouble sends a field whose name holds a blank or a control byte. net/http takes a blank: the line would be
// passed on, and a length or a transfer coding in it be overlooked.
func TestMalformedFieldNameIsRefused(t *testing.T) {
	for _, field := range []string{
		"Content-Length : 2", "Content Length: 2", " Content-Length: 2", "A: b\r\n Content-Length: 2", "A: b\r\n\tc", "Transfer-Encoding : chunked",
		"A\tB: c", "A\x00B: c", "A\rB: c", "A\r: c", "\rA: c", "A\x7fB: c", "A\x01: c", "A\x0b: c", "A\x80B: c", "Ä: c", "A(B): c", "AB", ": c", " ", "\t",
	} {
		for _, before := range []string{"", "B: c\r\n"} {
			head := "HTTP/1.1 200 OK\r\n" + before + field + "\r\n\r\n"
			_, body, err := get(t, head+"ok or more")
			require.True(t, ErrHead.Has(err), "%q: %q %v", head, body, err)
			_, body, err = get(t, "HTTP/1.1 103 Early Hints\r\n"+before+field+"\r\n\r\nHTTP/1.1 200 OK\r\n\r\nok")
			require.True(t, ErrHead.Has(err), "%q: %q %v", head, body, err)
		}
	}
}

// Readers disagree where the body ends. The client would get bytes that are not the upstream's body.
func TestAmbiguousFramingIsRefused(t *testing.T) {
	const chunks = "\r\n4\r\nokok\r\n0\r\n\r\n"
	for _, response := range []string{
		"HTTP/1.1 200 OK\r\nContent-Length: 4\r\nTransfer-Encoding: chunked\r\n" + chunks,
		"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\ncontent-length: 4\r\n" + chunks,
		"HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n" + chunks,
	} {
		_, body, err := get(t, response)
		require.True(t, ErrHead.Has(err), "%q: %q %v", response, body, err)
	}
}

// What net/http refuses by itself must stay refused: lengths that are signed or differ, values with control bytes, chunks that
// are wrong, responses that end early.
func TestOtherMalformedResponsesFail(t *testing.T) {
	for _, rest := range []string{
		"Content-Length: +2\r\n\r\nok", "Content-Length: -2\r\n\r\nok", "Content-Length: 2\r\nContent-Length: 3\r\n\r\nok", "Content-Length: 2, 2\r\n\r\nok",
		"Content-Length: 0x2\r\n\r\nok", "Content-Length:\r\n\r\nok", "Content-Length: 99999999999999999999\r\n\r\nok", "Content-Length: 9\r\n\r\nok", "Content-Length: 2",
		"Transfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n", "Transfer-Encoding: xchunked\r\n\r\nok", "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
		"Transfer-Encoding: chunked\r\n\r\n+2\r\nok\r\n0\r\n\r\n", "Transfer-Encoding: chunked\r\n\r\n-2\r\nok\r\n0\r\n\r\n", "Transfer-Encoding: chunked\r\n\r\n 2\r\nok\r\n0\r\n\r\n",
		"Transfer-Encoding: chunked\r\n\r\n2\r\nokk\r\n0\r\n\r\n", "Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n", "Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n",
		"Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\nA\x01: b\r\n\r\n", "A: b\x00c\r\n\r\nok", "A: b\rc\r\n\r\nok", "A: b\x7fc\r\n\r\nok",
	} {
		status, body, err := get(t, "HTTP/1.1 200 OK\r\n"+rest)
		require.Error(t, err, "%q: %d %q", rest, status, body)
	}
}

func TestWellFormedResponsesAreTaken(t *testing.T) {
	for _, response := range []string{
		"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", "HTTP/1.1 200\r\nContent-Length: 2\r\n\r\nok", "HTTP/1.1 200 \r\n\r\nok", "HTTP/1.0 200 OK\r\n\r\nok",
		"HTTP/1.1 200 \xe4 or\ttwo\r\nContent-Length: 2\r\nContent-Length: 2\r\n\r\nok", "HTTP/1.1 200 OK\nContent-Length: 2\n\nok",
		"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\nHTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\nA: b\r\n\r\n",
		"HTTP/1.1 200 OK\r\nA:b: c\r\nX-!#$%&'*+-.^_`|~9:\t\xff \r\n\r\nok",
	} {
		status, body, err := get(t, response)
		require.NoError(t, err, "%q", response)
		require.Equal(t, http.StatusOK, status)
		require.Equal(t, "ok", body)
	}
}

// A connection is used again, and the server sends its responses a byte at a time or all at once.
func TestHeadsOnOneConnectionAreChecked(t *testing.T) {
	for _, pause := range []time.Duration{0, time.Millisecond} {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		require.NoError(t, err)
		defer l.Close()
		responses := []string{"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", "HTTP/1.1 204 No Content\r\n\r\n", "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", "HTTP/1.1 200 OK\r\nA B: c\r\n\r\n"}
		go func() {
			c, err := l.Accept()
			if err != nil {
				return
			}
			defer func() { _ = c.Close() }()
			for r := bufio.NewReader(c); len(responses) > 0; responses = responses[1:] {
				if _, err := http.ReadRequest(r); err != nil {
					return
				}
				send(c, responses[0], pause)
			}
		}()
		tr := NewTransport(&http.Transport{DialContext: (&net.Dialer{}).DialContext})
		for i := range 4 {
			r, err := http.NewRequest(http.MethodPost, "http://"+l.Addr().String(), strings.NewReader("x"))
			require.NoError(t, err)
			r.GetBody = nil
			resp, err := tr.RoundTrip(r)
			if i == 3 {
				require.True(t, ErrHead.Has(err), "%v", err)
				continue
			}
			require.NoError(t, err)
			_, err = io.Copy(io.Discard, resp.Body)
			require.NoError(t, err)
			resp.Body.Close()
		}
		tr.CloseIdleConnections()
	}
}

// send writes a text, a byte at a time if there is a pause.
func send(c net.Conn, text string, pause time.Duration) {
	if pause == 0 {
		_, _ = io.WriteString(c, text)
		return
	}
	for i := range len(text) {
		_, _ = io.WriteString(c, text[i:i+1])
		time.Sleep(pause / 4)
	}
}

// A second response follows the first one in the same packet. It belongs to no request, and must not answer the next one.
func TestResponseBeforeItsRequestIsNotChecked(t *testing.T) {
	c := &conn{}
	first := c.expectHead()
	require.NoError(t, c.head.check([]byte("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nokHTTP/1.1 000 X\r\n\r\n")))
	second := c.expectHead()
	passed, err := c.checked(first)
	require.NoError(t, err)
	require.True(t, passed)
	passed, _ = c.checked(second)
	require.False(t, passed)
}

// A connection whose response has no body may carry the next request before the first one has returned. Neither may take the
// other's response for one that was there before its request.
func TestBodilessResponsesOnOneConnectionAreTaken(t *testing.T) {
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusNoContent) }))
	defer s.Close()
	tr := NewTransport(&http.Transport{DialContext: (&net.Dialer{}).DialContext, MaxConnsPerHost: 1})
	var failed atomic.Int64
	var wg sync.WaitGroup
	for range 8 {
		wg.Go(func() {
			for range 500 {
				r, _ := http.NewRequest(http.MethodGet, s.URL, nil)
				resp, err := tr.RoundTrip(r)
				if err != nil {
					failed.Add(1)
					continue
				}
				resp.Body.Close()
			}
		})
	}
	wg.Wait()
	require.Zero(t, failed.Load())
}

// An upstream sends a head without end. Lines are kept until they end, so their bytes must be bounded.
func TestEndlessHeadIsCutOff(t *testing.T) {
	for _, repeat := range []string{"x", "A: b\r\n"} {
		s := httptest.NewServer(dialtest.Endless{Begin: "HTTP/1.1 200 OK\r\nA: ", Repeat: repeat})
		var read atomic.Int64
		tr := NewTransport(&http.Transport{DialContext: dialtest.Count((&net.Dialer{}).DialContext, &read), DisableKeepAlives: true})
		r, err := http.NewRequest(http.MethodGet, s.URL, nil)
		require.NoError(t, err)
		_, err = tr.RoundTrip(r) //nolint:bodyclose // there is no response
		require.Error(t, err)
		require.LessOrEqual(t, read.Load(), int64(maxHeadBytes+dialtest.ReadAhead))
		s.Close()
	}
}

func FuzzHead(f *testing.F) {
	f.Add([]byte("HTTP/1.1 200 OK\r\nA: b\r\n\r\n"), 3)
	f.Add([]byte("HTTP/1.1 100 Continue\n\nHTTP/1.0 000\r\n"), 1)
	f.Fuzz(func(t *testing.T, text []byte, split int) {
		var whole, parts head
		split = max(0, min(split, len(text)))
		want := whole.check(text)
		got := parts.check(text[:split])
		if got == nil {
			got = parts.check(text[split:])
		}
		require.Equal(t, want, got)
		require.Equal(t, whole.done, parts.done)
	})
}
