package member

import (
	"sort"
	"strconv"

	"snipeshift.example/lib/clock"
	"snipeshift.example/lib/peer"
)

// Table is the view that one member has of all members. It has no lock and no clock.
type Table struct {
	rules Rules
	self  peer.Member
	// entries holds all members but self.
	entries map[peer.VM]*entry
	// selfSendsLeft is the number of heartbeats that still have to be sent with the last change of self.
	selfSendsLeft int
	// cursor is the name up to which the last heartbeat listed live members: see nextLive.
	cursor peer.VM
	// heard is what members last told of their tables.
	heard map[peer.VM]heardView
	// superseded is set when a later incarnation of this VM was reported.
	superseded bool
	// cache is computed from entries and self; nil after they changed.
	cache *derived
}

// heardView is what a member told of its table.
type heardView struct {
	view uint64
	// buckets are the digests of the parts of its table; empty if it did not send any.
	buckets []uint32
	// incarnation and sent identify the message, which arrived at the time at.
	incarnation peer.Incarnation
	sent, at    clock.Milli
}

// derived is computed once for each change of the table, not for each heartbeat.
type derived struct {
	// live is sorted by name.
	live []peer.Member
	view uint64
	// buckets are digests of the live members by the hash of their names.
	buckets []uint32
	// targets are the members that get heartbeats in rotation, the current time divided by
	// Rules.Rotation; rotation is -1 before they are chosen.
	targets  []peer.Member
	rotation clock.Milli
	// successors are the ring successors, the first of targets.
	successors []peer.Member
	// maxCores is the maximum of Cores in live.
	maxCores int
	// gone counts members that are gone, lost those of them that had not announced a stop.
	gone, lost int
	// position counts live and lost members whose names sort before that of this one.
	position int
}

// entry is the state of another member.
type entry struct {
	member peer.Member
	// hash is that of the name, digest that of the description; see hashName and digestOf.
	hash, digest uint64
	// missed counts consecutive heartbeats to the member that were not answered.
	missed int
	// lastHeard is the time of the last message received from the member itself.
	lastHeard clock.Milli
	// healthSince is the time of the last change of health.
	healthSince clock.Milli
	// sendsLeft is the number of heartbeats that still have to report the last change.
	sendsLeft int
}

// NewTable returns a table that contains only self.
func NewTable(self peer.Member, r Rules) *Table {
	return &Table{rules: r, self: self, entries: map[peer.VM]*entry{}, heard: map[peer.VM]heardView{}, selfSendsLeft: r.UpdateSends}
}

// Message returns what a heartbeat to a member, or with reply set the reply to one, says of members.
//
// If the tables of both agree, the digest of the whole is sent alone. While only a few changes are pending,
// they are sent without digests of parts. Otherwise the message has the digests of all parts, so that the other member can
// send what this table lacks. A heartbeat to a member of whose table nothing is known has only recent
// changes, since the reply shows what that member lacks.
func (t *Table) Message(to peer.VM, reply bool) *peer.BeatArgs {
	b := &peer.BeatArgs{From: t.self, View: t.View()}
	d := t.compare(t.heard[to])
	if !d.same {
		b.Buckets = t.derive().buckets
		if t.hasFewPending() {
			b.Buckets = fold(b.Buckets, 1)
		}
	}
	b.Known = t.updates(to, d, len(d.parts) > 0 || reply && !d.withheld)
	return b
}

// Receive processes what a heartbeat, or the reply to one, says of members, and reports whether it
// changed the table.
func (t *Table) Receive(now clock.Milli, b *peer.BeatArgs) bool {
	changed := t.Heard(now, b.From)
	for _, k := range b.Known {
		changed = t.Learn(now, k) || changed
	}
	if b.From.VM != t.self.VM {
		t.heard[b.From.VM] = heardView{view: b.View, buckets: b.Buckets, incarnation: b.From.Incarnation, sent: b.Sent, at: now}
	}
	return changed
}

// echo returns the Echo for a message that is written to a member now.
func (t *Table) echo(now clock.Milli, to peer.VM) peer.Echo {
	h, ok := t.heard[to]
	if !ok {
		return peer.Echo{}
	}
	return peer.Echo{Incarnation: h.incarnation, Sent: h.sent, Held: now - h.at}
}

// writtenAt returns the earliest time at which a message to this member can have been written, or zero if the message
// names none that this incarnation sent. The message was written Held after the arrival of that one, so at least Held
// after it was sent, however long either was under way.
func (t *Table) writtenAt(now clock.Milli, b *peer.BeatArgs) clock.Milli {
	if b.Echo.Incarnation != t.self.Incarnation || b.Echo.Sent == 0 {
		return 0
	}
	return min(b.Echo.Sent+b.Echo.Held, now)
}

