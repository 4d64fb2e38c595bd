package caller

import (
	"sync/atomic"

	"snipeshift.example/lib/engine"
)

// Limits of the responses that are collected for clients that did not ask for a stream, in bytes.
const (
	// collectedEach is what each of them may hold in any case.
	collectedEach = 1 << 20
	// collectedBeyond is what all of them together may hold beyond that.
	collectedBeyond = 64 << 20
)

// collected counts the bytes that one response holds, and those beyond collectedEach for all responses of the gate.
type collected struct {
	all *atomic.Int64
	own int64
}

// add counts further bytes of the response. It returns an error if there is no room for them.
func (c *collected) add(n int) error {
	before := c.beyond()
	c.own += int64(n)
	if more := c.beyond() - before; more > 0 && c.all.Add(more) > collectedBeyond {
		return engine.ErrBroken.New("%d bytes of responses are held here", c.all.Load())
	}
	return nil
}

// beyond returns what the response holds beyond collectedEach.
func (c *collected) beyond() int64 { return max(c.own-collectedEach, 0) }

// release ends the count of the response.
func (c *collected) release() {
	c.all.Add(-c.beyond())
	c.own = 0
}
