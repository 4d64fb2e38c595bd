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

// Holders of certificates that are no daemons.
const (
	// operatorFiles belong to the runner and to the operators' command.
	operatorFiles = "operator"
	// formerFiles are a copy of the operator's before the last renewal.
	formerFiles = "former"
)

// issued is how long a certificate of a scenario is valid.
const issued = time.Hour

// strangerLimit bounds one try of a stranger; a door that does not answer is shut too.
const strangerLimit = 3 * time.Second

// files names the certificate files of a holder.
func (w *World) files(holder string) tlsdoor.Files {
	return doortest.FilesIn(filepath.Join(w.dir, "certificates", holder))
}

// secure gives the operator and all daemons certificates of a new authority.
func (w *World) secure() error {
	if err := w.issue(append(names(w.named(roleDaemon)), operatorFiles)...); err != nil {
		return err
	}
	d, err := tlsdoor.New(w.files(operatorFiles), func(error) {})
	if err != nil {
		return err
	}
	w.operators = &http.Client{Transport: d.Transport()}
	return nil
}

func (w *World) issue(holders ...string) error {
	a, err := doortest.NewAuthority()
	if err != nil {
		return err
	}
	for _, h := range holders {
		f := w.files(h)
		if err := os.MkdirAll(filepath.Dir(f.Key), 0o700); err != nil {
			return err
		}
		if err := a.Issue(f, time.Now().Add(issued)); err != nil {
			return err
		}
	}
	return nil
}

// RenewCertificates replaces all certificates, and the authority that signs them, under the running processes.
func (w *World) RenewCertificates() error {
	if err := os.CopyFS(filepath.Join(w.dir, "certificates", formerFiles), os.DirFS(filepath.Join(w.dir, "certificates", operatorFiles))); err != nil {
		return err
	}
	return w.issue(append(names(w.named(roleDaemon)), operatorFiles)...)
}

// FormerOperatorEnv are the variables by which the operators' command trusts the present
// authority and shows the certificate that it had before the renewal.
func (w *World) FormerOperatorEnv() map[string]string {
	f := w.files(formerFiles)
	f.Authority = w.files(operatorFiles).Authority
	return fileEnv(f)
}

func fileEnv(f tlsdoor.Files) map[string]string {
	return map[string]string{
		"SNIPESHIFT_AUTHORITY": f.Authority, "SNIPESHIFT_CERTIFICATE": f.Certificate, "SNIPESHIFT_KEY": f.Key,
	}
}

// CheckUnauthorized tries a daemon's peer and operator doors in plain text, without a
// certificate and with another deployment's. An answer to any is an error.
func (w *World) CheckUnauthorized(ctx context.Context, name string) error {
	n, _, err := w.live(name)
	if err != nil {
		return err
	}
	other, err := w.otherDeployment()
	if err != nil {
		return err
	}
	ways := map[string]peer.Dial{"in plain text": peer.DialTCP, "without a certificate": dialBare, "with another deployment's certificate": other.Dial}
	var errs []error
	for way, dial := range ways {
		if answersOperator(ctx, dial, n.own[doorOperator]) {
			errs = append(errs, fmt.Errorf("%s answers operators %s", name, way))
		}
		if answersPeer(ctx, dial, n.own[doorPeer]) {
			errs = append(errs, fmt.Errorf("%s answers peers %s", name, way))
		}
	}
	return errors.Join(errs...)
}

func (w *World) otherDeployment() (*tlsdoor.Endpoint, error) {
	if err := w.issue("stranger"); err != nil {
		return nil, err
	}
	return tlsdoor.New(w.files("stranger"), func(error) {})
}

// dialBare shakes hands without a certificate of its own.
func dialBare(ctx context.Context, address string) (net.Conn, error) {
	d := tls.Dialer{Config: &tls.Config{MinVersion: tls.VersionTLS13, InsecureSkipVerify: true}}
	return d.DialContext(ctx, "tcp", address)
}

func answersOperator(ctx context.Context, dial peer.Dial, address string) bool {
	c := http.Client{Transport: &http.Transport{
		DisableKeepAlives: true,
		DialContext:       func(ctx context.Context, _, a string) (net.Conn, error) { return dial(ctx, a) },
	}}
	ctx, cancel := context.WithTimeout(ctx, strangerLimit)
	defer cancel()
	_, err := sendBy(ctx, &c, http.MethodGet, "http://"+address+operator.PathMembers, nil, nil)
	return err == nil
}

func answersPeer(ctx context.Context, dial peer.Dial, address string) bool {
	d := peer.NewDialer(dial)
	defer d.Close()
	ctx, cancel := context.WithTimeout(ctx, strangerLimit)
	defer cancel()
	return d.Call(ctx, address, peer.ProbeMethod, peer.Empty{}, &peer.Empty{}) == nil
}
