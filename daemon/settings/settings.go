// Package settings reads the settings file of a daemon, which has what differs from VM to VM. The
// configuration that is common to all VMs is in the document.
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

// Default is a commented settings file in which every field has its default.
//
//go:embed default.hujson
var Default []byte

// Settings are the settings of one daemon. default.hujson explains each field.
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
	// Descriptors is the number of descriptors that the process may open, if that is less than the system's limit; zero
	// if it is not.
	Descriptors int `json:"descriptors"`
	TLS         TLS `json:"tls"`
}

// TLS names the files with certificates and keys, in PEM.
type TLS struct {
	CA         string `json:"ca"`
	Cert       string `json:"cert"`
	Key        string `json:"key"`
	CallerCert string `json:"callercert"`
	CallerKey  string `json:"callerkey"`
}

// Mutual reports whether peers and operators must present certificates.
func (t TLS) Mutual() bool { return t.CA != "" }

// Read reads a file and checks it.
func Read(path string) (*Settings, error) {
	b, err := os.ReadFile(path)
	if err != nil {
		return nil, Class.Wrap(err)
	}
	return Parse(b, path)
}

// Parse parses text and checks it; name is the file name for error messages. The error is of type
// strict.Problems and lists all problems, each with file, line and field.
func Parse(text []byte, name string) (*Settings, error) {
	s := &Settings{}
	src := strict.Read(text, name, s, settingsFields)
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
	maxNameLength = 128
	// maxGrace bounds the grace period and other times: a longer grace period would delay a rolling
	// restart of all VMs.
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
		checkAddress(src, a.field, a.address)
	}
	checkAdvertised(src, "advertise", s.Advertise, "peer", s.Peer)
	checkAdvertised(src, "contact", s.Contact, "operator", s.Operator)
	for i, a := range s.Peers {
		checkAddress(src, fmt.Sprintf("peers[%d]", i), a)
	}
	s.TLS.check(src)
}

func (t TLS) check(src *strict.Source) {
	if (t.CA == "") != (t.Cert == "") || (t.CA == "") != (t.Key == "") {
		src.AddProblem("tls", "ca, cert and key go together: set all three or none")
	}
	if (t.CallerCert == "") != (t.CallerKey == "") {
		src.AddProblem("tls", "callercert and callerkey go together: set both or none")
	}
}

// checkAdvertised checks the address that other VMs connect to: the advertised address or, if that is
// empty, the address to listen on.
//
// A daemon that listens on every address of its VM would otherwise advertise 0.0.0.0. Each other
// daemon would then connect to itself and take itself for that peer, and the operator command would
// show one VM under every name.
func checkAdvertised(src *strict.Source, field, advertise, listenField, listen string) {
	if advertise != "" {
		checkAddress(src, field, advertise)
		if unreachable(advertise) && !src.HasProblem(field) {
			src.AddProblem(field, "is what others connect to: use the IP address and port at which they reach this VM")
		}
		return
	}
	if unreachable(listen) && !src.HasProblem(listenField) {
		src.AddProblem(field, "is needed, since %s is %s: set it to the IP address and port at which others reach this VM", listenField, listen)
	}
}

// unreachable reports whether an address is no destination for a connection: it has the unspecified
// IP address or port 0.
func unreachable(a string) bool {
	p, err := netip.ParseAddrPort(a)
	return err == nil && (p.Addr().Unmap().IsUnspecified() || p.Port() == 0)
}

// checkAddress requires an IP address with a port.
func checkAddress(src *strict.Source, field, a string) {
	if _, err := netip.ParseAddrPort(a); err != nil && !src.HasProblem(field) {
		src.AddProblem(field, `must be an IP address and a port, such as "10.0.0.7:7000"`)
	}
}
