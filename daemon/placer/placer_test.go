package placer

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/phuslu/log"
	"github.com/stretchr/testify/require"

	"snipeshift.example/daemon/member"
	"snipeshift.example/daemon/registry"
	"snipeshift.example/lib/clock"
	"snipeshift.example/lib/decide"
	"snipeshift.example/lib/decide/span"
	"snipeshift.example/lib/exchange"
	"snipeshift.example/lib/peer"
	"snipeshift.example/lib/route"
)

var engine = route.Engine{Slots: 16, Memory: 450_000, Step: 0.925, Read: 256, Pairs: 0.0917, Stride: 46}

// fixedView is a fixed view of one service with some upstreams.
type fixedView struct{ view *registry.View }

func (k fixedView) View() *registry.View { return k.view }

func newView(t *testing.T, ids ...decide.UpstreamID) fixedView {
	t.Helper()
	tb, err := route.Index(&route.Document{Revision: 1, Services: []route.Service{{ID: "s", Engine: &engine}}})
	require.NoError(t, err)
	v := &registry.View{Table: tb, Generation: 1, Upstreams: map[route.ServiceID][]route.Upstream{}}
	for _, id := range ids {
		v.Upstreams["s"] = append(v.Upstreams["s"], route.Upstream{ID: id, Service: "s", Address: string(id), Slots: 16})
	}
	return fixedView{v}
}

// idle reports no load for any upstream.
type idle struct{}

func (idle) Report(context.Context, string) (exchange.Load, error) { return exchange.Load{}, nil }

func newOwner(t *testing.T, ids ...decide.UpstreamID) *Owner {
	t.Helper()
	return ownerAt(t, members{{VM: "self", Address: "self"}}, &network{}, ids...)
}

var quietLog = &log.Logger{Level: log.FatalLevel}

// testClock reads the time of package time, which is simulated in the bubbles of package synctest.
type testClock struct{}

func (testClock) Now() clock.Milli { return clock.Milli(time.Now().UnixMilli()) }

// ownerAt returns the owner of one VM of a fleet.
func ownerAt(t *testing.T, m Members, p Peers, ids ...decide.UpstreamID) *Owner {
	t.Helper()
	needs := OwnerNeeds{
		Clock: testClock{}, Knowledge: newView(t, ids...), Reports: idle{}, Alone: func() bool { return false },
		Holders: NewHolders(m, testClock{}, quietLog), Members: m, Peers: p, Log: quietLog,
	}
	return NewOwner(needs, Budget{Share: 0.2, Floor: 10, Window: 10 * clock.Second})
}

// dispatch calls a method of an owner by name, as net/rpc does.
func dispatch(o *Owner, method string, args, reply any) error {
	switch method {
	case Name + ".Ask":
		return o.Ask(args.(*AskArgs), reply.(*AskReply))
	case Name + ".Note":
		return o.Note(args.(*NoteArgs), &peer.Empty{})
	case Name + ".Follow":
		return o.Follow(args.(*peer.Holder), reply.(*peer.Holder))
	case Name + ".Keepalive":
		return o.Keepalive(args.(*KeepaliveArgs), reply.(*peer.Holder))
	case Name + ".Reach":
		return o.Reach(args.(*ReachArgs), reply.(*ReachReply))
	case Name + ".Where":
		return o.Where(args.(*WhereArgs), reply.(*WhereReply))
	case Name + ".Pardon":
		return o.Pardon(args.(*PardonArgs), reply.(*PardonReply))
	case Name + ".Take":
		return o.Take(args.(*TakeArgs), &peer.Empty{})
	default:
		return o.Present(args.(*PresentArgs), reply.(*PresentReply))
	}
}

// network connects owners by the addresses of their VMs.
type network struct {
	mu sync.Mutex
	// Calls to hanging VMs block until their context ends; calls to refusing VMs fail at once.
	hanging, refusing map[string]bool
	owners            map[string]*Owner
}

