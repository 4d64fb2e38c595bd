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

// Caller calls a method of a peer. After a call whose context ended it must replace an
// unresponsive connection: a connection can stop working permanently while new ones work.
type Caller interface {
	Call(ctx context.Context, address, method string, args, reply any) error
}

// Clock reads the time of this process.
type Clock interface {
	Now() clock.Milli
}

// Seeds returns peer addresses for the first contact with other members: those of the settings,
// and those of live entry VMs in the platform's VM list, which may be out of date.
type Seeds interface {
	Seeds(ctx context.Context) []string
}

// Part is a component that sends and receives fields of heartbeats. Its methods are called
// without locks of this package, from many goroutines, and must not block.
type Part interface {
	// Fill sets fields of a heartbeat, or of the reply to one, for a member. The name is
	// empty for a seed, of which only the address is known.
	Fill(to peer.VM, b *peer.BeatArgs)
	// Learn processes a heartbeat from b.From, or the reply to a heartbeat that this member sent. It was written at the time
	// written at the earliest; zero if nothing is known of that. Ages in it count back from then, never from its arrival.
	Learn(b *peer.BeatArgs, written clock.Milli)
}

// AckedPart is a Part that needs to know which heartbeats were delivered. Fields that Load
// sets are sent only in heartbeats, not in replies.
type AckedPart interface {
	Part
	// Load sets fields of a heartbeat. At most one heartbeat to a member is unanswered at any time.
	Load(to peer.Member, b *peer.BeatArgs)
	// Arrived reports that the latest heartbeat loaded for a member was answered.
	Arrived(to peer.Member)
}

// ErrSuperseded is returned by Run when a later incarnation of this VM is running.
var ErrSuperseded = errors.New("a later incarnation of this VM is running")

// minRoundGap is the minimum time between two rounds of heartbeats, so that a burst of updates is
// sent in one.
const minRoundGap clock.Milli = 50

// Members runs the membership protocol of one daemon: it sends and answers heartbeats and
// maintains the Table of members.
type Members struct {
	caller Caller
	seeds  Seeds
	clock  Clock
	rules  Rules
	wake   chan struct{}

	mu    sync.Mutex
	table *Table
	parts []Part
	// acked are the AckedParts among parts.
	acked []AckedPart
	// inFlight holds the addresses to which a heartbeat is unanswered: each gets one at a time.
	inFlight map[string]bool
	// lastContact is the time of the last message from any other member.
	lastContact clock.Milli
	// lastWritten is the latest time at which another member can be shown to have written a message to this one.
	lastWritten clock.Milli
	// heartbeats waits for the goroutines that send heartbeats.
	heartbeats sync.WaitGroup
}

// New returns Members for the daemon self. Heartbeats are sent by Run.
func New(self peer.Member, r Rules, c Caller, s Seeds, k Clock) *Members {
	return &Members{
		caller: c, seeds: s, clock: k, rules: r,
		wake:     make(chan struct{}, 1),
		table:    NewTable(self, r),
		inFlight: map[string]bool{},
	}
}

// Add registers parts of heartbeats. It must be called before Run.
func (m *Members) Add(ps ...Part) {
	m.parts = append(m.parts, ps...)
	for _, p := range ps {
		if c, ok := p.(AckedPart); ok {
			m.acked = append(m.acked, c)
		}
	}
}

// Self returns this member.
func (m *Members) Self() peer.Member { m.mu.Lock(); defer m.mu.Unlock(); return m.table.Self() }

// Live returns the members that count as live, including this one.
func (m *Members) Live() []peer.Member { m.mu.Lock(); defer m.mu.Unlock(); return m.table.Live() }

// Lost returns the number of members that stopped responding without announcing a stop. They
// may still run on the other side of a network partition.
func (m *Members) Lost() int { m.mu.Lock(); defer m.mu.Unlock(); return m.table.Lost() }

// Position returns the number of members, live or lost, whose names sort before that of this one. It
// is the same on both sides of a partition.
func (m *Members) Position() int { m.mu.Lock(); defer m.mu.Unlock(); return m.table.Position() }

// Owner returns the owner of a pool.
func (m *Members) Owner(p peer.PoolID) (peer.Member, bool) { return Owner(p, m.Live()) }

