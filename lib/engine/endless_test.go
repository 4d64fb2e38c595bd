package engine

import (
	"context"
	"net"
	"net/http/httptest"
	"runtime"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"snipeshift.example/lib/dial/dialtest"
)

// Beginnings of valid responses.
const (
	streamHead  = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n"
	chunkedHead = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
	chunk       = "id: 0\ndata: {\"id\":\"r\",\"choices\":[{\"delta\":{\"content\":\"boil\"}}]}\n\n"
)

// callTimeout bounds each call of the tests.
const callTimeout = 300 * time.Millisecond

// endlessEngine returns a client, the address of an engine that responds without end, and the count of bytes read.
func endlessEngine(t *testing.T, e dialtest.Endless) (c *Client, address string, read *atomic.Int64) {
	t.Helper()
	s := httptest.NewServer(e)
	t.Cleanup(s.Close)
	read = &atomic.Int64{}
	return NewClient(dialtest.Count((&net.Dialer{}).DialContext, read)), strings.TrimPrefix(s.URL, "http://"), read
}

// An engine sends a generation without end: in the header, in an event, or in events. The gate must stop reading by itself, or
// when the stream has gone without an event for as long as it may.
func TestEndlessGenerationIsCutOff(t *testing.T) {
	for _, e := range []dialtest.Endless{
		{Name: "header", Begin: "HTTP/1.1 200 OK\r\nX: ", Repeat: "x"},
		{Name: "fields", Begin: "HTTP/1.1 200 OK\r\n", Repeat: "A: b\r\n"},
		{Name: "garbage", Begin: streamHead, Repeat: "x"},
		{Name: "lines", Begin: streamHead, Repeat: "data: x\n"},
		{Name: "comment", Begin: streamHead + ": ", Repeat: "x"},
		{Name: "events", Begin: streamHead, Repeat: "data: x\n\n"},
		{Name: "repeated event", Begin: streamHead, Repeat: chunk},
		{Name: "chunk size", Begin: chunkedHead, Repeat: "0"},
		{Name: "trailer", Begin: chunkedHead + "0\r\n", Repeat: "A: b\r\n"},
		{Name: "failure", Begin: "HTTP/1.1 500 Broken\r\n\r\n", Repeat: "x"},
		{Name: "slow garbage", Begin: streamHead, Repeat: "x", Pause: time.Millisecond},
		{Name: "slow failure", Begin: "HTTP/1.1 500 Broken\r\n\r\n", Repeat: "x", Pause: 10 * time.Millisecond},
	} {
		for _, once := range []bool{false, true} {
			c, address, read := endlessEngine(t, e)
			began := time.Now()
			s, err := c.Start(t.Context(), Call{Address: address, Path: "/v1/completions", Once: once, Request: "r", Output: 8}, callTimeout, callTimeout)
			if err == nil {
				err = s.Each(func(Chunk) error { return nil })
			}
			require.Error(t, err, e.Name)
			require.Less(t, time.Since(began), callTimeout+time.Second, e.Name)
			require.LessOrEqual(t, read.Load(), int64(maxEventBytes+maxHeaderBytes+dialtest.ReadAhead), e.Name)
		}
	}
}

// An engine answers a report, or a call whose response is not used, without end.
func TestEndlessReportIsCutOff(t *testing.T) {
	for _, e := range []dialtest.Endless{
		{Name: "header", Begin: "HTTP/1.1 200 OK\r\nX: ", Repeat: "x"},
		{Name: "text", Begin: "HTTP/1.1 200 OK\r\n\r\n{\"role\":\"", Repeat: "x"},
		{Name: "list", Begin: "HTTP/1.1 200 OK\r\n\r\n{\"running\":[{}", Repeat: ",{}"},
		{Name: "white space", Begin: "HTTP/1.1 200 OK\r\n\r\n", Repeat: " "},
		{Name: "slow text", Begin: "HTTP/1.1 200 OK\r\n\r\n{\"role\":\"", Repeat: "x", Pause: time.Millisecond},
		{Name: "failure", Begin: "HTTP/1.1 500 Broken\r\n\r\n", Repeat: "x"},
	} {
		c, address, read := endlessEngine(t, e)
		ctx, cancel := context.WithTimeout(t.Context(), callTimeout)
		began := time.Now()
		_, err := c.Load(ctx, address)
		require.Error(t, err, e.Name)
		_, err = c.Events(ctx, address, 0)
		require.Error(t, err, e.Name)
		_ = c.Cancel(ctx, address, "r") // its response is not used
		cancel()
		require.Less(t, time.Since(began), callTimeout+time.Second, e.Name)
		require.LessOrEqual(t, read.Load(), int64(3*(maxResponseBytes+dialtest.ReadAhead)), e.Name)
	}
}

// Sizes of the test of many responses without end at once.
const (
	endlessResponses = 60
	// vmMemory is the memory of a VM in bytes.
	vmMemory = 284 << 20
)

// watchHeap returns a function that ends the watch and returns the largest size of the heap meanwhile, in bytes.
func watchHeap() (end func() uint64) {
	done, peak := make(chan struct{}), make(chan uint64)
	go func() {
		var most uint64
		var m runtime.MemStats
		for {
			runtime.ReadMemStats(&m)
			most = max(most, m.HeapInuse)
			select {
			case <-done:
				peak <- most
				return
			case <-time.After(time.Millisecond):
			}
		}
	}()
	return func() uint64 { close(done); return <-peak }
}

// Sixty engines respond without end at the same time. A VM that kept all that they send would run out of memory.
func TestManyEndlessResponsesStayWithinMemory(t *testing.T) {
	for _, e := range []dialtest.Endless{
		{Name: "fields", Begin: "HTTP/1.1 200 OK\r\n", Repeat: "A: b\r\n"},
		{Name: "event", Begin: streamHead, Repeat: "data: x\n"},
		{Name: "report", Begin: "HTTP/1.1 200 OK\r\n\r\n{\"running\":[{}", Repeat: ",{}"},
	} {
		c, address, _ := endlessEngine(t, e)
		end := watchHeap()
		var wg sync.WaitGroup
		for range endlessResponses {
			wg.Go(func() {
				ctx, cancel := context.WithTimeout(t.Context(), callTimeout)
				defer cancel()
				if _, err := c.Load(ctx, address); err == nil {
					t.Error(e.Name, "passes for a report")
				}
				s, err := c.Start(t.Context(), Call{Address: address, Path: "/v1/completions", Request: "r", Output: 8}, callTimeout, callTimeout)
				if err == nil {
					err = s.Each(func(Chunk) error { return nil })
				}
				if err == nil {
					t.Error(e.Name, "passes for a generation")
				}
			})
		}
		wg.Wait()
		peak := end()
		t.Logf("%s: %d MB at most", e.Name, peak>>20)
		require.Less(t, peak, uint64(vmMemory), e.Name)
	}
}