var errRefused = errors.New("refused")

func (n *network) Call(ctx context.Context, address, method string, args, reply any) error {
	n.mu.Lock()
	o, hanging, refusing := n.owners[address], n.hanging[address], n.refusing[address]
	n.mu.Unlock()
	if hanging {
		<-ctx.Done()
		return ctx.Err()
	}
	if refusing {
		return errRefused
	}
	return dispatch(o, method, args, reply)
}

// Probe implements Peers.
func (n *network) Probe(ctx context.Context, address string) error {
	n.mu.Lock()
	hanging, refusing := n.hanging[address], n.refusing[address]
	n.mu.Unlock()
	if hanging {
		<-ctx.Done()
		return ctx.Err()
	}
	if refusing {
		return errRefused
	}
	return nil
}

// fail makes calls to a VM fail in one of the two ways.
func (n *network) fail(how map[string]bool, address string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	how[address] = true
}

// members is a fixed member list, all live. The last one is this VM.
type members []peer.Member

func (m members) Live() []peer.Member { return m }
func (m members) Self() peer.Member   { return m[len(m)-1] }
func (m members) Lost() int           { return 0 }
func (m members) Position() int       { return len(m) - 1 }

// viewOf is the member list as seen by one of the members.
type viewOf struct {
	members
	self peer.Member
}

func (a viewOf) Self() peer.Member { return a.self }

type deployment struct {
	*network
	client *Client
	// ranked are the VMs by their rank as owners of the service; the last one is this VM.
	ranked     []peer.Member
	localOwner *Owner
}

func newDeployment(t *testing.T) *deployment {
	t.Helper()
	d := &deployment{network: &network{hanging: map[string]bool{}, refusing: map[string]bool{}, owners: map[string]*Owner{}}}
	var ms []peer.Member
	for _, n := range []peer.VM{"a", "b", "c", "d"} {
		ms = append(ms, peer.Member{VM: n, Address: string(n)})
	}
	d.ranked = member.Rank("s", ms)
	for _, m := range d.ranked {
		d.owners[m.Address] = ownerAt(t, viewOf{members(d.ranked), m}, d.network, "e0", "e1")
	}
	self := d.ranked[len(d.ranked)-1]
	d.localOwner = d.owners[self.Address]
	d.client = NewClient(testClock{}, &log.Logger{Level: log.FatalLevel}, members(d.ranked), d.network, d.localOwner, "gate")
	return d
}

func ask(id decide.RequestID) span.Ask {
	now := testClock{}.Now()
	return span.Ask{ID: id, Gate: "gate", Prompt: 5000, Output: 1600, Aim: now + 300, Deadline: now + 5000, Gap: 200, Stream: true}
}

func (d *deployment) grants(o peer.Member) int {
	h := d.owners[o.Address].lockedPool("s")
	defer h.mu.Unlock()
	return h.pool.Counts().Granted
}

func TestOwnerIsQueried(t *testing.T) {
	d := newDeployment(t)
	reply, err := d.client.Ask(context.Background(), "s", ask("1"))
	require.NoError(t, err)
	require.Equal(t, decide.UpstreamID("e0"), reply.Grant.Leader.Upstream)
	require.Equal(t, 1, d.grants(d.ranked[0]))
	d.client.End("1", span.Done, "")
	require.Eventually(t, func() bool { return d.grants(d.ranked[0]) == 0 }, time.Second, time.Millisecond)
}

// The owner's VM loses power. Its connections stay open without answers, and heartbeats need
// seconds to detect the loss; short requests have a latency target of 300 ms.
func TestUnresponsiveOwnerIsSkipped(t *testing.T) {
	d := newDeployment(t)
	d.fail(d.hanging, d.ranked[0].Address)
	began := time.Now()
	_, err := d.client.Ask(context.Background(), "s", ask("1"))
	require.NoError(t, err)
	require.Less(t, time.Since(began), 700*time.Millisecond)
	require.Equal(t, 1, d.grants(d.ranked[1]))
	began = time.Now()
	_, err = d.client.Ask(context.Background(), "s", ask("2"))
	require.NoError(t, err)
	require.Less(t, time.Since(began), 100*time.Millisecond, "the next request must not query the lost VM again")
}

