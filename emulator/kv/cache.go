package kv

import (
	"container/list"

	"github.com/cespare/xxhash/v2"

	"snipeshift.example/lib/decide"
	"snipeshift.example/lib/expect"
)

// Level is one cached prefix of a prompt. The prefixes of a prompt double in length from one level to
// the next, and each level stores the tokens between the end of the previous level and its own end.
type Level struct {
	Hash decide.PrefixHash
	// end is the length of the prefix in tokens, size the number of tokens that this level adds.
	end, size decide.Tokens
}

// LevelsOf returns the levels of a prompt: its leading 1, 2, 4, 8, ... blocks of decide.PrefixBlock
// tokens. All hashes are computed in one pass over the prompt.
func LevelsOf(prompt string) []Level {
	var levels []Level
	d := xxhash.New()
	hashed, previous := 0, decide.Tokens(0)
	for end := decide.PrefixBlock; int(end)*expect.TokenBytes <= len(prompt); end *= 2 {
		bytes := int(end) * expect.TokenBytes
		_, _ = d.WriteString(prompt[hashed:bytes])
		levels = append(levels, Level{decide.PrefixHash(d.Sum64()), end, end - previous})
		hashed, previous = bytes, end
	}
	return levels
}

// cache is a prefix cache with least-recently-used eviction. A level holds only the tokens after the
// previous level, so it is usable only while all shorter levels of its prompt are cached.
type cache struct {
	used decide.Tokens
	// lru holds the cached levels, most recently used first.
	lru   *list.List
	index map[decide.PrefixHash]*list.Element
	// onChange is called for each level that is added or evicted.
	onChange func(h decide.PrefixHash, evicted bool)
}

func newCache(onChange func(decide.PrefixHash, bool)) *cache {
	return &cache{lru: list.New(), index: map[decide.PrefixHash]*list.Element{}, onChange: onChange}
}

// match returns the number of leading tokens of a prompt that are cached.
func (c *cache) match(levels []Level) decide.Tokens {
	var n decide.Tokens
	for _, l := range levels {
		if c.index[l.Hash] == nil {
			break
		}
		n = l.end
	}
	return n
}

// add caches the levels of a prompt that fit into the capacity in tokens and evicts others if needed.
// Longer levels are marked as used before shorter ones, so that they are evicted first: a level is
// useless without the shorter ones.
func (c *cache) add(levels []Level, capacity decide.Tokens) {
	fitting := 0
	for fitting < len(levels) && levels[fitting].end <= capacity {
		fitting++
	}
	for i := fitting - 1; i >= 0; i-- {
		c.touch(levels[i])
	}
	c.evict(capacity)
}

func (c *cache) touch(l Level) {
	if e := c.index[l.Hash]; e != nil {
		c.lru.MoveToFront(e)
		return
	}
	c.index[l.Hash] = c.lru.PushFront(l)
	c.used += l.size
	c.onChange(l.Hash, false)
}

// evict removes the least recently used levels until the cache fits into the capacity in tokens.
func (c *cache) evict(capacity decide.Tokens) {
	for c.used > capacity {
		e := c.lru.Back()
		l := c.lru.Remove(e).(Level)
		delete(c.index, l.Hash)
		c.used -= l.size
		c.onChange(l.Hash, true)
	}
}
