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

// badInput is one request that nobody can serve, as raw bytes, with the answer it must get.
type badInput struct {
	name string
	// head is the request's line and headers; body follows it.
	head, body string
	status     int
	kind       fault.Kind
}

// trickle is how long the slow header waits between two bytes.
const trickle = 200 * time.Millisecond

// badLimit bounds the wait for the answer to a bad input; the daemon's own limit
// for a header that trickles in is five seconds.
const badLimit = 15 * time.Second

func post(path, headers string) string {
	return "POST " + path + " HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer " + APIKey(Workspaces[0]) + "\r\n" + headers
}

func badInputs() []badInput {
	chat := "/v1/chat/completions"
	good := `{"model":"` + Model + `","messages":[{"role":"user","content":"x"}]}`
	return []badInput{
		{"no body", post(chat, ""), "", 400, fault.Malformed},
		{"not JSON", post(chat, ""), "this is no JSON", 400, fault.Malformed},
		{"JSON of another shape", post(chat, ""), `[1,2,3]`, 400, fault.Malformed},
		{"no message", post(chat, ""), `{"model":"` + Model + `"}`, 400, fault.Malformed},
		{"not UTF-8", post(chat, ""), "{\"model\":\"" + Model + "\",\"messages\":[{\"role\":\"user\",\"content\":\"\xff\xfe\"}]}", 400, fault.Malformed},
		{"body over the limit", post(chat, ""), `{"x":"` + strings.Repeat("y", 200_000) + `"}`, 413, fault.Large},
		{"unknown model", post(chat, ""), strings.Replace(good, Model, "nobody", 1), 404, fault.Unknown},
		{"unknown kind", post(chat, "Snipeshift-Kind: nonsense\r\n"), good, 404, fault.Unknown},
		{"unknown path", post("/v1/nowhere", ""), good, 404, fault.Unknown},
		{"unknown service", post("/services/nobody/x", ""), good, 404, fault.Unknown},
		{"negative deadline", post(chat, "Snipeshift-Deadline: -5\r\n"), good, 400, fault.Malformed},
		{"deadline that is no number", post(chat, "Snipeshift-Deadline: soon\r\n"), good, 400, fault.Malformed},
		{"notice without a key", post(chat, "Snipeshift-Kind: "+KindNotice+"\r\n"), good, 400, fault.Keyless},
		{"prompt over the context", post(chat, ""), strings.Replace(good, `"messages"`, `"max_tokens":2000000,"messages"`, 1), 413, fault.Oversize},
		{"wrong key", "POST " + chat + " HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer nobody\r\n", good, 401, fault.Unauthorized},
		{"no key", "POST " + chat + " HTTP/1.1\r\nHost: x\r\n", good, 401, fault.Unauthorized},
		{"header over the limit", post(chat, "X-Long: "+strings.Repeat("z", 64<<10)+"\r\n"), good, 431, fault.Header},
	}
}

// CheckBadInputs sends every bad input to a daemon and checks the answers.
func (w *World) CheckBadInputs(ctx context.Context, name string) error {
	n, err := w.node(name)
	if err != nil {
		return err
	}
	address := n.doors[doorCaller].Address()
	for _, x := range badInputs() {
		if err := x.try(ctx, address); err != nil {
			return fmt.Errorf("%s: %w", x.name, err)
		}
	}
	if err := slowHeader(ctx, address); err != nil {
		return fmt.Errorf("slow header: %w", err)
	}
	return nil
}

func (x badInput) try(ctx context.Context, address string) error {
	var d net.Dialer
	c, err := d.DialContext(ctx, "tcp", address)
	if err != nil {
		return err
	}
	defer c.Close()
	_ = c.SetDeadline(time.Now().Add(badLimit))
	text := fmt.Sprintf("%sContent-Type: application/json\r\nContent-Length: %d\r\nConnection: close\r\n\r\n%s", x.head, len(x.body), x.body)
	// A daemon that has read enough may close before all is written.
	go func() { _, _ = io.WriteString(c, text) }()
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	h := resp.Header
	switch {
	case resp.StatusCode != x.status:
		return fmt.Errorf("status %d, not %d", resp.StatusCode, x.status)
	case x.kind == "":
		return nil // answered before any handler of the daemon
	case h.Get("Snipeshift-Error") != string(x.kind):
		return fmt.Errorf("error kind %q, not %q", h.Get("Snipeshift-Error"), x.kind)
	case h.Get("Snipeshift-Ran") != string(fault.RanNo):
		return fmt.Errorf("ran %q, not no", h.Get("Snipeshift-Ran"))
	case h.Get("Snipeshift-Request") == "":
		return fmt.Errorf("no request id")
	}
	return nil
}

// slowHeader sends a header one byte at a time and wants to be stopped.
func slowHeader(ctx context.Context, address string) error {
	var d net.Dialer
	c, err := d.DialContext(ctx, "tcp", address)
	if err != nil {
		return err
	}
	defer c.Close()
	stopped := make(chan error, 1)
	go func() {
		_ = c.SetReadDeadline(time.Now().Add(badLimit))
		_, err := io.ReadAll(c)
		stopped <- err
	}()
	t := time.NewTicker(trickle)
	defer t.Stop()
	_, _ = io.WriteString(c, "POST /v1/chat/completions HTTP/1.1\r\nX-Slow: ")
	for {
		select {
		case err := <-stopped:
			if errors.Is(err, os.ErrDeadlineExceeded) {
				return fmt.Errorf("still open after %v", badLimit)
			}
			return nil
		case <-t.C:
			_, _ = io.WriteString(c, "z")
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// Goroutines reads from a daemon's metrics how many goroutines it has.
func (w *World) Goroutines(ctx context.Context, name string) (int, error) {
	n, err := w.node(name)
	if err != nil {
		return 0, err
	}
	resp, err := w.ask(ctx, n, "/metrics")
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
	return 0, fmt.Errorf("%s shows no go_goroutines", name)
}
