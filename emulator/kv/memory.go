// Package kv models the KV memory of the emulated engine: the memory reserved by requests and
// exports, and the prefix cache in the remaining memory. It is not safe for concurrent use.
package kv

import (
	"cmp"
	"fmt"
	"slices"
	"strconv"
	"strings"

	"snipeshift.example/lib/decide"
)

// Handle identifies an export. It contains the engine's name, a number and the size in tokens, so
// that another engine can read from it how much memory the import needs.
type Handle string

// Reservation is the memory reserved by one request, in tokens.
type Reservation struct {
	ID       decide.RequestID `json:"id"`
	Reserved decide.Tokens    `json:"reserved"`
}

// Export is one export: a copy of the KV cache of a request that other engines can import.
type Export struct {
	Handle  Handle           `json:"handle"`
	Request decide.RequestID `json:"request"`
	Tokens  decide.Tokens    `json:"tokens"`
}

// Memory is the KV memory of one engine. Memory that is reserved neither by a request nor by an
// export is available to the prefix cache.
type Memory struct {
	size decide.Tokens
	// reserved is the memory of running requests, reservations of group members and imports.
	reserved map[decide.RequestID]decide.Tokens
	exports  map[Handle]Export
	// used is the sum of reserved and exports. It is at most size.
	used  decide.Tokens
	cache *cache
}

// New returns free memory of a size in tokens. onChange is called for each prefix that is added to
// the cache or evicted.
func New(size decide.Tokens, onChange func(h decide.PrefixHash, evicted bool)) *Memory {
	return &Memory{
		size:     size,
		reserved: map[decide.RequestID]decide.Tokens{},
		exports:  map[Handle]Export{},
		cache:    newCache(onChange),
	}
}

func (m *Memory) available() decide.Tokens { return m.size - m.used }

// Size returns the total memory in tokens.
func (m *Memory) Size() decide.Tokens { return m.size }

// Used returns the memory of requests and exports in tokens.
func (m *Memory) Used() decide.Tokens { return m.used }

// Reserved returns the memory reserved by a request, and false if it has no reservation.
func (m *Memory) Reserved(id decide.RequestID) (decide.Tokens, bool) {
	n, ok := m.reserved[id]
	return n, ok
}

// Reserve raises the reservation of a request to at least n tokens and evicts cached prefixes to make
// room. It returns false and changes nothing if the memory does not suffice.
func (m *Memory) Reserve(id decide.RequestID, n decide.Tokens) bool {
	additional := n - m.reserved[id]
	if additional > m.available() {
		return false
	}
	if additional > 0 {
		m.used += additional
	}
	m.reserved[id] = max(n, m.reserved[id])
	m.cache.evict(m.available())
	return true
}

// Release releases the reservation of a request. It returns false if there was none.
func (m *Memory) Release(id decide.RequestID) bool {
	n, ok := m.reserved[id]
	m.used -= n
	delete(m.reserved, id)
	return ok
}

// Export stores an export of n tokens of a request under a handle. It returns false if the memory
// does not suffice.
func (m *Memory) Export(h Handle, id decide.RequestID, n decide.Tokens) bool {
	if n > m.available() {
		return false
	}
	m.used += n
	m.exports[h] = Export{h, id, n}
	m.cache.evict(m.available())
	return true
}

// DeleteExport deletes an export. It returns false if there was none.
func (m *Memory) DeleteExport(h Handle) bool {
	x, ok := m.exports[h]
	m.used -= x.Tokens
	delete(m.exports, h)
	return ok
}

// CachedTokens returns the number of leading tokens of a prompt that are cached.
func (m *Memory) CachedTokens(levels []Level) decide.Tokens { return m.cache.match(levels) }

// CachePrompt adds the levels of a prompt to the cache, as far as they fit.
func (m *Memory) CachePrompt(levels []Level) { m.cache.add(levels, m.available()) }

// Reservations lists the reservations of requests, sorted by ID.
func (m *Memory) Reservations() []Reservation {
	list := []Reservation{}
	for id, n := range m.reserved {
		list = append(list, Reservation{id, n})
	}
	slices.SortFunc(list, func(a, b Reservation) int { return cmp.Compare(a.ID, b.ID) })
	return list
}

// Exports lists the exports, sorted by handle.
func (m *Memory) Exports() []Export {
	list := []Export{}
	for _, x := range m.exports {
		list = append(list, x)
	}
	slices.SortFunc(list, func(a, b Export) int { return cmp.Compare(a.Handle, b.Handle) })
	return list
}

// NewHandle returns the handle of an engine's export of n tokens. The number makes it unique.
func NewHandle(engine string, number uint64, n decide.Tokens) Handle {
	return Handle(fmt.Sprintf("%s.%d.%d", engine, number, n))
}

// Tokens returns the size of the export in tokens. It returns an error if the handle is malformed.
func (h Handle) Tokens() (decide.Tokens, error) {
	s := string(h)
	n, err := strconv.ParseInt(s[strings.LastIndexByte(s, '.')+1:], 10, 64)
	if err != nil || n < 0 {
		return 0, fmt.Errorf("malformed export handle %q: it must end in a number of tokens", h)
	}
	return decide.Tokens(n), nil
}
