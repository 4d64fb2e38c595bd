package member

import (
	"sort"
	"strconv"

	"snipeshift.example/lib/clock"
	"snipeshift.example/lib/peer"
)

// Table is what one member believes about all. It has no lock and no clock.
type Table struct {
	rules Rules
	self  peer.Member
	// rows never holds self.
	rows map[peer.VM]*row
	// tell is how many more beats carry the news about self.
	tell int
	// cursor is the name after which the next full exchange goes on.
	cursor peer.VM
	// superseded is set when a later life of this VM's name was heard of.
	superseded bool
	// cache is what follows from rows and self; it is dropped when they change.
	cache *derived
}

// derived is worked out once for each change of the table, not for each beat.
type derived struct {
	// live is sorted by name.
	live []peer.Member
	view uint64
	// targets hold for rotation, a count of Rules.Rotation.
	targets  []peer.Member
	rotation clock.Milli
	// neighbours come first in targets.
	neighbours []peer.Member
	// cores is the most that one of live has.
	cores int
	// lost counts members that are gone without having said so.
	lost int
}

// row is one other member.
type row struct {
	member peer.Member
	// missed counts beats in a row that it did not answer.
	missed int
	// heard is the last direct contact, in either direction.
	heard clock.Milli
	// since is when the health changed last.
	since clock.Milli
	// tell is how many more beats carry this row.
	tell int
}

// NewTable returns a table that knows only its own member.
func NewTable(self peer.Member, r Rules) *Table {
	return &Table{rules: r, self: self, rows: map[peer.VM]*row{}, tell: r.UpdateSends}
}

// Self is this member as it describes itself.
func (t *Table) Self() peer.Member { return t.self }

// Superseded tells whether a later life of this VM's name is at work, so that
// this one must stop taking part.
func (t *Table) Superseded() bool { return t.superseded }

// Stop announces that this member takes no new duty.
func (t *Table) Stop() {
	t.self.Stopping = true
	t.raise(t.self.Seq)
}

// Leave announces that this member is gone.
func (t *Table) Leave() {
	t.self.Stopping = true
	t.self.Health = peer.Gone
	t.raise(t.self.Seq)
}

func (t *Table) raise(above uint64) {
	t.cache = nil
	t.self.Seq = above + 1
	t.tell = t.rules.UpdateSends
}

// newer tells whether word a replaces word b about one VM.
func newer(a, b peer.Member) bool {
	if a.Incarnation != b.Incarnation {
		return a.Incarnation > b.Incarnation
	}
	if a.Seq != b.Seq {
		return a.Seq > b.Seq
	}
	return a.Health > b.Health
}

// Learn takes the word of a peer about a member, and tells whether it was news.
func (t *Table) Learn(now clock.Milli, m peer.Member) bool {
	if m.VM == "" {
		return false
	}
	if m.VM == t.self.VM {
		return t.contradict(m)
	}
	r := t.rows[m.VM]
	if r == nil {
		if m.Health == peer.Gone {
			return false
		}
		t.cache = nil
		t.rows[m.VM] = &row{member: m, heard: now, since: now, tell: t.rules.UpdateSends}
		return true
	}
	if m.Health == peer.Gone && r.member.Health != peer.Gone {
		// Another one gave it up. It may have been behind a cut that is gone
		// by now, so it gets its time to contradict here as well.
		m.Health = peer.Suspected
	}
	if newer(r.member, m) && r.member.Seq == m.Seq && r.member.Incarnation == m.Incarnation {
		// Others believe it live by a word that is not enough to clear it
		// here. Only it can: spread the doubt until it hears of it. Without
		// this the two sides of a healed cut would differ for good.
		r.tell = t.rules.UpdateSends
	}
	if !newer(m, r.member) {
		return false
	}
	if m.Health != r.member.Health || m.Incarnation != r.member.Incarnation {
		r.since = now
	}
	r.member, r.missed, r.tell = m, 0, t.rules.UpdateSends
	t.cache = nil
	return true
}

