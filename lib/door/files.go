package door

import (
	"crypto/tls"
	"crypto/x509"
	"os"
	"sync"
	"time"
)

// recheckInterval is the minimum time between two checks of the files for changes, which handshakes
// trigger. A renewed certificate is in use within a second, and many handshakes do not cause as many
// file reads.
const recheckInterval = time.Second

// certificates holds the contents of the files and reads them again when they change.
type certificates struct {
	paths  Files
	report func(error)

	mu     sync.Mutex
	loaded material
	// versions are those of the files at the last attempt to read them.
	versions [3]fileVersion
	checked  time.Time
}

// material is a certificate with its key and the authority's certificates, read together.
type material struct {
	pair  tls.Certificate
	roots *x509.CertPool
}

// fileVersion is used to detect that a file has changed.
type fileVersion struct {
	size     int64
	modified time.Time
}

func newCertificates(paths Files, report func(error)) (*certificates, error) {
	f := &certificates{paths: paths, report: report, checked: time.Now()}
	f.versions = f.stat()
	l, err := load(paths)
	f.loaded = l
	return f, err
}

func load(paths Files) (material, error) {
	var l material
	pair, err := tls.LoadX509KeyPair(paths.Certificate, paths.Key)
	if err != nil {
		return l, Class.New("cannot use %s with %s: %v", paths.Certificate, paths.Key, err)
	}
	l.pair = pair
	if paths.Authority == "" {
		return l, nil
	}
	text, err := os.ReadFile(paths.Authority)
	if err != nil {
		return l, Class.Wrap(err)
	}
	l.roots = x509.NewCertPool()
	if !l.roots.AppendCertsFromPEM(text) {
		return l, Class.New("%s contains no PEM certificate: put the certificate of the authority there", paths.Authority)
	}
	return l, nil
}

func (f *certificates) stat() (versions [3]fileVersion) {
	for i, name := range []string{f.paths.Authority, f.paths.Certificate, f.paths.Key} {
		s, err := os.Stat(name)
		if err == nil {
			versions[i] = fileVersion{s.Size(), s.ModTime()}
		}
	}
	return versions
}

// current returns the newest usable contents of the files. While certificate and key are being
// replaced one after the other they do not match; the earlier contents stay in use until they do,
// so that no handshake fails in between.
func (f *certificates) current() material {
	f.mu.Lock()
	defer f.mu.Unlock()
	if time.Since(f.checked) < recheckInterval {
		return f.loaded
	}
	f.checked = time.Now()
	versions := f.stat()
	if versions == f.versions {
		return f.loaded
	}
	f.versions = versions
	l, err := load(f.paths)
	if err != nil {
		f.report(err)
		return f.loaded
	}
	f.loaded = l
	return l
}

// server returns the TLS configuration of the listening side.
func (f *certificates) server(auth tls.ClientAuthType) *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) {
			l := f.current()
			c := &tls.Config{
				MinVersion:   tls.VersionTLS13,
				Certificates: []tls.Certificate{l.pair},
				ClientAuth:   auth,
				// A resumed session would not be verified against an authority that has been replaced.
				SessionTicketsDisabled: true,
				NextProtos:             []string{"http/1.1"},
			}
			if auth != tls.NoClientCert {
				c.VerifyConnection = verify(l.roots, x509.ExtKeyUsageClientAuth)
			}
			return c, nil
		},
	}
}

// client returns the TLS configuration of the dialing side.
func (f *certificates) client() *tls.Config {
	l := f.current()
	return &tls.Config{
		MinVersion:   tls.VersionTLS13,
		Certificates: []tls.Certificate{l.pair},
		// Server names are not compared, see the package comment; VerifyConnection checks the chain.
		InsecureSkipVerify: true,
		VerifyConnection:   verify(l.roots, x509.ExtKeyUsageServerAuth),
	}
}
