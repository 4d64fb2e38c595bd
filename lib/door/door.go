// Package door opens the listeners and connections of the peer and operator
// protocols under mutual TLS.
//
// Both ends present a certificate that the deployment's certificate authority
// has signed. The names in certificates are not compared with addresses: VMs
// are replaced at any time and get new IP addresses, and a process is admitted
// because the deployment issued a certificate to it. Without certificate files
// anyone could connect, so listeners may then only bind to loopback.
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

// dialTimeout bounds connecting and the handshake together; the latency to peers is a few milliseconds.
const dialTimeout = 2 * time.Second

// Files are the paths of PEM files. Either all three are set or none.
type Files struct {
	// Authority contains the certificates of the authority that signs those of VMs and operators.
	Authority string
	// Certificate and Key are those of this process.
	Certificate string
	Key         string
}

// Empty reports whether no file is set.
func (f Files) Empty() bool { return f == Files{} }

// Endpoint opens listeners and connections. It is safe for concurrent use.
type Endpoint struct {
	// certificates is nil if no certificate files are set.
	certificates *certificates
}

// New reads the files. If none is set, it returns an endpoint without TLS, which listens on loopback
// only. Files that change later are read again; if they cannot be used, report is called once for
// each change, and the endpoint continues with the certificates that it has.
func New(f Files, report func(error)) (*Endpoint, error) {
	if f.Empty() {
		return &Endpoint{}, nil
	}
	if f.Authority == "" || f.Certificate == "" || f.Key == "" {
		return nil, Class.New("tls needs authority, certificate and key: name all three files or none")
	}
	fs, err := newCertificates(f, report)
	if err != nil {
		return nil, err
	}
	return &Endpoint{certificates: fs}, nil
}

// Secure reports whether connections use mutual TLS.
func (d *Endpoint) Secure() bool { return d.certificates != nil }

// Listen binds to address, an IP address and a port. The handshake runs with the
// first read of a connection, so the read timeout of the server bounds it.
func (d *Endpoint) Listen(ctx context.Context, address string) (net.Listener, error) {
	return d.ListenWrapped(ctx, address, func(l net.Listener) net.Listener { return l })
}

// ListenWrapped is Listen with a function that is applied to the listener of TCP connections, below TLS.
func (d *Endpoint) ListenWrapped(ctx context.Context, address string, wrap func(net.Listener) net.Listener) (net.Listener, error) {
	if !d.Secure() && !loopback(address) {
		return nil, Class.New("%s is not a loopback address and there are no certificates: "+
			"name the tls files in the settings, or bind to 127.0.0.1", address)
	}
	var c net.ListenConfig
	l, err := c.Listen(ctx, "tcp", address)
	if err != nil {
		return nil, Class.Wrap(err)
	}
	l = wrap(l)
	if !d.Secure() {
		return l, nil
	}
	return tls.NewListener(l, d.certificates.server(tls.RequireAnyClientCert)), nil
}

func loopback(address string) bool {
	a, err := netip.ParseAddrPort(address)
	return err == nil && a.Addr().IsLoopback()
}

// Dial connects to the listener of another endpoint and completes the TLS handshake.
func (d *Endpoint) Dial(ctx context.Context, address string) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	if !d.Secure() {
		c, err := (&net.Dialer{}).DialContext(ctx, "tcp", address)
		return c, Class.Wrap(err)
	}
	c, err := (&tls.Dialer{Config: d.certificates.client()}).DialContext(ctx, "tcp", address)
	return c, Class.Wrap(err)
}

// Transport returns an HTTP transport that connects with Dial. URLs have the scheme "http", since
// Dial adds the TLS layer.
func (d *Endpoint) Transport() *http.Transport {
	return &http.Transport{
		DialContext: func(ctx context.Context, _, address string) (net.Conn, error) {
			return d.Dial(ctx, address)
		},
		// Each request opens a connection: a pooled one may be broken without having been closed.
		DisableKeepAlives: true,
	}
}

// ClientListenerConfig returns the server-side TLS configuration for connections of clients, which
// present no certificate. The files are read again when they change; report is called if they
// cannot be used.
func ClientListenerConfig(certificate, key string, report func(error)) (*tls.Config, error) {
	fs, err := newCertificates(Files{Certificate: certificate, Key: key}, report)
	if err != nil {
		return nil, err
	}
	return fs.server(tls.NoClientCert), nil
}

// verify returns a check that the peer's certificate was signed by the authority for this use.
func verify(roots *x509.CertPool, use x509.ExtKeyUsage) func(tls.ConnectionState) error {
	return func(s tls.ConnectionState) error {
		if len(s.PeerCertificates) == 0 {
			return Class.New("the peer presented no certificate")
		}
		intermediates := x509.NewCertPool()
		for _, c := range s.PeerCertificates[1:] {
			intermediates.AddCert(c)
		}
		_, err := s.PeerCertificates[0].Verify(x509.VerifyOptions{
			Roots: roots, Intermediates: intermediates, KeyUsages: []x509.ExtKeyUsage{use},
		})
		return Class.Wrap(err)
	}
}
