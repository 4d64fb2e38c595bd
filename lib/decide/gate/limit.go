package gate

import (
	"snipeshift.example/lib/clock"
	"snipeshift.example/lib/decide"
)

const (
	// burst is how many seconds of its rate a workspace may spend at once.
	burst = 2.0
	// shareLife is how long a share is dealt for. The home sees a change of demand
	// after at most that, and a rate cut takes effect everywhere after it.
	shareLife = 2 * clock.Second
	// shareFloor is the part of a workspace's rate that is dealt evenly to all VMs
	// that asked, so that the first request on a VM need not wait for a share.
	shareFloor = 0.1
	// forgetAfter is when a VM that asked no more loses its share.
	forgetAfter = 3 * shareLife
)

// Limit is one VM's bucket of tokens for one workspace. It fills at the VM's
// share of the workspace's rate. While the workspace's home VM is out of reach
// the last share holds: refusing everything because a peer is down would
// turn a limit into an outage, and no limit at all would let one workspace flood.
type Limit struct {
	// rate is the share in tokens per millisecond; zero means no limit.
	rate  float64
	level float64
	at    clock.Milli
	// asked sums the tokens asked for since the last Demand.
	asked float64
	since clock.Milli
}

// NewLimit returns a bucket that starts full at the first share.
func NewLimit(now clock.Milli, share decide.Rate) *Limit {
	l := &Limit{at: now, since: now}
	l.rate = perMilli(share)
	l.level = l.size()
	return l
}

func perMilli(r decide.Rate) float64 { return float64(r) / float64(clock.Second) }

func (l *Limit) size() float64 { return l.rate * burst * float64(clock.Second) }

// SetShare takes a new share from the home VM.
func (l *Limit) SetShare(now clock.Milli, share decide.Rate) {
	l.fill(now)
	l.rate = perMilli(share)
	l.level = min(l.level, l.size())
}

// Take asks for tokens. Zero means granted; otherwise it is the span after which
// the same request would be granted. A request larger than the bucket passes
// when the bucket is full and leaves a debt, or it could never pass.
func (l *Limit) Take(now clock.Milli, t decide.Tokens) clock.Milli {
	l.asked += float64(t)
	if l.rate <= 0 {
		return 0
	}
	l.fill(now)
	need := min(float64(t), l.size())
	if l.level >= need {
		l.level -= float64(t)
		return 0
	}
	return clock.Milli((need-l.level)/l.rate) + 1
}

// Refund gives tokens back: a refused request, or an estimate that was too high.
func (l *Limit) Refund(now clock.Milli, t decide.Tokens) {
	l.fill(now)
	l.level = min(l.level+float64(t), l.size())
}

// Demand is the rate asked for since the last call, to send to the home VM.
func (l *Limit) Demand(now clock.Milli) decide.Rate {
	span := float64(max(now-l.since, 1))
	r := decide.Rate(l.asked / span * float64(clock.Second))
	l.asked, l.since = 0, now
	return r
}

func (l *Limit) fill(now clock.Milli) {
	if now > l.at {
		l.level = min(l.level+l.rate*float64(now-l.at), l.size())
		l.at = now
	}
}

// Home deals out the rate of one workspace to the VMs that have callers of it.
type Home struct {
	rate  decide.Rate
	asked map[decide.GateID]ask
}

type ask struct {
	demand decide.Rate
	at     clock.Milli
}

// NewHome returns a dealer of rate tokens per second.
func NewHome(rate decide.Rate) *Home {
	return &Home{rate: rate, asked: make(map[decide.GateID]ask)}
}

// SetRate changes the rate that is dealt from now on.
func (h *Home) SetRate(rate decide.Rate) { h.rate = rate }

// Share takes a VM's demand and answers with its share and how long that lasts.
// A tenth is dealt evenly, the rest by demand, so all shares together never
// exceed the rate once every VM has asked again.
func (h *Home) Share(now clock.Milli, vm decide.GateID, demand decide.Rate) (decide.Rate, clock.Milli) {
	h.asked[vm] = ask{max(demand, 0), now}
	var sum decide.Rate
	for id, a := range h.asked {
		if now-a.at > forgetAfter {
			delete(h.asked, id)
			continue
		}
		sum += a.demand
	}
	even := h.rate * shareFloor / decide.Rate(len(h.asked))
	rest := h.rate * (1 - shareFloor)
	if sum <= 0 {
		return even + rest/decide.Rate(len(h.asked)), shareLife
	}
	return even + rest*demand/sum, shareLife
}
