package document

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/binary"
	"slices"
	"strings"

	"snipeshift.example/lib/peer"
)

// Index looks up entries of a document that Parse accepted. It is read-only and safe for concurrent
// use; callers must not modify the entries that it returns.
type Index struct {
	document *Document
	// keys holds the API keys by the first 8 bytes of their digests.
	keys       map[uint64][]keyEntry
	workspaces map[string]*Workspace
	kinds      map[string]*Kind
	models     map[string]*Model
	services   map[string]*Service
	upstreams  map[string]*Upstream
	pools      map[peer.PoolID][]*Upstream
	// domains lists the failure domains in which a model or service has a pool.
	domains map[string][]peer.Domain
}

type keyEntry struct {
	digest    keyDigest
	workspace *Workspace
}

// NewIndex builds the index of a document.
func NewIndex(d *Document) *Index {
	x := &Index{
		document:   d,
		keys:       map[uint64][]keyEntry{},
		workspaces: byName(d.Workspaces, func(w *Workspace) string { return w.Name }),
		kinds:      byName(d.Kinds, func(k *Kind) string { return k.Name }),
		models:     byName(d.Models, func(m *Model) string { return m.Name }),
		services:   byName(d.Services, func(s *Service) string { return s.Name }),
		upstreams:  byName(d.Upstreams, func(u *Upstream) string { return u.Name }),
		pools:      map[peer.PoolID][]*Upstream{},
		domains:    map[string][]peer.Domain{},
	}
	x.indexKeys()
	x.indexPools()
	return x
}

func byName[E any](table []E, name func(*E) string) map[string]*E {
	m := make(map[string]*E, len(table))
	for i := range table {
		m[name(&table[i])] = &table[i]
	}
	return m
}

func (x *Index) indexKeys() {
	for i := range x.document.Workspaces {
		w := &x.document.Workspaces[i]
		for _, k := range w.Keys {
			d, ok := parseKeyHash(k)
			if !ok {
				continue
			}
			b := bucket(d)
			x.keys[b] = append(x.keys[b], keyEntry{d, w})
		}
	}
}

func (x *Index) indexPools() {
	for i := range x.document.Upstreams {
		u := &x.document.Upstreams[i]
		x.pools[u.Pool()] = append(x.pools[u.Pool()], u)
	}
	for _, us := range x.pools {
		slices.SortFunc(us, func(a, b *Upstream) int { return strings.Compare(a.Name, b.Name) })
		served := us[0].Model + us[0].Service
		x.domains[served] = append(x.domains[served], peer.Domain(us[0].Domain))
	}
	for _, ds := range x.domains {
		slices.Sort(ds)
	}
}

// bucket returns the first 8 bytes of a digest as the key of Index.keys.
func bucket(d keyDigest) uint64 { return binary.BigEndian.Uint64(d[:8]) }

// Document returns the document the index was built from.
func (x *Index) Document() *Document { return x.document }

// WorkspaceByKey returns the workspace that an API key belongs to. Its duration does not reveal how
// many characters of a guessed key are right: the map is looked up by a hash of the guess, no part
// of which an attacker can choose, and the digests in a bucket are compared in constant time.
func (x *Index) WorkspaceByKey(key string) (*Workspace, bool) {
	d := keyDigest(sha256.Sum256([]byte(key)))
	var found *Workspace
	for _, e := range x.keys[bucket(d)] {
		if subtle.ConstantTimeCompare(e.digest[:], d[:]) == 1 {
			found = e.workspace
		}
	}
	return found, found != nil
}

// Kind returns a kind by name; the empty name selects the first kind, which is the default.
func (x *Index) Kind(name string) (*Kind, bool) {
	if name == "" && len(x.document.Kinds) > 0 {
		return &x.document.Kinds[0], true
	}
	k, ok := x.kinds[name]
	return k, ok
}

// Workspace returns a workspace by name.
func (x *Index) Workspace(name string) (*Workspace, bool) { w, ok := x.workspaces[name]; return w, ok }

// Model returns a model by name.
func (x *Index) Model(name string) (*Model, bool) { m, ok := x.models[name]; return m, ok }

// Service returns a plain service by name.
func (x *Index) Service(name string) (*Service, bool) { s, ok := x.services[name]; return s, ok }

// Upstream returns an upstream by name.
func (x *Index) Upstream(name string) (*Upstream, bool) { u, ok := x.upstreams[name]; return u, ok }

// Upstreams returns the upstreams of a pool, sorted by name.
func (x *Index) Upstreams(pool peer.PoolID) []*Upstream { return x.pools[pool] }

// Pools returns the ids of all pools, sorted.
func (x *Index) Pools() []peer.PoolID {
	ids := make([]peer.PoolID, 0, len(x.pools))
	for id := range x.pools {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

// Domains returns the failure domains in which a model or service has a pool, sorted.
func (x *Index) Domains(served string) []peer.Domain { return x.domains[served] }

const poolSeparator = "@"

// PoolOf returns the id of the pool of a model or service in a failure domain.
func PoolOf(served string, domain peer.Domain) peer.PoolID {
	return peer.PoolID(served + poolSeparator + string(domain))
}

// ServedBy returns the model or service of a pool.
func ServedBy(id peer.PoolID) string {
	return string(id[:max(strings.LastIndex(string(id), poolSeparator), 0)])
}

// Pool returns the id of the upstream's pool.
func (u *Upstream) Pool() peer.PoolID {
	return PoolOf(u.Model+u.Service, peer.Domain(u.Domain))
}

// AllowsKind reports whether the workspace may send requests of a kind.
func (w *Workspace) AllowsKind(kind string) bool {
	return len(w.Kinds) == 0 || slices.Contains(w.Kinds, kind)
}

// AllowsModel reports whether the workspace may use a model.
func (w *Workspace) AllowsModel(model string) bool {
	return len(w.Models) == 0 || slices.Contains(w.Models, model)
}