// RingSuccessors returns the few members to which this one always sends heartbeats.
func (m *Members) RingSuccessors() []peer.Member {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.table.RingSuccessors()
}

// LastContact returns the time of the last message from another member; zero if there was none.
func (m *Members) LastContact() clock.Milli { m.mu.Lock(); defer m.mu.Unlock(); return m.lastContact }

// LastWritten returns the latest time at which another member can be shown to have written a message to this one; zero if
// there is none. A message may arrive long after that.
func (m *Members) LastWritten() clock.Milli { m.mu.Lock(); defer m.mu.Unlock(); return m.lastWritten }

// BeatNow starts the next round of heartbeats at once, to send an update without delay.
func (m *Members) BeatNow() {
	select {
	case m.wake <- struct{}{}:
	default:
	}
}

// Stop announces to all members that this one is stopping, so that Rank no longer lists it.
func (m *Members) Stop() {
	m.mu.Lock()
	m.table.Stop()
	m.mu.Unlock()
	m.BeatNow()
}

// Leave announces to the current heartbeat targets that this member is gone, and returns when
// they have answered or ctx has ended. It must be called after Run has returned.
func (m *Members) Leave(ctx context.Context) {
	m.mu.Lock()
	m.table.Leave()
	m.mu.Unlock()
	m.round(ctx)
	m.heartbeats.Wait()
}

// Resume must be called after a pause of this process (see Table.Resume).
func (m *Members) Resume() {
	m.mu.Lock()
	m.table.Resume(m.clock.Now())
	m.mu.Unlock()
	m.BeatNow()
}

// Run sends heartbeats until ctx ends. It returns ErrSuperseded if a later incarnation of this VM is running.
func (m *Members) Run(ctx context.Context) error {
	defer m.heartbeats.Wait()
	last := -m.rules.SparseSeedPeriod
	for ctx.Err() == nil {
		now := m.clock.Now()
		if now-last >= m.seedPeriod() {
			last = now
			m.heartbeats.Go(func() { m.contactSeeds(ctx) })
		}
		m.round(ctx)
		if m.Superseded() {
			return ErrSuperseded
		}
		m.wait(ctx)
	}
	return nil
}

// seedPeriod returns the time between two contacts of the seeds.
func (m *Members) seedPeriod() clock.Milli {
	if m.LastContact() == 0 {
		return m.rules.IsolatedSeedPeriod
	}
	return m.rules.SeedPeriod(m.size())
}

// Superseded reports whether a later incarnation of this VM is running.
func (m *Members) Superseded() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.table.Superseded()
}

// wait returns after a period, or earlier after BeatNow, but not before minRoundGap.
func (m *Members) wait(ctx context.Context) {
	if !sleep(ctx, minRoundGap) {
		return
	}
	period := m.period()
	if m.LastContact() == 0 {
		period = min(period, m.rules.IsolatedSeedPeriod)
	}
	t := time.NewTimer((period - minRoundGap).Duration())
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-m.wake:
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

// contactSeeds sends heartbeats to the seeds that are not among the live members.
func (m *Members) contactSeeds(ctx context.Context) {
	known := map[string]bool{}
	for _, l := range m.Live() {
		known[l.Address] = true
	}
	for _, a := range m.seeds.Seeds(ctx) {
		if !known[a] {
			m.startHeartbeat(ctx, peer.Member{Address: a})
		}
	}
}

// round sends a heartbeat to each current target, in a goroutine each.
func (m *Members) round(ctx context.Context) {
	now := m.clock.Now()
	m.mu.Lock()
	changed := m.table.Tick(now)
	targets := m.table.Targets(now)
	m.mu.Unlock()
	for _, t := range targets {
		m.startHeartbeat(ctx, t)
	}
	if changed {
		m.BeatNow()
	}
}

// startHeartbeat sends a heartbeat to the address of a member, unless one is unanswered.
func (m *Members) startHeartbeat(ctx context.Context, to peer.Member) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.inFlight[to.Address] {
		return
	}
	m.inFlight[to.Address] = true
	m.heartbeats.Go(func() {
		m.sendHeartbeat(ctx, to)
		m.mu.Lock()
		delete(m.inFlight, to.Address)
		m.mu.Unlock()
	})
}

