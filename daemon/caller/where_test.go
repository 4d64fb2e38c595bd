package caller

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"github.com/phuslu/log"
	"github.com/stretchr/testify/require"

	"snipeshift.example/daemon/pool"
	"snipeshift.example/lib/clock"
	"snipeshift.example/lib/decide"
	"snipeshift.example/lib/document"
	"snipeshift.example/lib/engine"
	"snipeshift.example/lib/fault"
	answers "snipeshift.example/lib/operator"
	"snipeshift.example/lib/peer"
)

// idleEngines answers polls for engines that run nothing.
type idleEngines struct{}

func (idleEngines) Load(context.Context, string) (engine.Load, error) { return engine.Load{}, nil }
func (idleEngines) Events(context.Context, string, uint64) ([]engine.Event, error) {
	return nil, nil
}
func (idleEngines) Cancel(context.Context, string, decide.RequestID) error { return nil }
func (idleEngines) DeleteExport(context.Context, string, string) error     { return nil }
func (idleEngines) Order(peer.PoolID, document.Upstream, decide.Order)     {}
func (idleEngines) Leaving(decide.UpstreamID) bool                         { return false }
func (idleEngines) Evidence(context.Context, []decide.RequestID) map[decide.RequestID]pool.Evidence {
	return nil
}

type ownerRegistry struct {
	fixedRegistry
	idleEngines
}

// ownedFleet is a gate whose pools have real owners: vm-1 owns those of the hall, vm-2 those of the desk.
type ownedFleet struct {
	*harness
	owners map[string]*pool.Owner
	// hung are the VMs that do not answer, old those of a version without Pool.Where.
	hung, old map[string]bool
	// called counts calls by method.
	called map[string]int
}

func newOwnedFleet(t *testing.T, engines int) *ownedFleet {
	f := &ownedFleet{harness: newHarness(t), owners: map[string]*pool.Owner{}, hung: map[string]bool{}, old: map[string]bool{}, called: map[string]int{}}
	var ups []string
	for i := range engines {
		ups = append(ups, fmt.Sprintf(`{"name":"engine-%d","model":"drafter","domain":%q,"address":"127.0.0.1:%d","memory":100000,"slots":8,"prefill":8000,"decode":50}`, i, []string{"hall", "desk"}[i%2], i+1))
	}
	text := fmt.Sprintf(`{"models":[{"name":"drafter","context":150000},{"name":"other","context":1}],"kinds":[{"name":"draft","urgency":1,"allowed":60000,"output":64,"repeat":true}],
		"workspaces":[{"name":"wards","weight":1},{"name":"desk","weight":1,"models":["other"]}],"upstreams":[%s]}`, strings.Join(ups, ","))
	d, ps := document.Parse([]byte(text), "test")
	require.NoError(t, ps.Err())
	f.index = document.NewIndex(d)
	registry := ownerRegistry{fixedRegistry: fixedRegistry{f.index}}
	f.gate.Registry, f.gate.Members, f.gate.Peers = registry, f, f
	l := &log.Logger{Writer: &log.IOWriter{Writer: io.Discard}}
	for _, vm := range []string{"vm-1", "vm-2"} {
		f.owners[vm] = pool.New(t.Context(), clock.New(), l, nil, idleEngines{}, registry, idleEngines{}, idleEngines{}, 1)
	}
	f.gate.Local = f.owners["vm-1"]
	return f
}

func (f *ownedFleet) Owners(id peer.PoolID) []peer.Member {
	if strings.HasSuffix(string(id), "hall") {
		return []peer.Member{{VM: "vm-1", Address: "vm-1"}, {VM: "vm-2", Address: "vm-2"}}
	}
	return []peer.Member{{VM: "vm-2", Address: "vm-2"}, {VM: "vm-1", Address: "vm-1"}}
}

func (f *ownedFleet) Summary(peer.PoolID) (decide.Summary, bool) { return decide.Summary{}, false }
func (f *ownedFleet) RecordSummary(peer.PoolID, decide.Summary)  { f.called["RecordSummary"]++ }

func (f *ownedFleet) Call(ctx context.Context, address, method string, args, reply any) error {
	f.called[method]++
	if f.hung[address] {
		<-ctx.Done()
		return ctx.Err()
	}
	switch a := args.(type) {
	case peer.AcquireArgs:
		return f.owners[address].Acquire(a, reply.(*peer.AcquireReply))
	case peer.WhereArgs:
		if f.old[address] {
			return errors.New("rpc: can't find method Pool.Where")
		}
		return f.owners[address].Where(a, reply.(*peer.WhereReply))
	}
	return errors.New("unexpected " + method)
}

// open opens the pools and waits until the owners know the loads of the engines.
func (f *ownedFleet) open() {
	f.owners["vm-1"].SetOwned([]peer.PoolID{"drafter@hall"})
	f.owners["vm-2"].SetOwned([]peer.PoolID{"drafter@desk"})
	require.Eventually(f.t.(*testing.T), func() bool {
		x, err := f.gate.Where(context.Background(), &answers.WhereQuery{Model: "drafter", Prompt: 10})
		return err == nil && x.Verdict == answers.Placed
	}, 10*time.Second, 20*time.Millisecond)
	clear(f.called)
}