// contradict answers doubts about this member by a larger Seq.
func (t *Table) contradict(m peer.Member) bool {
	if m.Incarnation > t.self.Incarnation {
		t.superseded = true
		return false
	}
	if m.Incarnation < t.self.Incarnation || m.Seq < t.self.Seq || m.Health <= t.self.Health {
		return false
	}
	t.raise(m.Seq)
	return true
}

// Heard takes a member's own word, that came straight from it.
func (t *Table) Heard(now clock.Milli, m peer.Member) bool {
	if m.VM == "" || m.VM == t.self.VM {
		return t.Learn(now, m)
	}
	news := t.Learn(now, m)
	r := t.rows[m.VM]
	if r == nil || r.member.Incarnation != m.Incarnation {
		return news
	}
	r.heard, r.missed = now, 0
	if m.Health == peer.Gone && r.member.Health != peer.Gone {
		// It says so itself: a planned stop has ended.
		t.setHealth(r, peer.Gone, now)
		return true
	}
	return news
}

// Missed notes that a member did not answer a beat.
func (t *Table) Missed(now clock.Milli, v peer.VM) bool {
	r := t.rows[v]
	if r == nil || r.member.Health != peer.Live {
		return false
	}
	r.missed++
	if r.missed < t.rules.MaxMisses {
		return false
	}
	t.setHealth(r, peer.Suspected, now)
	return true
}

// Tick gives up members that did not contradict in time, and forgets old ones.
func (t *Table) Tick(now clock.Milli) bool {
	changed := false
	doubt := t.rules.RefutePeriods * t.rules.Period(t.size())
	for v, r := range t.rows {
		switch {
		case r.member.Health == peer.Suspected && now-r.since >= doubt && now-r.heard >= doubt:
			t.setHealth(r, peer.Gone, now)
			changed = true
		case r.member.Health == peer.Gone && now-r.since >= t.rules.ForgetAfter:
			delete(t.rows, v)
			t.cache = nil
		}
	}
	return changed
}

// setHealth changes the belief about a member.
func (t *Table) setHealth(r *row, h peer.Health, now clock.Milli) {
	r.member.Health, r.since, r.tell = h, now, t.rules.UpdateSends
	t.cache = nil
}

// Resume is called after a pause of this process. The time that passed in it
// says nothing about others, so doubts start anew.
func (t *Table) Resume(now clock.Milli) {
	for _, r := range t.rows {
		r.since, r.heard, r.missed = now, now, 0
	}
}

func (t *Table) size() int { return len(t.derive().live) }

// Live lists the members that count as live, this one included, by name. The
// slice is shared: it is not to be written to.
func (t *Table) Live() []peer.Member { return t.derive().live }

// Lost counts the members that fell silent without a word and are not forgotten: they may live behind a cut.
func (t *Table) Lost() int { return t.derive().lost }

// View is a digest of the members that count as live: equal tables have equal views.
func (t *Table) View() uint64 { return t.derive().view }

func (t *Table) derive() *derived {
	if t.cache != nil {
		return t.cache
	}
	d := &derived{live: make([]peer.Member, 0, len(t.rows)+1), rotation: -1}
	if t.self.Health != peer.Gone {
		d.live = append(d.live, t.self)
	}
	for _, r := range t.rows {
		switch {
		case r.member.Health != peer.Gone:
			d.live = append(d.live, r.member)
		case !r.member.Stopping:
			d.lost++
		}
	}
	sort.Slice(d.live, func(i, j int) bool { return d.live[i].VM < d.live[j].VM })
	d.cores, _ = most(d.live)
	for _, m := range d.live {
		d.view ^= score(strconv.FormatUint(uint64(m.Incarnation), 36)+"/"+strconv.FormatUint(m.Seq, 36), m.VM)
	}
	t.cache = d
	return d
}

