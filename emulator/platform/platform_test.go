package platform

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
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

func start(t *testing.T, change func(*Settings)) client {
	t.Helper()
	s := Defaults()
	if change != nil {
		change(&s)
	}
	srv := httptest.NewServer(New(s, clock.New()))
	t.Cleanup(srv.Close)
	return client{t, srv.URL}
}

// try sends one call and returns status, entity tag and body. The headers are pairs of key and value.
func (c client) try(method, path, body string, headers ...string) (int, string, string, error) {
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, method, c.url+path, strings.NewReader(body))
	require.NoError(c.t, err)
	for i := 0; i < len(headers); i += 2 {
		r.Header.Set(headers[i], headers[i+1])
	}
	a, err := http.DefaultClient.Do(r)
	if err != nil {
		return 0, "", "", err
	}
	defer a.Body.Close()
	text, err := io.ReadAll(a.Body)
	return a.StatusCode, a.Header.Get("ETag"), string(text), err
}

func (c client) do(want int, method, path, body string, headers ...string) (tag, text string) {
	c.t.Helper()
	status, tag, text, err := c.try(method, path, body, headers...)
	require.NoError(c.t, err)
	require.Equal(c.t, want, status, text)
	return tag, text
}

func (c client) calls() Calls {
	_, text := c.do(200, "GET", "/calls", "")
	var n Calls
	require.NoError(c.t, json.Unmarshal([]byte(text), &n))
	return n
}

func TestConditionalWrites(t *testing.T) {
	c := start(t, nil)
	c.do(404, "GET", "/objects/config/document", "")
	tag, _ := c.do(204, "PUT", "/objects/config/document", "a", "If-None-Match", "*")
	require.Equal(t, `"1"`, tag)
	c.do(412, "PUT", "/objects/config/document", "b", "If-None-Match", "*")
	tag, _ = c.do(204, "PUT", "/objects/config/document", "b", "If-Match", tag)
	require.Equal(t, `"2"`, tag)
	c.do(412, "PUT", "/objects/config/document", "c", "If-Match", `"1"`)
	tag, text := c.do(200, "GET", "/objects/config/document", "")
	require.Equal(t, `"2"b`, tag+text)
	c.do(412, "DELETE", "/objects/config/document", "", "If-Match", `"1"`)
	c.do(204, "DELETE", "/objects/config/document", "", "If-Match", `"2"`)
	c.do(404, "GET", "/objects/config/document", "")
	c.do(413, "PUT", "/objects/config/document", strings.Repeat("x", 1<<20+1))
	c.do(400, "PUT", "/objects/config/document", "x", "If-Match", "old")
}

func TestListIsByPrefixWithNestedNames(t *testing.T) {
	c := start(t, nil)
	c.do(204, "PUT", "/objects/claims/b/2", "two")
	c.do(204, "PUT", "/objects/claims/b/1", "one")
	c.do(204, "PUT", "/objects/claims/a", "no")
	_, text := c.do(200, "GET", "/objects/claims?prefix=b/", "")
	require.JSONEq(t, `[{"name":"b/1","version":2,"value":"b25l"},{"name":"b/2","version":1,"value":"dHdv"}]`, text)
}

func TestWatchReturnsOnChangeOrTimeout(t *testing.T) {
	c := start(t, nil)
	c.do(204, "PUT", "/objects/config/document", "a")
	c.do(304, "GET", "/objects/config/document?after=1&wait=1", "")
	got := make(chan string)
	go func() {
		_, tag, text, _ := c.try("GET", "/objects/config/document?after=1&wait=9000", "")
		got <- tag + text
	}()
	require.Eventually(t, func() bool { return c.calls().Waiting == 1 }, 5*time.Second, time.Millisecond)
	c.do(204, "PUT", "/objects/config/other", "x")
	c.do(204, "PUT", "/objects/config/document", "b")
	require.Equal(t, `"3"b`, <-got)
	n := c.calls()
	require.Equal(t, 2, n.Watches)
	require.Equal(t, 3, n.Writes)
	require.Equal(t, 5, n.Kinds["config"])
}

