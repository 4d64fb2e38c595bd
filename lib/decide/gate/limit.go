package gate

import (
	"snipeshift.example/lib/clock"
	"snipeshift.example/lib/decide"
)

const (
	// burstSeconds is the number of seconds of its rate that a workspace may spend at once.
	burstSeconds = 2.0
	// shareTTL is how long a share is valid. It bounds the time after which the home notices a
	// change of demand, and after which a lower rate takes effect everywhere.
	shareTTL = 2 * clock.Second
	// evenShare is the part of a workspace's rate that is divided evenly among all VMs with a
	// share, so that the first request on a VM need not wait for one.
	evenShare = 0.1
	// forgetAfter is the time after which a VM that stopped asking loses its share.
	forgetAfter = 3 * shareTTL
)

// Limit is the token bucket of one VM for one workspace. It fills at the VM's share of the
// workspace's rate, which the workspace's home VM, the one responsible for that rate, divides among
// the VMs. While the home is unreachable, the last share stays in force: refusing everything because
// a peer is down would turn a limit into an outage, and without a limit one workspace could flood
// the system.
type Limit struct {
	// rate is the share in tokens per millisecond; zero means no limit.
	rate  float64
	level float64
	at    clock.Milli
	// requested is the number of tokens requested since the last call of Demand, which was at
	// since.
	requested float64
	since     clock.Milli
}

// NewLimit returns a full bucket with the given share.
func NewLimit(now clock.Milli, share decide.Rate) *Limit {
	l := &Limit{at: now, since: now}
	l.rate = perMilli(share)
	l.level = l.size()
	return l
}

func perMilli(r decide.Rate) float64 { return float64(r) / float64(clock.Second) }

func (l *Limit) size() float64 { return l.rate * burstSeconds * float64(clock.Second) }

// SetShare sets a new share received from the home VM.
func (l *Limit) SetShare(now clock.Milli, share decide.Rate) {
	l.fill(now)
	l.rate = perMilli(share)
	l.level = min(l.level, l.size())
}

// Take requests tokens. It returns zero if they are granted, and otherwise the time after which the
// same request would be granted. A request larger than the bucket, which could never be granted
// otherwise, is granted when the bucket is full and leaves a negative level.
func (l *Limit) Take(now clock.Milli, t decide.Tokens) clock.Milli {
	l.requested += float64(t)
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

// Refund returns tokens of a refused request or of an estimate that was too high.
func (l *Limit) Refund(now clock.Milli, t decide.Tokens) {
	l.fill(now)
	l.level = min(l.level+float64(t), l.size())
}

// Demand returns the rate of tokens requested since the last call, to be sent to the home VM.
func (l *Limit) Demand(now clock.Milli) decide.Rate {
	span := float64(max(now-l.since, 1))
	r := decide.Rate(l.requested / span * float64(clock.Second))
	l.requested, l.since = 0, now
	return r
}

func (l *Limit) fill(now clock.Milli) {
	if now > l.at {
		l.level = min(l.level+l.rate*float64(now-l.at), l.size())
		l.at = now
	}
}

// Home divides the rate of one workspace among the VMs that have clients of it. It runs on the
// workspace's home VM.
type Home struct {
	rate    decide.Rate
	demands map[decide.GateID]vmDemand
}

type vmDemand struct {
	demand decide.Rate
	at     clock.Milli
}

// NewHome returns a Home for a rate in tokens per second.
func NewHome(rate decide.Rate) *Home {
	return &Home{rate: rate, demands: make(map[decide.GateID]vmDemand)}
}

// SetRate changes the rate for shares from now on.
func (h *Home) SetRate(rate decide.Rate) { h.rate = rate }

// Share records the demand of a VM and returns its share and how long the share is valid. A tenth
// of the rate is divided evenly, the rest by demand, so the sum of all shares does not exceed the
// rate once every VM has asked again.
func (h *Home) Share(now clock.Milli, vm decide.GateID, demand decide.Rate) (decide.Rate, clock.Milli) {
	h.demands[vm] = vmDemand{max(demand, 0), now}
	var sum decide.Rate
	for id, a := range h.demands {
		if now-a.at > forgetAfter {
			delete(h.demands, id)
			continue
		}
		sum += a.demand
	}
	evenPart := h.rate * evenShare / decide.Rate(len(h.demands))
	byDemand := h.rate * (1 - evenShare)
	if sum <= 0 {
		return evenPart + byDemand/decide.Rate(len(h.demands)), shareTTL
	}
	return evenPart + byDemand*demand/sum, shareTTL
}
