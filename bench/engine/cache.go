package engine

import "container/list"

// Cache is the prefix cache of an engine. It occupies the memory that running jobs leave free and
// evicts the least recently used prefix first.
type Cache struct {
	entries map[uint64]*entry
	// order lists the entries from the least to the most recently used.
	order list.List
	// tokens is the memory that all entries take.
	tokens int64
}

type entry struct {
	prefix  Prefix
	element *list.Element
}

// longestPrefix returns the length in tokens of the longest cached prefix of a prompt. At least one
// token of the prompt always remains to be prefilled.
func (c *Cache) longestPrefix(j *Job) int64 {
	for i := len(j.Prefixes) - 1; i >= 0; i-- {
		p := j.Prefixes[i]
		if e, ok := c.entries[p.Hash]; ok {
			c.order.MoveToBack(e.element)
			return min(p.Tokens, j.Prompt-1)
		}
	}
	return 0
}

// add stores a prefix. A prefix takes memory only for the tokens that the next shorter prefix of
// the same prompt does not cover.
func (c *Cache) add(en *Engine, p Prefix) {
	if e, ok := c.entries[p.Hash]; ok {
		c.order.MoveToBack(e.element)
		return
	}
	e := &entry{prefix: p}
	e.element = c.order.PushBack(e)
	c.entries[p.Hash] = e
	c.tokens += p.extraTokens()
	if en.OnCacheChange != nil {
		en.OnCacheChange(p.Hash, false)
	}
	c.trim(en)
}

// extraTokens returns the memory in tokens that a prefix takes beyond the next shorter one, which
// is half as long.
func (p Prefix) extraTokens() int64 { return p.Tokens/2 + 512 }

// trim evicts prefixes until the cache fits into the memory that jobs leave free.
func (c *Cache) trim(en *Engine) {
	for c.tokens > en.Spec.Memory-en.used && c.order.Len() > 0 {
		e := c.order.Front().Value.(*entry)
		c.order.Remove(e.element)
		delete(c.entries, e.prefix.Hash)
		c.tokens -= e.prefix.extraTokens()
		if en.OnCacheChange != nil {
			en.OnCacheChange(e.prefix.Hash, true)
		}
	}
}
