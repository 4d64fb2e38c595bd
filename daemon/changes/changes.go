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

// Content is equal for equal sets of upstreams, whatever their order.
type Content uint64

// emptyHash is the content of an empty list; zero stands for no list.
const emptyHash Content = 1

// Of is the content of a list.
func Of(us []route.Upstream) Content {
	c := emptyHash
	for i := range us {
		c += hashUpstream(&us[i])
	}
	return c
}

// hashUpstream is the hash of one upstream with all its fields.
func hashUpstream(u *route.Upstream) Content {
	var d xxhash.Digest
	d.Reset()
	for _, field := range [...]string{
		string(u.ID), string(u.Service), u.Address, string(u.Domain), strconv.FormatInt(int64(u.Born), 36), strconv.Itoa(u.Slots), strconv.FormatBool(u.Leaving),
	} {
		_, _ = d.WriteString(field)
		_, _ = d.Write([]byte{0})
	}
	return Content(d.Sum64())
}

// maxHashes bounds the earlier lists of which it is known what changed since. News comes four times a second at most, so whoever asked within
// the last eight seconds is sent changes.
const maxHashes = 32

// Log notes what changes in one list.
type Log struct {
	// version counts the changes, and changed holds the last one of each upstream that changed or went.
	version uint64
	changed map[decide.UpstreamID]uint64
	// versions holds the version at which the list last had a content, order the contents from the oldest one on.
	versions map[Content]uint64
	order    []Content
	// hash is the content of the list, and open is set while it changes.
	hash     Content
	changing bool
}

// NewLog returns the log of an empty list.
func NewLog() *Log {
	return &Log{changed: map[decide.UpstreamID]uint64{}, versions: map[Content]uint64{}, hash: emptyHash}
}

// Put notes that an upstream came, or took the place of an older entry of its own; nil for none.
func (l *Log) Put(u route.Upstream, old *route.Upstream) {
	if old != nil {
		l.hash -= hashUpstream(old)
	}
	l.hash += hashUpstream(&u)
	l.record(u.ID)
}

// Take notes that an upstream went.
func (l *Log) Take(u route.Upstream) {
	l.hash -= hashUpstream(&u)
	l.record(u.ID)
}

func (l *Log) record(id decide.UpstreamID) {
	l.version++
	l.changed[id] = l.version
	l.changing = true
}

// Settle notes that the list is whole as it is now: peers may have it.
func (l *Log) Settle() {
	if !l.changing {
		return
	}
	l.changing = false
	l.order = append(slices.DeleteFunc(l.order, func(c Content) bool { return c == l.hash }), l.hash)
	l.versions[l.hash] = l.version
	if len(l.order) > maxHashes {
		delete(l.versions, l.order[0])
		l.order = l.order[1:]
		l.prune()
	}
}

// prune drops the changes that all lists have that are known.
func (l *Log) prune() {
	least := l.versions[l.order[0]]
	maps.DeleteFunc(l.changed, func(_ decide.UpstreamID, at uint64) bool { return at <= least })
}

// Content is that of the list; false while it changes.
func (l *Log) Content() (Content, bool) { return l.hash, !l.changing }

// Since lists what changed since the list had a content; false if that is not known.
func (l *Log) Since(c Content) ([]decide.UpstreamID, bool) {
	version, ok := l.versions[c]
	if !ok || l.changing {
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
	replaced := make(map[decide.UpstreamID]bool, len(changed)+len(without))
	for i := range changed {
		replaced[changed[i].ID] = true
	}
	for _, id := range without {
		replaced[id] = true
	}
	out := make([]route.Upstream, 0, len(list)+len(changed))
	for i := range list {
		if !replaced[list[i].ID] {
			out = append(out, list[i])
		}
	}
	return append(out, changed...)
}
