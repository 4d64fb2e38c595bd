package placer

import (
	"math/rand/v2"

	"snipeshift.example/lib/logline"
	"snipeshift.example/lib/route"
)

// globalRandom draws from the generator of the process.
type globalRandom struct{}

// Float64 implements span.Random.
func (globalRandom) Float64() float64 { return rand.Float64() }

// setSpread makes a pool spread short requests while other deciders may use the same upstreams. The
// pool's lock is held.
func (o *Owner) setSpread(args *AskArgs, p *ownedPool) {
	on := o.Spread && o.limitedKnowledge(args)
	if on {
		p.pool.SetRank(o.rank())
	}
	if !p.pool.SetSpread(on, globalRandom{}) {
		return
	}
	o.Log.Info().Str(logline.Key, logline.Spread).Str("service", string(args.Service)).Bool("on", on).
		Int("members", len(o.Members.Live())).Int("lost", o.Members.Lost()).Msg("short requests are spread while other owners may use the same upstreams")
}

// rank returns the rank of this VM among the members, and whether it knows any other. If VMs that know
// of nobody all had the rank zero, all would prefer the same upstreams.
func (o *Owner) rank() (rank int, known bool) {
	return o.Members.Position(), !o.Alone() && len(o.Members.Live())+o.Members.Lost() > 1
}

// limitedKnowledge reports whether VMs that this one does not reach may grant requests at the same
// upstreams.
func (o *Owner) limitedKnowledge(args *AskArgs) bool {
	return o.Alone() || o.Members.Lost() > 0 || args.Local && !o.Holders.Holds(args.Service)
}

// OverrunIdle returns, for each service that this VM owns, the share of intervals in which an upstream
// queued while another one was idle.
func (o *Owner) OverrunIdle() map[route.ServiceID]float64 {
	pools := o.allPools()
	ratios := make(map[route.ServiceID]float64, len(pools))
	for s, p := range pools {
		p.mu.Lock()
		ratios[s] = p.pool.OverrunIdle()
		p.mu.Unlock()
	}
	return ratios
}
