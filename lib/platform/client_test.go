package platform

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/stretchr/testify/require"

	"snipeshift.example/lib/clock"
)

func serve(t *testing.T, h http.HandlerFunc) *Client {
	s := httptest.NewServer(h)
	t.Cleanup(s.Close)
	return NewClient(strings.TrimPrefix(s.URL, "http://"), Timeouts{Dial: 200, Read: 200, Write: 200})
}

func TestEachStatusHasItsError(t *testing.T) {
	cases := []struct {
		status      int
		read, write error
	}{
		{404, ErrNotFound, ErrConflict},
		{412, ErrRefused, ErrConflict},
		{413, ErrRefused, ErrRefused},
		{429, ErrUnavailable, ErrUnavailable},
		{503, ErrUnavailable, ErrUnknown},
		{302, ErrRefused, ErrRefused},
	}
	for _, c := range cases {
		cl := serve(t, func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(c.status) })
		_, err := cl.Get(t.Context(), "config", "document")
		require.ErrorIs(t, err, c.read, c.status)
		_, err = cl.Put(t.Context(), "config", "document", nil, IfVersion(3))
		require.ErrorIs(t, err, c.write, c.status)
	}
}

func TestConditionsAndVersionsTravel(t *testing.T) {
	cl := serve(t, func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		w.Header().Set("ETag", `"7"`)
		_, _ = io.WriteString(w, r.Method+" "+r.URL.Path+" "+r.Header.Get("If-Match")+r.Header.Get("If-None-Match")+" "+string(body))
	})
	o, err := cl.Get(t.Context(), "claims", "a b")
	require.NoError(t, err)
	require.Equal(t, Object{Name: "a b", Version: 7, Value: []byte("GET /objects/claims/a b  ")}, o)
	v, err := cl.Put(t.Context(), "claims", "a", []byte("x"), IfAbsent)
	require.NoError(t, err)
	require.Equal(t, Version(7), v)
	require.NoError(t, cl.Delete(t.Context(), "claims", "a", IfVersion(7)))
	require.Equal(t, uint64(2), cl.Counts().Writes)
	_, err = cl.Put(t.Context(), "claims", "a", make([]byte, MaxValueSize+1), Unconditional)
	require.ErrorIs(t, err, ErrRefused)
}

// The store's VM is gone and its port refuses connections. A claim must be
// able to tell its caller that nothing was written.
func TestRefusedDialProvesThatNothingWasWritten(t *testing.T) {
	s := httptest.NewServer(http.NotFoundHandler())
	s.Close()
	cl := NewClient(s.Listener.Addr().String(), DefaultTimeouts)
	_, err := cl.Put(t.Context(), "claims", "a", nil, IfAbsent)
	require.ErrorIs(t, err, ErrUnavailable)
	require.NotErrorIs(t, err, ErrUnknown)
}

// The store applies a write and the connection breaks before the answer. If
// the transport sent it again by itself, the store would see it twice and the
// caller would never know; so the write must arrive once and end as unknown.
func TestLostAnswerIsReportedAndNotRepeated(t *testing.T) {
	var writes atomic.Int32
	cl := serve(t, func(w http.ResponseWriter, r *http.Request) {
		if r.Method == http.MethodGet {
			w.Header().Set("ETag", `"1"`)
			return
		}
		_, _ = io.Copy(io.Discard, r.Body)
		writes.Add(1)
		panic(http.ErrAbortHandler)
	})
	for i := range 20 {
		_, err := cl.Get(t.Context(), "claims", "a") // leaves a kept connection
		require.NoError(t, err)
		_, err = cl.Put(t.Context(), "claims", "a", []byte("x"), IfAbsent)
		require.ErrorIs(t, err, ErrUnknown)
		require.ErrorIs(t, cl.Delete(t.Context(), "claims", "a", IfVersion(1)), ErrUnknown)
		require.Equal(t, int32(2*(i+1)), writes.Load())
	}
}

// A kept connection goes silent: it stays open and nothing arrives, while new
// connections work. The call that meets it fails within its timeout, and the
// next one must not wait on the same connection.
func TestSilentConnectionIsThrownAway(t *testing.T) {
	var first atomic.Pointer[string]
	var silent atomic.Bool
	cl := serve(t, func(w http.ResponseWriter, r *http.Request) {
		addr := r.RemoteAddr
		first.CompareAndSwap(nil, &addr)
		if silent.Load() && addr == *first.Load() {
			<-r.Context().Done()
			return
		}
		w.Header().Set("ETag", `"1"`)
	})
	_, err := cl.Get(t.Context(), "config", "document")
	require.NoError(t, err)
	silent.Store(true)
	_, err = cl.Get(t.Context(), "config", "document")
	require.ErrorIs(t, err, ErrUnavailable)
	_, err = cl.Get(t.Context(), "config", "document")
	require.NoError(t, err)
}

func TestWatchEndsWithoutNews(t *testing.T) {
	cl := serve(t, func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Query().Get("after") == "4" {
			w.WriteHeader(http.StatusNotModified)
			return
		}
		w.Header().Set("ETag", `"4"`)
		_, _ = io.WriteString(w, r.URL.RawQuery)
	})
	o, news, err := cl.Watch(t.Context(), "config", "document", 3, clock.Second)
	require.NoError(t, err)
	require.True(t, news)
	require.Equal(t, "after=3&wait=1000", string(o.Value))
	_, news, err = cl.Watch(t.Context(), "config", "document", 4, clock.Second)
	require.NoError(t, err)
	require.False(t, news)
}

func TestListsAreRead(t *testing.T) {
	cl := serve(t, func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/vms" {
			_, _ = io.WriteString(w, `[{"name":"a","role":"entry","domain":"d","address":"127.0.0.1:1","state":"leaving"}]`)
			return
		}
		_, _ = io.WriteString(w, `[{"name":"a","version":3,"value":"eA=="}]`)
	})
	vs, err := cl.VMs(context.Background())
	require.NoError(t, err)
	require.Equal(t, []VM{{Name: "a", Role: Entry, Domain: "d", Address: "127.0.0.1:1", State: Leaving}}, vs)
	os, err := cl.List(t.Context(), "usage", "")
	require.NoError(t, err)
	require.Equal(t, []Object{{Name: "a", Version: 3, Value: []byte("x")}}, os)
}
