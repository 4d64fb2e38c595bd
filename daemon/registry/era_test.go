package registry

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"snipeshift.example/lib/clock"
	"snipeshift.example/lib/decide"
	"snipeshift.example/lib/peer"
	"snipeshift.example/lib/route"
)

// returned has the store come back from a copy in which other things stand, at an earlier position.
func (b *bench) returned(d *route.Document, us []route.Upstream) {
	b.store.mu.Lock()
	defer b.store.mu.Unlock()
	b.store.document, b.store.upstreams = d, us
	b.store.at = route.Position{Era: b.store.at.Era + 1, Mark: b.store.at.Mark / 2}
}

// ids are the upstreams that are used, and those of them that leave.
func (b *bench) ids() (used, leaving []decide.UpstreamID) {
	for _, u := range b.View().Upstreams["s"] {
		if u.Leaving {
			leaving = append(leaving, u.ID)
			continue
		}
		used = append(used, u.ID)
	}
	return used, leaving
}

// The store has counted past a position that it gave out before its return. What lies between is another history: a watch that goes on
// from there misses what was written meanwhile.
func TestAWatchDoesNotGoOnFromAPositionOfAnEarlierEra(t *testing.T) {
	b := newBench(t)
	at, err := b.listUpstreams(b.ctx)
	require.NoError(t, err)
	b.returned(document(1), upstreams("a", "c"))
	next, err := b.watchUpstreams(b.ctx, at, watchWait)
	require.NoError(t, err)
	require.Zero(t, next, "a list follows")
	next, err = b.watchDocument(b.ctx, at, watchWait)
	require.NoError(t, err)
	require.Zero(t, next, "a list follows")
	require.EqualValues(t, 1, b.EraChanges(), "one event")
}

// An answer was on its way when the store came back from a copy. What it says is of a history that is over.
func TestAnAnswerOfAnEarlierEraIsNotTaken(t *testing.T) {
	b := newBench(t)
	b.returned(document(1), upstreams("a", "b"))
	b.list()
	b.store.at.Era = 0
	b.store.upstreams, b.store.document = upstreams("z"), document(9)
	_, err := b.listUpstreams(b.ctx)
	require.ErrorIs(t, err, errEra)
	_, err = b.listDocument(b.ctx)
	require.ErrorIs(t, err, errEra)
	used, _ := b.ids()
	require.ElementsMatch(t, []decide.UpstreamID{"a", "b"}, used)
	require.EqualValues(t, 1, b.View().Table.Revision())
}

// Both feeds read at once: one hears of the next era while an answer of the earlier one, to the other, is being taken.
func TestChangesOfAnEarlierEraAreNotTaken(t *testing.T) {
	b := newBench(t)
	b.returned(document(1), upstreams("a", "b"))
	b.list()
	b.learnUpstreams(list(upstreams("z")), mark(900), b.clock.Now())
	b.changeUpstreams(list(upstreams("y")), mark(901), b.clock.Now())
	used, _ := b.ids()
	require.ElementsMatch(t, []decide.UpstreamID{"a", "b"}, used)
}

// In the copy stand an upstream that has left and one that leaves as if they were ready, and one is missing that came since.
func TestWhatWasKnownStandsAgainstTheCopy(t *testing.T) {
	b := newBench(t)
	b.changeUpstreams(list(upstreams("c", "young")), mark(10), b.clock.Now())
	leaving := upstreams("c")
	leaving[0].Leaving = true
	b.changeUpstreams(route.UpstreamUpdate{Upstreams: leaving, Removed: []decide.UpstreamID{"b"}}, mark(11), b.clock.Now())
	b.returned(document(1), upstreams("a", "b", "c"))
	b.list()
	used, left := b.ids()
	require.ElementsMatch(t, []decide.UpstreamID{"a", "young"}, used)
	require.Equal(t, []decide.UpstreamID{"c"}, left)

	b.clock.forward(holdGone)
	b.settle(route.Position{}, 0)
	used, _ = b.ids()
	require.Equal(t, []decide.UpstreamID{"a"}, used, "nobody wrote it again")

	b.changeUpstreams(list(upstreams("b")), b.store.position(200), b.clock.Now())
	used, _ = b.ids()
	require.ElementsMatch(t, []decide.UpstreamID{"a", "b"}, used, "it was written in this era: it lives")

	b.clock.forward(doubtTime)
	require.True(t, b.believe())
	b.settle(route.Position{}, 0)
	used, _ = b.ids()
	require.ElementsMatch(t, []decide.UpstreamID{"a", "b", "c"}, used, "its entry would have lapsed")
}

