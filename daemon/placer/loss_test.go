package placer

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"snipeshift.example/daemon/member"
	"snipeshift.example/lib/clock"
	"snipeshift.example/lib/decide"
	"snipeshift.example/lib/decide/span"
	"snipeshift.example/lib/decide/statement"
	"snipeshift.example/lib/peer"
)

// Sizes and times of the loss tests.
const (
	fleetVMs     = 76
	fleetEngines = 60
	// questionEvery is the time between two short requests of the whole fleet: 300 a second.
	questionEvery = time.Second / 300
	// answerTime is how long a short request runs on its engine.
	answerTime = 400 * time.Millisecond
	// linkDelay is one way between two VMs.
	linkDelay = 500 * time.Microsecond
	// noticed is how long heartbeats need to take a dead VM off the list of members, or to list one that is back.
	noticed = 2 * time.Second
	// soon is how soon a question on a fleet with free engines is to be answered.
	soon = 100 * time.Millisecond
	// overlap is how long two owners may place beside each other.
	overlap = 50 * time.Millisecond
)

// answered is one request with what became of it.
type answered struct {
	at   time.Duration
	took time.Duration
	by   peer.VM
	err  error
}

// lossFleet is a fleet whose VMs ask each other for places, and are lost and come back.
type lossFleet struct {
	t     *testing.T
	began time.Time

	mu  sync.Mutex
	vms map[peer.VM]*lossVM
	// live is the list of members that every VM believes.
	live    []peer.Member
	answers []answered
	// vain are the instants at which a VM that is off was asked.
	vain []time.Duration
	// cuts names for some VMs another one that they do not reach.
	cuts map[peer.VM]peer.VM
	// apart holds the VMs of one side of a partition, sides what either side lists as live once heartbeats have found out.
	apart map[peer.VM]bool
	sides map[bool][]peer.Member
	// taken is what successors were handed.
	taken []handed
	// limits are what engines name in their answers, leaving those that say that they leave, sends what they got.
	limits  map[decide.UpstreamID]statement.PerSecond
	leaving map[decide.UpstreamID]bool
	sends   []fleetSend
}

// handed is how many grants a successor knew when it was handed the books, and how many were in use.
type handed struct{ known, running int }

// lossVM is one VM in its present life.
type lossVM struct {
	member peer.Member
	owner  *Owner
	client *Client
	stop   context.CancelFunc
	// off is set while it has no power: it takes calls and answers none.
	off bool
}

func newLossFleet(t *testing.T) *lossFleet {
	t.Helper()
	f := &lossFleet{t: t, began: time.Now(), vms: map[peer.VM]*lossVM{}, cuts: map[peer.VM]peer.VM{}}
	for i := range fleetVMs {
		m := peer.Member{VM: peer.VM(fmt.Sprintf("vm-%02d", i)), Address: fmt.Sprintf("vm-%02d", i), Incarnation: 1, Cores: 192, Link: 20}
		if i%12 == 0 {
			m.Cores, m.Link = 800, 200
		}
		f.live = append(f.live, m)
	}
	for _, m := range f.live {
		f.start(m)
	}
	t.Cleanup(func() {
		for _, v := range f.vms {
			v.stop()
		}
	})
	return f
}

// stranger is the fleet as one VM sees it.
type stranger struct {
	fleet *lossFleet
	self  peer.Member
}

func (s stranger) Live() []peer.Member {
	s.fleet.mu.Lock()
	defer s.fleet.mu.Unlock()
	return s.fleet.seen(s.self.VM)
}

// Lost implements Members.
func (s stranger) Lost() int {
	s.fleet.mu.Lock()
	defer s.fleet.mu.Unlock()
	return fleetVMs - len(s.fleet.seen(s.self.VM))
}

// seen lists the members that a VM believes live. The lock is held.
func (f *lossFleet) seen(by peer.VM) []peer.Member {
	if f.sides == nil {
		return f.live
	}
	return f.sides[f.apart[by]]
}

