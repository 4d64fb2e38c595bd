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

// known is knowledge of one service with some upstreams.
type known struct{ view *registry.View }

func (k known) View() *registry.View { return k.view }

func knowledge(t *testing.T, ids ...decide.UpstreamID) known {
	t.Helper()
	tb, err := route.Index(&route.Document{Revision: 1, Services: []route.Service{{ID: "s", Engine: &engine}}})
	require.NoError(t, err)
	v := &registry.View{Table: tb, Generation: 1, Upstreams: map[route.ServiceID][]route.Upstream{}}
	for _, id := range ids {
		v.Upstreams["s"] = append(v.Upstreams["s"], route.Upstream{ID: id, Service: "s", Address: string(id), Slots: 16})
	}
	return known{v}
}

// idle upstreams report no work.
type idle struct{}

func (idle) Report(context.Context, string) (exchange.Load, error) { return exchange.Load{}, nil }

func newOwner(t *testing.T, ids ...decide.UpstreamID) *Owner {
	t.Helper()
	return ownerAt(t, members{{VM: "self", Address: "self"}}, &network{}, ids...)
}

var quiet = &log.Logger{Level: log.FatalLevel}

// ownerAt is the owner of one VM among others.
func ownerAt(t *testing.T, m Members, p Peers, ids ...decide.UpstreamID) *Owner {
	t.Helper()
	needs := OwnerNeeds{
		Clock: clock.Boot{}, Knowledge: knowledge(t, ids...), Reports: idle{}, Alone: func() bool { return false },
		Holders: NewHolders(m, clock.Boot{}, quiet), Members: m, Peers: p, Log: quiet,
	}
	return NewOwner(needs, Budget{Share: 0.2, Floor: 10, Window: 10 * clock.Second})
}

// dispatch calls a method of an owner as net/rpc does.
func dispatch(o *Owner, method string, args, reply any) error {
	switch method {
	case Name + ".Ask":
		return o.Ask(args.(*AskArgs), reply.(*AskReply))
	case Name + ".Note":
		return o.Note(args.(*NoteArgs), &peer.Empty{})
	case Name + ".Follow":
		return o.Follow(args.(*peer.Holder), reply.(*peer.Holder))
	case Name + ".Take":
		return o.Take(args.(*TakeArgs), &peer.Empty{})
	default:
		return o.Present(args.(*PresentArgs), reply.(*PresentReply))
	}
}

// network joins owners by the addresses of their VMs.
type network struct {
	mu sync.Mutex
	// silent VMs do not answer, and refusing ones fail at once.
	silent, refusing map[string]bool
	owners           map[string]*Owner
}

var errRefused = errors.New("refused")

