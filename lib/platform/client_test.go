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

func TestStatusToError(t *testing.T) {
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

func TestConditionsAndVersionsAreTransmitted(t *testing.T) {
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

// The store's port refuses connections. The error must show that the write had no effect, so that the
// caller may safely repeat it.
func TestRefusedConnectionMeansNoWrite(t *testing.T) {
	s := httptest.NewServer(http.NotFoundHandler())
	s.Close()
	cl := NewClient(s.Listener.Addr().String(), DefaultTimeouts)
	_, err := cl.Put(t.Context(), "claims", "a", nil, IfAbsent)
	require.ErrorIs(t, err, ErrUnavailable)
	require.NotErrorIs(t, err, ErrUnknown)
}

// The store applies a write and the connection breaks before the response. If the transport retried
// the write by itself, the store would receive it twice without the caller's knowledge. The write must
// arrive once and return ErrUnknown.
func TestLostResponseIsReportedAndNotRetried(t *testing.T) {
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
		_, err := cl.Get(t.Context(), "claims", "a") // leaves an idle connection for reuse
		require.NoError(t, err)
		_, err = cl.Put(t.Context(), "claims", "a", []byte("x"), IfAbsent)
		require.ErrorIs(t, err, ErrUnknown)
		require.ErrorIs(t, cl.Delete(t.Context(), "claims", "a", IfVersion(1)), ErrUnknown)
		require.Equal(t, int32(2*(i+1)), writes.Load())
	}
}

// A reused connection stops responding: it stays open but no data arrives, while new connections
// work. The call on it fails after its timeout; the next call must not use the same connection.
func TestUnresponsiveConnectionIsDiscarded(t *testing.T) {
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

func TestWatchEndsWithoutChange(t *testing.T) {
	cl := serve(t, func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Query().Get("after") == "4" {
			w.WriteHeader(http.StatusNotModified)
			return
		}
		w.Header().Set("ETag", `"4"`)
		_, _ = io.WriteString(w, r.URL.RawQuery)
	})
	o, changed, err := cl.Watch(t.Context(), "config", "document", 3, clock.Second)
	require.NoError(t, err)
	require.True(t, changed)
	require.Equal(t, "after=3&wait=1000", string(o.Value))
	_, changed, err = cl.Watch(t.Context(), "config", "document", 4, clock.Second)
	require.NoError(t, err)
	require.False(t, changed)
}

// Another writer leaves odd entries in the list of VMs. A daemon that rejected the whole list would follow it no more.
func TestOddVMDoesNotAffectOthers(t *testing.T) {
	deep := strings.Repeat("[", 20_000) + strings.Repeat("]", 20_000)
	for _, odd := range []string{deep, `{"name":` + deep + `}`, `{"name":1e999}`, `7`, `"vm"`, `[]`} {
		cl := serve(t, func(w http.ResponseWriter, _ *http.Request) {
			_, _ = io.WriteString(w, `[`+odd+`,{"name":"a","role":"entry","state":"live"},`+odd+`]`)
		})
		vs, err := cl.VMs(t.Context())
		require.NoError(t, err, "%.60s", odd)
		require.Equal(t, []VM{{Name: "a", Role: Entry, State: Live}}, vs)
		require.EqualValues(t, 2, cl.Counts().UnusableVMs)
	}
}

func TestListAndVMs(t *testing.T) {
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