// This VM can reach clients and engines but no other VM.
func TestGateDecidesByItselfWithoutReachableOwner(t *testing.T) {
	d := newDeployment(t)
	for _, m := range d.ranked {
		d.fail(d.refusing, m.Address)
	}
	reply, err := d.client.Ask(context.Background(), "s", ask("1"))
	require.NoError(t, err)
	require.NotEmpty(t, reply.Grant.Leader.Upstream)
	require.Equal(t, 1, d.grants(d.ranked[3]))
}

// An owner is lost while requests run. Its successor must not allocate again what they occupy.
func TestNewOwnerIsPresentedLiveGrants(t *testing.T) {
	d := newDeployment(t)
	for _, id := range []decide.RequestID{"1", "2", "3"} {
		_, err := d.client.Ask(context.Background(), "s", ask(id))
		require.NoError(t, err)
		d.client.FirstByte(id)
	}
	d.fail(d.refusing, d.ranked[0].Address)
	_, err := d.client.Ask(context.Background(), "s", ask("4"))
	require.NoError(t, err)
	require.Equal(t, 4, d.grants(d.ranked[1]))
}

// The client disconnects while its request is queued.
func TestQueryEndsWithItsClient(t *testing.T) {
	d := newDeployment(t)
	for _, o := range d.owners {
		o.Knowledge = newView(t)
	}
	ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
	defer cancel()
	_, err := d.client.Ask(ctx, "s", ask("1"))
	require.ErrorIs(t, err, context.DeadlineExceeded)
	d.client.Withdraw("s", "1")
	require.Eventually(t, func() bool {
		h := d.owners[d.ranked[0].Address].lockedPool("s")
		defer h.mu.Unlock()
		return h.pool.Counts().Queued == 0
	}, time.Second, time.Millisecond)
}

// The message that a send ended is lost. The periodic list of live grants makes up for it.
func TestPresentMakesUpForLostNote(t *testing.T) {
	d := newDeployment(t)
	_, err := d.client.Ask(context.Background(), "s", ask("1"))
	require.NoError(t, err)
	d.client.mu.Lock()
	delete(d.client.live, "1")
	d.client.mu.Unlock()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go func() { _ = d.client.Run(ctx) }()
	require.Eventually(t, func() bool { return d.grants(d.ranked[0]) == 0 }, 4*time.Second, 10*time.Millisecond)
}

// wireAsk is an Ask as it arrives over the network: durations in place of instants, without the
// fields that gates of an earlier version do not send.
func wireAsk(id decide.RequestID) span.Ask {
	return span.Ask{ID: id, Gate: "gate", Prompt: 5000, Output: 1600, Aim: 300, Deadline: 5000, Gap: 200, Stream: true}
}

// countingReports reports no load and counts the polls.
type countingReports struct{ polls atomic.Int64 }

func (c *countingReports) Report(context.Context, string) (exchange.Load, error) {
	c.polls.Add(1)
	return exchange.Load{}, nil
}

