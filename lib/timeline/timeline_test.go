package timeline

import (
	"encoding/json"
	"strings"
	"sync"
	"testing"
	"unsafe"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"snipeshift.example/lib/clock"
	"snipeshift.example/lib/decide"
)

type handClock struct{ now clock.Milli }

func (c *handClock) Now() clock.Milli { return c.now }

// The clock of one VM is an hour behind that of another. Ordered by wall time,
// the answer to a message would be drawn before the message, and an operator
// would look for the cause on the wrong VM.
func TestMergeOrdersCausesFirstDespiteClocks(t *testing.T) {
	fast := NewRing("daemon", "fast", 1, 8, &handClock{now: 2 * 3600 * clock.Second})
	slow := NewRing("daemon", "slow", 1, 8, &handClock{now: 3600 * clock.Second})

	fast.Add(Event{Kind: Arrived, Request: "r"})
	slow.ReceiveStamp(fast.SendStamp())
	slow.Add(Event{Kind: Granted, Request: "r"})
	fast.ReceiveStamp(slow.SendStamp())
	fast.Add(Event{Kind: Sent, Request: "r"})

	var got []Kind
	for _, e := range Merge([][]Event{slow.Events(Filter{}), fast.Events(Filter{})}) {
		got = append(got, e.Kind)
	}
	require.Equal(t, []Kind{Arrived, Granted, Sent}, got)
}

// A message arrives with a stamp from a broken clock, years ahead. If it were
// taken over, every event of every VM would carry that year from then on.
func TestReceiveIgnoresAStampFarAhead(t *testing.T) {
	r := NewRing("daemon", "a", 1, 8, &handClock{now: 1000})
	r.ReceiveStamp(Stamp(1<<64 - 1))
	require.Less(t, r.SendStamp(), StampOf(2000))
}

func TestMergeIsCausalForAnyExchange(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const processes = 3
		var clocks [processes]*handClock
		var rings [processes]*Ring
		for i := range rings {
			clocks[i] = &handClock{now: clock.Milli(rapid.IntRange(0, 5000).Draw(t, "start"))}
			rings[i] = NewRing("daemon", string(rune('a'+i)), 1, 1000, clocks[i])
		}
		// before[i] lists events that process i knows of: each must be drawn before its next one.
		var before [processes][]string
		causes := map[string][]string{}
		steps := rapid.IntRange(1, 60).Draw(t, "steps")
		for n := range steps {
			i := rapid.IntRange(0, processes-1).Draw(t, "process")
			clocks[i].now += clock.Milli(rapid.IntRange(0, 3).Draw(t, "pass"))
			if rapid.Bool().Draw(t, "message") {
				to := rapid.IntRange(0, processes-1).Draw(t, "to")
				rings[to].ReceiveStamp(rings[i].SendStamp())
				before[to] = append(before[to], before[i]...)
				continue
			}
			id := string(rune('A' + n))
			rings[i].Add(Event{Kind: Arrived, Text: id})
			causes[id] = append([]string(nil), before[i]...)
			before[i] = append(before[i], id)
		}
		var parts [][]Event
		for _, r := range rings {
			parts = append(parts, r.Events(Filter{}))
		}
		place := map[string]int{}
		for i, e := range Merge(parts) {
			place[e.Text] = i
		}
		for id, cs := range causes {
			for _, c := range cs {
				require.Less(t, place[c], place[id])
			}
		}
	})
}

func TestRingOverwritesTheOldest(t *testing.T) {
	r := NewRing("daemon", "a", 1, 3, &handClock{now: 5})
	for range 5 {
		r.Add(Event{Kind: Arrived})
	}
	got := r.Events(Filter{})
	require.Len(t, got, 3)
	require.Equal(t, uint64(3), got[0].Seq)
	require.Equal(t, uint64(5), got[2].Seq)
}

func TestRingBoundsTexts(t *testing.T) {
	r := NewRing("daemon", "a", 1, 3, &handClock{})
	long := strings.Repeat("é", 500)
	r.Add(Event{Request: decide.RequestID(long), Text: long})
	e := r.Events(Filter{})[0]
	require.LessOrEqual(t, len(e.Request), MaxIDLen)
	require.LessOrEqual(t, len(e.Text), MaxTextLen)
}

