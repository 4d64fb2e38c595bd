// Package door opens the listeners and connections of the peer and operator
// protocols under mutual TLS.
//
// Both ends show a certificate that the deployment's authority signed. The
// names in certificates are not compared with addresses: VMs are replaced at
// any time and get new IP numbers, and what admits a process is that the
// deployment gave it a certificate. Without certificate files a door is open
// to all, so it may only bind to loopback.
package door

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"net"
	"net/http"
	"net/netip"
	"time"

	"github.com/zeebo/errs"
)

// Class is the error class of this package.
var Class = errs.Class("door")

// dialTimeout bounds connect and handshake together; peers are milliseconds away.
const dialTimeout = 2 * time.Second

// Files names PEM files. All three are set, or none.
type Files struct {
	// Authority holds the certificates that sign the deployment's members and operators.
	Authority string
	// Certificate and Key are this process's own.
	Certificate string
	Key         string
}

// Empty tells whether no file is named.
func (f Files) Empty() bool { return f == Files{} }

// Endpoint opens listeners and connections. It may be used by any number of goroutines.
type Endpoint struct {
	// files is nil without certificates.
	files *files
}

// New reads the files; without any it returns a door for loopback only.
// Report is told, once for each change, when files that changed cannot be used;
// the door then goes on with the ones it has.
func New(f Files, report func(error)) (*Endpoint, error) {
	if f.Empty() {
		return &Endpoint{}, nil
	}
	if f.Authority == "" || f.Certificate == "" || f.Key == "" {
		return nil, Class.New("tls needs authority, certificate and key: name all three files or none")
	}
	fs, err := newFiles(f, report)
	if err != nil {
		return nil, err
	}
	return &Endpoint{files: fs}, nil
}

// Secure tells whether the door asks for certificates.
func (d *Endpoint) Secure() bool { return d.files != nil }

// Listen binds to address, an IP number and a port. The handshake runs with the
// first read of a connection, so the server's own read timeout bounds it.
func (d *Endpoint) Listen(ctx context.Context, address string) (net.Listener, error) {
	if !d.Secure() && !loopback(address) {
		return nil, Class.New("%s is no loopback address and there are no certificates: "+
			"name the tls files in the settings, or bind to 127.0.0.1", address)
	}
	var c net.ListenConfig
	l, err := c.Listen(ctx, "tcp", address)
	if err != nil {
		return nil, Class.Wrap(err)
	}
	if !d.Secure() {
		return l, nil
	}
	return tls.NewListener(l, d.files.server(tls.RequireAnyClientCert)), nil
}

func loopback(address string) bool {
	a, err := netip.ParseAddrPort(address)
	return err == nil && a.Addr().IsLoopback()
}

// Dial connects to a door and shakes hands.
func (d *Endpoint) Dial(ctx context.Context, address string) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	if !d.Secure() {
		c, err := (&net.Dialer{}).DialContext(ctx, "tcp", address)
		return c, Class.Wrap(err)
	}
	c, err := (&tls.Dialer{Config: d.files.client()}).DialContext(ctx, "tcp", address)
	return c, Class.Wrap(err)
}

// Transport returns an HTTP transport through the door, for URLs that begin with "http".
func (d *Endpoint) Transport() *http.Transport {
	return &http.Transport{
		DialContext: func(ctx context.Context, _, address string) (net.Conn, error) {
			return d.Dial(ctx, address)
		},
		// Each call dials: a connection kept open may have gone silent for good.
		DisableKeepAlives: true,
	}
}

// ClientListenerConfig returns the TLS configuration for callers' connections, which show
// no certificate; the pair is re-read when it changes.
func ClientListenerConfig(certificate, key string, report func(error)) (*tls.Config, error) {
	fs, err := newFiles(Files{Certificate: certificate, Key: key}, report)
	if err != nil {
		return nil, err
	}
	return fs.server(tls.NoClientCert), nil
}

// verify checks that a peer's certificate was signed by the authority for this use.
func verify(roots *x509.CertPool, use x509.ExtKeyUsage) func(tls.ConnectionState) error {
	return func(s tls.ConnectionState) error {
		if len(s.PeerCertificates) == 0 {
			return Class.New("the other end showed no certificate")
		}
		rest := x509.NewCertPool()
		for _, c := range s.PeerCertificates[1:] {
			rest.AddCert(c)
		}
		_, err := s.PeerCertificates[0].Verify(x509.VerifyOptions{
			Roots: roots, Intermediates: rest, KeyUsages: []x509.ExtKeyUsage{use},
		})
		return Class.Wrap(err)
	}
}
