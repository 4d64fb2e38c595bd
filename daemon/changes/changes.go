// Package changes tells what has changed in a list of upstreams since a peer had it, so that the peer is sent that alone.
//
// A list is known by its content, a number that is equal for equal lists. Whoever applies changes works out the content of what
// results: changes that were made for another list are noticed.
//
// Nothing here has sockets, goroutines or a clock, nor is anything safe for concurrent use.
package changes

import (
	"maps"
	"slices"
	"strconv"

	"github.com/cespare/xxhash/v2"

	"snipeshift.example/lib/decide"
	"snipeshift.example/lib/route"
)

// Hash is equal for equal sets of upstreams, whatever their order.
type Hash uint64

// empty is the content of an empty list; zero stands for no list.
const empty Hash = 1

// HashOf is the content of a list.
func HashOf(us []route.Upstream) Hash {
	c := empty
	for i := range us {
		c += of(&us[i])
	}
	return c
}

// of is the hash of one upstream with all its fields.
func of(u *route.Upstream) Hash {
	var d xxhash.Digest
	d.Reset()
	for _, field := range [...]string{
		string(u.ID), string(u.Service), u.Address, string(u.Domain), strconv.FormatInt(int64(u.Born), 36), strconv.Itoa(u.Slots), strconv.FormatBool(u.Leaving),
	} {
		_, _ = d.WriteString(field)
		_, _ = d.Write([]byte{0})
	}
	return Hash(d.Sum64())
}

// contentsKept bounds the earlier lists of which it is known what changed since. News comes four times a second at most, so whoever asked within
// the last eight seconds is sent changes.
const contentsKept = 32

// Log notes what changes in one list.
type Log struct {
	// version counts the changes, and changed holds the last one of each upstream that changed or went.
	version uint64
	changed map[decide.UpstreamID]uint64
	// settled holds the version at which the list last had a content, order the contents from the oldest one on.
	settled map[Hash]uint64
	order   []Hash
	// now is the content of the list, and open is set while it changes.
	now  Hash
	open bool
}

// NewLog returns the log of an empty list.
func NewLog() *Log {
	return &Log{changed: map[decide.UpstreamID]uint64{}, settled: map[Hash]uint64{}, now: empty}
}

// Put notes that an upstream came, or took the place of an older entry of its own; nil for none.
func (l *Log) Put(u route.Upstream, old *route.Upstream) {
	if old != nil {
		l.now -= of(old)
	}
	l.now += of(&u)
	l.note(u.ID)
}

// Remove notes that an upstream went.
func (l *Log) Remove(u route.Upstream) {
	l.now -= of(&u)
	l.note(u.ID)
}

func (l *Log) note(id decide.UpstreamID) {
	l.version++
	l.changed[id] = l.version
	l.open = true
}

// Settle notes that the list is whole as it is now: peers may have it.
func (l *Log) Settle() {
	if !l.open {
		return
	}
	l.open = false
	l.order = append(slices.DeleteFunc(l.order, func(c Hash) bool { return c == l.now }), l.now)
	l.settled[l.now] = l.version
	if len(l.order) > contentsKept {
		delete(l.settled, l.order[0])
		l.order = l.order[1:]
		l.forget()
	}
}

// forget drops the changes that all lists have that are known.
func (l *Log) forget() {
	least := l.settled[l.order[0]]
	maps.DeleteFunc(l.changed, func(_ decide.UpstreamID, at uint64) bool { return at <= least })
}

// Hash is that of the list; false while it changes.
func (l *Log) Hash() (Hash, bool) { return l.now, !l.open }

// Since lists what changed since the list had a content; false if that is not known.
func (l *Log) Since(c Hash) ([]decide.UpstreamID, bool) {
	version, ok := l.settled[c]
	if !ok || l.open {
		return nil, false
	}
	var ids []decide.UpstreamID
	for id, at := range l.changed {
		if at > version {
			ids = append(ids, id)
		}
	}
	return ids, true
}

// Apply returns a list with upstreams changed or added, and others taken out.
func Apply(list, changed []route.Upstream, without []decide.UpstreamID) []route.Upstream {
	left := make(map[decide.UpstreamID]bool, len(changed)+len(without))
	for i := range changed {
		left[changed[i].ID] = true
	}
	for _, id := range without {
		left[id] = true
	}
	out := make([]route.Upstream, 0, len(list)+len(changed))
	for i := range list {
		if !left[list[i].ID] {
			out = append(out, list[i])
		}
	}
	return append(out, changed...)
}