// All VMs start at once after a power failure, and each gate receives requests before it knows any
// other VM, so that each is the owner of every service. If an owner waited for other members, its
// clients would be late; if it polled all engines and packed its requests on the first of them, all
// eighty VMs would do the same. It must serve short requests at once from a few engines of its own,
// and keep long requests queued until gates know the common owner.
func TestOwnerWithoutKnownMembersUsesFewEngines(t *testing.T) {
	reports := &countingReports{}
	var alone atomic.Bool
	alone.Store(true)
	ids := make([]decide.UpstreamID, 40)
	for i := range ids {
		ids[i] = decide.UpstreamID(fmt.Sprint("e", i))
	}
	m := members{{VM: "vm-1", Address: "vm-1"}}
	needs := OwnerNeeds{
		Clock: testClock{}, Knowledge: newView(t, ids...), Reports: reports, Name: "vm-1", Alone: alone.Load,
		Holders: NewHolders(m, testClock{}, quietLog), Members: m, Peers: &network{}, Log: quietLog,
	}
	o := NewOwner(needs, Budget{Share: 0.2, Floor: 10, Window: 10 * clock.Second})
	var reply AskReply
	require.NoError(t, o.Ask(&AskArgs{Service: "s", Ask: wireAsk("r1"), Wait: 200}, &reply))
	require.True(t, reply.Decided)
	require.Equal(t, "isolated", reply.Reason)
	require.LessOrEqual(t, reports.polls.Load(), int64(8))

	long := wireAsk("r2")
	long.Prompt, long.Aim, long.Gap = 200_000, 3000, 1000
	reply = AskReply{}
	require.NoError(t, o.Ask(&AskArgs{Service: "s", Ask: long, Wait: 50}, &reply))
	require.False(t, reply.Decided, "%+v", reply)
	alone.Store(false)
	require.Eventually(t, func() bool {
		reply = AskReply{}
		require.NoError(t, o.Ask(&AskArgs{Service: "s", Ask: long, Wait: 50}, &reply))
		return reply.Decided
	}, 2*time.Second, time.Millisecond, "it knows other members, so gates chose it as owner")
	require.Equal(t, "spread", reply.Reason)
}

// VMs start together, and the first requests reach an owner that has met nobody yet. It grants no repeats
// from the floor of the retry budget then. When an engine crashes soon after it has met the others, its
// streams must be able to go on elsewhere.
func TestOwnerGrantsRepeatsOnceItHasMetOthers(t *testing.T) {
	var alone atomic.Bool
	alone.Store(true)
	o := newOwner(t, "a")
	o.Alone = alone.Load
	repeat := func(id decide.RequestID) AskReply {
		a := wireAsk(id)
		a.Again = true
		var reply AskReply
		require.NoError(t, o.Ask(&AskArgs{Service: "s", Ask: a, Wait: 200}, &reply))
		require.True(t, reply.Decided)
		return reply
	}
	require.Equal(t, "budget", repeat("r1").Reason)
	alone.Store(false)
	require.Empty(t, repeat("r2").Fault)
}

// A query waits at the owner when a VM that forwards for the same gate sends it again, because the
// answer seems late. The decision must go to both calls: if only the second received it, the gate
// would wait for the whole time and then query again.
func TestDecisionGoesToAllWaitingCalls(t *testing.T) {
	o := newOwner(t)
	h := o.lockedPool("s")
	h.mu.Unlock()
	replies := make(chan AskReply, 2)
	for _, wait := range []clock.Milli{1000, 5} {
		go func() {
			var reply AskReply
			if err := o.Ask(&AskArgs{Service: "s", Ask: wireAsk("r1"), Wait: wait}, &reply); err != nil {
				t.Error(err)
			}
			replies <- reply
		}()
		time.Sleep(30 * time.Millisecond)
	}
	require.False(t, (<-replies).Decided, "the second call did not wait long enough for a decision")
	o.Knowledge = newView(t, "e0")
	again := func() bool { // the query of another gate makes the owner load the new view
		var reply AskReply
		return o.Ask(&AskArgs{Service: "s", Ask: wireAsk("r2"), Wait: 5}, &reply) == nil && reply.Decided
	}
	_ = again()
	h = o.lockedPool("s")
	h.generation = 0
	h.mu.Unlock()
	require.Eventually(t, again, time.Second, 5*time.Millisecond)
	select {
	case reply := <-replies:
		require.True(t, reply.Decided)
	case <-time.After(500 * time.Millisecond):
		t.Fatal("the first call still waits")
	}
}

