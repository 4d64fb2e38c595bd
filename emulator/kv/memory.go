// Package kv is the KV memory of the stand-in engine: what requests and
// exports hold, and the prefix cache in what is left. Its caller locks.
package kv

import (
	"cmp"
	"fmt"
	"slices"
	"strconv"
	"strings"

	"snipeshift.example/lib/decide"
)

// Handle names an export: engine, number and tokens, so that another engine
// can tell how much memory an import takes.
type Handle string

// Reservation is one request that holds memory.
type Reservation struct {
	ID       decide.RequestID `json:"id"`
	Reserved decide.Tokens    `json:"reserved"`
}

// Export is one export.
type Export struct {
	Handle  Handle           `json:"handle"`
	Request decide.RequestID `json:"request"`
	Tokens  decide.Tokens    `json:"tokens"`
}

// Memory is the KV memory of one engine. What is neither held by a request nor
// by an export is the prefix cache's.
type Memory struct {
	size decide.Tokens
	// held is what running requests, members of groups and imports hold.
	held    map[decide.RequestID]decide.Tokens
	exports map[Handle]Export
	// used is the sum over held and exports; it is at most size.
	used  decide.Tokens
	cache *cache
}

// New returns free memory of a size in tokens. Changed is called with each
// prefix that comes into the cache or leaves it.
func New(size decide.Tokens, changed func(h decide.PrefixHash, evicted bool)) *Memory {
	return &Memory{
		size:    size,
		held:    map[decide.RequestID]decide.Tokens{},
		exports: map[Handle]Export{},
		cache:   newCache(changed),
	}
}

func (m *Memory) room() decide.Tokens { return m.size - m.used }

// Size is the whole memory in tokens.
func (m *Memory) Size() decide.Tokens { return m.size }

// Used is what requests and exports hold.
func (m *Memory) Used() decide.Tokens { return m.used }

// Reserved returns what id holds, and false if nothing.
func (m *Memory) Reserved(id decide.RequestID) (decide.Tokens, bool) {
	n, ok := m.held[id]
	return n, ok
}

// Reserve makes id hold at least n tokens, evicting cached prefixes; it returns false if they do not fit.
func (m *Memory) Reserve(id decide.RequestID, n decide.Tokens) bool {
	more := n - m.held[id]
	if more > m.room() {
		return false
	}
	if more > 0 {
		m.used += more
	}
	m.held[id] = max(n, m.held[id])
	m.cache.shrink(m.room())
	return true
}

// Release lets go of what id holds and tells whether it held anything.
func (m *Memory) Release(id decide.RequestID) bool {
	n, ok := m.held[id]
	m.used -= n
	delete(m.held, id)
	return ok
}

// Export sets n tokens aside under a handle.
func (m *Memory) Export(h Handle, id decide.RequestID, n decide.Tokens) bool {
	if n > m.room() {
		return false
	}
	m.used += n
	m.exports[h] = Export{h, id, n}
	m.cache.shrink(m.room())
	return true
}

// DeleteExport deletes an export and tells whether it was there.
func (m *Memory) DeleteExport(h Handle) bool {
	x, ok := m.exports[h]
	m.used -= x.Tokens
	delete(m.exports, h)
	return ok
}

// CachedTokens returns how many leading tokens of a prompt are in the cache.
func (m *Memory) CachedTokens(levels []Level) decide.Tokens { return m.cache.match(levels) }

// CachePrompt puts a prompt's levels into the cache, as far as they fit.
func (m *Memory) CachePrompt(levels []Level) { m.cache.add(levels, m.room()) }

// Reservations lists what requests hold, by id.
func (m *Memory) Reservations() []Reservation {
	list := []Reservation{}
	for id, n := range m.held {
		list = append(list, Reservation{id, n})
	}
	slices.SortFunc(list, func(a, b Reservation) int { return cmp.Compare(a.ID, b.ID) })
	return list
}

// Exports lists exports by handle.
func (m *Memory) Exports() []Export {
	list := []Export{}
	for _, x := range m.exports {
		list = append(list, x)
	}
	slices.SortFunc(list, func(a, b Export) int { return cmp.Compare(a.Handle, b.Handle) })
	return list
}

// NewHandle makes the handle of an engine's export.
func NewHandle(engine string, number uint64, n decide.Tokens) Handle {
	return Handle(fmt.Sprintf("%s.%d.%d", engine, number, n))
}

// Tokens reads the size out of a handle.
func (h Handle) Tokens() (decide.Tokens, error) {
	s := string(h)
	n, err := strconv.ParseInt(s[strings.LastIndexByte(s, '.')+1:], 10, 64)
	if err != nil || n < 0 {
		return 0, fmt.Errorf("malformed handle %q", h)
	}
	return decide.Tokens(n), nil
}