func TestFilter(t *testing.T) {
	c := &handClock{now: 100}
	r := NewRing("daemon", "a", 1, 8, c)
	r.Add(Event{Kind: Arrived, Request: "r1", Workspace: "w1"})
	c.now = 200
	r.Add(Event{Kind: Granted, Request: "r2", Workspace: "w1", Upstream: "u"})
	require.Len(t, r.Events(Filter{Request: "r1"}), 1)
	require.Len(t, r.Events(Filter{Workspace: "w1"}), 2)
	require.Len(t, r.Events(Filter{Upstream: "u"}), 1)
	require.Len(t, r.Events(Filter{Since: 150}), 1)
	require.Len(t, r.Events(Filter{Until: 150}), 1)
	require.Empty(t, r.Events(Filter{Workspace: "other"}))
}

func TestAddDoesNotAllocate(t *testing.T) {
	r := NewRing("daemon", "a", 1, 64, clock.New())
	e := Event{Kind: Granted, Request: "r", Workspace: "w", Upstream: "u", Text: "text"}
	require.Zero(t, testing.AllocsPerRun(200, func() { r.Add(e) }))
}

func TestNilRingKeepsNothing(t *testing.T) {
	var r *Ring
	r.Add(Event{Kind: Arrived})
	r.ReceiveStamp(r.SendStamp())
	require.Empty(t, r.Events(Filter{}))
}

func TestEveryKindHasItsOwnName(t *testing.T) {
	seen := map[string]bool{}
	for k := KindNone; k < kinds; k++ {
		name := k.String()
		require.NotEmpty(t, name)
		require.False(t, seen[name], name)
		seen[name] = true
		text, err := json.Marshal(k)
		require.NoError(t, err)
		var back Kind
		require.NoError(t, json.Unmarshal(text, &back))
		require.Equal(t, k, back)
	}
	var k Kind
	require.Error(t, k.UnmarshalText([]byte("nonsense")))
}

func BenchmarkAdd(b *testing.B) {
	r := NewRing("daemon", "a", 1, DefaultSize, clock.New())
	e := Event{Kind: Granted, Request: "r", Workspace: "w", Upstream: "u", Text: "text"}
	for b.Loop() {
		r.Add(e)
	}
}

func FuzzStamp(f *testing.F) {
	f.Add("1767355200030.7")
	f.Add("1.")
	f.Fuzz(func(t *testing.T, text string) {
		var s, back Stamp
		if s.UnmarshalText([]byte(text)) != nil {
			return
		}
		again, err := s.MarshalText()
		require.NoError(t, err)
		require.NoError(t, back.UnmarshalText(again))
		require.Equal(t, s, back)
	})
}

func BenchmarkEvents(b *testing.B) {
	r := NewRing("daemon", "a", 1, DefaultSize, clock.New())
	for range DefaultSize {
		r.Add(Event{Kind: Granted, Request: "r", Workspace: "w", Upstream: "u", Text: "text"})
	}
	b.Run("one", func(b *testing.B) {
		for b.Loop() {
			r.Events(Filter{Request: "other"})
		}
	})
	b.Run("all", func(b *testing.B) {
		for b.Loop() {
			r.Events(Filter{})
		}
	})
}

func TestRingSize(t *testing.T) {
	require.LessOrEqual(t, unsafe.Sizeof(Event{})*DefaultSize, uintptr(6<<20))
}

// While an operator collects the ring, requests go on adding to it and
// overwrite its oldest events. What is collected must still be whole events in
// order, each once.
func TestEventsWhileOthersAdd(t *testing.T) {
	r := NewRing("daemon", "a", 1, 2*batch, clock.New())
	var adders sync.WaitGroup
	for range 2 {
		adders.Go(func() {
			for range 20 * batch {
				r.Add(Event{Kind: Granted})
			}
		})
	}
	for range 20 {
		last := uint64(0)
		for _, e := range r.Events(Filter{}) {
			require.Greater(t, e.Seq, last)
			last = e.Seq
		}
	}
	adders.Wait()
	require.Len(t, r.Events(Filter{}), 2*batch)
}
