package decide

import (
	"slices"

	"snipeshift.example/lib/clock"
	"snipeshift.example/lib/decide/blame"
	"snipeshift.example/lib/fault"
)

// sharedParts returns the parts of a request that others may share: those that it names, and the beginnings of its prompt.
func (r *Request) sharedParts() []blame.Part {
	if len(r.Parts) == 0 {
		return r.Prefixes
	}
	return slices.Concat(r.Parts, r.Prefixes)
}

// LearnCrashes adds crashes that another pool of the same model or service, or an earlier owner of this one, knows.
func (p *Pool) LearnCrashes(now clock.Milli, cs []blame.Crash) { p.parts.Merge(now, cs) }

// TakePartChanges returns what has become known of parts of requests since the last call.
func (p *Pool) TakePartChanges() []blame.Change { return p.parts.TakeChanges() }

// judge returns how a queued request may run now: held if another one with the same suspect part or the same suspect
// content runs.
func (p *Pool) judge(now clock.Milli, w *waiting) blame.Judgment {
	j := p.parts.Judge(now, w.shared)
	if j.Verdict < blame.Held && w.Suspect && p.crashes.running[w.Fingerprint] > 0 {
		j.Verdict = blame.Held
	}
	return j
}

// setAside takes a request that must not run beside certain others out of its lane, where all behind it would wait with it,
// or refuses it. It returns false if the request may be placed.
func (p *Pool) setAside(now clock.Milli, w *waiting) bool {
	j := p.judge(now, w)
	switch j.Verdict {
	case blame.Clear:
		return false
	case blame.Refused:
		p.refuseBlamed(w, j)
		return true
	case blame.Alone, blame.Held:
	}
	p.dequeue(w)
	w.aside = true
	p.aside = append(p.aside, w)
	p.queued[w.ID] = w
	p.expiries.push(w)
	return true
}

// refuseBlamed refuses a queued request that holds a blamed part.
func (p *Pool) refuseBlamed(w *waiting, j blame.Judgment) {
	p.refuse(w.ID, w.Gate, fault.Quarantined, j.Retry)
	p.drop(w)
}

// serveAside places the requests that were set aside and may run now, as suspects.
func (p *Pool) serveAside(now clock.Milli) {
	for _, w := range slices.Clone(p.aside) {
		switch j := p.judge(now, w); j.Verdict {
		case blame.Clear:
			p.dequeue(w)
			w.aside = false
			p.queued[w.ID] = w
			p.enqueue(w)
		case blame.Refused:
			p.refuseBlamed(w, j)
		case blame.Alone:
			w.Suspect = true
			if g, ok := p.place(now, w); ok {
				p.grant(now, w, g)
				continue
			}
			p.makeEarmark(now, w)
		case blame.Held:
		}
	}
}

// run returns the send under a grant in the table of parts.
func (g *grant) run() blame.Run { return blame.Run{Number: uint64(g.ID)} }

// startRun records a grant in the table of parts.
func (p *Pool) startRun(now clock.Milli, g *grant) {
	if len(g.parts) > 0 {
		p.parts.Granted(now, g.run(), blame.Upstream{ID: string(g.on[0].spec.ID)}, g.parts)
	}
}

// endRun records the outcome of a grant in the table of parts, if the outcome says anything about them. An upstream that
// leaves may break off its last responses. All other sends end there with the row of the grant: an engine may still run the
// request of a lapsed one.
func (p *Pool) endRun(now clock.Milli, g *grant, o Outcome) {
	switch {
	case o == Done:
		p.parts.Answered(now, g.run())
	case o == Lost && len(g.on) > 0 && !g.on[0].leaving():
		p.parts.Crashed(now, g.run())
	}
}