// The document in the copy is earlier than the one in force. That it does not change proves nothing: the operator may have written a later
// one, and lost it, in which a key is taken away.
func TestAnEarlierDocumentOfACopyProvesNothing(t *testing.T) {
	b := newBench(t)
	b.store.document = document(5)
	b.list()
	b.returned(document(3), upstreams("a", "b"))
	b.list()
	at := b.View().TableVerified
	for range 3 {
		b.clock.forward(watchWait)
		b.watch()
	}
	require.EqualValues(t, 5, b.View().Table.Revision(), "no document goes back")
	require.Equal(t, at, b.View().TableVerified)
	b.store.document = document(5)
	b.list()
	b.clock.forward(watchWait)
	b.watch()
	require.Greater(t, b.View().TableVerified, at)
}

// Readers of before and after the return answer beside each other. The later era counts, though its positions are lower.
func TestALaterErasListIsTakenThoughItsPositionIsLower(t *testing.T) {
	b, reader := newBench(t), newBench(t)
	reader.Registry.clock = b.clock
	b.peers = direct{reader.Registry}
	b.learnUpstreams(list(upstreams("a", "b")), mark(1000), b.clock.Now())
	reader.returned(document(1), upstreams("a", "b", "c"))
	reader.list()
	beat := &peer.BeatArgs{From: peer.Member{VM: "reader"}}
	reader.Fill("", beat)
	require.True(t, b.learnWord(beat.Registry, b.clock.Now()))
	require.True(t, b.fetch(b.ctx, beat.From))
	used, _ := b.ids()
	require.ElementsMatch(t, []decide.UpstreamID{"a", "b", "c"}, used)
	require.EqualValues(t, 1, b.Era())

	old := newBench(t)
	old.Registry.clock = b.clock
	old.learnUpstreams(list(upstreams("a")), mark(2000), b.clock.Now())
	b.peers = direct{old.Registry}
	require.True(t, b.fetch(b.ctx, peer.Member{VM: "old"}))
	used, _ = b.ids()
	require.Len(t, used, 3, "a list of an earlier era is not taken")
}

// A VM that has just started takes the copy for the newest, and others read by it. What they know is not taken out for that.
func TestAPeersCopyTakesNothingOutAtOnce(t *testing.T) {
	b, young := newBench(t), newBench(t)
	young.Registry.clock = b.clock
	young.returned(document(1), upstreams("a"))
	young.list()
	b.clock.forward(holdGone) // the VM has ended its own hold
	young.settle(route.Position{}, 0)
	b.peers = direct{young.Registry}
	require.True(t, b.fetch(b.ctx, peer.Member{VM: "young"}))
	require.Equal(t, 2, b.there())
	b.clock.forward(holdGone)
	b.settle(route.Position{}, 0)
	require.Equal(t, 1, b.there())
}

// All upstreams' entries lapsed while the store was away, and the copy has them. They live.
func TestLapsedUpstreamsThatTheCopyHasAreUsed(t *testing.T) {
	b := newBench(t)
	b.learnUpstreams(list(nil), mark(10), b.clock.Now())
	b.returned(document(1), upstreams("a", "b"))
	b.list()
	b.clock.forward(2 * clock.Second)
	b.settle(route.Position{}, 0)
	require.Equal(t, 2, b.there())
}

