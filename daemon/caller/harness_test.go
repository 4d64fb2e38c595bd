package caller

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/phuslu/log"
	"github.com/stretchr/testify/require"

	"snipeshift.example/daemon/claim"
	"snipeshift.example/lib/clock"
	"snipeshift.example/lib/decide"
	"snipeshift.example/lib/decide/gate"
	"snipeshift.example/lib/document"
	"snipeshift.example/lib/engine"
	"snipeshift.example/lib/fault"
	"snipeshift.example/lib/peer"
)

// wardsKey belongs to a workspace that may send all kinds, deskKey to one that may not send the
// first kind of the configuration.
const (
	wardsKey = "secret-of-wards"
	deskKey  = "secret-of-desk"
)

// harness is a gate with fakes for its dependencies.
type harness struct {
	t      testing.TB
	gate   *Gate
	server *httptest.Server
	index  *document.Index
	fakes  *fakes
}

// fakes implements the dependencies of a gate: owners, claims, meter, limits, retry budget and
// suspects.
type fakes struct {
	mu       sync.Mutex
	acquired []peer.AcquireArgs
	returned []peer.ReturnArgs
	settled  []peer.SettleArgs
	usage    peer.Usage
	refunded decide.Tokens
	// group makes each grant span all upstreams.
	group bool
	// summaries are the load summaries that the owners of pools reported.
	summaries map[peer.PoolID]decide.Summary
	// successor is the address of the owner that takes over with the second grant.
	successor string
	crashes   map[uint64]int
	claim     peer.ClaimReply
	// refusal is the reply to all acquire messages, if set.
	refusal *peer.Fault
	// ownersUnreachable makes all acquire messages fail.
	ownersUnreachable bool
	// honorAvoid makes owners grant the first upstream that the request does not avoid.
	honorAvoid bool
	// rateRetry is the result of each request for rate tokens.
	rateRetry clock.Milli
	// refusals are the refusals of individual pools.
	refusals map[peer.PoolID]*peer.Fault
	// dialErr returns the error of each connect to an upstream; nil for none.
	dialErr   func() error
	upstreams []string
	granted   int
	serial    atomic.Uint64
}

func (f *fakes) Call(_ context.Context, _, method string, args, reply any) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	switch a := args.(type) {
	case peer.AcquireArgs:
		f.acquired = append(f.acquired, a)
		if f.ownersUnreachable {
			return errors.New("no answer")
		}
		r := reply.(*peer.AcquireReply)
		if r.Fault = f.refusal; f.refusal != nil {
			return nil
		}
		if r.Fault = f.refusals[a.Pool]; r.Fault != nil {
			return nil
		}
		u := f.upstreams[min(f.granted, len(f.upstreams)-1)]
		f.granted++
		if f.honorAvoid {
			i := slices.IndexFunc(f.upstreams, func(u string) bool { return !slices.Contains(a.Request.Avoid, decide.UpstreamID(u)) })
			if i < 0 {
				r.Fault = &peer.Fault{Kind: fault.Unavailable, Ran: fault.RanNo, Retry: 1000}
				return nil
			}
			u = f.upstreams[i]
		}
		r.Grant = decide.Grant{ID: decide.GrantID(f.serial.Add(1)), Request: a.Request.ID, Upstreams: []decide.UpstreamID{decide.UpstreamID(u)}, Until: 5000, Deadline: a.Left}
		if f.group {
			r.Grant.Upstreams = nil
			for _, u := range f.upstreams {
				r.Grant.Upstreams = append(r.Grant.Upstreams, decide.UpstreamID(u))
			}
		}
		return nil
	case peer.ReturnArgs:
		f.returned = append(f.returned, a)
		return nil
	case peer.WithdrawArgs, peer.RenewArgs:
		return nil
	}
	return errors.New("unexpected " + method)
}

// dial connects unless dialErr returns an error.
func (f *fakes) dial(ctx context.Context, network, address string) (net.Conn, error) {
	if f.dialErr != nil {
		if err := f.dialErr(); err != nil {
			return nil, err
		}
	}
	return (&net.Dialer{Timeout: time.Second}).DialContext(ctx, network, address)
}

func (f *fakes) Owners(peer.PoolID) []peer.Member {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.successor != "" && f.granted > 1 {
		return []peer.Member{{VM: "vm-2", Address: f.successor}}
	}
	return []peer.Member{{VM: "vm-1", Address: "owner"}}
}

func (f *fakes) Summary(id peer.PoolID) (decide.Summary, bool) {
	s, ok := f.summaries[id]
	return s, ok
}

func (f *fakes) Claim(_ context.Context, w decide.WorkspaceID, key, nonce string) (claim.Ticket, peer.ClaimReply) {
	return claim.Ticket{Workspace: w, Key: key, Nonce: nonce}, f.claim
}
func (f *fakes) RecordSuccess(peer.PoolID) {}
func (f *fakes) Allow(peer.PoolID) bool    { return true }

func (f *fakes) RecordSummary(peer.PoolID, decide.Summary) {}

func (f *fakes) Settle(_ context.Context, t claim.Ticket, status int, answer []byte) error {
	return f.recordSettle(peer.SettleArgs{Key: t.Key, Status: status, Answer: answer})
}

func (f *fakes) Release(_ context.Context, t claim.Ticket) error {
	return f.recordSettle(peer.SettleArgs{Key: t.Key, Released: true})
}

func (f *fakes) recordSettle(a peer.SettleArgs) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.settled = append(f.settled, a)
	return nil
}

func (f *fakes) Count(_ decide.WorkspaceID, u peer.Usage) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.usage.Requests += u.Requests
	f.usage.Output += u.Output
}

