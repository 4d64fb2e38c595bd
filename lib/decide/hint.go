package decide

import "snipeshift.example/lib/clock"

// Hints arrive late and with gaps, so a hint only ever lowers a cost estimate and never reserves
// anything. A wrong entry costs one prefill.

const (
	// maxHints bounds the prefixes remembered for one upstream: at 1,300 upstreams the tables stay
	// below 16 MB. The oldest entry is replaced first.
	maxHints = 256
	// maxCachedOn bounds the upstreams remembered for one prefix, so that a prefix cached on every
	// upstream does not require a scan of all upstreams.
	maxCachedOn = 4
)

// hints is a ring buffer of prefixes that one upstream probably has in its cache.
type hints struct {
	seq      uint64
	ring     []PrefixHash
	nextSlot int
}

// cachedOn lists upstreams that probably have one prefix in their cache; nil entries are unused.
type cachedOn [maxCachedOn]*upstream

// Hint processes one cache event of an upstream. After a gap all entries of the upstream are
// dropped: a lost event may have been an eviction, and placing a long prompt for a prefix that is
// no longer cached costs a whole prefill.
func (p *Pool) Hint(_ clock.Milli, id UpstreamID, h Hint) {
	u := p.byID[id]
	// A removed upstream that still has grants reports its cache, but gets no new requests.
	if u == nil || u.removed || (u.hints.seq > 0 && h.Seq <= u.hints.seq) {
		return
	}
	if u.hints.seq > 0 && h.Seq > u.hints.seq+1 {
		p.clearHints(u)
	}
	u.hints.seq = h.Seq
	if h.Evicted {
		p.removePrefix(u, h.Prefix)
		return
	}
	p.addPrefix(u, h.Prefix)
}

// addPrefix records that u has a prefix in its cache.
func (p *Pool) addPrefix(u *upstream, x PrefixHash) {
	hs := p.prefixes[x]
	spare := -1
	for i, h := range hs {
		if h == u {
			return
		}
		if h == nil {
			spare = i
		}
	}
	if spare < 0 {
		return
	}
	hs[spare] = u
	p.prefixes[x] = hs
	if len(u.hints.ring) < maxHints {
		u.hints.ring = append(u.hints.ring, x)
		return
	}
	p.removePrefix(u, u.hints.ring[u.hints.nextSlot])
	u.hints.ring[u.hints.nextSlot] = x
	u.hints.nextSlot = (u.hints.nextSlot + 1) % maxHints
}

func (p *Pool) removePrefix(u *upstream, x PrefixHash) {
	hs, ok := p.prefixes[x]
	if !ok {
		return
	}
	for i, h := range hs {
		if h == u {
			hs[i] = nil
		}
	}
	if hs == (cachedOn{}) {
		delete(p.prefixes, x)
		return
	}
	p.prefixes[x] = hs
}

// clearHints drops all prefixes recorded for an upstream.
func (p *Pool) clearHints(u *upstream) {
	for _, x := range u.hints.ring {
		p.removePrefix(u, x)
	}
	u.hints.ring = u.hints.ring[:0]
	u.hints.nextSlot = 0
}

// PrefixTokens is the number of tokens that entry i of Request.Prefixes covers: 1, 2, 4, 8, ...
// blocks.
func PrefixTokens(i int) Tokens { return PrefixBlock << min(i, 40) }