// Self returns the description of this member.
func (t *Table) Self() peer.Member { return t.self }

// Superseded reports whether a later incarnation of this VM is running. This one must then
// stop sending heartbeats.
func (t *Table) Superseded() bool { return t.superseded }

// Stop marks this member as stopping, so that Rank no longer lists it.
func (t *Table) Stop() {
	t.self.Stopping = true
	t.raiseSeq(t.self.Seq)
}

// Leave marks this member as gone.
func (t *Table) Leave() {
	t.self.Stopping = true
	t.self.Health = peer.Gone
	t.raiseSeq(t.self.Seq)
}

// raiseSeq sets the Seq of this member to one more than above, so that its description replaces
// all earlier ones, and schedules it to be sent.
func (t *Table) raiseSeq(above uint64) {
	t.cache = nil
	t.self.Seq = above + 1
	t.selfSendsLeft = t.rules.UpdateSends
}

// newer reports whether description a of a VM replaces description b.
func newer(a, b peer.Member) bool {
	if a.Incarnation != b.Incarnation {
		return a.Incarnation > b.Incarnation
	}
	if a.Seq != b.Seq {
		return a.Seq > b.Seq
	}
	return a.Health > b.Health
}

// Learn processes the description of a member sent by any peer, and reports whether it
// changed the table.
func (t *Table) Learn(now clock.Milli, m peer.Member) bool {
	if m.VM == "" {
		return false
	}
	if m.VM == t.self.VM {
		return t.refute(m)
	}
	e := t.entries[m.VM]
	if e == nil {
		if m.Health == peer.Gone {
			return false
		}
		t.cache = nil
		e = &entry{hash: hashName(m.VM), lastHeard: now, healthSince: now, sendsLeft: t.rules.UpdateSends}
		e.set(m)
		t.entries[m.VM] = e
		return true
	}
	if m.Health == peer.Gone && e.member.Health != peer.Gone {
		// Another member gave it up, perhaps because of a network partition that has ended
		// since. So it gets time to refute the suspicion here as well.
		m.Health = peer.Suspected
	}
	if newer(e.member, m) && e.member.Seq == m.Seq && e.member.Incarnation == m.Incarnation {
		// The sender considers it healthier than this table, at the same Seq, and only the
		// member itself can refute the suspicion, by a larger Seq. So the suspicion is sent
		// until the member receives it. Otherwise the two sides of a partition that has
		// healed would disagree permanently.
		e.sendsLeft = t.rules.UpdateSends
	}
	if !newer(m, e.member) {
		return false
	}
	if m.Health != e.member.Health || m.Incarnation != e.member.Incarnation {
		e.healthSince = now
	}
	e.missed, e.sendsLeft = 0, t.rules.UpdateSends
	e.set(m)
	t.cache = nil
	return true
}

// set sets the description of the member.
func (e *entry) set(m peer.Member) { e.member, e.digest = m, digestOf(m) }

// refute refutes a suspicion of this member by increasing its Seq. It reports whether it did.
func (t *Table) refute(m peer.Member) bool {
	if m.Incarnation > t.self.Incarnation {
		t.superseded = true
		return false
	}
	if m.Incarnation < t.self.Incarnation || m.Seq < t.self.Seq || m.Health <= t.self.Health {
		return false
	}
	t.raiseSeq(m.Seq)
	return true
}

// Heard processes the description that a member sent of itself, and reports whether it changed the table.
func (t *Table) Heard(now clock.Milli, m peer.Member) bool {
	if m.VM == "" || m.VM == t.self.VM {
		return t.Learn(now, m)
	}
	changed := t.Learn(now, m)
	e := t.entries[m.VM]
	if e == nil || e.member.Incarnation != m.Incarnation {
		return changed
	}
	e.lastHeard, e.missed = now, 0
	if m.Health == peer.Gone && e.member.Health != peer.Gone {
		// The member itself reports the end of a graceful stop: no time to refute is needed.
		t.setHealth(e, peer.Gone, now)
		return true
	}
	return changed
}

// Missed records that a member did not answer a heartbeat, and reports whether it is newly suspected.
func (t *Table) Missed(now clock.Milli, v peer.VM) bool {
	e := t.entries[v]
	if e == nil || e.member.Health != peer.Live {
		return false
	}
	e.missed++
	if e.missed < t.rules.MaxMisses {
		return false
	}
	t.setHealth(e, peer.Suspected, now)
	return true
}

