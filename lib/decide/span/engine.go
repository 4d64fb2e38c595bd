package span

import (
	"snipeshift.example/lib/clock"
	"snipeshift.example/lib/decide"
	"snipeshift.example/lib/route"
)

// row is one upstream with all that was granted on it.
type row struct {
	route.Upstream
	// engine is nil for a plain service.
	engine *route.Engine
	// until is when the reading granted so far should be over, in milliseconds
	// of the pool's clock.
	until float64
	// grants holds every grant that uses the upstream, as leader or helper.
	grants map[decide.RequestID]*granted
	sums
	health health
	// foreign is how many requests the upstream holds that no grant explains, by
	// its last report, and foreignUsed the memory in tokens that they take.
	foreign     int
	foreignUsed decide.Tokens
	// doubtful is set from the moment at which the books are known to miss work
	// there, until a report says what it is.
	doubtful bool
	// ended is when requests ended here of which a report may still tell, oldest first.
	ended []clock.Milli
	// pace is how many times as long as usual work takes there, by its last report; zero if it
	// never reported. Suspected is set if that should be asked.
	pace      float64
	suspected bool
	// declared is what the upstream says of itself.
	declared *declared
	// polled is when the upstream was asked for its load last.
	polled clock.Milli
}

// granted is a grant in the pool's books.
type granted struct {
	LiveGrant
	ask Ask
	at  clock.Milli
	// presented is set for a grant of another owner's: it is older than at.
	presented bool
	// heard is when its gate last named it.
	heard clock.Milli
	rows  []*row
}

// leads reports whether the grant's answer is written on r.
func (g *granted) leads(r *row) bool { return g.Grant.Leader.Upstream == r.ID }

// overdue is the reading in milliseconds that is assumed where the estimate has run
// out and the word of the end has not come.
const overdue = 60.0

// debt is the reading that is granted and not done, in milliseconds. An engine whose first byte
// is late is taken to be busy for as long again: what holds it up is not in the books.
func (r *row) debt(now clock.Milli) float64 {
	left := max(0, r.until-float64(now))
	if r.engine == nil || r.reading == 0 {
		return left
	}
	return max(left, overdue, float64(now-r.due))
}

// overruns reports whether a first byte is so late that the books must be missing work.
func (r *row) overruns(now clock.Milli) bool {
	return r.engine != nil && r.reading > 0 && now-r.due > lateSlack
}

// sums are what follows from a row's grants. They are worked out when grants change:
// each placing reads them of every row.
type sums struct {
	// streams counts the requests that hold a slot, since their answer is written here or
	// will be, and context is their tokens.
	streams int
	context decide.Tokens
	// reading counts the grants whose prompt is not read yet, and due is when the first byte of
	// one of them should be there.
	reading int
	due     clock.Milli
	// suspects counts the grants of requests that an upstream died of.
	suspects int
	// pause is the shortest pause that the streams bear; zero for none.
	pause clock.Milli
	// taken is the KV memory in tokens that grants take.
	taken decide.Tokens
}

// refresh works the sums out anew.
func (r *row) refresh() {
	r.sums = sums{}
	for _, g := range r.grants {
		if !g.Writing {
			if due := g.at + g.Grant.First; r.reading == 0 || due < r.due {
				r.due = due
			}
			r.reading++
		}
		if g.ask.Suspect {
			r.suspects++
		}
		if !g.leads(r) {
			r.taken += g.reserved(r)
			continue
		}
		r.streams++
		r.context += g.Grant.Prompt + g.Grant.Output
		r.taken += g.Grant.Prompt + g.Grant.Output - reserved(g.Grant.Helpers)
		if g.Grant.Gap > 0 && (r.pause == 0 || g.Grant.Gap < r.pause) {
			r.pause = g.Grant.Gap
		}
	}
}

// reserved is the memory that a grant reserves on a helper.
func (g *granted) reserved(r *row) decide.Tokens {
	for _, h := range g.Grant.Helpers {
		if h.Upstream == r.ID {
			return h.Reserve
		}
	}
	return 0
}

// light reports whether any stream here bears only short pauses. What no grant
// explains is taken for such streams: most requests are.
func (r *row) light() bool {
	return r.foreign > 0 || r.pause > 0 && r.pause <= lightPause
}

// used is the KV memory in tokens that is taken here.
func (r *row) used() decide.Tokens { return r.foreignUsed + r.taken }

func reserved(ps []Placement) decide.Tokens {
	var sum decide.Tokens
	for _, p := range ps {
		sum += p.Reserve
	}
	return sum
}

// free is the KV memory in tokens that no grant takes. A sixteenth is left:
// engines count memory in blocks, and a full one puts its newest request out.
func (r *row) free() decide.Tokens {
	if r.engine == nil {
		return 0
	}
	return r.usual() - r.used()
}

// spare is the free memory that may be set aside for a prompt that another engine leads. One that bounds its requests sets none aside: it may
// count the orders as requests.
func (r *row) spare(now clock.Milli) decide.Tokens {
	if r.declared.limit.Limited(now) {
		return 0
	}
	return r.free()
}

// usual is the KV memory in tokens of the upstream while it has no grants.
func (r *row) usual() decide.Tokens { return r.engine.Memory - r.engine.Memory/16 }

// usable reports whether a new request may go there at all.
func (r *row) usable(now clock.Milli, a *Ask) bool {
	if r.leaves() || !r.health.open(now) || r.doubtful && r.engine != nil || !r.declared.limit.Allows(now) {
		return false
	}
	if now < r.declared.rest(a.Gate) || r.onTrial() {
		return false
	}
	for _, id := range a.Avoid {
		if id == r.ID {
			return false
		}
	}
	return !a.Suspect || r.suspects == 0
}

// take books a grant that adds a read of this many milliseconds.
func (r *row) take(now clock.Milli, g *granted, read float64) {
	if r.streams > 0 && read > 0 {
		// Streams that are written meanwhile take their part of each pass.
		read += r.engine.PassTime(r.streams, r.context)
	}
	read *= max(r.pace, 1)
	r.until = max(r.until, float64(now)) + read
	r.grants[g.Grant.Request] = g
	r.refresh()
}

// settle takes a change of the grants into the sums, and corrects the estimate once
// nothing is left to be read.
func (r *row) settle(now clock.Milli) {
	r.refresh()
	if r.reading == 0 {
		r.until = min(r.until, float64(now))
	}
}