// sendHeartbeat sends a heartbeat and processes the reply. If the receiver is a seed, the argument
// to contains only the address.
func (m *Members) sendHeartbeat(ctx context.Context, to peer.Member) {
	limited, cancel := context.WithTimeout(ctx, m.period().Duration())
	defer cancel()
	args := m.message(to.VM, false)
	for _, c := range m.acked {
		c.Load(to, args)
	}
	var reply peer.BeatArgs
	err := m.caller.Call(limited, to.Address, Name+".Beat", args, &reply)
	if err == nil {
		m.learn(&reply)
		for _, c := range m.acked {
			c.Arrived(to)
		}
		return
	}
	if ctx.Err() != nil || to.VM == "" {
		return
	}
	m.mu.Lock()
	changed := m.table.Missed(m.clock.Now(), to.VM)
	m.mu.Unlock()
	if changed {
		m.BeatNow()
	}
}

// message returns a heartbeat, or with reply set the reply to one, for a member.
func (m *Members) message(to peer.VM, reply bool) *peer.BeatArgs {
	m.mu.Lock()
	b := m.table.Message(to, reply)
	// The parts are filled in afterwards: an age that was taken before Held would be too low for the receiver if the process
	// stood still in between.
	b.Sent = m.clock.Now()
	b.Echo = m.table.echo(b.Sent, to)
	m.mu.Unlock()
	for _, p := range m.parts {
		p.Fill(to, b)
	}
	return b
}

// learn processes a heartbeat, or the reply to one.
func (m *Members) learn(b *peer.BeatArgs) {
	now := m.clock.Now()
	m.mu.Lock()
	written := m.table.writtenAt(now, b)
	changed := m.table.Receive(now, b)
	other := b.From.VM != m.table.Self().VM
	m.mu.Unlock()
	for _, p := range m.parts {
		p.Learn(b, written)
	}
	if other {
		m.recordContact(now, written)
	}
	if changed {
		m.BeatNow()
	}
}

// recordContact records a message from another member. It is called after all parts have processed the message.
func (m *Members) recordContact(now, written clock.Milli) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.lastContact = max(m.lastContact, now)
	m.lastWritten = max(m.lastWritten, written)
}

// Documents returns the newest document in force, with its revision.
type Documents interface {
	Newest() (peer.Revision, []byte)
}

// Receiver handles calls of peers over net/rpc.
type Receiver struct {
	members   *Members
	documents Documents
}

// NewReceiver returns the receiver to register under Name.
func NewReceiver(m *Members, d Documents) *Receiver { return &Receiver{members: m, documents: d} }

// Beat processes a heartbeat and replies with one.
func (r *Receiver) Beat(args, reply *peer.BeatArgs) error {
	r.members.learn(args)
	*reply = *r.members.message(args.From.VM, true)
	return nil
}

// Document replies with the newest document if its revision is above args.Above.
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

// lister returns the platform's VM list.
type lister interface {
	VMs(ctx context.Context) ([]platform.VM, error)
}

// SeedList implements Seeds with the addresses of the settings and the platform's VM list. While
// the list cannot be read, the one read last is used.
type SeedList struct {
	// fixed are the addresses of the settings.
	fixed  []string
	lister lister

	mu sync.Mutex
	// last are the addresses in the VM list read last.
	last []string
}

// NewSeedList returns a SeedList of fixed addresses and of the live entry VMs that l lists.
func NewSeedList(fixed []string, l lister) *SeedList { return &SeedList{fixed: fixed, lister: l} }

// Seeds implements Seeds.
func (l *SeedList) Seeds(ctx context.Context) []string {
	vms, err := l.lister.VMs(ctx)
	l.mu.Lock()
	defer l.mu.Unlock()
	if err == nil {
		l.last = entryAddresses(vms)
	}
	return append(append([]string(nil), l.fixed...), l.last...)
}

// entryAddresses returns the addresses of the live entry VMs.
func entryAddresses(vms []platform.VM) []string {
	var as []string
	for _, v := range vms {
		if v.Role == platform.Entry && v.State == platform.Live && v.Address != "" {
			as = append(as, v.Address)
		}
	}
	return as
}