// Targets lists whom to beat now.
func (t *Table) Targets(now clock.Milli) []peer.Member {
	d := t.derive()
	rotation := now / t.rules.Rotation
	if d.rotation != rotation {
		d.rotation = rotation
		d.neighbours, d.targets = t.pick(rotation, d.live)
	}
	return d.targets
}

// RingSuccessors lists the members that this one beats as long as they live.
func (t *Table) RingSuccessors() []peer.Member {
	if t.derive().rotation < 0 {
		t.Targets(0)
	}
	return t.derive().neighbours
}

// pick chooses the next members on the ring of hashed names, and whom to beat.
func (t *Table) pick(rotation clock.Milli, live []peer.Member) (neighbours, targets []peer.Member) {
	var others []peer.Member
	for _, m := range live {
		if m.VM != t.self.VM {
			others = append(others, m)
		}
	}
	own := score("ring", t.self.VM)
	order(others, func(m peer.Member) uint64 { return score("ring", m.VM) - own })
	t.spread(others)
	fixed := min(t.rules.RingTargets, len(others))
	neighbours = others[:fixed:fixed]
	if len(others) < t.rules.FullMesh {
		return neighbours, others
	}
	rest := others[fixed:]
	salt := string(t.self.VM) + strconv.FormatInt(int64(rotation), 10)
	order(rest, func(m peer.Member) uint64 { return score(salt, m.VM) })
	return neighbours, append(neighbours, rest[:min(t.rules.RandomTargets, len(rest))]...)
}

// spread moves the nearest member of another failure domain to the second
// place, so that the neighbours are not all lost with this one's own domain.
func (t *Table) spread(ring []peer.Member) {
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

// order sorts members by a number each.
func order(ms []peer.Member, number func(peer.Member) uint64) {
	numbers := make(map[peer.VM]uint64, len(ms))
	for _, m := range ms {
		numbers[m.VM] = number(m)
	}
	sort.Slice(ms, func(i, j int) bool { return numbers[ms[i].VM] < numbers[ms[j].VM] })
}

// Updates returns what a beat to a member carries: what changed of late, what is
// believed of the receiver if that is not good, and with all set the next
// stretch of the whole table.
func (t *Table) Updates(to peer.VM, all bool) []peer.Member {
	var ms []peer.Member
	if r := t.rows[to]; r != nil && r.member.Health != peer.Live {
		ms = append(ms, r.member)
	}
	if t.tell > 0 {
		t.tell--
	}
	ms = t.tellRows(ms, to, true)
	ms = t.tellRows(ms, to, false)
	if all {
		ms = append(ms, t.stretch(t.rules.MaxUpdates-len(ms))...)
	}
	return ms
}

// tellRows adds what changed of late of the strong members, or of the others.
//
// Strong members come first, or VMs that start together would each know another few of them, and name different owners.
func (t *Table) tellRows(ms []peer.Member, to peer.VM, strong bool) []peer.Member {
	least := t.derive().cores
	for v, r := range t.rows {
		if r.tell == 0 || v == to || len(ms) >= t.rules.MaxUpdates || strong != (r.member.Cores*strongPart >= least) {
			continue
		}
		r.tell--
		ms = append(ms, r.member)
	}
	return ms
}

// HasUpdates tells whether there is news to send.
func (t *Table) HasUpdates() bool {
	if t.tell > 0 {
		return true
	}
	for _, r := range t.rows {
		if r.tell > 0 {
			return true
		}
	}
	return false
}

func (t *Table) stretch(most int) []peer.Member {
	live := t.Live()
	from := sort.Search(len(live), func(i int) bool { return live[i].VM > t.cursor })
	var ms []peer.Member
	for i := 0; i < len(live) && len(ms) < most; i++ {
		m := live[(from+i)%len(live)]
		t.cursor = m.VM
		ms = append(ms, m)
	}
	return ms
}
