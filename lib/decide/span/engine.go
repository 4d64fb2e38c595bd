package span

import (
	"snipeshift.example/lib/clock"
	"snipeshift.example/lib/decide"
	"snipeshift.example/lib/decide/balance"
	"snipeshift.example/lib/decide/forecast"
	"snipeshift.example/lib/decide/locality"
	"snipeshift.example/lib/route"
)

// upstreamState is one upstream with all its grants.
type upstreamState struct {
	route.Upstream
	// engine is nil for a plain service.
	engine *route.Engine
	// prefillUntil is the time, in milliseconds of the pool's clock, at which the prefills granted so
	// far should be done.
	prefillUntil float64
	// grants holds every grant that uses the upstream, as leader or helper.
	grants map[decide.RequestID]*grantState
	totals
	// holders are the requests that hold places here, holderEnds the intervals in which the forecast
	// expects their ends, estimated with these corrections. All are empty while it is off.
	holders     []decide.RequestID
	holderEnds  []forecast.End
	corrections corrections
	health      health
	// external is the number of requests in the upstream's last report that no grant of this owner
	// accounts for, and externalUsed is the KV memory in tokens that they use.
	external     int
	externalUsed decide.Tokens
	// unverified is set when the grants recorded here are known to miss some work of the upstream,
	// until a report shows its load.
	unverified bool
	// recentEnds lists when requests ended here that a delayed report may still count, oldest
	// first.
	recentEnds []clock.Milli
	// pace is the factor by which work takes longer than usual, by the last report or as learned for
	// the present load; zero if the upstream never reported. reportWanted is set if the upstream should be polled for its pace.
	pace         float64
	reportWanted bool
	// learned is the pace that the pool has learned from its own requests, where that is enabled.
	learned locality.Pace
	// declared is what the upstream declared about itself.
	declared *declared
	// warmUp limits the requests while the upstream is cold.
	warmUp warmUp
	// record is what the reports tell of the requests of other owners.
	record balance.Record
	// polledAt is when the upstream was last polled for its load, and reportedAt when it last reported it.
	polledAt, reportedAt clock.Milli
}

// grantState is a grant and what the pool records about it.
type grantState struct {
	LiveGrant
	ask       Ask
	grantedAt clock.Milli
	// presented is set for a grant that another owner made: it is older than grantedAt.
	presented bool
	// namedAt is when the gate of the grant last named it.
	namedAt   clock.Milli
	upstreams []*upstreamState
	// expected is the expectation against which the first byte is compared, see observePace.
	expected expectation
}

// leads reports whether r is the leader of the grant, which writes the answer.
func (g *grantState) leads(r *upstreamState) bool { return g.Grant.Leader.Upstream == r.ID }

// minBacklog is the backlog in milliseconds that is assumed if the estimate has run out and the
// first byte has not been reported.
const minBacklog = 60.0

// backlog returns the prefill time in milliseconds that is granted and not done. If the first byte
// on an engine is overdue, the engine is assumed to stay busy for as long again as the first byte
// is overdue: the work that delays it is not among the recorded grants.
func (r *upstreamState) backlog(now clock.Milli) float64 {
	left := max(0, r.prefillUntil-float64(now))
	if r.engine == nil || r.prefills == 0 {
		return left
	}
	return max(left, minBacklog, float64(now-r.firstDue))
}

// firstByteOverdue reports whether a first byte is so late that the engine must have work that is
// not recorded here.
func (r *upstreamState) firstByteOverdue(now clock.Milli) bool {
	return r.engine != nil && r.prefills > 0 && now-r.firstDue > lateSlack
}

// totals are computed from the grants of an upstream. They are cached until the grants change,
// because each placement reads the totals of every upstream.
type totals struct {
	// streams counts the requests that hold a slot here as their leader, from the grant on, and
	// context is the sum of their tokens.
	streams int
	context decide.Tokens
	// prefills counts the grants whose prefill is not done, and firstDue is the earliest time at
	// which the first byte of one of them is expected.
	prefills int
	firstDue clock.Milli
	// suspects counts the grants of suspect requests that have no answer yet, see Ask.Suspect.
	suspects int
	// pause is the shortest pause that the streams tolerate; zero for none.
	pause clock.Milli
	// grantedMemory is the KV memory in tokens used by grants.
	grantedMemory decide.Tokens
}

