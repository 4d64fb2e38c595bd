// Package changes computes what changed in a list of upstreams since a peer copied it, so that only
// the changes are sent to the peer.
//
// A list is identified by its content hash, which is equal for equal lists. The receiver of changes
// computes the hash of the resulting list, and so detects changes that were made for another list.
//
// The package uses no sockets, goroutines or clock. Its types are not safe for concurrent use.
package changes

import (
	"maps"
	"slices"
	"strconv"

	"github.com/cespare/xxhash/v2"

	"snipeshift.example/lib/decide"
	"snipeshift.example/lib/route"
)

// Hash is the hash of a set of upstreams. It does not depend on their order.
type Hash uint64

// emptyHash is the hash of an empty list; zero stands for no list.
const emptyHash Hash = 1

// HashOf returns the hash of a list.
func HashOf(us []route.Upstream) Hash {
	h := emptyHash
	for i := range us {
		h += hashUpstream(&us[i])
	}
	return h
}

// hashUpstream returns the hash of one upstream with all its fields.
func hashUpstream(u *route.Upstream) Hash {
	var d xxhash.Digest
	d.Reset()
	for _, field := range [...]string{
		string(u.ID), string(u.Service), u.Address, string(u.Domain), strconv.FormatInt(int64(u.Born), 36), strconv.Itoa(u.Slots), strconv.FormatBool(u.Leaving),
	} {
		_, _ = d.WriteString(field)
		_, _ = d.Write([]byte{0})
	}
	if u.Cold > 0 {
		_, _ = d.WriteString(strconv.FormatInt(int64(u.Cold), 36))
	}
	return Hash(d.Sum64())
}

// maxHashes bounds the number of earlier lists for which the changes since are known. Updates
// arrive at most four times a second, so a peer that asked within the last eight seconds is sent
// only the changes.
const maxHashes = 32

// Log records the changes of one list.
type Log struct {
	// version counts the changes. changed holds the version of the last change or removal of each
	// upstream.
	version uint64
	changed map[decide.UpstreamID]uint64
	// versions holds, for each recent hash of the list, the last version at which the list had that
	// hash. order holds these hashes from the oldest to the newest.
	versions map[Hash]uint64
	order    []Hash
	// hash is the current hash of the list. changing is set between a change and the next Settle.
	hash     Hash
	changing bool
}

// NewLog returns the log of an empty list.
func NewLog() *Log {
	return &Log{changed: map[decide.UpstreamID]uint64{}, versions: map[Hash]uint64{}, hash: emptyHash}
}

// Put records that an upstream was added, or replaced its older entry; old is nil if there was
// none.
func (l *Log) Put(u route.Upstream, old *route.Upstream) {
	if old != nil {
		l.hash -= hashUpstream(old)
	}
	l.hash += hashUpstream(&u)
	l.record(u.ID)
}

// Remove records that an upstream was removed.
func (l *Log) Remove(u route.Upstream) {
	l.hash -= hashUpstream(&u)
	l.record(u.ID)
}

func (l *Log) record(id decide.UpstreamID) {
	l.version++
	l.changed[id] = l.version
	l.changing = true
}

// Settle records that the current state of the list is complete, so that peers may copy it.
func (l *Log) Settle() {
	if !l.changing {
		return
	}
	l.changing = false
	l.order = append(slices.DeleteFunc(l.order, func(h Hash) bool { return h == l.hash }), l.hash)
	l.versions[l.hash] = l.version
	if len(l.order) > maxHashes {
		delete(l.versions, l.order[0])
		l.order = l.order[1:]
		l.prune()
	}
}

// prune drops the changes that are included in the oldest list still recorded.
func (l *Log) prune() {
	oldest := l.versions[l.order[0]]
	maps.DeleteFunc(l.changed, func(_ decide.UpstreamID, at uint64) bool { return at <= oldest })
}

// Hash returns the hash of the list; false between a change and the next Settle.
func (l *Log) Hash() (Hash, bool) { return l.hash, !l.changing }

// Since returns the upstreams that changed or were removed since the list had a hash; false if that
// is not known.
func (l *Log) Since(h Hash) ([]decide.UpstreamID, bool) {
	version, ok := l.versions[h]
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

// Apply returns a copy of a list with some upstreams changed or added, and others removed.
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
