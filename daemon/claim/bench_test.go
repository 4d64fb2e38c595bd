package claim

import (
	"context"
	"fmt"
	"runtime"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"snipeshift.example/lib/clock"
	"snipeshift.example/lib/peer"
	"snipeshift.example/lib/platform"
	"snipeshift.example/lib/platform/platformtest"
)

// slowStore answers after the time that the platform's store takes.
type slowStore struct {
	*platformtest.Store
	bytes atomic.Int64
}

const storeTime = 3 * time.Millisecond

func (s *slowStore) Get(ctx context.Context, k platform.Kind, n platform.Name) (platform.Object, error) {
	time.Sleep(storeTime)
	return s.Store.Get(ctx, k, n)
}

func (s *slowStore) Put(ctx context.Context, k platform.Kind, n platform.Name, value []byte, cond platform.Condition) (platform.Version, error) {
	time.Sleep(storeTime)
	s.bytes.Add(int64(len(value)))
	return s.Store.Put(ctx, k, n, value, cond)
}

// BenchmarkClaims offers claims at a steady rate on all shards for ten seconds
// and settles each with a short answer. It prints the store's calls a second,
// the bytes written, and how long a gate waits for its claim.
func BenchmarkClaims(b *testing.B) {
	for _, rate := range []int{10, 50, 280} {
		b.Run(fmt.Sprintf("%d-a-second", rate), func(b *testing.B) {
			for range b.N {
				offer(b, rate, 10*time.Second)
			}
		})
	}
}

func offer(b *testing.B, rate int, span time.Duration) {
	s := &slowStore{Store: platformtest.New()}
	p := &peers{self: peer.Member{VM: "a", Address: "a"}}
	p.believe("a")
	c := New(s, &wire{}, clock.New(), DefaultRules, p)
	var wg sync.WaitGroup
	var mu sync.Mutex
	var waits []time.Duration
	every := time.NewTicker(time.Second / time.Duration(rate))
	defer every.Stop()
	begun := time.Now()
	for i := 0; time.Since(begun) < span; i++ {
		<-every.C
		wg.Go(func() {
			start := time.Now()
			key := fmt.Sprintf("%d-%d", begun.UnixNano(), i)
			ticket, r := c.Claim(context.Background(), "w", key, key)
			require.Equal(b, peer.ClaimWon, r.State)
			mu.Lock()
			waits = append(waits, time.Since(start))
			mu.Unlock()
			require.NoError(b, c.Settle(context.Background(), ticket, 200, make([]byte, 200)))
		})
	}
	wg.Wait()
	took := time.Since(begun).Seconds()
	b.ReportMetric(float64(s.Counts().Writes)/took, "writes/s")
	b.ReportMetric(float64(s.Counts().Reads)/took, "reads/s")
	b.ReportMetric(float64(s.bytes.Load())/took/1000, "kB/s")
	b.ReportMetric(quantile(waits, 0.5), "p50-ms")
	b.ReportMetric(quantile(waits, 0.95), "p95-ms")
	b.ReportMetric(quantile(waits, 1), "max-ms")
}

func quantile(ds []time.Duration, q float64) float64 {
	sorted := append([]time.Duration(nil), ds...)
	slices.Sort(sorted)
	at := min(int(q*float64(len(sorted))), len(sorted)-1)
	return float64(sorted[at].Microseconds()) / 1000
}

// BenchmarkTakeover moves a shard with a day of claims to another VM: the wait
// of the first claim there, and the memory that the index takes.
func BenchmarkTakeover(b *testing.B) {
	for _, records := range []int{1000, 100000} {
		b.Run(fmt.Sprintf("%d-records", records), func(b *testing.B) {
			s := &slowStore{Store: platformtest.New()}
			id := fill(s, records)
			key := sameShard(id, 1)[0]
			b.ResetTimer()
			for i := range b.N {
				p := &peers{self: peer.Member{VM: "b", Address: "b"}}
				p.believe("b")
				c := New(s, &wire{}, clock.New(), DefaultRules, p)
				before := heap()
				_, r := c.Claim(context.Background(), "w", key, fmt.Sprint(i))
				require.NotEqual(b, peer.ClaimUnknown, r.State)
				b.ReportMetric(float64(heap()-before)/float64(records), "B/record")
				runtime.KeepAlive(c)
			}
		})
	}
}

func heap() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

// fill writes the journal of one shard as commits of 100 would have left it.
func fill(s *slowStore, records int) shardID {
	const id shardID = 5
	k := clock.New()
	rules := quick()
	h := newShard(id, s.Store, k, rules, &breaker{})
	for i := 0; i < records; i += rules.MaxBatch {
		var ops []*op
		for j := range rules.MaxBatch {
			d, _ := digestOf("w", fmt.Sprintf("old-%d", i+j))
			ops = append(ops, &op{key: d, nonce: fmt.Sprintf("00000000-0000-0000-0000-%012d", i+j), want: claimed})
		}
		h.commit(ops)
	}
	return id
}