// busyReports reports, after a delay, load that no grant accounts for.
type busyReports struct {
	after time.Duration

	mu             sync.Mutex
	polled         map[string]int
	inFlight, peak int
}

func (b *busyReports) Report(_ context.Context, address string) (exchange.Load, error) {
	b.mu.Lock()
	b.polled[address]++
	b.inFlight++
	b.peak = max(b.peak, b.inFlight)
	b.mu.Unlock()
	time.Sleep(b.after)
	b.mu.Lock()
	b.inFlight--
	b.mu.Unlock()
	return exchange.Load{Requests: 4}, nil
}

// count returns the number of upstreams polled, most the highest number of polls in flight.
func (b *busyReports) count() int { b.mu.Lock(); defer b.mu.Unlock(); return len(b.polled) }
func (b *busyReports) most() int  { b.mu.Lock(); defer b.mu.Unlock(); return b.peak }

// After the loss of all VMs, a VM becomes the owner of three thousand upstreams, each of which is
// still generating for clients that are gone. If the owner polled all of them at once, its
// processor would be used up and gates would find it unresponsive; if it polled the first ones
// again and again, the others would receive no requests for as long as these generate.
func TestNewOwnerPollsThousandsOfBusyUpstreamsInAFewSeconds(t *testing.T) {
	const upstreams, limit = 3000, 4 * time.Second
	reports := &busyReports{after: time.Millisecond, polled: map[string]int{}}
	ids := make([]decide.UpstreamID, upstreams)
	for i := range ids {
		ids[i] = decide.UpstreamID(fmt.Sprintf("e%04d", i))
	}
	o := newOwner(t, ids...)
	o.Reports = reports
	began := time.Now()
	var reply AskReply
	require.NoError(t, o.Ask(&AskArgs{Service: "s", Ask: wireAsk("r1"), Wait: 250}, &reply))
	require.True(t, reply.Decided, "a short request is placed on the first upstreams")
	require.Less(t, reports.count(), upstreams/2)
	for n := 2; reports.count() < upstreams && time.Since(began) < limit; n++ {
		reply = AskReply{}
		require.NoError(t, o.Ask(&AskArgs{Service: "s", Ask: wireAsk(decide.RequestID(fmt.Sprint("r", n))), Wait: 50}, &reply))
		time.Sleep(10 * time.Millisecond)
	}
	require.Equal(t, upstreams, reports.count())
	require.LessOrEqual(t, reports.most(), maxConcurrentPolls)
	polling := upstreams / maxConcurrentPolls * reports.after
	require.GreaterOrEqual(t, time.Since(began), 2*polling, "polling takes no more than half of the time")
}

// The holder does not respond, and a VM that forwards messages to it receives a flood of them. If
// each waited for its timeout, they would exhaust the memory of the VM.
func TestForwardedNotesAreBounded(t *testing.T) {
	d := newDeployment(t)
	_, err := d.client.Ask(context.Background(), "s", ask("1"))
	require.NoError(t, err)
	holder, _ := d.owners[d.ranked[0].Address].Holders.Of("s")
	other := d.owners[d.ranked[1].Address]
	other.Holders.Update(holder, "test")
	d.fail(d.hanging, holder.Address)
	const flood = 1000
	for range flood {
		require.NoError(t, other.Note(&NoteArgs{Service: "s", Request: "1", Event: Ended}, &peer.Empty{}))
	}
	require.EqualValues(t, flood-maxForwardedNotes, other.Dropped())
	require.Eventually(t, func() bool { return len(other.noteSlots) == 0 }, 5*time.Second, 10*time.Millisecond)
	d.network.mu.Lock()
	d.hanging = map[string]bool{}
	d.network.mu.Unlock()
	require.NoError(t, other.Note(&NoteArgs{Service: "s", Request: "1", Event: Ended}, &peer.Empty{}))
	require.Eventually(t, func() bool { return d.grants(d.ranked[0]) == 0 }, time.Second, time.Millisecond)
}