// Tick marks suspected members as gone that did not refute the suspicion within the time limit, and removes
// members that have been gone for long. It reports whether a member was marked as gone.
func (t *Table) Tick(now clock.Milli) bool {
	changed := false
	limit := t.rules.RefutePeriods * t.rules.Period(t.size())
	for v, e := range t.entries {
		switch {
		case e.member.Health == peer.Suspected && now-e.healthSince >= limit && now-e.lastHeard >= limit:
			t.setHealth(e, peer.Gone, now)
			changed = true
		case e.member.Health == peer.Gone && now-e.healthSince >= t.rules.ForgetAfter:
			delete(t.entries, v)
			delete(t.heard, v)
			t.cache = nil
		}
	}
	return changed
}

// setHealth sets the health of a member and schedules the change to be sent.
func (t *Table) setHealth(e *entry, h peer.Health, now clock.Milli) {
	e.healthSince, e.sendsLeft = now, t.rules.UpdateSends
	e.member.Health = h
	e.set(e.member)
	t.cache = nil
}

// Resume must be called after a pause of this process. No messages were received during the pause,
// whatever the state of the other members, so the time limits of suspicions start anew.
func (t *Table) Resume(now clock.Milli) {
	for _, e := range t.entries {
		e.healthSince, e.lastHeard, e.missed = now, now, 0
	}
}

func (t *Table) size() int { return len(t.derive().live) }

// Live returns the members that count as live, including this one, sorted by name. The
// slice is shared and must not be modified.
func (t *Table) Live() []peer.Member { return t.derive().live }

// Lost returns the number of members that stopped responding without announcing a stop and have not been removed.
// They may still run on the other side of a network partition.
func (t *Table) Lost() int { return t.derive().lost }

// Position returns the number of members, live or lost, whose names sort before that of this one.
func (t *Table) Position() int { return t.derive().position }

// View returns a digest of the members that count as live. It is equal for tables that agree on their names,
// incarnations, Seqs and suspicions.
func (t *Table) View() uint64 { return t.derive().view }

func (t *Table) derive() *derived {
	if t.cache != nil {
		return t.cache
	}
	d := &derived{live: make([]peer.Member, 0, len(t.entries)+1), rotation: -1, buckets: make([]uint32, bucketCount(len(t.entries)+1))}
	if t.self.Health != peer.Gone {
		d.add(t.self, hashName(t.self.VM), digestOf(t.self))
	}
	for _, e := range t.entries {
		if (e.member.Health != peer.Gone || !e.member.Stopping) && e.member.VM < t.self.VM {
			d.position++
		}
		if e.member.Health != peer.Gone {
			d.add(e.member, e.hash, e.digest)
			continue
		}
		d.gone++
		if !e.member.Stopping {
			d.lost++
		}
	}
	sort.Slice(d.live, func(i, j int) bool { return d.live[i].VM < d.live[j].VM })
	d.maxCores, _ = maxCapacity(d.live)
	t.cache = d
	return d
}

// add adds a live member, with the hash of its name and the digest of its description.
func (d *derived) add(m peer.Member, hash, digest uint64) {
	d.live = append(d.live, m)
	d.view ^= digest
	d.buckets[bucketOf(hash, len(d.buckets))] ^= uint32(digest)
}

// digestOf returns the digest of a description. That of a member that nobody suspects does not depend on its
// health, as in versions without suspicions in the digest.
func digestOf(m peer.Member) uint64 {
	state := strconv.FormatUint(uint64(m.Incarnation), 36) + "/" + strconv.FormatUint(m.Seq, 36)
	if m.Health != peer.Live {
		state += "/" + strconv.Itoa(int(m.Health))
	}
	return score(state, m.VM)
}

// Targets returns the members that get heartbeats now. The slice is shared and must not be modified.
func (t *Table) Targets(now clock.Milli) []peer.Member {
	d := t.derive()
	rotation := now / t.rules.Rotation
	if d.rotation != rotation {
		d.rotation = rotation
		d.successors, d.targets = t.pickTargets(rotation, d.live)
	}
	return d.targets
}

// RingSuccessors returns the members that get heartbeats as long as they are live. The slice is shared
// and must not be modified.
func (t *Table) RingSuccessors() []peer.Member {
	if t.derive().rotation < 0 {
		t.Targets(0)
	}
	return t.derive().successors
}

