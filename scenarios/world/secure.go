package world

import (
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"time"

	tlsdoor "snipeshift.example/lib/door"
	"snipeshift.example/lib/door/doortest"
	"snipeshift.example/lib/operator"
	"snipeshift.example/lib/peer"
)

// Certificate holders other than daemons, which are also names of folders.
const (
	// operatorHolder is the operator: the operator command and the scenario's own calls.
	operatorHolder = "operator"
	// formerHolder is a copy of the operator's files from before the last renewal.
	formerHolder = "former"
)

// validity is the validity period of the certificates of a scenario.
const validity = time.Hour

// unauthorizedTimeout is the time limit of an unauthorized call. A call without a response within this
// time counts as rejected.
const unauthorizedTimeout = 3 * time.Second

// certificateFiles returns the paths of a holder's certificate files.
func (w *World) certificateFiles(holder string) tlsdoor.Files {
	return doortest.FilesIn(filepath.Join(w.dir, "certificates", holder))
}

// setUpTLS issues certificates of a new authority to the operator and all daemons, and makes calls to
// operator addresses use TLS.
func (w *World) setUpTLS() error {
	if err := w.issueCertificates(append(nodeNames(w.nodesOf(roleDaemon)), operatorHolder)...); err != nil {
		return err
	}
	d, err := tlsdoor.New(w.certificateFiles(operatorHolder), func(error) {})
	if err != nil {
		return err
	}
	w.operatorClient = &http.Client{Transport: d.Transport()}
	return nil
}

// issueCertificates writes certificates of a new authority for the holders.
func (w *World) issueCertificates(holders ...string) error {
	a, err := doortest.NewAuthority()
	if err != nil {
		return err
	}
	for _, h := range holders {
		f := w.certificateFiles(h)
		if err := os.MkdirAll(filepath.Dir(f.Key), 0o700); err != nil {
			return err
		}
		if err := a.Issue(f, time.Now().Add(validity)); err != nil {
			return err
		}
	}
	return nil
}

// RenewCertificates replaces the certificate files of the operator and all daemons by those of a new
// authority, while the processes run. It keeps a copy of the operator's old files for FormerOperatorEnv.
func (w *World) RenewCertificates() error {
	if err := os.CopyFS(filepath.Join(w.dir, "certificates", formerHolder), os.DirFS(filepath.Join(w.dir, "certificates", operatorHolder))); err != nil {
		return err
	}
	return w.issueCertificates(append(nodeNames(w.nodesOf(roleDaemon)), operatorHolder)...)
}

// FormerOperatorEnv returns the environment variables with which the operator command trusts
// the current authority but presents its certificate from before the renewal.
func (w *World) FormerOperatorEnv() map[string]string {
	f := w.certificateFiles(formerHolder)
	f.Authority = w.certificateFiles(operatorHolder).Authority
	return certificateEnv(f)
}

func certificateEnv(f tlsdoor.Files) map[string]string {
	return map[string]string{
		"SNIPESHIFT_AUTHORITY": f.Authority, "SNIPESHIFT_CERTIFICATE": f.Certificate, "SNIPESHIFT_KEY": f.Key,
	}
}

// CheckUnauthorized calls a daemon's peer and operator addresses in plain text, without a
// client certificate, and with a certificate of another authority. It returns an
// error for each call that succeeds.
func (w *World) CheckUnauthorized(ctx context.Context, name string) error {
	n, _, err := w.runningProcess(name)
	if err != nil {
		return err
	}
	other, err := w.otherAuthority()
	if err != nil {
		return err
	}
	dials := map[string]peer.Dial{"that connects in plain text": peer.DialTCP, "without a certificate": dialWithoutCertificate, "with another deployment's certificate": other.Dial}
	var errs []error
	for description, dial := range dials {
		if answersOperator(ctx, dial, n.listenAddresses[operatorEndpoint]) {
			errs = append(errs, fmt.Errorf("%s serves its operator address to a client %s", name, description))
		}
		if answersPeer(ctx, dial, n.listenAddresses[peerEndpoint]) {
			errs = append(errs, fmt.Errorf("%s serves its peer address to a client %s", name, description))
		}
	}
	return errors.Join(errs...)
}

// otherAuthority returns an endpoint with a certificate of another authority than the daemons'.
func (w *World) otherAuthority() (*tlsdoor.Endpoint, error) {
	if err := w.issueCertificates("stranger"); err != nil {
		return nil, err
	}
	return tlsdoor.New(w.certificateFiles("stranger"), func(error) {})
}

// dialWithoutCertificate opens a TLS connection without a client certificate, and accepts any server certificate.
func dialWithoutCertificate(ctx context.Context, address string) (net.Conn, error) {
	d := tls.Dialer{Config: &tls.Config{MinVersion: tls.VersionTLS13, InsecureSkipVerify: true}}
	return d.DialContext(ctx, "tcp", address)
}

// answersOperator reports whether a call to an operator address succeeds over a connection
// opened by dial.
func answersOperator(ctx context.Context, dial peer.Dial, address string) bool {
	c := http.Client{Transport: &http.Transport{
		DisableKeepAlives: true,
		DialContext:       func(ctx context.Context, _, a string) (net.Conn, error) { return dial(ctx, a) },
	}}
	ctx, cancel := context.WithTimeout(ctx, unauthorizedTimeout)
	defer cancel()
	_, err := sendWith(ctx, &c, http.MethodGet, "http://"+address+operator.PathMembers, nil, nil)
	return err == nil
}

// answersPeer reports whether a probe of an address for peers succeeds over a connection opened by
// dial.
func answersPeer(ctx context.Context, dial peer.Dial, address string) bool {
	d := peer.NewDialer(dial)
	defer d.Close()
	ctx, cancel := context.WithTimeout(ctx, unauthorizedTimeout)
	defer cancel()
	return d.Call(ctx, address, peer.ProbeMethod, peer.Empty{}, &peer.Empty{}) == nil
}