// reaches reports whether a VM reaches another one. The lock is held.
func (f *lossFleet) reaches(from, to peer.VM) bool {
	v := f.vms[to]
	return v != nil && !v.off && !f.vms[from].off && f.cuts[from] != to && f.apart[from] == f.apart[to]
}

// split cuts the fleet into two sides of which neither reaches the other, for a time; heartbeats notice it later, at once that it is over.
func (f *lossFleet) split(span time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.apart = map[peer.VM]bool{}
	for i, m := range f.live {
		f.apart[m.VM] = i%3 == 0
	}
	time.AfterFunc(noticed, f.noticeSplit)
	time.AfterFunc(span, func() { f.mu.Lock(); defer f.mu.Unlock(); f.apart, f.sides = nil, nil })
}

// noticeSplit has either side list its own VMs alone. The lists stay the same ones: who works from them does so once a list.
func (f *lossFleet) noticeSplit() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.sides = map[bool][]peer.Member{}
	for _, m := range f.live {
		f.sides[f.apart[m.VM]] = append(f.sides[f.apart[m.VM]], m)
	}
}

func (s stranger) Self() peer.Member { return s.self }

// Call carries a call to a VM, unless it is off.
func (s stranger) Call(ctx context.Context, address, method string, args, reply any) error {
	time.Sleep(linkDelay)
	s.fleet.mu.Lock()
	v := s.fleet.vms[peer.VM(address)]
	off := !s.fleet.reaches(s.self.VM, peer.VM(address))
	if off && method == Name+".Ask" {
		s.fleet.vain = append(s.fleet.vain, time.Since(s.fleet.began))
	}
	s.fleet.mu.Unlock()
	if off {
		<-ctx.Done()
		return ctx.Err()
	}
	done := make(chan error, 1)
	go func() {
		if method != Name+".Take" {
			done <- deliver(v, method, args, reply)
			return
		}
		running := s.fleet.running()
		err := deliver(v, method, args, reply)
		s.fleet.noteTaken(v, running)
		done <- err
	}()
	select {
	case err := <-done:
		time.Sleep(linkDelay)
		return err
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Probe implements Peers.
func (s stranger) Probe(ctx context.Context, address string) error {
	time.Sleep(2 * linkDelay)
	s.fleet.mu.Lock()
	off := !s.fleet.reaches(s.self.VM, peer.VM(address))
	s.fleet.mu.Unlock()
	if off {
		<-ctx.Done()
		return ctx.Err()
	}
	return nil
}

// lose takes a VM's power away; heartbeats notice it later.
func (f *lossFleet) lose(vm peer.VM) {
	f.mu.Lock()
	f.vms[vm].off = true
	f.vms[vm].stop()
	f.mu.Unlock()
	time.AfterFunc(noticed, func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		if f.vms[vm].off {
			f.list(func(m peer.Member) bool { return m.VM == vm })
		}
	})
}

// comeBack starts a VM anew, with nothing known, and lists it.
func (f *lossFleet) comeBack(vm peer.VM) {
	f.mu.Lock()
	m := f.vms[vm].member
	m.Incarnation++
	f.mu.Unlock()
	f.start(m)
	f.mu.Lock()
	defer f.mu.Unlock()
	f.list(func(x peer.Member) bool { return x.VM == vm })
	f.live = append(f.live, m)
	slices.SortFunc(f.live, func(x, y peer.Member) int { return slices.Compare([]byte(x.VM), []byte(y.VM)) })
}

// list leaves members out of a new list: Live gives out the old one.
func (f *lossFleet) list(out func(peer.Member) bool) {
	f.live = slices.DeleteFunc(slices.Clone(f.live), out)
}

// ask puts one question of a random VM that is on.
func (f *lossFleet) ask(n int) {
	f.mu.Lock()
	var on []*lossVM
	for _, m := range f.live {
		if v := f.vms[m.VM]; v != nil && !v.off {
			on = append(on, v)
		}
	}
	v := on[rand.IntN(len(on))]
	f.mu.Unlock()
	at := time.Since(f.began)
	now := clock.Boot{}.Now()
	a := span.Ask{
		ID: decide.RequestID(fmt.Sprint("r", n)), Gate: decide.GateID(v.member.VM), Prompt: 5000, Output: 400,
		Aim: now + 300, Deadline: now + 5000, Gap: 200, Stream: true,
	}
	reply, err := v.client.Ask(context.Background(), "s", a)
	took := time.Since(f.began) - at
	f.mu.Lock()
	f.answers = append(f.answers, answered{at: at, took: took, by: placedBy(reply, v.member.VM), err: err})
	off := v.off
	f.mu.Unlock()
	if err != nil || reply.Fault != "" || off {
		return
	}
	if _, bound := v.client.Binding("s", reply.Grant.Leader); bound {
		v.client.End(a.ID, span.Left, "")
		return
	}
	f.send(v, reply.Grant.Leader.Upstream)
	time.Sleep(20 * time.Millisecond)
	v.client.FirstByte(a.ID)
	time.Sleep(answerTime)
	v.client.End(a.ID, span.Done, "")
}

// run asks for a time, doing what is due.
func (f *lossFleet) run(length time.Duration, due map[time.Duration]func()) {
	f.began = time.Now()
	for at, do := range due {
		time.AfterFunc(at, do)
	}
	var wg sync.WaitGroup
	tick := time.NewTicker(questionEvery)
	defer tick.Stop()
	for n := 0; time.Since(f.began) < length; n++ {
		<-tick.C
		wg.Go(func() { f.ask(n) })
	}
	wg.Wait()
}

// late lists what was asked in a span and answered later than a bound.
func (f *lossFleet) late(from, to, bound time.Duration) (late []answered, all int) {
	for _, a := range f.answers {
		if a.at < from || a.at >= to {
			continue
		}
		all++
		if a.err != nil || a.took > bound {
			late = append(late, a)
		}
	}
	return late, all
}

// beside is the longest time for which more than one VM placed requests, after an instant.
func (f *lossFleet) beside(from time.Duration) time.Duration {
	type stretch struct{ first, last time.Duration }
	by := map[peer.VM]*stretch{}
	for _, a := range f.answers {
		at := a.at + a.took
		if at < from || a.by == "" {
			continue
		}
		s := by[a.by]
		if s == nil {
			by[a.by] = &stretch{at, at}
			continue
		}
		s.first, s.last = min(s.first, at), max(s.last, at)
	}
	most := time.Duration(0)
	for x, s := range by {
		for y, o := range by {
			if x != y {
				most = max(most, min(s.last, o.last)-max(s.first, o.first))
			}
		}
	}
	return most
}

// learning is how long after a loss questions may take longer: until the holder is found silent, and gates have said what runs.
const learning = 300 * time.Millisecond

// check demands that nobody is late but for those who asked while a loss was found out, and that no two VMs placed beside each
// other after it.
func (f *lossFleet) check(end time.Duration, losses ...time.Duration) {
	f.t.Helper()
	from := time.Duration(0)
	for _, loss := range append(losses, end) {
		late, all := f.late(from, loss, soon)
		require.LessOrEqual(f.t, len(late), all/100, "of %d asked from %v to %v", all, from, loss)
		from = loss + learning
		late, all = f.late(loss, from, learning)
		require.LessOrEqual(f.t, len(late), all/100, "of %d asked while the loss at %v was found out", all, loss)
	}
	for _, a := range f.answers {
		require.NoError(f.t, a.err)
	}
}

// The VM that places all short requests of a service loses power under load, and is back four seconds later with nothing known. Nothing closes
// the connections to it, and heartbeats need seconds to take it off the list, so gates that find out one by one make a request late
// each, and ask it again as long as it is listed. When it is back it is the best by rank: if gates went over to it one after the
// other, two VMs would pack the same engines. Its loss may cost what was asked of it in that instant, and its return nobody.
func TestAnOwnerThatIsLostAndComesBackMakesNobodyLate(t *testing.T) {
	f := newLossFleet(t)
	const loss, back, end = time.Second, 5 * time.Second, 7 * time.Second
	var owner peer.VM
	f.run(end, map[time.Duration]func(){
		loss: func() { owner = f.placing(); f.lose(owner) },
		back: func() { f.comeBack(owner) },
	})
	f.check(end, loss)
	for _, at := range f.vain {
		require.Less(t, at, loss+learning, "a VM that is off was asked again")
	}
	require.LessOrEqual(t, f.beside(loss+learning), overlap)
}

// The owner loses power, and with it the VM that would follow it; half a second later its successor does.
func TestOwnersThatAreLostInARowMakeNobodyLate(t *testing.T) {
	f := newLossFleet(t)
	const first, second, end = time.Second, 1500 * time.Millisecond, 3 * time.Second
	f.run(end, map[time.Duration]func(){
		first: func() {
			owner := f.placing()
			f.lose(owner)
			f.lose(f.next(owner))
		},
		second: func() { f.lose(f.placing()) },
	})
	f.check(end, first, second)
}

// The owner's VM stands still for four seconds, and wakes believing that it is the owner. Gates follow another one meanwhile.
func TestAnOwnerThatWakesFollowsItsSuccessor(t *testing.T) {
	f := newLossFleet(t)
	const loss, back, end = time.Second, 5 * time.Second, 6 * time.Second
	var owner peer.VM
	f.run(end, map[time.Duration]func(){
		loss: func() { owner = f.placing(); f.freeze(owner, true) },
		back: func() { f.freeze(owner, false) },
	})
	f.check(end, loss)
	require.LessOrEqual(t, f.beside(loss+learning), overlap)
}

// The owner is cut off from half of the gates, and well for the others. Those that reach it no more ask the next VM, which asks the owner for them:
// were it to decide by itself, two VMs would give out the same engines as long as the cut lasts.
func TestAnOwnerThatSomeGatesDoNotReachStaysTheOwner(t *testing.T) {
	f := newLossFleet(t)
	const cut, end = time.Second, 3 * time.Second
	var owner peer.VM
	f.run(end, map[time.Duration]func(){
		cut: func() { owner = f.placing(); f.cutFrom(owner) },
	})
	f.check(end, cut)
	for _, a := range f.answers {
		if a.at > cut+learning {
			require.Equal(t, owner, a.by, "at %v", a.at)
		}
	}
}

// The owner stops as planned. Its successor must know what runs before it decides: with empty books it packs short requests on engines
// that are full.
func TestAnOwnerThatStopsHandsItsBooksOver(t *testing.T) {
	f := newLossFleet(t)
	const stop, end = time.Second, 2 * time.Second
	var before int
	var owner peer.VM
	f.run(end, map[time.Duration]func(){
		stop: func() {
			owner = f.placing()
			before = f.books(owner)
			f.stopPlanned(owner)
		},
	})
	f.check(end)
	require.NotEqual(t, owner, f.placing())
	require.Greater(t, before, 50)
	require.NotEmpty(t, f.taken)
	for _, x := range f.taken {
		require.InDelta(t, x.running, x.known, float64(before)/10)
	}
	require.LessOrEqual(t, f.beside(stop), overlap)
}

// next is the member that ranks first without one of them.
func (f *lossFleet) next(owner peer.VM) peer.VM {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, m := range member.RankByCapacity("s", f.live) {
		if m.VM != owner {
			return m.VM
		}
	}
	return ""
}

// freeze stops a VM without loss of what it knows, or lets it go on: its first heartbeat is answered then.
func (f *lossFleet) freeze(vm peer.VM, still bool) {
	f.mu.Lock()
	v := f.vms[vm]
	v.off = still
	f.mu.Unlock()
	if !still {
		f.heartbeat(v)
	}
}

// cutFrom cuts the links between a VM and every second gate. The VMs that may hold the service reach it.
func (f *lossFleet) cutFrom(vm peer.VM) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for i, m := range f.live {
		if i%2 == 1 && m.Cores < 800 {
			f.cuts[m.VM] = vm
		}
	}
}

