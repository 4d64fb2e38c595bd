package member

import (
	"math/bits"

	"snipeshift.example/lib/peer"
)

// Two members whose tables differ send each other digests of parts of them, and then descriptions from
// the parts that differ alone. While a fleet starts, nearly all tables differ from each other, but most of
// what one member could send is known to the other already: without digests each VM of a thousand would
// send, and be sent, each description many times.

// bucketSize is about how many members one digest covers. A digest takes a fourteenth of a description.
const bucketSize = 8

// maxBuckets bounds the digests in one message.
const maxBuckets = 256

// minBuckets is the least number of digests of parts. A single digest means that those of parts are withheld.
const minBuckets = 2

// bucketCount returns the number of digests of a table with this many members: a power of two.
func bucketCount(members int) int {
	return min(maxBuckets, max(minBuckets, 1<<bits.Len(uint(members/bucketSize))))
}

// hashName returns the hash of a member's name, whose first bits select its bucket.
func hashName(v peer.VM) uint64 { return score("bucket", v) }

// bucketOf returns the bucket of a hash among a power of two of buckets.
func bucketOf(hash uint64, buckets int) int { return int(hash >> (64 - bits.Len(uint(buckets-1)))) }

// fold combines neighboring digests until there are this many, which must be a power of two.
func fold(digests []uint32, buckets int) []uint32 {
	for len(digests) > buckets {
		half := make([]uint32, len(digests)/2)
		for i := range half {
			half[i] = digests[2*i] ^ digests[2*i+1]
		}
		digests = half
	}
	return digests
}

// difference tells in which parts this table may differ from that of another member. The zero difference
// means that nothing is known of the other table.
type difference struct {
	// same is set if the tables do not differ at all, withheld if the other member has sent no digests of
	// parts, since only a few changes were pending there.
	same, withheld bool
	// parts has an element for each bucket, set if the tables differ there.
	parts []bool
}

// compare compares this table with what another member last told of its own.
func (t *Table) compare(theirs heardView) difference {
	own := t.derive()
	if theirs.view == own.view {
		return difference{same: true}
	}
	n := min(len(own.buckets), len(theirs.buckets))
	if n == 0 || len(theirs.buckets)&(len(theirs.buckets)-1) != 0 {
		return difference{} // an earlier version sends no digests
	}
	if n < minBuckets {
		return difference{withheld: true}
	}
	d := difference{parts: make([]bool, n)}
	ownParts, theirParts := fold(own.buckets, n), fold(theirs.buckets, n)
	for i := range d.parts {
		d.parts[i] = ownParts[i] != theirParts[i]
	}
	return d
}

// has reports whether the other member has the same descriptions as this table in the bucket of a hash.
func (d difference) has(hash uint64) bool {
	return d.same || len(d.parts) > 0 && !d.parts[bucketOf(hash, len(d.parts))]
}

// fewChanges is the share of members, one in so many, up to which changes spread without digests.
const fewChanges = 16

// hasFewPending reports whether changes still have to be sent, but only a few. They reach all members
// sooner than digests would show who lacks them, and digests of all parts are larger.
func (t *Table) hasFewPending() bool {
	pending := 0
	for _, e := range t.entries {
		if e.sendsLeft > 0 {
			pending++
		}
	}
	return pending > 0 && pending*fewChanges < len(t.entries)
}
