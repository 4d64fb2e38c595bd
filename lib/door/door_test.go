package door_test

import (
	"context"
	"fmt"
	"io"
	"log"
	"net"
	"net/http"
	"os"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"snipeshift.example/lib/door"
	"snipeshift.example/lib/door/doortest"
)

var quiet = log.New(io.Discard, "", 0)

// newAuthority makes an authority for one test.
func newAuthority(t *testing.T) *doortest.Authority {
	a, err := doortest.NewAuthority()
	require.NoError(t, err)
	return a
}

func filesIn(t *testing.T) door.Files { return doortest.FilesIn(t.TempDir()) }

func member(t *testing.T, a *doortest.Authority, until time.Time) *door.Endpoint {
	f := filesIn(t)
	require.NoError(t, a.Issue(f, until))
	d, err := door.New(f, func(err error) { t.Log(err) })
	require.NoError(t, err)
	return d
}

// serve answers "hello" on the door and returns its address.
func serve(t *testing.T, d *door.Endpoint) string {
	l, err := d.Listen(t.Context(), "127.0.0.1:0")
	require.NoError(t, err)
	s := &http.Server{ReadHeaderTimeout: time.Second, ErrorLog: quiet, Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = io.WriteString(w, "hello")
	})}
	go func() { _ = s.Serve(l) }()
	t.Cleanup(func() { _ = s.Close() })
	return l.Addr().String()
}

func get(t *testing.T, d *door.Endpoint, address string) error {
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()
	q, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/", http.NoBody)
	require.NoError(t, err)
	res, err := d.Transport().RoundTrip(q)
	if err != nil {
		return err
	}
	defer res.Body.Close()
	text, err := io.ReadAll(res.Body)
	if err == nil && string(text) != "hello" {
		return fmt.Errorf("%s: %s", res.Status, text)
	}
	return err
}

func TestMembersOfOneDeploymentReachEachOther(t *testing.T) {
	a := newAuthority(t)
	later := time.Now().Add(time.Hour)
	require.NoError(t, get(t, member(t, a, later), serve(t, member(t, a, later))))
}

// Somebody with network access but without the deployment's certificates tries
// the peer or operator port. If it answered, they could drain VMs or take grants.
func TestStrangersAreKeptOut(t *testing.T) {
	a, other := newAuthority(t), newAuthority(t)
	later := time.Now().Add(time.Hour)
	address := serve(t, member(t, a, later))
	require.Error(t, get(t, &door.Endpoint{}, address), "no certificate")
	require.Error(t, get(t, member(t, other, later), address), "another deployment's")
	require.Error(t, get(t, member(t, a, time.Now().Add(-time.Minute)), address), "an expired one")
	require.Error(t, get(t, member(t, a, later), serve(t, member(t, other, later))), "another deployment's server")
}

// Certificates are renewed under running daemons. One that kept the old ones
// until a restart would drop out of the deployment on the day they expire.
func TestChangedFilesAreInUseWithoutARestart(t *testing.T) {
	a := newAuthority(t)
	f := filesIn(t)
	require.NoError(t, a.Issue(f, time.Now().Add(-time.Minute)))
	var failures atomic.Int32
	d, err := door.New(f, func(error) { failures.Add(1) })
	require.NoError(t, err)
	address := serve(t, d)
	client := member(t, a, time.Now().Add(time.Hour))
	require.Error(t, get(t, client, address))

	require.NoError(t, os.WriteFile(f.Key, []byte("half written"), 0o600))
	require.Eventually(t, func() bool { return get(t, client, address) != nil && failures.Load() == 1 },
		10*time.Second, 50*time.Millisecond)

	require.NoError(t, a.Issue(f, time.Now().Add(time.Hour)))
	require.Eventually(t, func() bool { return get(t, client, address) == nil }, 10*time.Second, 50*time.Millisecond)
}

// A daemon is started without certificates on an address that the whole
// network reaches. It must say so at start rather than serve everybody.
func TestWithoutCertificatesOnlyLoopback(t *testing.T) {
	d, err := door.New(door.Files{}, nil)
	require.NoError(t, err)
	for _, address := range []string{"0.0.0.0:0", "[::]:0", ":0", "10.0.0.1:7000", "localhost:0"} {
		_, err := d.Listen(t.Context(), address)
		require.ErrorContains(t, err, "certificates", address)
	}
	require.NoError(t, get(t, d, serve(t, d)))
}

func TestHalfNamedFilesAreRefused(t *testing.T) {
	_, err := door.New(door.Files{Authority: "a"}, nil)
	require.ErrorContains(t, err, "all three")
	_, err = door.New(door.Files{"a", "b", "c"}, nil)
	require.Error(t, err)
}

func TestCallersNeedNoCertificate(t *testing.T) {
	a := newAuthority(t)
	f := filesIn(t)
	require.NoError(t, a.Issue(f, time.Now().Add(time.Hour)))
	c, err := door.ClientListenerConfig(f.Certificate, f.Key, func(error) {})
	require.NoError(t, err)
	l, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp", "127.0.0.1:0")
	require.NoError(t, err)
	s := &http.Server{ReadHeaderTimeout: time.Second, ErrorLog: quiet, TLSConfig: c, Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = io.WriteString(w, "hello")
	})}
	go func() { _ = s.ServeTLS(l, "", "") }()
	t.Cleanup(func() { _ = s.Close() })
	require.NoError(t, get(t, member(t, a, time.Now().Add(time.Hour)), l.Addr().String()))
}
