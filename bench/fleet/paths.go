package fleet

import (
	"fmt"
	"math/rand/v2"
	"slices"

	"snipeshift.example/lib/clock"
	"snipeshift.example/lib/decide/path"
	"snipeshift.example/lib/peer"
)

// PathLoad describes one simulation of VMs that lose their paths to all upstreams at the same moment.
type PathLoad struct {
	VMs  int
	Seed uint64
	// Cut is the share of the VMs that lose their paths. The loss lasts to the end.
	Cut float64
	// Rate is the number of new connections to upstreams per second and VM.
	Rate float64
	For  clock.Milli
}

// PathResult is what a simulation of lost paths shows.
type PathResult struct {
	VMs int `json:"vms"`
	// Cut is the number of VMs that lost their paths.
	Cut int `json:"cut"`
	// FailedFirst counts the connects of these VMs that failed in the first second, of ConnectsFirst; Failed and
	// Connects those after it.
	FailedFirst   int `json:"failedFirst"`
	ConnectsFirst int `json:"connectsFirst"`
	Failed        int `json:"failed"`
	Connects      int `json:"connects"`
	// Asked is the mean number of VMs that were asked for a connect after the first second.
	Asked float64 `json:"asked"`
	// Median and Most are the connects that a VM carried per second after the first second.
	Median float64 `json:"median"`
	Most   float64 `json:"most"`
	// Slowest is the longest time in milliseconds that 99 of 100 connects needed after the first second.
	Slowest clock.Milli `json:"slowest"`
}

// Times of one connect in milliseconds: of a round trip, of a refused direct connect, and of the whole search.
const (
	askTime     = 4
	refuseTime  = 2
	searchLimit = 300
	// searchBreadth is how many VMs are asked for one connect at most.
	searchBreadth = 24
	// upstreams is the number of upstreams, each of which is as likely to be connected to.
	upstreams = 1000
)

// pathVM is one VM of a simulation of lost paths.
type pathVM struct {
	member  peer.Member
	table   *path.Table
	cut     bool
	carried int
}

// pathSimulation is the state of one run.
type pathSimulation struct {
	load   PathLoad
	random *rand.Rand
	live   []peer.Member
	vms    []*pathVM
	byName map[peer.VM]*pathVM
	result PathResult
	asked  int
	times  []clock.Milli
}

// RunPaths simulates connects to upstreams, refused at the VMs that are cut from the start.
func RunPaths(l PathLoad) PathResult {
	s := &pathSimulation{load: l, random: rand.New(rand.NewPCG(l.Seed, 0)), byName: map[peer.VM]*pathVM{}, result: PathResult{VMs: l.VMs}}
	for i := range l.VMs {
		m := peer.Member{VM: peer.VM(fmt.Sprintf("edge-hall-%03d", i)), Domain: peer.Domain(fmt.Sprintf("hall-%d", i%5))}
		s.live = append(s.live, m)
		v := &pathVM{member: m, table: path.New(m)}
		s.vms = append(s.vms, v)
		s.byName[m.VM] = v
	}
	s.result.Cut = int(l.Cut * float64(l.VMs))
	for _, i := range s.random.Perm(l.VMs)[:s.result.Cut] {
		s.vms[i].cut = true
	}
	interval := float64(clock.Second) / l.Rate / float64(l.VMs)
	for at := 0.0; at < float64(l.For); at += interval {
		s.connect(clock.Milli(at)+1, s.vms[s.random.IntN(l.VMs)])
	}
	return s.summary()
}

// connect makes one connect of a VM at an instant.
func (s *pathSimulation) connect(now clock.Milli, v *pathVM) {
	address := fmt.Sprint("upstream-", s.random.IntN(upstreams))
	if !v.cut {
		v.table.Connected(now, address)
		return
	}
	spent := clock.Milli(0)
	direct := v.table.Direct(now, address)
	if direct {
		spent += refuseTime
	}
	asked, ok := s.search(now, v)
	spent += clock.Milli(asked) * askTime
	ok = ok && spent <= searchLimit
	if ok && direct {
		v.table.Bypassed(now, address, true)
	}
	s.count(now, asked, spent, ok)
}

// search asks VMs in turn until one connects, and returns how many were asked.
func (s *pathSimulation) search(now clock.Milli, v *pathVM) (asked int, ok bool) {
	seen := map[peer.VM]bool{}
	for asked < searchBreadth {
		ms := v.table.Candidates(now, s.live, asked, s.random.IntN)
		i := slices.IndexFunc(ms, func(m peer.Member) bool { return !seen[m.VM] })
		if i < 0 {
			return asked, false
		}
		asked++
		seen[ms[i].VM] = true
		c := s.byName[ms[i].VM]
		if !c.cut {
			v.table.Carried(now, c.member.VM)
			if now > clock.Second {
				c.carried++
			}
			return asked, true
		}
		c.table.Unproven(now, true)
		v.table.Declined(now, c.member.VM, c.table.Carriers(now))
	}
	return asked, false
}

// count records one connect of a VM that is cut.
func (s *pathSimulation) count(now clock.Milli, asked int, spent clock.Milli, ok bool) {
	r := &s.result
	failed := 0
	if !ok {
		failed = 1
	}
	if now <= clock.Second {
		r.ConnectsFirst++
		r.FailedFirst += failed
		return
	}
	r.Connects++
	r.Failed += failed
	s.asked += asked
	s.times = append(s.times, spent)
}

// summary returns the result.
func (s *pathSimulation) summary() PathResult {
	r := s.result
	seconds := max(s.load.For-clock.Second, 1).Duration().Seconds()
	var carried []int
	for _, v := range s.vms {
		if !v.cut {
			carried = append(carried, v.carried)
		}
	}
	slices.Sort(carried)
	if len(carried) > 0 {
		r.Median, r.Most = float64(carried[len(carried)/2])/seconds, float64(carried[len(carried)-1])/seconds
	}
	if len(s.times) > 0 {
		slices.Sort(s.times)
		r.Asked, r.Slowest = float64(s.asked)/float64(len(s.times)), s.times[len(s.times)*99/100]
	}
	return r
}
