package member

import (
	"context"
	"errors"
	"sync"
	"time"

	"snipeshift.example/lib/clock"
	"snipeshift.example/lib/peer"
	"snipeshift.example/lib/platform"
)

// Name is the name under which Receiver is registered with net/rpc.
const Name = "Member"

// Caller calls a method of a peer. A call whose context ends must close its
// connection, so that the next one dials: a connection can go silent for good
// while new ones work.
type Caller interface {
	Call(ctx context.Context, address, method string, args, reply any) error
}

// Clock reads the time of this process.
type Clock interface {
	Now() clock.Milli
}

// Seeds names addresses of peer doors to try: those of the settings, and those
// of live entry VMs in the platform's lagging list.
type Seeds interface {
	Seeds(ctx context.Context) []string
}

// Part is something that travels with heartbeats. Its methods are called
// without locks of this package, from many goroutines, and must not block.
type Part interface {
	// Fill adds to a beat, or the answer to one, for a member. The name is
	// empty while only a seed's address is known.
	Fill(to peer.VM, b *peer.BeatArgs)
	// Learn takes what came from b.From. With reply set it is the answer to a
	// beat of ours.
	Learn(b *peer.BeatArgs, reply bool)
}

// AckedPart is a Part that must know which of its beats arrived. Answers to
// beats of others carry nothing of it.
type AckedPart interface {
	Part
	// Load adds to a beat. At most one beat to a member is under way.
	Load(to peer.Member, b *peer.BeatArgs)
	// Arrived tells that the beat loaded last for to was answered.
	Arrived(to peer.Member)
}

// ErrSuperseded ends Run when a later life of this VM's name is at work.
var ErrSuperseded = errors.New("a later incarnation of this VM is running")

// gap is the least time between two rounds of beats, so that a burst of news
// travels in one.
const gap clock.Milli = 50

// Members runs a Table: it beats, answers beats and knows who is alive.
type Members struct {
	caller Caller
	seeds  Seeds
	clock  Clock
	rules  Rules
	kick   chan struct{}

	mu    sync.Mutex
	table *Table
	parts []Part
	// acked are those of the parts that are acked.
	acked []AckedPart
	// busy holds the addresses with a beat under way, one at a time each.
	busy map[string]bool
	// views are the digests that members told last.
	views map[peer.VM]uint64
	// reached is the last contact with any other member.
	reached clock.Milli
	beats   sync.WaitGroup
}

// New returns the members as self sees them; Run starts the heartbeats.
func New(self peer.Member, r Rules, c Caller, s Seeds, k Clock) *Members {
	return &Members{
		caller: c, seeds: s, clock: k, rules: r,
		kick:  make(chan struct{}, 1),
		table: NewTable(self, r),
		busy:  map[string]bool{},
		views: map[peer.VM]uint64{},
	}
}

// Add lets parts travel with heartbeats. It is called before Run.
func (m *Members) Add(ps ...Part) {
	m.parts = append(m.parts, ps...)
	for _, p := range ps {
		if c, ok := p.(AckedPart); ok {
			m.acked = append(m.acked, c)
		}
	}
}

// Self is this member.
func (m *Members) Self() peer.Member { m.mu.Lock(); defer m.mu.Unlock(); return m.table.Self() }

// Live lists the members that count as live, this one included.
func (m *Members) Live() []peer.Member { m.mu.Lock(); defer m.mu.Unlock(); return m.table.Live() }

// Lost counts those that fell silent without a word and may live behind a cut.
func (m *Members) Lost() int { m.mu.Lock(); defer m.mu.Unlock(); return m.table.Lost() }

// Owner names the owner of a pool.
func (m *Members) Owner(p peer.PoolID) (peer.Member, bool) { return Owner(p, m.Live()) }

// RingSuccessors lists the few members that this one always beats.
func (m *Members) RingSuccessors() []peer.Member {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.table.RingSuccessors()
}