// At low load without faults requests must go where the command said, the small ones and those that only a group of engines
// holds. The command itself sends owners nothing but its question.
func TestRequestsGoWhereExplained(t *testing.T) {
	f := newOwnedFleet(t, 8)
	f.open()
	random := rand.New(rand.NewPCG(1, 2)) //nolint:gosec // a test
	var held []poolGrant
	release := func(n int) {
		for _, pg := range held[:n] {
			done := peer.ReturnArgs{Pool: pg.pool, Grant: pg.grant.ID, Request: pg.grant.Request, Outcome: decide.Done}
			require.NoError(t, f.owners[pg.owner].Return(done, &peer.Empty{}))
		}
		held = held[n:]
	}
	for i := range 60 {
		q := answers.WhereQuery{Model: "drafter", Workspace: "wards", Prompt: decide.Tokens(random.IntN(3000)), Output: 100}
		if i%10 == 9 {
			q.Prompt = 110_000
			release(len(held))
		}
		x, err := f.gate.Where(t.Context(), &q)
		require.NoError(t, err)
		require.Equal(t, map[string]int{"Pool.Where": f.called["Pool.Where"]}, f.called)
		require.Equal(t, answers.Placed, x.Verdict, "%+v", x)
		r, err := f.gate.describe(f.index, &q)
		require.NoError(t, err)
		r.id = f.gate.newRequestID(r.deadline)
		pg, e := f.gate.place(t.Context(), f.index, r, nil)
		require.Nil(t, e)
		require.Equal(t, append([]decide.UpstreamID{x.Upstream}, x.Helpers...), pg.grant.Upstreams)
		require.Equal(t, x.Pool, pg.pool)
		held = append(held, pg)
		release(max(0, len(held)-2))
		clear(f.called)
	}
}

// An operator gets an answer within a second, and learns from which VM and why, also if owners hang or are of an older version.
func TestWhereAnswersWithoutOwners(t *testing.T) {
	f := newOwnedFleet(t, 4)
	f.open()
	ask := func() answers.Where {
		begun := time.Now()
		x, err := f.gate.Where(t.Context(), &answers.WhereQuery{Model: "drafter", Prompt: 100})
		require.NoError(t, err)
		require.Less(t, time.Since(begun), time.Second)
		return x
	}
	x := ask()
	require.Equal(t, []any{peer.VM("vm-1"), peer.VM("vm-1"), ""}, []any{x.Owner, x.From, x.OwnerError})
	require.NotZero(t, x.Epoch)
	f.old["vm-1"] = true
	x = ask()
	require.Equal(t, []any{peer.VM("vm-1"), peer.VM("vm-2")}, []any{x.Owner, x.From})
	require.Contains(t, x.OwnerError, "can't find method")
	f.hung["vm-1"], f.hung["vm-2"] = true, true
	x = ask()
	require.Equal(t, []any{peer.VM("vm-1"), peer.VM("vm-1")}, []any{x.Owner, x.From})
	require.Contains(t, x.OwnerError, "deadline exceeded")
	require.Equal(t, answers.Placed, x.Verdict, "this VM happens to hold the pool")
}

// What the gate itself decides is part of the answer; what the document does not know is an error and no verdict.
func TestWhereAnswersForGate(t *testing.T) {
	f := newOwnedFleet(t, 4)
	f.open()
	refused := func(q answers.WhereQuery) []any {
		q.Model = "drafter"
		x, err := f.gate.Where(t.Context(), &q)
		require.NoError(t, err)
		require.Equal(t, answers.Refused, x.Verdict)
		return []any{x.Fault, x.Reason, x.RetryAfter}
	}
	none := clock.Milli(0)
	require.Equal(t, []any{fault.Oversize, reasonContext, none}, refused(answers.WhereQuery{Prompt: 200_000}))
	require.Equal(t, []any{fault.Forbidden, reasonWorkspace, none}, refused(answers.WhereQuery{Workspace: "desk"}))
	require.Equal(t, fault.Overloaded, refused(answers.WhereQuery{Prompt: 80_000, Deadline: 500})[0])
	for text, q := range map[string]answers.WhereQuery{
		"name a model":       {Service: "drafter"},
		"no model":           {Model: "x"},
		"no request kind":    {Model: "drafter", Kind: "x"},
		"no workspace":       {Model: "drafter", Workspace: "x"},
		"is no part":         {Model: "drafter", Parts: []string{"x"}},
		"for VMs that relay": {Model: "drafter", Aim: 5},
		"no request r":       {Model: "drafter", ID: "r"},
	} {
		_, err := f.gate.Where(t.Context(), &q)
		require.ErrorContains(t, err, text)
	}

	for i := range 4 {
		f.gate.recordBackoff("drafter", decide.UpstreamID(fmt.Sprint("engine-", i)), 2*clock.Second)
	}
	x, err := f.gate.Where(t.Context(), &answers.WhereQuery{Model: "drafter", Prompt: 10})
	require.NoError(t, err)
	require.Equal(t, []any{answers.Queued, reasonBackOff}, []any{x.Verdict, x.Reason}, "the gate waits for the first back-off that ends in time")
	require.Equal(t, []any{fault.Unavailable, string(decide.ReasonNoUpstream), 2 * clock.Second}, refused(answers.WhereQuery{Prompt: 10, Deadline: 1000}))
}
