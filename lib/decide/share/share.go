// Package share divides scarce capacity among workspaces by weighted fair queueing over predicted
// tokens (start-time fair queueing).
//
// Each workspace has a virtual time, which advances by the tokens of its grants divided by its
// weight. The request of the workspace with the least virtual time goes first. A workspace that was
// idle starts at the current virtual time, so what it did not use is lent to the others and not
// owed to it. While a workspace beyond its share waits, Reserve is the number of free slots that it
// leaves to the others. The package addresses the load of requests that wait; it refuses none.
package share

import (
	"cmp"
	"math"
	"slices"

	"snipeshift.example/lib/clock"
	"snipeshift.example/lib/decide"
)

const (
	// DefaultWeight is the weight of workspaces that are not listed.
	DefaultWeight = 1.0
	// MaxWeight is the largest valid weight.
	MaxWeight = 1000.0
	// leadWindow is the time in milliseconds over which granted tokens are averaged. It bounds how
	// long a workspace waits for what it received while others could not use the capacity.
	leadWindow = 1000.0
	// useWindow is the time in milliseconds over which the tokens of a workspace are compared with its
	// share: as long as the averages that refusals for overload are based on.
	useWindow = 4000.0
	// maxRows is the number of workspaces from which on those idle for useWindow are removed.
	maxRows = 4096
)

// Settings are the settings of an account.
type Settings struct {
	Enabled bool
	// Weights are greater than 0 and at most MaxWeight. Workspaces that are not listed have
	// DefaultWeight.
	Weights map[decide.WorkspaceID]float64
}

// Account has the virtual times of the workspaces of one pool. It is not safe for concurrent use.
type Account struct {
	weights map[decide.WorkspaceID]float64
	rows    map[decide.WorkspaceID]*row
	// current is the current virtual time: that at which the last grant started of the workspace which
	// is to be served next. It never falls. A workspace that starts at it goes before those that were
	// served since.
	current float64
	// round counts the calls of Update, from 1. waiting is the number of workspaces that waited in the
	// last one.
	round   uint64
	waiting int
	// recent and used are the tokens granted within leadWindow and useWindow, as decaying sums at at.
	recent, used float64
	at           clock.Milli
	// activeWeight is the sum of the weights of the active workspaces in weighedRound.
	activeWeight float64
	weighedRound uint64
	// freed counts the slots that became free. reserve is the result of the last Update.
	freed   demand
	reserve int
}

// row is the account of one workspace.
type row struct {
	weight  float64
	virtual float64
	// lastLength is by how much the last grant advanced virtual.
	lastLength float64
	// round is the last round in which the workspace waited; zero for none. usedAt is when it last
	// waited or was charged.
	round  uint64
	usedAt clock.Milli
	// used are the tokens granted within useWindow, as a decaying sum at the time at.
	used float64
	at   clock.Milli
	// variance is that of used if grants are independent random events.
	variance float64
	// tokens is the total granted by this account.
	tokens float64
	demand demand
}

// New returns an empty account.
func New(weights map[decide.WorkspaceID]float64) *Account {
	return &Account{weights: weights, rows: map[decide.WorkspaceID]*row{}, round: 1}
}

// Predicted returns the tokens that a request is charged: its prompt and the likely length of its
// answer, or the maximum length if the likely one is unknown. Requests without tokens, those of
// plain services, count as one.
func Predicted(prompt, likely, output decide.Tokens) decide.Tokens {
	if likely == 0 {
		likely = output
	}
	return max(prompt+likely, 1)
}

func (a *Account) row(id decide.WorkspaceID) *row {
	r := a.rows[id]
	if r != nil {
		return r
	}
	a.prune()
	r = &row{weight: DefaultWeight, virtual: a.current}
	if w, ok := a.weights[id]; ok {
		r.weight = w
	}
	a.rows[id] = r
	return r
}

// prune removes workspaces that have been idle for useWindow, once there are many.
func (a *Account) prune() {
	if len(a.rows) < maxRows {
		return
	}
	for id, r := range a.rows {
		if !r.active(a.at) {
			delete(a.rows, id)
		}
	}
}

// Update sets which workspaces have waiting requests now. Names may repeat.
func (a *Account) Update(now clock.Milli, waiting []decide.WorkspaceID) {
	a.decay(now)
	a.round++
	var rows []*row
	for _, id := range waiting {
		r := a.row(id)
		if r.round == a.round {
			continue
		}
		if r.round != a.round-1 && r.virtual < a.current {
			r.virtual, r.lastLength = a.current, 0
		}
		r.round, r.usedAt = a.round, now
		rows = append(rows, r)
	}
	a.waiting, a.reserve = len(rows), 0
	if len(rows) > 0 {
		a.settle(rows)
	}
	if slices.ContainsFunc(rows, a.clearlyExceeds) {
		a.reserve = a.slotsToReserve()
	}
}