// stopPlanned announces that a VM stops, and has it hand over.
func (f *lossFleet) stopPlanned(vm peer.VM) {
	f.mu.Lock()
	v := f.vms[vm]
	f.live = slices.Clone(f.live)
	for i := range f.live {
		if f.live[i].VM == vm {
			f.live[i].Stopping = true
		}
	}
	f.mu.Unlock()
	v.owner.HandOver(context.Background())
	time.Sleep(50 * time.Millisecond)
}

// books is how many grants a VM's owner knows.
func (f *lossFleet) books(vm peer.VM) int {
	f.mu.Lock()
	v := f.vms[vm]
	f.mu.Unlock()
	h := v.owner.host("s")
	defer h.mu.Unlock()
	return h.pool.Counts().Granted
}

// noteTaken notes what a successor knows the moment that it is handed the books, before gates have told it anything.
func (f *lossFleet) noteTaken(v *lossVM, running int) {
	known := f.books(v.member.VM)
	f.mu.Lock()
	defer f.mu.Unlock()
	f.taken = append(f.taken, handed{known: known, running: running})
}

// running is how many grants are in use.
func (f *lossFleet) running() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	n := 0
	for _, v := range f.vms {
		n += v.client.Live()
	}
	return n
}

// placing is the VM that placed last.
func (f *lossFleet) placing() peer.VM {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.answers[len(f.answers)-1].by
}