// pickTargets chooses the successors of this member on the ring of hashed names, and the heartbeat targets.
func (t *Table) pickTargets(rotation clock.Milli, live []peer.Member) (successors, targets []peer.Member) {
	var others []peer.Member
	for _, m := range live {
		if m.VM != t.self.VM {
			others = append(others, m)
		}
	}
	selfScore := score("ring", t.self.VM)
	sortBy(others, func(m peer.Member) uint64 { return score("ring", m.VM) - selfScore })
	t.putOtherDomainSecond(others)
	fixed := min(t.rules.RingTargets, len(others))
	successors = others[:fixed:fixed]
	if len(others) < t.rules.FullMesh {
		return successors, others
	}
	rest := others[fixed:]
	salt := string(t.self.VM) + strconv.FormatInt(int64(rotation), 10)
	sortBy(rest, func(m peer.Member) uint64 { return score(salt, m.VM) })
	return successors, append(successors, rest[:min(t.rules.RandomTargets, len(rest))]...)
}

// putOtherDomainSecond moves the first member of another failure domain to the second position of ring, unless it
// is further ahead. So the successors are not all lost with the failure domain of this member.
func (t *Table) putOtherDomainSecond(ring []peer.Member) {
	for i, m := range ring {
		if m.Domain != t.self.Domain {
			if i > 1 {
				copy(ring[2:i+1], ring[1:i])
				ring[1] = m
			}
			return
		}
	}
}

// sortBy sorts members by the result of number, which is called once per member.
func sortBy(ms []peer.Member, number func(peer.Member) uint64) {
	numbers := make(map[peer.VM]uint64, len(ms))
	for _, m := range ms {
		numbers[m.VM] = number(m)
	}
	sort.Slice(ms, func(i, j int) bool { return numbers[ms[i].VM] < numbers[ms[j].VM] })
}

// updates returns the descriptions to send in a heartbeat to a member whose table differs by d: that of the
// receiver itself if its health is not Live, recent changes and, with all set, the next part of the live
// members that the receiver may lack.
func (t *Table) updates(to peer.VM, d difference, all bool) []peer.Member {
	var ms []peer.Member
	if e := t.entries[to]; e != nil && e.member.Health != peer.Live {
		ms = append(ms, e.member)
	}
	if t.selfSendsLeft > 0 {
		t.selfSendsLeft--
	}
	ms = t.appendChanges(ms, to, d, true)
	ms = t.appendChanges(ms, to, d, false)
	if all {
		ms = t.appendGone(ms, d)
		ms = append(ms, t.nextLive(d, t.rules.MaxUpdates-len(ms))...)
	}
	return ms
}

// appendGone appends members that are gone, from the parts in which the receiver's table differs: all messages
// that reported their loss to it may have been lost themselves.
func (t *Table) appendGone(ms []peer.Member, d difference) []peer.Member {
	if t.derive().gone == 0 || len(d.parts) == 0 {
		return ms
	}
	for _, e := range t.entries {
		if len(ms) >= t.rules.MaxUpdates {
			break
		}
		if e.member.Health == peer.Gone && !d.has(e.hash) {
			ms = append(ms, e.member)
		}
	}
	return ms
}

// appendChanges appends recent changes of the high-capacity members, or with highCapacity unset of the others,
// that the receiver may lack.
//
// The high-capacity members have to be sent first. Otherwise VMs that start together would each receive a different
// few of them, and choose different owners.
func (t *Table) appendChanges(ms []peer.Member, to peer.VM, d difference, highCapacity bool) []peer.Member {
	maxCores := t.derive().maxCores
	for v, e := range t.entries {
		if e.sendsLeft == 0 || v == to || len(ms) >= t.rules.MaxUpdates || highCapacity != (e.member.Cores*capacityDivisor >= maxCores) {
			continue
		}
		e.sendsLeft--
		if !d.has(e.hash) {
			ms = append(ms, e.member)
		}
	}
	return ms
}

// HasUpdates reports whether there are changes to send.
func (t *Table) HasUpdates() bool {
	if t.selfSendsLeft > 0 {
		return true
	}
	for _, e := range t.entries {
		if e.sendsLeft > 0 {
			return true
		}
	}
	return false
}

// nextLive returns up to limit live members that the receiver may lack, following those of the previous call.
func (t *Table) nextLive(d difference, limit int) []peer.Member {
	live := t.Live()
	from := sort.Search(len(live), func(i int) bool { return live[i].VM > t.cursor })
	var ms []peer.Member
	for i := 0; i < len(live) && len(ms) < limit; i++ {
		m := live[(from+i)%len(live)]
		if d.has(t.hashOf(m.VM)) {
			continue
		}
		t.cursor = m.VM
		ms = append(ms, m)
	}
	return ms
}

// hashOf returns the hash of the name of a live member.
func (t *Table) hashOf(v peer.VM) uint64 {
	if e := t.entries[v]; e != nil {
		return e.hash
	}
	return hashName(v)
}
