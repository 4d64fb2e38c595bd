package service

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"snipeshift.example/lib/clock"
)

type client struct {
	t   *testing.T
	url string
}

func start(t *testing.T, s Settings) client {
	t.Helper()
	v, err := New(s, clock.New())
	require.NoError(t, err)
	srv := httptest.NewServer(v)
	t.Cleanup(func() {
		srv.Close()
		require.NoError(t, v.Close())
	})
	return client{t, srv.URL}
}

func (c client) try(ctx context.Context, method, path, body string) (int, string, error) {
	r, err := http.NewRequestWithContext(ctx, method, c.url+path, strings.NewReader(body))
	require.NoError(c.t, err)
	r.GetBody = nil // or the client would repeat a call with an idempotency key by itself, on a reused connection
	r.Header.Set("Idempotency-Key", "k")
	r.Header.Set("X-Request-Id", "r1")
	a, err := http.DefaultClient.Do(r)
	if err != nil {
		return 0, "", err
	}
	defer a.Body.Close()
	text, err := io.ReadAll(a.Body)
	return a.StatusCode, string(text), err
}

func (c client) do(want int, method, path, body string) string {
	c.t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	status, text, err := c.try(ctx, method, path, body)
	require.NoError(c.t, err)
	require.Equal(c.t, want, status, text)
	return text
}

func (c client) outcomes() []string {
	var l Ledger
	require.NoError(c.t, json.Unmarshal([]byte(c.do(200, "GET", "/ledger", "")), &l))
	outcomes := []string{}
	for _, x := range l.Calls {
		outcomes = append(outcomes, x.Outcome)
	}
	return outcomes
}

func TestAnswerTellsWhatRan(t *testing.T) {
	file := filepath.Join(t.TempDir(), "ledger")
	s := Defaults()
	s.Ledger = file
	c := start(t, s)
	var a Response
	require.NoError(t, json.Unmarshal([]byte(c.do(200, "PATCH", "/wards/7?full=1", "body")), &a))
	require.Equal(t, Response{"service", "PATCH", "/wards/7?full=1", Hash([]byte("body")), "r1"}, a)
	require.Equal(t, []string{"done"}, c.outcomes())
	text, err := os.ReadFile(file)
	require.NoError(t, err)
	require.Equal(t, 2, strings.Count(string(text), `"key":"k"`))
}

func TestBodyOverTheLimitDoesNotRun(t *testing.T) {
	c := start(t, Settings{Body: 2})
	c.do(400, "POST", "/", "long")
	require.Empty(t, c.outcomes())
}

// The service runs a call and then fails, dies or says nothing. Its caller
// cannot know that it ran; the ledger does.
func TestCallsThatRunWithoutASuccess(t *testing.T) {
	c := start(t, Defaults())
	c.do(200, "POST", "/control", `{"fail":500}`)
	c.do(500, "POST", "/sms", "a")
	c.do(200, "POST", "/control", `{"fail":0,"die":1}`)
	_, _, err := c.try(t.Context(), "POST", "/sms", "b")
	require.Error(t, err)
	c.do(200, "POST", "/sms", "c")
	c.do(200, "POST", "/control", `{"silent":true}`)
	ctx, cancel := context.WithCancel(t.Context())
	go func() { _, _, _ = c.try(ctx, "POST", "/sms", "d") }()
	want := []string{"failed", "died", "done", "silent"}
	require.Eventually(t, func() bool { return len(c.outcomes()) == 4 && c.outcomes()[3] == "silent" }, 10*time.Second, time.Millisecond)
	require.Equal(t, want, c.outcomes())
	cancel()
	c.do(200, "POST", "/control", `{"silent":false,"refuse":true}`)
	c.do(503, "POST", "/sms", "e")
	require.Equal(t, want, c.outcomes())
	c.do(400, "POST", "/control", `{"silence":true}`)
}

func TestCallerThatLeavesIsRecorded(t *testing.T) {
	c := start(t, Defaults())
	c.do(200, "POST", "/control", `{"delay":100000}`)
	ctx, cancel := context.WithCancel(t.Context())
	go func() { _, _, _ = c.try(ctx, "POST", "/sms", "a") }()
	require.Eventually(t, func() bool { return len(c.outcomes()) == 1 }, 10*time.Second, time.Millisecond)
	cancel()
	require.Eventually(t, func() bool { return c.outcomes()[0] == "canceled" }, 10*time.Second, time.Millisecond)
}