// LastContact is when another member was last heard from; zero if never.
func (m *Members) LastContact() clock.Milli { m.mu.Lock(); defer m.mu.Unlock(); return m.reached }

// BeatNow sends the next beats at once, because a part has news.
func (m *Members) BeatNow() {
	select {
	case m.kick <- struct{}{}:
	default:
	}
}

// Stop tells all that this member takes no new duty.
func (m *Members) Stop() {
	m.mu.Lock()
	m.table.Stop()
	m.mu.Unlock()
	m.BeatNow()
}

// Leave tells the members beaten next that this one is gone, and returns when
// they answered or ctx ended. It is called once Run has returned.
func (m *Members) Leave(ctx context.Context) {
	m.mu.Lock()
	m.table.Leave()
	m.mu.Unlock()
	m.round(ctx)
	m.beats.Wait()
}

// Resume tells that this process had been paused.
func (m *Members) Resume() {
	m.mu.Lock()
	m.table.Resume(m.clock.Now())
	m.mu.Unlock()
	m.BeatNow()
}

// Run beats until ctx ends.
func (m *Members) Run(ctx context.Context) error {
	defer m.beats.Wait()
	last := -m.rules.SparseSeedPeriod
	for ctx.Err() == nil {
		now := m.clock.Now()
		if now-last >= m.greetEvery() {
			last = now
			m.beats.Go(func() { m.greet(ctx) })
		}
		m.round(ctx)
		if m.Superseded() {
			return ErrSuperseded
		}
		m.wait(ctx)
	}
	return nil
}

// greetEvery is the time between two looks at the seeds.
func (m *Members) greetEvery() clock.Milli {
	if m.LastContact() == 0 {
		return m.rules.IsolatedSeedPeriod
	}
	return m.rules.SeedPeriod(m.size())
}

// Superseded tells whether a later life of this VM's name was heard of.
func (m *Members) Superseded() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.table.Superseded()
}

// wait returns after a period, or earlier when there is news.
func (m *Members) wait(ctx context.Context) {
	if !sleep(ctx, gap) {
		return
	}
	period := m.period()
	if m.LastContact() == 0 {
		period = min(period, m.rules.IsolatedSeedPeriod)
	}
	t := time.NewTimer((period - gap).Duration())
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-m.kick:
	case <-t.C:
	}
}

func sleep(ctx context.Context, d clock.Milli) bool {
	t := time.NewTimer(d.Duration())
	defer t.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-t.C:
		return true
	}
}

func (m *Members) period() clock.Milli { return m.rules.Period(m.size()) }

func (m *Members) size() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.table.size()
}

// greet beats the seeds that are not among the live members.
func (m *Members) greet(ctx context.Context) {
	known := map[string]bool{}
	for _, l := range m.Live() {
		known[l.Address] = true
	}
	for _, a := range m.seeds.Seeds(ctx) {
		if !known[a] {
			m.start(ctx, peer.Member{Address: a})
		}
	}
}

// round beats all targets of now, each in a goroutine of its own.
func (m *Members) round(ctx context.Context) {
	now := m.clock.Now()
	m.mu.Lock()
	changed := m.table.Tick(now)
	targets := m.table.Targets(now)
	m.mu.Unlock()
	for _, t := range targets {
		m.start(ctx, t)
	}
	if changed {
		m.BeatNow()
	}
}

// start beats one address unless a beat to it is under way.
func (m *Members) start(ctx context.Context, to peer.Member) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.busy[to.Address] {
		return
	}
	m.busy[to.Address] = true
	m.beats.Go(func() {
		m.beat(ctx, to)
		m.mu.Lock()
		delete(m.busy, to.Address)
		m.mu.Unlock()
	})
}

