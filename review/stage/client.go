package main

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"
)

const host = "ficu95.example"

// call is one request of a requester.
type call struct {
	id, method, path, body, key, usage, parts string
	limit                                     time.Duration
}

// answer is what the requester saw.
type answer struct {
	status    int
	signature string
	whole     bool
	// closed is set if the channel ended without a complete answer, last if the answer asks to close the channel.
	closed, last bool
	err          error
	sent         time.Time
	ended        time.Time
}

func (a answer) String() string {
	switch {
	case a.closed:
		return fmt.Sprintf("channel ended without a complete answer (status so far %d, %v)", a.status, a.err)
	case a.err != nil:
		return fmt.Sprintf("no answer: %v", a.err)
	default:
		return fmt.Sprintf("%d, signature %q, body whole: %v", a.status, a.signature, a.whole)
	}
}

// channel is a channel of a requester that may be kept for many requests.
type channel struct {
	conn   net.Conn
	reader *bufio.Reader
}

func open(address string) (*channel, error) {
	c, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return nil, err
	}
	return &channel{conn: c, reader: bufio.NewReader(c)}, nil
}

// send sends a request on the channel and waits for its answer until its time limit.
func (c *channel) send(x call) answer {
	var b bytes.Buffer
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: %s\r\nX-Attempt-Id: %s\r\nX-Deadline-Ms: %d\r\nAuthorization: Token %s\r\n", x.method, x.path, host, x.id, x.limit.Milliseconds(), x.key)
	if x.usage != "" {
		fmt.Fprintf(&b, "X-Model: m\r\nX-Token-Usage: %s\r\nX-Prompt-Prefix: %s\r\n", x.usage, x.parts)
	}
	body := x.body
	if x.method == http.MethodPost {
		if body == "" {
			body = "body of " + x.id
		}
		fmt.Fprintf(&b, "Content-Length: %d\r\n", len(body))
	}
	b.WriteString("\r\n" + body)
	a := answer{sent: time.Now()}
	_ = c.conn.SetDeadline(a.sent.Add(x.limit))
	if _, err := c.conn.Write(b.Bytes()); err != nil {
		a.err, a.closed, a.ended = err, true, time.Now()
		return a
	}
	c.read(&a, x)
	a.ended = time.Now()
	return a
}

func (c *channel) read(a *answer, x call) {
	resp, err := http.ReadResponse(c.reader, &http.Request{Method: x.method})
	if err != nil {
		var timeout net.Error
		a.err, a.closed = err, !errors.As(err, &timeout) || !timeout.Timeout()
		return
	}
	defer resp.Body.Close()
	a.status, a.signature, a.last = resp.StatusCode, resp.Header.Get("X-Response-Signature"), resp.Close
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		var timeout net.Error
		a.err, a.closed = err, !errors.As(err, &timeout) || !timeout.Timeout()
		return
	}
	a.whole = strings.Contains(string(body), x.id)
}

func (c *channel) close() { _ = c.conn.Close() }