func (n *network) Call(ctx context.Context, address, method string, args, reply any) error {
	n.mu.Lock()
	o, silent, refusing := n.owners[address], n.silent[address], n.refusing[address]
	n.mu.Unlock()
	if silent {
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
	silent, refusing := n.silent[address], n.refusing[address]
	n.mu.Unlock()
	if silent {
		<-ctx.Done()
		return ctx.Err()
	}
	if refusing {
		return errRefused
	}
	return nil
}

// fail makes a VM's calls fail in one of the two ways.
func (n *network) fail(how map[string]bool, address string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	how[address] = true
}

// members are all live, whatever happens.
type members []peer.Member

func (m members) Live() []peer.Member { return m }
func (m members) Self() peer.Member   { return m[len(m)-1] }
func (m members) Lost() int           { return 0 }

// at are the members as one of them sees them.
type at struct {
	members
	self peer.Member
}

func (a at) Self() peer.Member { return a.self }

type deployment struct {
	*network
	client *Client
	// ranked are the VMs in the order of owning the service; self is the last.
	ranked []peer.Member
	own    *Owner
}

func newDeployment(t *testing.T) *deployment {
	t.Helper()
	d := &deployment{network: &network{silent: map[string]bool{}, refusing: map[string]bool{}, owners: map[string]*Owner{}}}
	var ms []peer.Member
	for _, n := range []peer.VM{"a", "b", "c", "d"} {
		ms = append(ms, peer.Member{VM: n, Address: string(n)})
	}
	d.ranked = member.Rank("s", ms)
	for _, m := range d.ranked {
		d.owners[m.Address] = ownerAt(t, at{members(d.ranked), m}, d.network, "e0", "e1")
	}
	self := d.ranked[len(d.ranked)-1]
	d.own = d.owners[self.Address]
	d.client = NewClient(clock.Boot{}, &log.Logger{Level: log.FatalLevel}, members(d.ranked), d.network, d.own, "gate")
	return d
}

func ask(id decide.RequestID) span.Ask {
	now := clock.Boot{}.Now()
	return span.Ask{ID: id, Gate: "gate", Prompt: 5000, Output: 1600, Aim: now + 300, Deadline: now + 5000, Gap: 200, Stream: true}
}

func (d *deployment) granted(o peer.Member) int {
	h := d.owners[o.Address].host("s")
	defer h.mu.Unlock()
	return h.pool.Counts().Granted
}

func TestTheOwnerIsAsked(t *testing.T) {
	d := newDeployment(t)
	reply, err := d.client.Ask(context.Background(), "s", ask("1"))
	require.NoError(t, err)
	require.Equal(t, decide.UpstreamID("e0"), reply.Grant.Leader.Upstream)
	require.Equal(t, 1, d.granted(d.ranked[0]))
	d.client.End("1", span.Done, "")
	require.Eventually(t, func() bool { return d.granted(d.ranked[0]) == 0 }, time.Second, time.Millisecond)
}

// The owner's VM loses power. Its connections stay open and say nothing, and heartbeats
// need seconds to find out; short requests are due in 300 ms.
func TestASilentOwnerIsPassedOver(t *testing.T) {
	d := newDeployment(t)
	d.fail(d.silent, d.ranked[0].Address)
	began := time.Now()
	_, err := d.client.Ask(context.Background(), "s", ask("1"))
	require.NoError(t, err)
	require.Less(t, time.Since(began), 700*time.Millisecond)
	require.Equal(t, 1, d.granted(d.ranked[1]))
	began = time.Now()
	_, err = d.client.Ask(context.Background(), "s", ask("2"))
	require.NoError(t, err)
	require.Less(t, time.Since(began), 100*time.Millisecond, "the next one does not ask it again")
}

// This VM is cut off from all others, but not from callers and engines.
func TestWithoutAnyOwnerTheGatePlacesByItself(t *testing.T) {
	d := newDeployment(t)
	for _, m := range d.ranked {
		d.fail(d.refusing, m.Address)
	}
	reply, err := d.client.Ask(context.Background(), "s", ask("1"))
	require.NoError(t, err)
	require.NotEmpty(t, reply.Grant.Leader.Upstream)
	require.Equal(t, 1, d.granted(d.ranked[3]))
}

// An owner dies while requests run. The next one must not give their places out again.
func TestANewOwnerIsToldWhatRuns(t *testing.T) {
	d := newDeployment(t)
	for _, id := range []decide.RequestID{"1", "2", "3"} {
		_, err := d.client.Ask(context.Background(), "s", ask(id))
		require.NoError(t, err)
		d.client.FirstByte(id)
	}
	d.fail(d.refusing, d.ranked[0].Address)
	_, err := d.client.Ask(context.Background(), "s", ask("4"))
	require.NoError(t, err)
	require.Equal(t, 4, d.granted(d.ranked[1]))
}

// The caller leaves while its request is queued.
func TestAQuestionEndsWithItsCaller(t *testing.T) {
	d := newDeployment(t)
	for _, o := range d.owners {
		o.Knowledge = knowledge(t)
	}
	ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
	defer cancel()
	_, err := d.client.Ask(ctx, "s", ask("1"))
	require.ErrorIs(t, err, context.DeadlineExceeded)
	d.client.Withdraw("s", "1")
	require.Eventually(t, func() bool {
		h := d.owners[d.ranked[0].Address].host("s")
		defer h.mu.Unlock()
		return h.pool.Counts().Queued == 0
	}, time.Second, time.Millisecond)
}

// A word that a send ended is lost. The list of what runs makes up for it.
func TestTheListOfWhatRunsMakesUpForALostWord(t *testing.T) {
	d := newDeployment(t)
	_, err := d.client.Ask(context.Background(), "s", ask("1"))
	require.NoError(t, err)
	d.client.mu.Lock()
	delete(d.client.live, "1")
	d.client.mu.Unlock()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go func() { _ = d.client.Run(ctx) }()
	require.Eventually(t, func() bool { return d.granted(d.ranked[0]) == 0 }, 4*time.Second, 10*time.Millisecond)
}

// question is an ask as it comes over the wire: spans in place of instants, without what gates of
// an earlier version do not tell.
func question(id decide.RequestID) span.Ask {
	return span.Ask{ID: id, Gate: "gate", Prompt: 5000, Output: 1600, Aim: 300, Deadline: 5000, Gap: 200, Stream: true}
}

// counted upstreams report no work, and count how often they are asked.
type counted struct{ asked atomic.Int64 }

func (c *counted) Report(context.Context, string) (exchange.Load, error) {
	c.asked.Add(1)
	return exchange.Load{}, nil
}

// All VMs start at once after a loss of power, and each gets requests before it has met any other. Each is the owner of
// everything then. If it waited, its callers would be late before it has met somebody; if it asked all engines for their load and
// packed its requests on the first of them, eighty VMs would do the same. It serves short requests at once, from a few engines
// of its own, and lets long ones wait: gates ask the owner of all for them, once they know one.
func TestAnOwnerThatHasMetNobodyServesFromAFewEngines(t *testing.T) {
	reports := &counted{}
	var alone atomic.Bool
	alone.Store(true)
	ids := make([]decide.UpstreamID, 40)
	for i := range ids {
		ids[i] = decide.UpstreamID(fmt.Sprint("e", i))
	}
	m := members{{VM: "vm-1", Address: "vm-1"}}
	needs := OwnerNeeds{
		Clock: clock.Boot{}, Knowledge: knowledge(t, ids...), Reports: reports, Name: "vm-1", Alone: alone.Load,
		Holders: NewHolders(m, clock.Boot{}, quiet), Members: m, Peers: &network{}, Log: quiet,
	}
	o := NewOwner(needs, Budget{Share: 0.2, Floor: 10, Window: 10 * clock.Second})
	var reply AskReply
	require.NoError(t, o.Ask(&AskArgs{Service: "s", Ask: question("r1"), Wait: 200}, &reply))
	require.True(t, reply.Decided)
	require.Equal(t, "isolated", reply.Reason)
	require.LessOrEqual(t, reports.asked.Load(), int64(8))

	long := question("r2")
	long.Prompt, long.Aim, long.Gap = 200_000, 3000, 1000
	reply = AskReply{}
	require.NoError(t, o.Ask(&AskArgs{Service: "s", Ask: long, Wait: 50}, &reply))
	require.False(t, reply.Decided, "%+v", reply)
	alone.Store(false)
	require.Eventually(t, func() bool {
		reply = AskReply{}
		require.NoError(t, o.Ask(&AskArgs{Service: "s", Ask: long, Wait: 50}, &reply))
		return reply.Decided
	}, 2*time.Second, time.Millisecond, "it has met others, so gates chose it")
	require.Equal(t, "spread", reply.Reason)
}

// A question waits in the owner's queue when the same one arrives a second time, from a VM that asks in the gate's place because the answer seems
// late. The decision goes to both: were it only the second one's, the gate would wait for its whole time and then ask again.
func TestADecisionGoesToAllWhoWaitForIt(t *testing.T) {
	o := newOwner(t)
	h := o.host("s")
	h.mu.Unlock()
	replies := make(chan AskReply, 2)
	for _, wait := range []clock.Milli{1000, 5} {
		go func() {
			var reply AskReply
			if err := o.Ask(&AskArgs{Service: "s", Ask: question("r1"), Wait: wait}, &reply); err != nil {
				t.Error(err)
			}
			replies <- reply
		}()
		time.Sleep(30 * time.Millisecond)
	}
	require.False(t, (<-replies).Decided, "the second one did not wait")
	o.Knowledge = knowledge(t, "e0")
	again := func() bool { // the question of another gate has the owner see the upstream
		var reply AskReply
		return o.Ask(&AskArgs{Service: "s", Ask: question("r2"), Wait: 5}, &reply) == nil && reply.Decided
	}
	_ = again()
	h = o.host("s")
	h.generation = 0
	h.mu.Unlock()
	require.Eventually(t, again, time.Second, 5*time.Millisecond)
	select {
	case reply := <-replies:
		require.True(t, reply.Decided)
	case <-time.After(500 * time.Millisecond):
		t.Fatal("the first one still waits")
	}
}

// busyReports come after a while, and tell of work that no grant explains.
type busyReports struct {
	after time.Duration

	mu            sync.Mutex
	asked         map[string]int
	underway, top int
}

func (b *busyReports) Report(_ context.Context, address string) (exchange.Load, error) {
	b.mu.Lock()
	b.asked[address]++
	b.underway++
	b.top = max(b.top, b.underway)
	b.mu.Unlock()
	time.Sleep(b.after)
	b.mu.Lock()
	b.underway--
	b.mu.Unlock()
	return exchange.Load{Requests: 4}, nil
}

// count is how many upstreams were asked, most how many at a time.
func (b *busyReports) count() int { b.mu.Lock(); defer b.mu.Unlock(); return len(b.asked) }
func (b *busyReports) most() int  { b.mu.Lock(); defer b.mu.Unlock(); return b.top }

// A VM becomes the owner of three thousand upstreams after all VMs were lost, each of which still writes for callers who are gone. If it asked all
// of them at once, its processor would be used up, and gates would take it for silent; if it asked the first ones again and again, the others would
// get nothing for as long as these write.
func TestANewOwnerAsksThousandsOfBusyUpstreamsInAFewSeconds(t *testing.T) {
	const upstreams, soon = 3000, 4 * time.Second
	reports := &busyReports{after: time.Millisecond, asked: map[string]int{}}
	ids := make([]decide.UpstreamID, upstreams)
	for i := range ids {
		ids[i] = decide.UpstreamID(fmt.Sprintf("e%04d", i))
	}
	o := newOwner(t, ids...)
	o.Reports = reports
	began := time.Now()
	var reply AskReply
	require.NoError(t, o.Ask(&AskArgs{Service: "s", Ask: question("r1"), Wait: 250}, &reply))
	require.True(t, reply.Decided, "a short request is served by the first ones")
	require.Less(t, reports.count(), upstreams/2)
	for n := 2; reports.count() < upstreams && time.Since(began) < soon; n++ {
		reply = AskReply{}
		require.NoError(t, o.Ask(&AskArgs{Service: "s", Ask: question(decide.RequestID(fmt.Sprint("r", n))), Wait: 50}, &reply))
		time.Sleep(10 * time.Millisecond)
	}
	require.Equal(t, upstreams, reports.count())
	require.LessOrEqual(t, reports.most(), reportsAtOnce)
	polling := upstreams / reportsAtOnce * reports.after
	require.GreaterOrEqual(t, time.Since(began), 2*polling, "no more than half of the time goes into it")
}

// The holder is silent, and a VM that passes messages on to it gets a flood of them. Were each to wait for its timeout, they would fill the memory of
// the VM.
func TestMessagesThatArePassedOnAreBounded(t *testing.T) {
	d := newDeployment(t)
	_, err := d.client.Ask(context.Background(), "s", ask("1"))
	require.NoError(t, err)
	holder, _ := d.owners[d.ranked[0].Address].Holders.Of("s")
	other := d.owners[d.ranked[1].Address]
	other.Holders.Update(holder, "test")
	d.fail(d.silent, holder.Address)
	const flood = 1000
	for range flood {
		require.NoError(t, other.Note(&NoteArgs{Service: "s", Request: "1", Event: Ended}, &peer.Empty{}))
	}
	require.EqualValues(t, flood-passedOnAtOnce, other.Dropped())
	require.Eventually(t, func() bool { return len(other.passing) == 0 }, 5*time.Second, 10*time.Millisecond)
	d.network.mu.Lock()
	d.silent = map[string]bool{}
	d.network.mu.Unlock()
	require.NoError(t, other.Note(&NoteArgs{Service: "s", Request: "1", Event: Ended}, &peer.Empty{}))
	require.Eventually(t, func() bool { return d.granted(d.ranked[0]) == 0 }, time.Second, time.Millisecond)
}