// A write takes effect but its response is lost. The client sees a connection error, from which it
// cannot tell whether the write took effect.
func TestLostResponseStillWrites(t *testing.T) {
	c := start(t, nil)
	c.do(200, "POST", "/control", `{"lose":1}`)
	_, _, _, err := c.try("PUT", "/objects/claims/1", "nonce")
	require.Error(t, err)
	_, text := c.do(200, "GET", "/objects/claims/1", "")
	require.Equal(t, "nonce", text)
	c.do(204, "PUT", "/objects/claims/1", "again")
}

// The store has an outage. In a "refuse" outage every connection is reset, in a "hang" outage calls
// get no response until the outage ends.
func TestOutage(t *testing.T) {
	c := start(t, nil)
	c.do(200, "POST", "/control", `{"outage":"refuse"}`)
	_, _, _, err := c.try("GET", "/objects/config/document", "")
	require.Error(t, err)
	c.do(200, "POST", "/control", `{"outage":"hang"}`)
	got := make(chan int)
	go func() {
		status, _, _, _ := c.try("PUT", "/objects/config/document", "a")
		got <- status
	}()
	select {
	case <-got:
		require.Fail(t, "call was answered during a hang outage")
	case <-time.After(50 * time.Millisecond):
	}
	c.do(200, "POST", "/control", `{"outage":""}`)
	require.Equal(t, 204, <-got)
	c.do(400, "POST", "/control", `{"outage":"maybe"}`)
	c.do(400, "POST", "/control", `{"outrage":"hang"}`)
}

func TestStaleReadsSeeThePreviousVersion(t *testing.T) {
	c := start(t, nil)
	c.do(204, "PUT", "/objects/config/document", "a")
	c.do(204, "PUT", "/objects/config/document", "b")
	c.do(200, "POST", "/control", `{"stale":100000}`)
	_, text := c.do(200, "GET", "/objects/config/document", "")
	require.Equal(t, "a", text)
	c.do(200, "POST", "/control", `{"stale":1}`)
	require.Eventually(t, func() bool {
		_, text := c.do(200, "GET", "/objects/config/document", "")
		return text == "b"
	}, 5*time.Second, time.Millisecond)
}

func TestUnansweredWatch(t *testing.T) {
	c := start(t, nil)
	c.do(200, "POST", "/control", `{"deadwatch":true}`)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() {
		r, _ := http.NewRequestWithContext(ctx, "GET", c.url+"/objects/config/document?after=0&wait=1", nil)
		a, err := http.DefaultClient.Do(r)
		if err == nil {
			a.Body.Close()
		}
		done <- err
	}()
	require.Eventually(t, func() bool { return c.calls().Waiting == 1 }, 5*time.Second, time.Millisecond)
	c.do(204, "PUT", "/objects/config/document", "a")
	select {
	case err := <-done:
		require.Fail(t, "watch was answered although deadwatch is set", err)
	case <-time.After(50 * time.Millisecond):
	}
	cancel()
	require.Error(t, <-done)
}

func TestVMListLags(t *testing.T) {
	c := start(t, func(s *Settings) { s.Lag = 50 })
	c.do(204, "PUT", "/vms", `[{"name":"vm-1","role":"entry","domain":"kochi-hall","address":"127.0.0.1:1","state":"live"}]`)
	_, text := c.do(200, "GET", "/vms", "")
	require.Contains(t, text, `"live"`)
	c.do(200, "POST", "/control", `{"lag":100000}`)
	c.do(204, "PUT", "/vms", `[{"name":"vm-1","role":"entry","domain":"kochi-hall","address":"127.0.0.1:1","state":"leaving"}]`)
	_, text = c.do(200, "GET", "/vms", "")
	require.Contains(t, text, `"live"`)
	c.do(200, "POST", "/control", `{"lag":0}`)
	_, text = c.do(200, "GET", "/vms", "")
	require.Contains(t, text, `"leaving"`)
}

func TestRatesAreLimited(t *testing.T) {
	b := tokenBucket{rate: 2}
	require.True(t, b.take(1000))
	require.True(t, b.take(1000))
	require.False(t, b.take(1000))
	require.True(t, b.take(1500))
	require.False(t, b.take(1500))
	c := start(t, func(s *Settings) { s.Writes = 1 })
	c.do(204, "PUT", "/objects/a/1", "x")
	c.do(429, "PUT", "/objects/a/1", "x")
}
