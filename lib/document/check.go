package document

import (
	"fmt"
	"net/netip"
	"strings"

	"snipeshift.example/lib/strict"
)

// checker checks a document for faults that involve several fields: dangling references,
// duplicates and contradictions. It continues after a problem, so that all are reported in one run.
type checker struct {
	source   *strict.Source
	document *Document
}

// firstPaths maps each value, such as the name of an entry, to the path of its first occurrence.
type firstPaths map[string]string

func (c *checker) run() {
	d := c.document
	domains := c.checkNames("domains", len(d.Domains), func(i int) string { return d.Domains[i].Name }, "")
	models := c.checkNames("models", len(d.Models), func(i int) string { return d.Models[i].Name }, "/:")
	services := c.checkNames("services", len(d.Services), func(i int) string { return d.Services[i].Name }, "")
	kinds := c.checkNames("kinds", len(d.Kinds), func(i int) string { return d.Kinds[i].Name }, "")
	c.checkNames("workspaces", len(d.Workspaces), func(i int) string { return d.Workspaces[i].Name }, "")
	c.checkNames("upstreams", len(d.Upstreams), func(i int) string { return d.Upstreams[i].Name }, "")
	c.checkServices(models, kinds)
	c.checkWorkspaces(models, kinds)
	c.checkUpstreams(domains, models, services)
	if len(kinds) == 0 && (len(models) > 0 || len(services) > 0) {
		c.source.AddProblem("kinds", "has no entry, so no request could be served: add one")
	}
}

// checkNames checks that the n entries of a table have valid and unique names and returns these
// names. extraChars lists the characters that are allowed in addition to those of every name.
func (c *checker) checkNames(path string, n int, name func(int) string, extraChars string) firstPaths {
	seen := firstPaths{}
	for i := range n {
		namePath := fmt.Sprintf("%s[%d].name", path, i)
		if c.source.HasProblem(namePath) {
			continue
		}
		if !validName(name(i), extraChars) {
			c.reportInvalidName(namePath, extraChars)
		}
		c.checkUnique(seen, name(i), namePath, "is the name of an earlier entry")
	}
	return seen
}

func (c *checker) reportInvalidName(path, extraChars string) {
	c.source.AddProblem(path, "may hold letters, digits and any of ._-%s, and begins with a letter or digit", extraChars)
}

// validName reports whether a name can be used in paths, headers, metrics and pool ids without escaping.
// extraChars lists further characters that are allowed after the first one.
func validName(name, extraChars string) bool {
	for i, r := range name {
		letter := r >= 'a' && r <= 'z' || r >= 'A' && r <= 'Z' || r >= '0' && r <= '9'
		if !letter && (i == 0 || !strings.ContainsRune("._-"+extraChars, r)) {
			return false
		}
	}
	return true
}

// checkUnique reports a value that an earlier field has already, and records it otherwise.
func (c *checker) checkUnique(seen firstPaths, value, path, problem string) {
	first, ok := seen[value]
	if !ok {
		seen[value] = path
		return
	}
	c.source.AddProblem(path, "%s, at line %d: use it once", problem, c.source.Line(first))
}

// checkReference reports a reference to a name that no entry of the table has.
func (c *checker) checkReference(known firstPaths, name, path, table string) {
	if _, ok := known[name]; ok || c.source.HasProblem(path) {
		return
	}
	c.source.AddProblem(path, "names %q, which is not in %s: add it there or correct the name", name, table)
}

func (c *checker) checkServices(models, kinds firstPaths) {
	for i, s := range c.document.Services {
		path := fmt.Sprintf("services[%d]", i)
		c.checkReference(kinds, s.Kind, path+".kind", "kinds")
		if first, ok := models[s.Name]; ok {
			c.source.AddProblem(path+".name", "is also a model, at line %d: rename one, since pools are identified by name", c.source.Line(first))
		}
	}
}

func (c *checker) checkWorkspaces(models, kinds firstPaths) {
	keys := firstPaths{}
	for i, w := range c.document.Workspaces {
		path := fmt.Sprintf("workspaces[%d]", i)
		for j, k := range w.Keys {
			c.checkKeyHash(keys, k, fmt.Sprintf("%s.keys[%d]", path, j))
		}
		c.checkReferences(kinds, w.Kinds, path+".kinds", "kinds")
		c.checkReferences(models, w.Models, path+".models", "models")
	}
}

