// Package doortest issues certificates for tests of package door, signed by an authority of the test.
package doortest

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"errors"
	"math/big"
	"os"
	"path/filepath"
	"time"

	"snipeshift.example/lib/door"
)

// authorityLifetime is how long an authority's certificate is valid.
const authorityLifetime = 24 * time.Hour

// Authority is a certificate authority that signs the certificates of one deployment.
type Authority struct {
	cert *x509.Certificate
	key  *ecdsa.PrivateKey
}

// NewAuthority returns an authority with a new key.
func NewAuthority() (*Authority, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, err
	}
	c := &x509.Certificate{
		SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: "test authority"},
		NotAfter: time.Now().Add(authorityLifetime), IsCA: true, BasicConstraintsValid: true, KeyUsage: x509.KeyUsageCertSign,
	}
	der, err := x509.CreateCertificate(rand.Reader, c, c, &key.PublicKey, key)
	if err != nil {
		return nil, err
	}
	cert, err := x509.ParseCertificate(der)
	return &Authority{cert, key}, err
}

// FilesIn returns the paths in dir to which Issue can write its files.
func FilesIn(dir string) door.Files {
	return door.Files{
		Authority:   filepath.Join(dir, "authority.pem"),
		Certificate: filepath.Join(dir, "certificate.pem"),
		Key:         filepath.Join(dir, "key.pem"),
	}
}

// Issue writes the authority's certificate, and a new certificate with its key for one member of the
// deployment. The member's certificate is valid until the given time, which may have passed.
func (a *Authority) Issue(f door.Files, until time.Time) error {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return err
	}
	der, err := x509.CreateCertificate(rand.Reader, &x509.Certificate{
		SerialNumber: big.NewInt(time.Now().UnixNano()), Subject: pkix.Name{CommonName: "member"},
		NotBefore: until.Add(-2 * authorityLifetime), NotAfter: until,
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageClientAuth, x509.ExtKeyUsageServerAuth},
	}, a.cert, &key.PublicKey, a.key)
	if err != nil {
		return err
	}
	text, err := x509.MarshalPKCS8PrivateKey(key)
	if err != nil {
		return err
	}
	return errors.Join(
		write(f.Authority, "CERTIFICATE", a.cert.Raw),
		write(f.Certificate, "CERTIFICATE", der),
		write(f.Key, "PRIVATE KEY", text),
	)
}

func write(name, kind string, der []byte) error {
	return os.WriteFile(name, pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der}), 0o600)
}
