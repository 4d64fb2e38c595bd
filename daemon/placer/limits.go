package placer

import (
	"github.com/phuslu/log"

	"snipeshift.example/lib/clock"
	"snipeshift.example/lib/decide"
	"snipeshift.example/lib/decide/ratelimit"
	"snipeshift.example/lib/logline"
	"snipeshift.example/lib/route"
)

// The ways in which a VM learns of an upstream's limit.
const (
	// fromAnswer is an answer that this VM got itself.
	fromAnswer = "answer"
)

// table returns the limits of a service's upstreams, as far as this VM knows. The client's lock is held.
func (c *Client) table(s route.ServiceID) *ratelimit.Table {
	t := c.limits[s]
	if t == nil {
		t = ratelimit.NewTable()
		c.limits[s] = t
	}
	return t
}

// Limit takes what an answer says of its upstream's limit.
func (c *Client) Limit(s route.ServiceID, u decide.UpstreamID, st ratelimit.Statement) {
	c.mu.Lock()
	changed := c.table(s).Learn(u, st)
	c.mu.Unlock()
	if changed {
		logLimit(c.log, c.clock.Now(), s, u, st, fromAnswer)
	}
}

// Limits calls f for each upstream that names a limit, as far as this VM knows.
func (c *Client) Limits(f func(route.ServiceID, decide.UpstreamID, ratelimit.PerSecond)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for s, t := range c.limits {
		t.Named(func(u decide.UpstreamID, rate ratelimit.PerSecond) { f(s, u, rate) })
	}
}

// logLimit writes that an upstream has another limit.
func logLimit(l *log.Logger, now clock.Milli, s route.ServiceID, u decide.UpstreamID, st ratelimit.Statement, cause string) {
	l.Info().Str(logline.Key, logline.Limit).Str("service", string(s)).Str("upstream", string(u)).Bool("named", st.Named).
		Float64("rate", float64(st.Rate)).Int64("age", int64(now-st.At)).Str("cause", cause).Msg("an upstream has another limit")
}
