package decide

import (
	"fmt"
	"math"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"snipeshift.example/lib/clock"
)

// steady is a saturated pool in which each step admits, ends and places one request.
type steady struct {
	pool   *Pool
	now    clock.Milli
	next   int
	names  []RequestID
	grants []GrantID
	ended  int
}

// newSteady fills a pool until the given number of requests is queued.
func newSteady(upstreams, queued int) *steady {
	s := &steady{pool: New(Config{Epoch: 1, Lease: clock.Minute}), now: 1_000_000}
	for i := range upstreams {
		s.pool.SetUpstream(s.now, Upstream{
			ID: UpstreamID(fmt.Sprintf("e%04d", i)), Memory: 450_000, Slots: 8, Prefill: 20_000, Decode: 50,
		})
	}
	for i := range 2*queued + 40*upstreams {
		s.names = append(s.names, RequestID(fmt.Sprintf("r%06d", i)))
	}
	for len(s.pool.queued) < queued {
		s.submit()
		s.tick()
	}
	return s
}

// submit submits one request: mostly short ones of 100 workspaces, one in fifty long.
func (s *steady) submit() {
	i := s.next
	s.next++
	r := Request{
		ID: s.names[i%len(s.names)], Workspace: workspaces[i%len(workspaces)], Urgency: Urgency(1 + i%3),
		Deadline: s.now + 1_000_000_000, Prompt: Tokens(1000 + 997*i%16_000), Output: 200, Prefixes: prefixes[i%len(prefixes)][:],
	}
	if i%50 == 0 {
		r.Prompt = Tokens(100_000 + 7919*i%300_000)
	}
	s.pool.Submit(s.now, r)
}

var (
	workspaces [100]WorkspaceID
	prefixes   [500][4]PrefixHash
)

func init() {
	for i := range workspaces {
		workspaces[i] = WorkspaceID(fmt.Sprintf("w%d", i))
	}
	for i := range prefixes {
		for k := range prefixes[i] {
			prefixes[i][k] = PrefixHash(i*8 + k)
		}
	}
}

func (s *steady) tick() {
	for _, d := range s.pool.Tick(s.now) {
		if d.Action == Granted {
			s.pool.Progress(s.now, d.Grant.ID, true, 1)
			s.grants = append(s.grants, d.Grant.ID)
		}
	}
}

// step admits one request, ends one and places one.
func (s *steady) step() {
	s.now++
	s.submit()
	s.pool.Finish(s.now, s.grants[s.ended], Done)
	s.ended++
	if s.ended*2 > len(s.grants) {
		n := copy(s.grants, s.grants[s.ended:])
		s.grants, s.ended = s.grants[:n], 0
	}
	s.tick()
}

// BenchmarkDecide measures the cost of one request from Submit to Finish.
func BenchmarkDecide(b *testing.B) {
	for _, n := range []int{23, 92, 368, 1300} {
		for _, q := range []int{100, 1000, 10_000} {
			b.Run(fmt.Sprintf("upstreams=%d/queued=%d", n, q), func(b *testing.B) {
				s := newSteady(n, q)
				for range 1000 {
					s.step()
				}
				b.ReportAllocs()
				for b.Loop() {
					s.step()
				}
			})
		}
	}
}

// BenchmarkSlope reports the relative growth of the cost with each doubling of the size, and the
// exponent of the corresponding power law. One iteration is a whole measurement: use -benchtime 1x.
func BenchmarkSlope(b *testing.B) {
	for range b.N {
		small := cost(23, 100)
		slope(b, "upstreams", small, cost(1300, 100), 1300.0/23)
		slope(b, "queued", small, cost(23, 10_000), 100)
		b.ReportMetric(cost(1300, 10_000), "ns/largest")
	}
}

// cost is the time of one step in nanoseconds: the best of five runs, as the machine may be shared.
func cost(upstreams, queued int) float64 {
	const turns = 20_000
	s := newSteady(upstreams, queued)
	least := math.Inf(1)
	for range 5 {
		began := time.Now()
		for range turns {
			s.step()
		}
		least = min(least, float64(time.Since(began).Nanoseconds())/turns)
	}
	return least
}

func slope(b *testing.B, what string, small, large, times float64) {
	b.ReportMetric((large/small-1)/math.Log2(times), what+"-growth/doubling")
	b.ReportMetric(math.Log(large/small)/math.Log(times), what+"-exponent")
}

// A tick that allocates produces garbage in proportion to the load, and the garbage collection
// stalls the owner when the load is highest.
func TestSteadyTickDoesNotAllocate(t *testing.T) {
	s := newSteady(100, 1000)
	for range 5000 {
		s.step()
	}
	require.Zero(t, testing.AllocsPerRun(2000, s.step))
}