func (f *fakes) Check(p uint64) gate.Verdict {
	f.mu.Lock()
	defer f.mu.Unlock()
	return gate.Verdict(min(f.crashes[p], 2))
}

func (f *fakes) Begin(p uint64) bool                                { return f.Check(p) != gate.Quarantined }
func (f *fakes) End(uint64, bool)                                   {}
func (f *fakes) Take(decide.WorkspaceID, decide.Tokens) clock.Milli { return f.rateRetry }

func (f *fakes) Refund(_ decide.WorkspaceID, t decide.Tokens) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.refunded += t
}

func (f *fakes) RecordCrash(p uint64, _ decide.UpstreamID, _ decide.Incarnation) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.crashes[p]++
}

type fixedRegistry struct{ index *document.Index }

func (b fixedRegistry) Index() (*document.Index, bool) { return b.index, b.index != nil }

// newHarness starts a gate and one engine for each of the given handlers.
func newHarness(t testing.TB, engines ...http.HandlerFunc) *harness {
	t.Helper()
	var ups []string
	f := &fakes{crashes: map[uint64]int{}, claim: peer.ClaimReply{State: peer.ClaimWon}}
	for i, h := range engines {
		s := httptest.NewServer(h)
		t.Cleanup(s.Close)
		name := fmt.Sprintf("engine-%d", i+1)
		f.upstreams = append(f.upstreams, name)
		ups = append(ups, fmt.Sprintf(`{"name":%q,"model":"drafter","domain":"hall","address":%q,"memory":2000000,"slots":8,"prefill":8000,"decode":50}`, name, strings.TrimPrefix(s.URL, "http://")))
	}
	text := fmt.Sprintf(`{"models":[{"name":"drafter","context":1000000}],"services":[{"name":"sms","kind":"send"}],
		"kinds":[{"name":"draft","urgency":1,"allowed":20000,"output":64,"repeat":true},{"name":"send","urgency":0,"allowed":3000,"output":1,"repeat":false}],
		"workspaces":[{"name":"wards","weight":1,"keys":[%q]},{"name":"desk","weight":1,"keys":[%q],"kinds":["send"]}],
		"upstreams":[%s],"limits":{"body":1048576,"idle":1000}}`, document.HashKey(wardsKey), document.HashKey(deskKey), strings.Join(ups, ","))
	d, ps := document.Parse([]byte(text), "test")
	require.NoError(t, ps.Err())
	b := &harness{t: t, fakes: f, index: document.NewIndex(d)}
	b.gate = New(Dependencies{
		Clock: clock.New(), Log: &log.Logger{Writer: &log.IOWriter{Writer: io.Discard}}, Registry: fixedRegistry{b.index}, Members: f, Peers: f,
		Engines: engine.NewClient(f.dial), Claims: f, Meter: f, Retries: f, Suspects: f, Limits: f,
	}, "vm-1", "hall", 7)
	b.server = httptest.NewServer(b.gate.Handler())
	t.Cleanup(b.server.Close)
	return b
}

// clientResponse is a response as the client received it.
type clientResponse struct {
	status int
	header http.Header
	body   string
}

func (a clientResponse) kind() string { return a.header.Get(headerError) }
func (a clientResponse) ran() string  { return a.header.Get(headerRan) }

func (b *harness) post(path, body string, headers ...string) clientResponse {
	b.t.Helper()
	req, err := http.NewRequest(http.MethodPost, b.server.URL+path, strings.NewReader(body))
	require.NoError(b.t, err)
	req.Header.Set("Authorization", "Bearer "+wardsKey)
	for i := 0; i < len(headers); i += 2 {
		req.Header.Set(headers[i], headers[i+1])
	}
	resp, err := http.DefaultClient.Do(req)
	require.NoError(b.t, err)
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	require.NoError(b.t, err)
	return clientResponse{status: resp.StatusCode, header: resp.Header, body: string(text)}
}

// awaitIdle waits until no request is in progress at the gate.
func (b *harness) awaitIdle() {
	b.t.Helper()
	require.Eventually(b.t, func() bool { return b.gate.InFlight() == 0 }, 5*time.Second, 5*time.Millisecond)
}

const chatBody = `{"model":"drafter","messages":[{"role":"user","content":"boil water"}],"stream":true}`

// writeChunk writes event n of the stream of request r.
func writeChunk(w http.ResponseWriter, r *http.Request, n int, text string) {
	writeChunkAs(w, r.Header.Get(engine.HeaderRequest), n, text, "")
}

func writeChunkAs(w http.ResponseWriter, id string, n int, text, finish string) {
	c := map[string]any{"id": id, "object": "chat.completion.chunk", "model": "drafter", "created": 1}
	x := map[string]any{"index": 0, "delta": map[string]any{"content": text}, "finish_reason": nil}
	if finish != "" {
		x["finish_reason"] = finish
		c["usage"] = map[string]any{"prompt_tokens": 3, "completion_tokens": n}
	}
	c["choices"] = []any{x}
	j, _ := json.Marshal(c)
	fmt.Fprintf(w, "id: %d\ndata: %s\n\n", n, j)
	w.(http.Flusher).Flush()
}

// completeResponse responds with three chunks and the [DONE] event.
func completeResponse(w http.ResponseWriter, r *http.Request) {
	if r.Method != http.MethodPost {
		return
	}
	// Engines read the prompt before they answer. A server that closes a connection with unread data resets it, and the client
	// loses the rest of the response.
	_, _ = io.Copy(io.Discard, r.Body)
	w.Header().Set("Content-Type", "text/event-stream")
	writeChunk(w, r, 0, "boil ")
	writeChunk(w, r, 1, "all ")
	writeChunkAs(w, r.Header.Get(engine.HeaderRequest), 2, "water", "stop")
	fmt.Fprint(w, "data: [DONE]\n\n")
}
