package world

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"time"

	"snipeshift.example/lib/fault"
)

// badInput is an invalid request as raw bytes, with the response that a daemon must send to it.
type badInput struct {
	name string
	// head is the request line and the first headers, body the request body.
	head, body string
	// status and kind are the expected HTTP status and error kind.
	status int
	kind   fault.Kind
}

// byteInterval is the interval between two bytes of a header that is sent slowly.
const byteInterval = 200 * time.Millisecond

// badInputTimeout is the time limit for the response to a bad input. The daemon itself
// closes the connection of a header that is not complete after five seconds.
const badInputTimeout = 15 * time.Second

func requestHead(path, headers string) string {
	return "POST " + path + " HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer " + APIKey(Workspaces[0]) + "\r\n" + headers
}

func badInputs() []badInput {
	chat := "/v1/chat/completions"
	good := `{"model":"` + Model + `","messages":[{"role":"user","content":"x"}]}`
	return []badInput{
		{"no body", requestHead(chat, ""), "", 400, fault.Malformed},
		{"not JSON", requestHead(chat, ""), "this is no JSON", 400, fault.Malformed},
		{"JSON of another shape", requestHead(chat, ""), `[1,2,3]`, 400, fault.Malformed},
		{"no message", requestHead(chat, ""), `{"model":"` + Model + `"}`, 400, fault.Malformed},
		{"not UTF-8", requestHead(chat, ""), "{\"model\":\"" + Model + "\",\"messages\":[{\"role\":\"user\",\"content\":\"\xff\xfe\"}]}", 400, fault.Malformed},
		{"body over the limit", requestHead(chat, ""), `{"x":"` + strings.Repeat("y", 200_000) + `"}`, 413, fault.Large},
		{"unknown model", requestHead(chat, ""), strings.Replace(good, Model, "nobody", 1), 404, fault.Unknown},
		{"unknown kind", requestHead(chat, "Snipeshift-Kind: nonsense\r\n"), good, 404, fault.Unknown},
		{"unknown path", requestHead("/v1/nowhere", ""), good, 404, fault.Unknown},
		{"unknown service", requestHead("/services/nobody/x", ""), good, 404, fault.Unknown},
		{"negative deadline", requestHead(chat, "Snipeshift-Deadline: -5\r\n"), good, 400, fault.Malformed},
		{"deadline that is no number", requestHead(chat, "Snipeshift-Deadline: soon\r\n"), good, 400, fault.Malformed},
		{"notice without a key", requestHead(chat, "Snipeshift-Kind: "+KindNotice+"\r\n"), good, 400, fault.Keyless},
		{"prompt over the context", requestHead(chat, ""), strings.Replace(good, `"messages"`, `"max_tokens":2000000,"messages"`, 1), 413, fault.Oversize},
		{"wrong key", "POST " + chat + " HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer nobody\r\n", good, 401, fault.Unauthorized},
		{"no key", "POST " + chat + " HTTP/1.1\r\nHost: x\r\n", good, 401, fault.Unauthorized},
		{"header over the limit", requestHead(chat, "X-Long: "+strings.Repeat("z", 64<<10)+"\r\n"), good, 431, fault.Header},
	}
}

// CheckBadInputs sends every bad input to a daemon, also a header that never ends, and checks the responses.
func (w *World) CheckBadInputs(ctx context.Context, name string) error {
	n, err := w.node(name)
	if err != nil {
		return err
	}
	address := n.relays[clientEndpoint].Address()
	for _, x := range badInputs() {
		if err := x.check(ctx, address); err != nil {
			return fmt.Errorf("%s: %w", x.name, err)
		}
	}
	if err := slowHeader(ctx, address); err != nil {
		return fmt.Errorf("slow header: %w", err)
	}
	return nil
}

func (x badInput) check(ctx context.Context, address string) error {
	var d net.Dialer
	c, err := d.DialContext(ctx, "tcp", address)
	if err != nil {
		return err
	}
	defer c.Close()
	_ = c.SetDeadline(time.Now().Add(badInputTimeout))
	text := fmt.Sprintf("%sContent-Type: application/json\r\nContent-Length: %d\r\nConnection: close\r\n\r\n%s", x.head, len(x.body), x.body)
	// Write errors are ignored: a daemon may reject the request and close the connection before it has
	// read all of it.
	go func() { _, _ = io.WriteString(c, text) }()
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	h := resp.Header
	switch {
	case resp.StatusCode != x.status:
		return fmt.Errorf("response has status %d, want %d", resp.StatusCode, x.status)
	case x.kind == "":
		return nil // rejected by the HTTP server before a handler of the daemon runs
	case h.Get("Snipeshift-Error") != string(x.kind):
		return fmt.Errorf("response has error kind %q, want %q", h.Get("Snipeshift-Error"), x.kind)
	case h.Get("Snipeshift-Ran") != string(fault.RanNo):
		return fmt.Errorf("response has Snipeshift-Ran %q, want \"no\"", h.Get("Snipeshift-Ran"))
	case h.Get("Snipeshift-Request") == "":
		return fmt.Errorf("response has no request id")
	}
	return nil
}

// slowHeader sends a header one byte at a time and returns an error if the daemon does not close the
// connection within badInputTimeout.
func slowHeader(ctx context.Context, address string) error {
	var d net.Dialer
	c, err := d.DialContext(ctx, "tcp", address)
	if err != nil {
		return err
	}
	defer c.Close()
	stopped := make(chan error, 1)
	go func() {
		_ = c.SetReadDeadline(time.Now().Add(badInputTimeout))
		_, err := io.ReadAll(c)
		stopped <- err
	}()
	t := time.NewTicker(byteInterval)
	defer t.Stop()
	_, _ = io.WriteString(c, "POST /v1/chat/completions HTTP/1.1\r\nX-Slow: ")
	for {
		select {
		case err := <-stopped:
			if errors.Is(err, os.ErrDeadlineExceeded) {
				return fmt.Errorf("connection still open after %v", badInputTimeout)
			}
			return nil
		case <-t.C:
			_, _ = io.WriteString(c, "z")
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// Goroutines returns the number of goroutines in a daemon, from its metrics.
func (w *World) Goroutines(ctx context.Context, name string) (int, error) {
	n, err := w.node(name)
	if err != nil {
		return 0, err
	}
	resp, err := w.callOperator(ctx, n, "/metrics")
	if err != nil {
		return 0, err
	}
	lines := bufio.NewScanner(resp.Body)
	for lines.Scan() {
		var g int
		if _, err := fmt.Sscanf(lines.Text(), "go_goroutines %d", &g); err == nil {
			return g, nil
		}
	}
	return 0, fmt.Errorf("the metrics of %s contain no go_goroutines", name)
}
