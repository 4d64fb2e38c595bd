package span

import (
	"snipeshift.example/lib/clock"
	"snipeshift.example/lib/decide/ratelimit"
	"snipeshift.example/lib/decide/statement"
	"snipeshift.example/lib/route"
)

// An upstream that has just started is cold: it is slow, and it crashes if all VMs together send it
// more requests than its service specifies. After the end of an evacuation, or after a release, many
// upstreams are cold at once, and all of them are empty, so without a limit they would receive
// everything that waits.

// warmUp limits the requests to one upstream while it is cold, and raises the limit gradually
// afterwards.
type warmUp struct {
	limiter ratelimit.Limiter
	// until is when the upstream will be warm.
	until clock.Milli
}

// begin starts the warm-up, or extends it.
func (w *warmUp) begin(now, until clock.Milli, rate statement.PerSecond) {
	if rate <= 0 || until <= now {
		return
	}
	w.until = max(w.until, until)
	w.limiter.Learn(now, statement.Statement{Kind: statement.Limit, Named: true, Rate: rate, At: now})
}

// cold reports whether the upstream is cold.
func (w *warmUp) cold(now clock.Milli) bool { return now < w.until }

// allows reports whether the upstream may be sent a request now.
func (w *warmUp) allows(now clock.Milli) bool {
	if !w.cold(now) && w.limiter.HasLimit() {
		w.limiter.Learn(now, statement.Statement{Kind: statement.Limit, At: now})
	}
	return w.limiter.Allows(now)
}

// left returns how much longer the upstream is cold.
func (w *warmUp) left(now clock.Milli) clock.Milli { return max(0, w.until-now) }

// beginWarmUp records that an upstream is cold until an instant.
func (p *Pool) beginWarmUp(now clock.Milli, r *upstreamState, until clock.Milli) {
	r.warmUp.limiter.SetFraction(now, p.declared.share)
	r.warmUp.begin(now, until, p.coldRate)
}

// noteEntry compares the entry of an upstream in a new list with the one before, and begins a warm-up
// if the entry says that the upstream is cold. An upstream that gets requests again after it was
// evacuated may have become cold meanwhile, which its entry shows later.
func (p *Pool) noteEntry(now clock.Milli, r *upstreamState, u *route.Upstream) {
	if u.Cold > 0 && u.Cold != r.Cold {
		p.beginWarmUp(now, r, now+u.Cold)
	}
	if r.Leaving && !u.Leaving {
		p.beginWarmUp(now, r, now+p.warmUpTime)
	}
}

// avoided reports whether the upstream gets only what the others have no room for, because it is slow
// or cold.
func (r *upstreamState) avoided(now clock.Milli) bool { return r.slow() || r.warmUp.cold(now) }