func (c *checker) checkReferences(known firstPaths, list []string, path, table string) {
	seen := firstPaths{}
	for i, name := range list {
		itemPath := fmt.Sprintf("%s[%d]", path, i)
		c.checkReference(known, name, itemPath, table)
		c.checkUnique(seen, name, itemPath, "is in this list already")
	}
}

// checkKeyHash checks the hash of an API key. No problem repeats the value, since it may be the key
// itself, entered by mistake.
func (c *checker) checkKeyHash(seen firstPaths, key, path string) {
	if c.source.HasProblem(path) {
		return
	}
	if !isKeyHash(key) {
		c.source.AddProblem(path, `must be "sha256:" and 64 lower-case hex digits: print it with snipeshift hash; if this is a key itself, replace the key`)
		return
	}
	c.checkUnique(seen, key, path, "is a key in use already")
}

func (c *checker) checkUpstreams(domains, models, services firstPaths) {
	addresses := firstPaths{}
	for i := range c.document.Upstreams {
		u := &c.document.Upstreams[i]
		path := fmt.Sprintf("upstreams[%d]", i)
		c.checkDomain(domains, u.Domain, path+".domain")
		c.checkAddress(addresses, u.Address, path+".address")
		switch {
		case u.Model != "" && u.Service != "":
			c.source.AddProblem(path+".service", "contradicts model: an upstream is an engine or a plain service, remove one")
		case u.Model != "":
			c.checkReference(models, u.Model, path+".model", "models")
			c.checkEngine(u, path)
		case u.Service != "":
			c.checkReference(services, u.Service, path+".service", "services")
			c.checkPlainService(u, path)
		case !c.source.HasProblem(path) && !c.source.HasProblem(path+".model") && !c.source.HasProblem(path+".service"):
			c.source.AddProblem(path, "serves nothing: add a model or a service")
		}
	}
}

func (c *checker) checkDomain(domains firstPaths, name, path string) {
	switch {
	case len(domains) > 0:
		c.checkReference(domains, name, path, "domains")
	case !validName(name, ""):
		c.reportInvalidName(path, "")
	}
}

func (c *checker) checkAddress(seen firstPaths, address, path string) {
	if c.source.HasProblem(path) {
		return
	}
	a, err := netip.ParseAddrPort(address)
	if err != nil || a.Port() == 0 || a.Addr().IsUnspecified() {
		c.source.AddProblem(path, `must be an IP address and a port, such as "10.0.0.7:8000" or "[fd00::7]:8000"`)
		return
	}
	c.checkUnique(seen, a.String(), path, "is the address of an earlier upstream")
}

// checkEngine checks that an engine has the figures on which placement is based. If one is missing,
// the engine would receive an unlimited number of requests or none.
func (c *checker) checkEngine(u *Upstream, path string) {
	c.checkPositive(float64(u.Memory), path+".memory", "tokens of KV memory")
	c.checkPositive(float64(u.Prefill), path+".prefill", "prompt tokens per second")
	c.checkPositive(float64(u.Decode), path+".decode", "output tokens per second")
}

func (c *checker) checkPositive(n float64, path, unit string) {
	if n <= 0 && !c.source.HasProblem(path) {
		c.source.AddProblem(path, "must be above 0 for an engine: give its %s", unit)
	}
}

// checkPlainService checks that the upstream of a plain service sets no field that applies only to engines.
func (c *checker) checkPlainService(u *Upstream, path string) {
	c.checkZero(float64(u.Memory), path+".memory")
	c.checkZero(float64(u.Prefill), path+".prefill")
	c.checkZero(float64(u.Decode), path+".decode")
	if u.Fenced {
		c.source.AddProblem(path+".fenced", "contradicts service: a plain service receives no orders, remove it")
	}
}

func (c *checker) checkZero(n float64, path string) {
	if n != 0 {
		c.source.AddProblem(path, "contradicts service: a plain service has none, remove it")
	}
}
