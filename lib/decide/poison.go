package decide

import (
	"snipeshift.example/lib/clock"
	"snipeshift.example/lib/decide/blame"
	"snipeshift.example/lib/fault"
)

const (
	// maxCrashes is the number of upstream crashes after which a request is refused as a poison
	// request. The first crash may be a coincidence; a second one while the request ran alone is
	// not.
	maxCrashes = 2
	// crashRetention is how long a crash is remembered: longer than clients repeat a failed
	// request, short enough that a repaired engine may run the request again.
	crashRetention = 30 * clock.Minute
	// maxCrashEntries bounds the table. Beyond it, entries with one crash are dropped, since a
	// crashing engine makes suspects of all its requests; entries of proven poison requests stay.
	maxCrashEntries = 1024
)

// crashTable counts, by request fingerprint, the upstreams that crashed while running a request.
// Gates keep their own tables and exchange them with heartbeats, but two gates can start copies of
// the same suspect between two heartbeats. Only the owner sees both, and runs copies of a suspect
// one after another.
type crashTable struct {
	// running is the number of live grants by fingerprint. Fingerprint zero is not counted.
	running       map[uint64]int
	byFingerprint map[uint64]crashEntry
}

type crashEntry struct {
	count int
	until clock.Milli
}

func (c *crashTable) startRun(fingerprint uint64) {
	if fingerprint != 0 {
		c.running[fingerprint]++
	}
}

func (c *crashTable) endRun(fingerprint uint64) {
	if fingerprint == 0 {
		return
	}
	if c.running[fingerprint]--; c.running[fingerprint] <= 0 {
		delete(c.running, fingerprint)
	}
}

// count is the number of upstreams that crashed while running the request.
func (c *crashTable) count(now clock.Milli, fingerprint uint64) int {
	e, ok := c.byFingerprint[fingerprint]
	if !ok || e.until <= now {
		return 0
	}
	return e.count
}

// countCrash records that the upstream of a grant crashed. Queued copies of the request become
// suspects after the first crash, and are refused after the second. A request whose answer had lasted
// was merely there.
func (p *Pool) countCrash(now clock.Milli, g *grant) {
	fingerprint := g.Fingerprint
	if fingerprint == 0 || g.firstAt > 0 && now-g.firstAt >= blame.ProveTime {
		return
	}
	count := p.crashes.count(now, fingerprint) + 1
	p.crashes.set(now, fingerprint, crashEntry{count, now + crashRetention})
	for _, w := range p.queued {
		if w.Fingerprint != fingerprint {
			continue
		}
		w.Suspect = true
		if count >= maxCrashes {
			p.pendingDecisions = append(p.pendingDecisions, Decision{Action: Refused, Request: w.ID, Gate: w.Gate, Fault: fault.Quarantined})
			p.drop(w)
		}
	}
}

func (c *crashTable) set(now clock.Milli, fingerprint uint64, e crashEntry) {
	c.byFingerprint[fingerprint] = e
	if len(c.byFingerprint) <= maxCrashEntries {
		return
	}
	for other, e := range c.byFingerprint {
		if e.until <= now || e.count < maxCrashes && other != fingerprint {
			delete(c.byFingerprint, other)
		}
	}
}