// A VM starts while the store has just come back from a copy, in which a key that was taken away still opens. Its peers know the later document:
// it waits for their word, and does not take the copy's.
func TestAVMThatStartsDuringADrillTakesItsPeersDocument(t *testing.T) {
	peers := newBench(t)
	peers.store.document = document(5)
	peers.list()
	young := New(peers.store, direct{peers.Registry}, peers.clock, peers.log)
	young.SetReaders(func() Roster { return Roster{} })
	peers.returned(document(3), upstreams("a", "b"))
	peers.store.at.Era = 2
	listed := make(chan struct{})
	go func() {
		defer close(listed)
		_, err := young.listDocument(peers.ctx)
		require.NoError(t, err)
	}()
	beat := &peer.BeatArgs{From: peer.Member{VM: "known"}}
	peers.Fill("", beat)
	young.Learn(beat, true)
	<-listed
	require.Eventually(t, func() bool { return young.View().Table != nil }, time.Second, time.Millisecond)
	require.EqualValues(t, 5, young.View().Table.Revision())
}

// Nobody that a VM reaches at its start knows a document, or nobody answers: it believes the store after a while.
func TestAVMThatStartsAloneBelievesTheStore(t *testing.T) {
	b := newBench(t)
	b.store.at.Era = 2
	for _, answered := range []bool{false, true} {
		alone := New(b.store, nil, clock.Boot{}, b.log)
		alone.SetReaders(func() Roster { return Roster{} })
		wait := aloneWait
		if answered {
			wait = peerWait
			alone.Learn(&peer.BeatArgs{From: peer.Member{VM: "young"}}, true)
		}
		began := time.Now()
		_, err := alone.listDocument(b.ctx)
		require.NoError(t, err)
		require.NotNil(t, alone.View().Table)
		require.GreaterOrEqual(t, time.Since(began), wait.Duration())
		require.Less(t, time.Since(began), wait.Duration()+time.Second)
	}
}

// The copy lacks an upstream, and its writer writes it again a second later. A VM whose watch was cut off meanwhile sees that in a list, and
// not as a change. Doubted, an upstream that lives was taken out for seconds.
func TestWhatAListOfThisEraHasAgainIsBelieved(t *testing.T) {
	b := newBench(t)
	b.returned(document(1), upstreams("a"))
	b.list()
	b.clock.forward(clock.Second)
	b.store.upstreams = upstreams("a", "b")
	b.list()
	b.clock.forward(2 * holdGone)
	b.settle(route.Position{}, 0)
	require.Equal(t, 2, b.there())
}

// It is written again only after VMs have taken it out.
func TestWhatIsWrittenAgainAfterItWasTakenOutIsBelieved(t *testing.T) {
	b := newBench(t)
	b.returned(document(1), upstreams("a"))
	b.list()
	b.clock.forward(holdGone)
	b.settle(route.Position{}, 0)
	require.Equal(t, 1, b.there())
	b.store.upstreams = upstreams("a", "b")
	b.list()
	require.Equal(t, 2, b.there())
}

// One VM had seen an upstream's entry go before the drill, and doubts that the copy has it. Others, which had not, took its list for the newest, and
// the upstream was lost to the whole fleet until its entry changed again.
func TestAListThatDoubtsTakesNothingOutElsewhere(t *testing.T) {
	b, doubts, late := newBench(t), newBench(t), newBench(t)
	doubts.Registry.clock, late.Registry.clock = b.clock, b.clock
	gone := route.UpstreamUpdate{Removed: []decide.UpstreamID{"b"}}
	doubts.changeUpstreams(gone, mark(10), b.clock.Now())
	late.changeUpstreams(gone, mark(10), b.clock.Now())
	doubts.returned(document(1), upstreams("a", "b"))
	doubts.list()
	require.Equal(t, 1, doubts.there())
	b.peers, late.peers = direct{doubts.Registry}, direct{doubts.Registry}
	require.True(t, b.fetch(b.ctx, peer.Member{VM: "doubts"}))
	require.True(t, late.fetch(late.ctx, peer.Member{VM: "doubts"}))
	b.clock.forward(holdGone)
	b.settle(route.Position{}, 0)
	require.Equal(t, 2, b.there(), "that a peer doubts it is no word of its end")
	require.Equal(t, 1, late.there())
	b.clock.forward(doubtTime)
	late.believe()
	late.settle(route.Position{}, 0)
	require.Equal(t, 2, late.there(), "its entry would have lapsed")
}
