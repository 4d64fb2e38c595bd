package engine

import "container/list"

// Cache holds prefixes, the least recently used evicted first, in the memory
// that running jobs leave free.
type Cache struct {
	entries map[uint64]*entry
	order   list.List
	tokens  int64
}

type entry struct {
	prefix Prefix
	place  *list.Element
}

func (c *Cache) longest(j *Job) int64 {
	for i := len(j.Prefixes) - 1; i >= 0; i-- {
		p := j.Prefixes[i]
		if e, ok := c.entries[p.Hash]; ok {
			c.order.MoveToBack(e.place)
			return min(p.Tokens, j.Prompt-1)
		}
	}
	return 0
}

// add keeps a prefix. Each longer prefix of a prompt holds only what the shorter ones do not.
func (c *Cache) add(en *Engine, p Prefix) {
	if e, ok := c.entries[p.Hash]; ok {
		c.order.MoveToBack(e.place)
		return
	}
	e := &entry{prefix: p}
	e.place = c.order.PushBack(e)
	c.entries[p.Hash] = e
	c.tokens += p.size()
	if en.OnCacheChange != nil {
		en.OnCacheChange(p.Hash, false)
	}
	c.trim(en)
}

// size is what a prefix adds to the next shorter one, which is half as long.
func (p Prefix) size() int64 { return p.Tokens/2 + 512 }

func (c *Cache) trim(en *Engine) {
	for c.tokens > en.Spec.Memory-en.used && c.order.Len() > 0 {
		e := c.order.Front().Value.(*entry)
		c.order.Remove(e.place)
		delete(c.entries, e.prefix.Hash)
		c.tokens -= e.prefix.size()
		if en.OnCacheChange != nil {
			en.OnCacheChange(e.prefix.Hash, true)
		}
	}
}