// beat calls one member; to has no name for a seed.
func (m *Members) beat(ctx context.Context, to peer.Member) {
	limited, cancel := context.WithTimeout(ctx, m.period().Duration())
	defer cancel()
	args := m.message(to.VM)
	for _, c := range m.acked {
		c.Load(to, args)
	}
	var reply peer.BeatArgs
	err := m.caller.Call(limited, to.Address, Name+".Beat", args, &reply)
	if err == nil {
		m.learn(&reply, true)
		for _, c := range m.acked {
			c.Arrived(to)
		}
		return
	}
	if ctx.Err() != nil || to.VM == "" {
		return
	}
	m.mu.Lock()
	news := m.table.Missed(m.clock.Now(), to.VM)
	m.mu.Unlock()
	if news {
		m.BeatNow()
	}
}

// message writes a beat, or the answer to one, for a member.
func (m *Members) message(to peer.VM) *peer.BeatArgs {
	m.mu.Lock()
	view := m.table.View()
	theirs, known := m.views[to]
	b := &peer.BeatArgs{From: m.table.Self(), View: view, Known: m.table.Updates(to, !known || theirs != view)}
	m.mu.Unlock()
	for _, p := range m.parts {
		p.Fill(to, b)
	}
	return b
}

// learn takes a beat, or the answer to one.
func (m *Members) learn(b *peer.BeatArgs, reply bool) {
	now := m.clock.Now()
	m.mu.Lock()
	news := m.table.Heard(now, b.From)
	for _, k := range b.Known {
		news = m.table.Learn(now, k) || news
	}
	other := b.From.VM != m.table.Self().VM
	if other {
		m.views[b.From.VM] = b.View
	}
	m.mu.Unlock()
	for _, p := range m.parts {
		p.Learn(b, reply)
	}
	if other {
		m.contact(now)
	}
	if news {
		m.BeatNow()
	}
}

// contact notes that another member was heard from, once all parts have its word.
func (m *Members) contact(now clock.Milli) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.reached = max(m.reached, now)
}

// Documents gives the newest document in force.
type Documents interface {
	Newest() (peer.Revision, []byte)
}

// Receiver answers peers over net/rpc.
type Receiver struct {
	members   *Members
	documents Documents
}

// NewReceiver returns the receiver to register under Name.
func NewReceiver(m *Members, d Documents) *Receiver { return &Receiver{members: m, documents: d} }

// Beat answers one heartbeat.
func (r *Receiver) Beat(args, reply *peer.BeatArgs) error {
	r.members.learn(args, false)
	*reply = *r.members.message(args.From.VM)
	return nil
}

// Document answers with the newest document, if it is above what the asker has.
func (r *Receiver) Document(args *peer.DocumentArgs, reply *peer.DocumentReply) error {
	revision, text := r.documents.Newest()
	if revision <= args.Above {
		return nil
	}
	packed, err := peer.Compress(text)
	if err != nil {
		return err
	}
	reply.Revision, reply.Packed = revision, packed
	return nil
}

// lister is the platform's VM list.
type lister interface {
	VMs(ctx context.Context) ([]platform.VM, error)
}

// SeedList is Seeds from the settings and the platform's VM list. The list may
// lag or be out of reach; then the last one read still helps.
type SeedList struct {
	fixed  []string
	lister lister

	mu   sync.Mutex
	last []string
}

// NewSeedList returns seeds of fixed addresses and of the entry VMs that l lists.
func NewSeedList(fixed []string, l lister) *SeedList { return &SeedList{fixed: fixed, lister: l} }

// Seeds implements Seeds.
func (l *SeedList) Seeds(ctx context.Context) []string {
	vms, err := l.lister.VMs(ctx)
	l.mu.Lock()
	defer l.mu.Unlock()
	if err == nil {
		l.last = entries(vms)
	}
	return append(append([]string(nil), l.fixed...), l.last...)
}

func entries(vms []platform.VM) []string {
	var as []string
	for _, v := range vms {
		if v.Role == platform.Entry && v.State == platform.Live && v.Address != "" {
			as = append(as, v.Address)
		}
	}
	return as
}