// refresh recomputes the totals.
func (r *upstreamState) refresh() {
	r.totals = totals{}
	for _, g := range r.grants {
		if !g.Writing {
			if due := g.grantedAt + g.Grant.First; r.prefills == 0 || due < r.firstDue {
				r.firstDue = due
			}
			r.prefills++
		}
		if g.ask.Suspect && !g.Writing {
			r.suspects++
		}
		if !g.leads(r) {
			r.grantedMemory += g.reserved(r)
			continue
		}
		r.streams++
		r.context += g.Grant.Prompt + g.Grant.Output
		r.grantedMemory += g.Grant.Prompt + g.Grant.Output - totalReserved(g.Grant.Helpers)
		if g.Grant.Gap > 0 && (r.pause == 0 || g.Grant.Gap < r.pause) {
			r.pause = g.Grant.Gap
		}
	}
	r.applyLearned()
}

// reserved returns the KV memory in tokens that a grant reserves on a helper.
func (g *grantState) reserved(r *upstreamState) decide.Tokens {
	for _, h := range g.Grant.Helpers {
		if h.Upstream == r.ID {
			return h.Reserve
		}
	}
	return 0
}

// hasShortStreams reports whether any stream here tolerates only short pauses. External requests
// are assumed to be such streams, because most requests are.
func (r *upstreamState) hasShortStreams() bool {
	return r.external > 0 || r.pause > 0 && r.pause <= maxShortPause
}

// usedMemory returns the KV memory in tokens that is in use.
func (r *upstreamState) usedMemory() decide.Tokens { return r.externalUsed + r.grantedMemory }

// totalReserved returns the total KV memory in tokens that these placements reserve.
func totalReserved(ps []Placement) decide.Tokens {
	var sum decide.Tokens
	for _, p := range ps {
		sum += p.Reserve
	}
	return sum
}

// freeMemory returns the KV memory in tokens that is not in use, except for a sixteenth of the
// whole that stays free: engines allocate memory in blocks, and a full engine evicts its newest
// request.
func (r *upstreamState) freeMemory() decide.Tokens {
	if r.engine == nil {
		return 0
	}
	return r.usableMemory() - r.usedMemory()
}

// reservableMemory returns the free memory that may be reserved for a prompt that another engine
// leads. Nothing is reserved on an upstream that limits its request rate: it may count reservation
// orders as requests.
func (r *upstreamState) reservableMemory(now clock.Milli) decide.Tokens {
	if r.declared.limit.Limited(now) {
		return 0
	}
	return r.freeMemory()
}

// usableMemory returns the KV memory in tokens that the upstream has for grants when it is idle.
func (r *upstreamState) usableMemory() decide.Tokens { return r.engine.Memory - r.engine.Memory/16 }

// accepts reports whether new requests may be placed on the upstream at all, whatever its free
// capacity.
func (r *upstreamState) accepts(now clock.Milli, a *Ask) bool { return r.obstacle(now, a) == none }

// addGrant records a grant that adds a prefill of this many milliseconds.
func (r *upstreamState) addGrant(now clock.Milli, g *grantState, prefill float64) {
	if r.streams > 0 && prefill > 0 {
		// Streams that are decoded meanwhile take their share of each pass.
		prefill += r.engine.PassTime(r.streams, r.context)
	}
	prefill *= max(r.pace, 1)
	r.prefillUntil = max(r.prefillUntil, float64(now)) + prefill
	r.grants[g.Grant.Request] = g
	r.refresh()
}

// update recomputes the totals after a grant ended or its first byte arrived, and resets the
// estimate once no prefill is left.
func (r *upstreamState) update(now clock.Milli) {
	r.refresh()
	if r.prefills == 0 {
		r.prefillUntil = min(r.prefillUntil, float64(now))
	}
}
