package balance

import (
	"math/rand/v2"
	"slices"
	"testing"

	"github.com/stretchr/testify/require"

	"snipeshift.example/lib/clock"
)

const (
	now         = 100 * clock.Second
	serviceTime = clock.Second
)

// reported returns candidates of 16 slots with these loads of others, reported some time ago.
func reported(age clock.Milli, loads ...int) []Candidate {
	cs := make([]Candidate, len(loads))
	for i, l := range loads {
		cs[i] = Candidate{Slots: 16, Pace: 1}
		cs[i].Record.Note(now-age, l, 0)
	}
	return cs
}

// chosen counts the choices of many deciders that all have the same reports.
func chosen(cs []Candidate) []int {
	random := rand.New(rand.NewPCG(1, 0))
	n := make([]int, len(cs))
	for range 1000 {
		n[Choose(now, serviceTime, cs, random.Float64())]++
	}
	return n
}

func TestNoCandidate(t *testing.T) {
	require.Equal(t, -1, Choose(now, serviceTime, nil, 0.5))
	require.Equal(t, -1, ChooseRanked(now, serviceTime, nil, 3, 0.5))
}

// Deciders with ranks and without reports must load the candidates evenly, however their requests are
// divided between them. Random choices exceed 16 requests at some candidates in this load.
func TestRankedDecidersLoadEvenly(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 0))
	for _, ranks := range [][2]int{{0, 30}, {0, 15}, {40, 50}, {0, 300}} {
		own := make([][]Candidate, ranks[1]-ranks[0])
		load := make([]int, 30)
		for range 336 {
			d := random.IntN(len(own))
			if own[d] == nil {
				own[d] = reported(clock.Minute, make([]int, 30)...)
			}
			i := ChooseRanked(now, serviceTime, own[d], ranks[0]+d, 0)
			own[d][i].Own++
			load[i]++
		}
		require.LessOrEqual(t, slices.Max(load), 16, "%v %v", ranks, load)
	}
}

// Ranks must not outweigh reports: an upstream that others fill gets nothing, and a free one most.
func TestRankedDecidersFollowReports(t *testing.T) {
	n := make([]int, 4)
	for rank := range 100 {
		n[ChooseRanked(now, serviceTime, reported(100, 12, 16, 4, 12), rank, 0)]++
	}
	require.Zero(t, n[1], n)
	require.Greater(t, n[2], 90, n)
}

// A decider that knows of no other requests has to behave like one that knows all.
func TestSoleDeciderChoosesTheLeastLoaded(t *testing.T) {
	cs := reported(0, 0, 0, 0)
	cs[0].Own, cs[1].Own, cs[2].Own = 5, 3, 4
	require.Equal(t, []int{0, 1000, 0}, chosen(cs))
}

// All deciders with the same reports would overload the upstream that was empty when it reported.
func TestOldReportsSpreadChoices(t *testing.T) {
	fresh := chosen(reported(50, 12, 12, 4, 12))
	old := chosen(reported(2*clock.Second, 12, 12, 4, 12))
	require.Greater(t, fresh[2], 900)
	for i, n := range old {
		require.Greater(t, n, 100, i)
	}
	require.Less(t, old[2], 500)
}

// Reports that stop must leave an even spread, by slots.
func TestStoppedReportsSpreadEvenly(t *testing.T) {
	cs := reported(clock.Minute, 0, 30, 10, 16)
	for i, n := range chosen(cs) {
		require.InDelta(t, 250, n, 50, i)
	}
	cs[1].Slots = 48
	require.InDelta(t, 500, chosen(cs)[1], 60)
}

// One upstream whose reports have stopped must get neither all requests nor none.
func TestOneStoppedReportCountsAsUsual(t *testing.T) {
	cs := reported(500, 10, 10, 10, 10)
	cs[0].Record = Record{}
	cs[0].Record.Note(now-clock.Minute, 0, 0)
	require.InDelta(t, 250, chosen(cs)[0], 80)
}

func TestReportThatArrivesLateIsIgnored(t *testing.T) {
	var r Record
	r.Note(200, 7, 2)
	r.Note(100, 30, 0)
	require.Equal(t, Record{others: 5, at: 200, known: true}, r)
}

// An upstream that reports no requests for ever would attract all deciders for ever. Each must notice
// once a report lacks its own request.
func TestFalseReportIsNotFollowedTwice(t *testing.T) {
	cs := reported(500, 10, 10, 10, 0)
	require.Greater(t, chosen(cs)[3], 500)
	cs[3].Record.Note(now-100, 0, 1)
	require.Less(t, chosen(cs)[3], 400)
	cs[3].Record.Note(now-50, 0, 0)
	require.True(t, cs[3].Record.doubted, "no requests of this decider and none reported prove nothing")
	cs[3].Record.Note(now, 9, 1)
	require.False(t, cs[3].Record.doubted)
}

// A slow upstream with a queue must get less than its slots suggest.
func TestQueueOfSlowUpstreamCountsMore(t *testing.T) {
	cs := reported(500, 20, 20)
	cs[1].Pace = 4
	n := chosen(cs)
	require.Greater(t, n[0], 3*n[1])
}

// The owner decides thousands of times a second.
func BenchmarkChoose200(b *testing.B) {
	loads := make([]int, 200)
	for i := range loads {
		loads[i] = i % 17
	}
	cs := reported(500, loads...)
	for b.Loop() {
		Choose(now, serviceTime, cs, 0.5)
	}
}

// Short requests may end before the next report, which then does not show that the last one was false.
func TestSlowUpstreamIsDoubtedWithoutAReport(t *testing.T) {
	cs := reported(500, 10, 10, 10, 0)
	cs[3].Record.Doubt()
	require.Less(t, chosen(cs)[3], 400)
}
