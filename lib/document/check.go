package document

import (
	"fmt"
	"net/netip"
	"strings"

	"snipeshift.example/lib/strict"
)

// checker finds what no single field shows: dangling references, duplicates
// and contradictions. It goes on after a problem, so that all are reported at once.
type checker struct {
	source   *strict.Source
	document *Document
}

// names maps each name of a table to the path where it stands first.
type names map[string]string

func (c *checker) run() {
	d := c.document
	domains := c.table("domains", len(d.Domains), func(i int) string { return d.Domains[i].Name }, "")
	models := c.table("models", len(d.Models), func(i int) string { return d.Models[i].Name }, "/:")
	services := c.table("services", len(d.Services), func(i int) string { return d.Services[i].Name }, "")
	kinds := c.table("kinds", len(d.Kinds), func(i int) string { return d.Kinds[i].Name }, "")
	c.table("workspaces", len(d.Workspaces), func(i int) string { return d.Workspaces[i].Name }, "")
	c.table("upstreams", len(d.Upstreams), func(i int) string { return d.Upstreams[i].Name }, "")
	c.services(models, kinds)
	c.workspaces(models, kinds)
	c.upstreams(domains, models, services)
	if len(kinds) == 0 && (len(models) > 0 || len(services) > 0) {
		c.source.AddProblem("kinds", "has no entry, so no request could be served: add one")
	}
}

// table checks the names of a table and returns them.
func (c *checker) table(path string, n int, name func(int) string, extra string) names {
	seen := names{}
	for i := range n {
		at := fmt.Sprintf("%s[%d].name", path, i)
		if c.source.HasProblem(at) {
			continue
		}
		if !valid(name(i), extra) {
			c.invalid(at, extra)
		}
		c.once(seen, name(i), at, "is the name of an earlier entry")
	}
	return seen
}

func (c *checker) invalid(path, extra string) {
	c.source.AddProblem(path, "may hold letters, digits and any of ._-%s, and begins with a letter or digit", extra)
}

// valid tells whether a name is safe in paths, headers, metrics and pool ids.
func valid(name, extra string) bool {
	for i, r := range name {
		letter := r >= 'a' && r <= 'z' || r >= 'A' && r <= 'Z' || r >= '0' && r <= '9'
		if !letter && (i == 0 || !strings.ContainsRune("._-"+extra, r)) {
			return false
		}
	}
	return true
}

// once reports a value that stands elsewhere already.
func (c *checker) once(seen names, value, path, text string) {
	first, ok := seen[value]
	if !ok {
		seen[value] = path
		return
	}
	c.source.AddProblem(path, "%s, at line %d: use it once", text, c.source.Line(first))
}

// refer reports a name that no entry of a table has.
func (c *checker) refer(known names, name, path, table string) {
	if _, ok := known[name]; ok || c.source.HasProblem(path) {
		return
	}
	c.source.AddProblem(path, "names %q, which is not in %s: add it there or correct the name", name, table)
}

func (c *checker) services(models, kinds names) {
	for i, s := range c.document.Services {
		at := fmt.Sprintf("services[%d]", i)
		c.refer(kinds, s.Kind, at+".kind", "kinds")
		if first, ok := models[s.Name]; ok {
			c.source.AddProblem(at+".name", "is also a model, at line %d: rename one, since pools are identified by name", c.source.Line(first))
		}
	}
}

func (c *checker) workspaces(models, kinds names) {
	keys := names{}
	for i, w := range c.document.Workspaces {
		at := fmt.Sprintf("workspaces[%d]", i)
		for j, k := range w.Keys {
			c.key(keys, k, fmt.Sprintf("%s.keys[%d]", at, j))
		}
		c.list(kinds, w.Kinds, at+".kinds", "kinds")
		c.list(models, w.Models, at+".models", "models")
	}
}

func (c *checker) list(known names, list []string, path, table string) {
	seen := names{}
	for i, name := range list {
		at := fmt.Sprintf("%s[%d]", path, i)
		c.refer(known, name, at, table)
		c.once(seen, name, at, "stands in this list already")
	}
}

// key checks a key's hash and never repeats it: by mistake it may be the key itself.
func (c *checker) key(seen names, key, path string) {
	if c.source.HasProblem(path) {
		return
	}
	if !hashed(key) {
		c.source.AddProblem(path, `must be "sha256:" and 64 lower-case hex digits: print it with snipeshift hash; if this is a key itself, replace the key`)
		return
	}
	c.once(seen, key, path, "is a key in use already")
}

func (c *checker) upstreams(domains, models, services names) {
	addresses := names{}
	for i := range c.document.Upstreams {
		u := &c.document.Upstreams[i]
		at := fmt.Sprintf("upstreams[%d]", i)
		c.domain(domains, u.Domain, at+".domain")
		c.address(addresses, u.Address, at+".address")
		switch {
		case u.Model != "" && u.Service != "":
			c.source.AddProblem(at+".service", "contradicts model: an upstream is an engine or a plain service, remove one")
		case u.Model != "":
			c.refer(models, u.Model, at+".model", "models")
			c.engine(u, at)
		case u.Service != "":
			c.refer(services, u.Service, at+".service", "services")
			c.plain(u, at)
		case !c.source.HasProblem(at) && !c.source.HasProblem(at+".model") && !c.source.HasProblem(at+".service"):
			c.source.AddProblem(at, "serves nothing: add a model or a service")
		}
	}
}

func (c *checker) domain(domains names, name, path string) {
	switch {
	case len(domains) > 0:
		c.refer(domains, name, path, "domains")
	case !valid(name, ""):
		c.invalid(path, "")
	}
}

func (c *checker) address(seen names, address, path string) {
	if c.source.HasProblem(path) {
		return
	}
	a, err := netip.ParseAddrPort(address)
	if err != nil || a.Port() == 0 || a.Addr().IsUnspecified() {
		c.source.AddProblem(path, `must be an IP number and a port, such as "10.0.0.7:8000" or "[fd00::7]:8000"`)
		return
	}
	c.once(seen, a.String(), path, "is the address of an earlier upstream")
}

// engine checks that the figures are there by which engines are chosen; with
// one missing, work would go to it without end or never.
func (c *checker) engine(u *Upstream, at string) {
	c.positive(float64(u.Memory), at+".memory", "tokens of KV memory")
	c.positive(float64(u.Prefill), at+".prefill", "prompt tokens per second")
	c.positive(float64(u.Decode), at+".decode", "output tokens per second")
}

func (c *checker) positive(n float64, path, unit string) {
	if n <= 0 && !c.source.HasProblem(path) {
		c.source.AddProblem(path, "must be above 0 for an engine: give its %s", unit)
	}
}

// plain checks that a plain service has no figure that only engines have.
func (c *checker) plain(u *Upstream, at string) {
	c.zero(float64(u.Memory), at+".memory")
	c.zero(float64(u.Prefill), at+".prefill")
	c.zero(float64(u.Decode), at+".decode")
	if u.Fenced {
		c.source.AddProblem(at+".fenced", "contradicts service: a plain service takes no orders, remove it")
	}
}

func (c *checker) zero(n float64, path string) {
	if n != 0 {
		c.source.AddProblem(path, "contradicts service: a plain service has none, remove it")
	}
}