// settle advances the current virtual time and bounds the leads of the given workspaces. A lead larger
// than the shares of all in what was granted within leadWindow would have the workspace wait longer
// than that for capacity which no other could use.
func (a *Account) settle(rows []*row) {
	least, weights := math.Inf(1), 0.0
	for _, r := range rows {
		least = min(least, r.virtual-r.lastLength)
		weights += r.weight
	}
	a.current = max(a.current, least)
	for _, r := range rows {
		r.virtual = min(r.virtual, a.current+max(a.recent/weights, r.lastLength))
	}
}

func (a *Account) decay(now clock.Milli) {
	passed := float64(max(now-a.at, 0))
	a.recent *= math.Exp(-passed / leadWindow)
	a.used *= math.Exp(-passed / useWindow)
	a.at = now
}

// decay brings the use of a workspace up to date.
func (r *row) decay(now clock.Milli) {
	f := math.Exp(-float64(max(now-r.at, 0)) / useWindow)
	r.used *= f
	r.variance *= f * f
	r.at = now
}

// active reports whether the workspace has waited or been charged within useWindow.
func (r *row) active(now clock.Milli) bool { return now-r.usedAt <= useWindow }

// Charge records a grant of this many tokens.
func (a *Account) Charge(now clock.Milli, id decide.WorkspaceID, tokens decide.Tokens) {
	a.ChargePresented(now, id, tokens)
	a.row(id).tokens += float64(tokens)
}

// ChargePresented records a grant that another account made and whose tokens that one has counted.
func (a *Account) ChargePresented(now clock.Milli, id decide.WorkspaceID, tokens decide.Tokens) {
	a.decay(now)
	r := a.row(id)
	r.lastLength = float64(tokens) / r.weight
	r.virtual += r.lastLength
	r.usedAt = now
	r.decay(now)
	r.used += float64(tokens)
	r.variance += float64(tokens) * float64(tokens)
	a.recent += float64(tokens)
	a.used += float64(tokens)
}

// Contended reports whether several workspaces waited at the last Update.
func (a *Account) Contended() bool { return a.waiting > 1 }

// Exceeds reports whether a workspace was granted more than its share of what all active workspaces
// were granted within useWindow. Virtual times are no measure of that: in each of them the workspace
// that was served last is ahead.
func (a *Account) Exceeds(id decide.WorkspaceID) bool { return a.lag(a.row(id)) < 0 }

// Wait returns the time in milliseconds in which a workspace is granted this many tokens if it gets
// its share of what all were granted within useWindow, and no more. The result is +Inf if nothing
// was granted.
func (a *Account) Wait(id decide.WorkspaceID, tokens decide.Tokens) float64 {
	r := a.row(id)
	rate := a.used / useWindow * r.weight / max(a.weigh(), r.weight)
	return float64(tokens) / rate
}

// lag returns by how many tokens of useWindow a workspace is behind its share.
func (a *Account) lag(r *row) float64 {
	r.decay(a.at)
	return a.used*r.weight/max(a.weigh(), r.weight) - r.used
}

// weigh returns the sum of the weights of the active workspaces.
func (a *Account) weigh() float64 {
	if a.weighedRound == a.round {
		return a.activeWeight
	}
	a.weighedRound, a.activeWeight = a.round, 0
	for _, r := range a.rows {
		if r.active(a.at) {
			a.activeWeight += r.weight
		}
	}
	return a.activeWeight
}

// Order sorts waiting requests by the virtual times at which they start if they are served in this
// order. The requests of one workspace keep their order. The function of returns the workspace and the
// predicted tokens of a request.
func Order[T any](a *Account, items []T, of func(T) (decide.WorkspaceID, decide.Tokens)) {
	type tagged struct {
		item  T
		start float64
	}
	next := map[decide.WorkspaceID]float64{}
	tags := make([]tagged, 0, len(items))
	for _, x := range items {
		id, tokens := of(x)
		r := a.row(id)
		start, seen := next[id]
		if !seen {
			start = r.virtual
		}
		next[id] = start + float64(tokens)/r.weight
		tags = append(tags, tagged{x, start})
	}
	slices.SortStableFunc(tags, func(x, y tagged) int { return cmp.Compare(x.start, y.start) })
	for i, t := range tags {
		items[i] = t.item
	}
}
