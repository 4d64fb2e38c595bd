// Package settings reads the settings file of a daemon: what differs from VM
// to VM. What all obey is in the document.
package settings

import (
	_ "embed" // the default file
	"fmt"
	"net/netip"
	"os"
	"regexp"

	"github.com/zeebo/errs"

	"snipeshift.example/lib/clock"
	"snipeshift.example/lib/peer"
	"snipeshift.example/lib/strict"
)

// Class is the error class of this package.
var Class = errs.Class("settings")

// Default is the commented file with every field's default.
//
//go:embed default.hujson
var Default []byte

// Settings are one daemon's. default.hujson explains each field.
type Settings struct {
	Name      peer.VM     `json:"name"`
	Domain    peer.Domain `json:"domain"`
	Caller    string      `json:"caller"`
	Operator  string      `json:"operator"`
	Peer      string      `json:"peer"`
	Advertise string      `json:"advertise"`
	Contact   string      `json:"contact"`
	Platform  string      `json:"platform"`
	Peers     []string    `json:"peers"`
	Grace     clock.Milli `json:"grace"`
	Level     string      `json:"level"`
	TLS       TLS         `json:"tls"`
}

// TLS names certificate files.
type TLS struct {
	CA         string `json:"ca"`
	Cert       string `json:"cert"`
	Key        string `json:"key"`
	CallerCert string `json:"callercert"`
	CallerKey  string `json:"callerkey"`
}

// Mutual reports whether peers and operators must show certificates.
func (t TLS) Mutual() bool { return t.CA != "" }

// Read reads a file and checks it.
func Read(path string) (*Settings, error) {
	b, err := os.ReadFile(path)
	if err != nil {
		return nil, Class.Wrap(err)
	}
	return Parse(b, path)
}

// Parse reads text and checks it. The error is strict.Problems: all that is
// wrong, each with file, line and field.
func Parse(text []byte, name string) (*Settings, error) {
	s := &Settings{}
	src := strict.Read(text, name, s, fields)
	if !src.HasProblem("") {
		s.check(src)
	}
	if err := src.Problems().Err(); err != nil {
		return nil, err
	}
	if s.Advertise == "" {
		s.Advertise = s.Peer
	}
	if s.Contact == "" {
		s.Contact = s.Operator
	}
	return s, nil
}

// Bounds of the settings.
const (
	maxName = 128
	// maxGrace bounds the grace: a longer one would hold up a rolling restart of all VMs.
	maxGrace = 5 * clock.Minute
)

var vmName = regexp.MustCompile(`^[a-z0-9]([a-z0-9-]{0,61}[a-z0-9])?$`)

func (s *Settings) check(src *strict.Source) {
	if !vmName.MatchString(string(s.Name)) && !src.HasProblem("name") {
		src.AddProblem("name", "use 1 to 63 lower-case letters, digits and dashes, such as vm-1")
	}
	for _, a := range []struct{ field, address string }{
		{"caller", s.Caller}, {"operator", s.Operator}, {"peer", s.Peer}, {"platform", s.Platform},
	} {
		address(src, a.field, a.address)
	}
	advertised(src, "advertise", s.Advertise, "peer", s.Peer)
	advertised(src, "contact", s.Contact, "operator", s.Operator)
	for i, a := range s.Peers {
		address(src, fmt.Sprintf("peers[%d]", i), a)
	}
	s.TLS.check(src)
}

func (t TLS) check(src *strict.Source) {
	if (t.CA == "") != (t.Cert == "") || (t.CA == "") != (t.Key == "") {
		src.AddProblem("tls", "ca, cert and key go together: name all three or none")
	}
	if (t.CallerCert == "") != (t.CallerKey == "") {
		src.AddProblem("tls", "callercert and callerkey go together: name both or none")
	}
}

// advertised checks the address that others connect to: the one named for this, or the one that the
// door listens on.
//
// A daemon that listens on every address of its VM would tell the others 0.0.0.0. Each
// would then connect to itself, take itself for that peer, and the operators' command
// would show one VM under every name.
func advertised(src *strict.Source, field, named, door, listens string) {
	if named != "" {
		address(src, field, named)
		if wild(named) && !src.HasProblem(field) {
			src.AddProblem(field, "is what others connect to: use the IP number and port by which they reach this VM")
		}
		return
	}
	if wild(listens) && !src.HasProblem(door) {
		src.AddProblem(field, "is needed, since %s is %s: give the IP number and port by which others reach this VM", door, listens)
	}
}

// wild tells whether nobody can connect to an address as it stands.
func wild(a string) bool {
	p, err := netip.ParseAddrPort(a)
	return err == nil && (p.Addr().Unmap().IsUnspecified() || p.Port() == 0)
}

func address(src *strict.Source, field, a string) {
	if _, err := netip.ParseAddrPort(a); err != nil && !src.HasProblem(field) {
		src.AddProblem(field, `must be an IP number and a port, such as "10.0.0.7:7000"`)
	}
}