// byMark begins the reason of a decision that another VM made.
const byMark = "by "

// placedBy is the VM that decided, as its answer was marked on the way.
func placedBy(r AskReply, self peer.VM) peer.VM {
	if by, ok := strings.CutPrefix(r.Reason, byMark); ok {
		return peer.VM(by)
	}
	return self
}

// deliver calls a VM's owner, and marks what it decided.
func deliver(v *lossVM, method string, args, reply any) error {
	err := dispatch(v.owner, method, args, reply)
	if r, ok := reply.(*AskReply); ok && r.Decided && !strings.HasPrefix(r.Reason, byMark) {
		r.Reason = byMark + string(v.member.VM)
	}
	return err
}

// start begins a life of a VM.
func (f *lossFleet) start(m peer.Member) {
	ids := make([]decide.UpstreamID, fleetEngines)
	for i := range ids {
		ids[i] = decide.UpstreamID(fmt.Sprintf("e%02d", i))
	}
	s := stranger{f, m}
	o := ownerAt(f.t, s, s, ids...)
	c := NewClient(clock.Boot{}, quiet, s, s, o, decide.GateID(m.VM))
	ctx, stop := context.WithCancel(context.Background())
	go func() { _ = c.Run(ctx) }()
	go func() { _ = o.Run(ctx) }()
	v := &lossVM{member: m, owner: o, client: c, stop: stop}
	f.heartbeat(v)
	f.mu.Lock()
	defer f.mu.Unlock()
	f.vms[m.VM] = v
}

// heartbeat carries what any VM that is on knows of holders to another one, as the first heartbeat of its life does.
func (f *lossFleet) heartbeat(to *lossVM) {
	f.mu.Lock()
	var from *lossVM
	for _, v := range f.vms {
		if !v.off {
			from = v
		}
	}
	f.mu.Unlock()
	if from == nil {
		return
	}
	var b peer.BeatArgs
	from.owner.Holders.Fill(to.member.VM, &b)
	to.owner.Holders.Learn(&b, true)
}
