package blame

import (
	"encoding/binary"
	"slices"

	"github.com/cespare/xxhash/v2"

	"snipeshift.example/lib/clock"
)

// crashesToCopy is the number of crashes from which a part is worth copying to other VMs. Single crashes are frequent, and
// losing one costs one crash more.
const crashesToCopy = 2

// recentTime is longer than it takes to agree on a new owner.
const recentTime = clock.Minute

// Crash is one crash in a copy of a table.
type Crash struct {
	Upstream Upstream
	// Ago is the time since the crash.
	Ago clock.Milli
	// Parts are the suspect parts that were there.
	Parts []Part
}

// copyWhere returns the crashes that speak against parts, where keep returns true.
func (t *Table) copyWhere(now clock.Milli, keep func(*suspect, *crash) bool) []Crash {
	if len(t.suspects) == 0 {
		return nil
	}
	byCrash := map[*crash][]Part{}
	for p, s := range t.suspects {
		for _, x := range s.crashes {
			if keep(s, x) {
				byCrash[x] = append(byCrash[x], p)
			}
		}
	}
	out := make([]Crash, 0, len(byCrash))
	for _, x := range t.crashes {
		if parts := byCrash[x]; len(parts) > 0 {
			slices.Sort(parts)
			out = append(out, Crash{Upstream: x.upstream, Ago: now - x.at, Parts: parts})
		}
	}
	return out
}

// ForPeers returns the copy that other VMs keep: the crashes of parts with several.
func (t *Table) ForPeers(now clock.Milli) []Crash {
	return t.copyWhere(now, func(s *suspect, _ *crash) bool { return len(s.crashes) >= crashesToCopy })
}

// Whole returns the copy for a planned successor.
func (t *Table) Whole(now clock.Milli) []Crash {
	return t.copyWhere(now, func(*suspect, *crash) bool { return true })
}

// RecentUnder returns the crashes of the last minute under those of some parts that have several and were not answered shortly
// before: those that a VM saw itself, for an owner that may not know them. Single ones are frequent where many upstreams crash
// at once, and an owner that knows no answers yet would hold back all requests with these parts.
func (t *Table) RecentUnder(now clock.Milli, parts []Part) []Crash {
	var out []Crash
	for _, p := range parts {
		s := t.suspects[p]
		if s == nil || s.familiar || len(s.crashes) < crashesToCopy {
			continue
		}
		for _, x := range s.crashes {
			if now-x.at < recentTime {
				out = append(out, Crash{Upstream: x.upstream, Ago: now - x.at, Parts: []Part{p}})
			}
		}
	}
	return out
}

// Merge adds the crashes of a copy. Parts that were answered after a crash are left out.
func (t *Table) Merge(now clock.Milli, cs []Crash) {
	for _, c := range cs[:min(len(cs), maxRecords)] {
		x := t.crash(now-c.Ago, c.Upstream)
		for _, p := range c.Parts[:min(len(c.Parts), maxSuspects)] {
			if at, ok := t.answeredAt(p); !ok || at < x.at {
				t.add(now, p, x)
			}
		}
	}
}

// Digest returns a hash of a copy that does not depend on the time; zero for an empty copy.
func Digest(cs []Crash) uint64 {
	if len(cs) == 0 {
		return 0
	}
	var d xxhash.Digest
	d.Reset()
	var b [8]byte
	write := func(n uint64) {
		binary.LittleEndian.PutUint64(b[:], n)
		_, _ = d.Write(b[:])
	}
	for _, c := range cs {
		_, _ = d.WriteString(c.Upstream.ID)
		write(uint64(c.Upstream.Born))
		write(uint64(len(c.Parts)))
		for _, p := range c.Parts {
			write(uint64(p))
		}
	}
	return d.Sum64()
}
