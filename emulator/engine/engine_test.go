package engine

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"snipeshift.example/emulator/batch"
	"snipeshift.example/emulator/kv"
	"snipeshift.example/lib/clock"
	"snipeshift.example/lib/decide"
	"snipeshift.example/lib/expect"
)

// patience bounds every wait on a condition.
const patience = 10 * time.Second

type client struct {
	t      *testing.T
	url    string
	engine *Engine
}

// start runs an engine that is quick and tells the truth at once, unless change says otherwise.
func start(t *testing.T, change func(*Settings)) client {
	t.Helper()
	s := Defaults()
	s.Prefill, s.Decode = 10_000_000, 2000
	s.ReportDelay, s.EventDelay, s.EventLoss = 0, 0, 0
	if change != nil {
		change(&s)
	}
	e, err := New(s, clock.New())
	require.NoError(t, err)
	srv := httptest.NewServer(e)
	t.Cleanup(func() {
		srv.CloseClientConnections()
		require.NoError(t, e.Close())
		srv.Close()
	})
	return client{t, srv.URL, e}
}

func (c client) send(ctx context.Context, method, path, body string, headers ...string) (*http.Response, error) {
	r, err := http.NewRequestWithContext(ctx, method, c.url+path, strings.NewReader(body))
	require.NoError(c.t, err)
	for i := 0; i < len(headers); i += 2 {
		r.Header.Set(headers[i], headers[i+1])
	}
	return http.DefaultClient.Do(r)
}

// do sends a call with a whole answer and wants a status.
func (c client) do(want int, method, path, body string, headers ...string) string {
	c.t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	defer cancel()
	a, err := c.send(ctx, method, path, body, headers...)
	require.NoError(c.t, err)
	defer a.Body.Close()
	text, err := io.ReadAll(a.Body)
	require.NoError(c.t, err)
	require.Equal(c.t, want, a.StatusCode, string(text))
	return string(text)
}

func (c client) control(fields string) {
	c.t.Helper()
	c.do(200, "POST", "/control", fields)
}

func (c client) ledger() Ledger {
	var l Ledger
	require.NoError(c.t, json.Unmarshal([]byte(c.do(200, "GET", "/ledger", "")), &l))
	return l
}

func (c client) load() Report {
	var r Report
	require.NoError(c.t, json.Unmarshal([]byte(c.do(200, "GET", "/load", "")), &r))
	return r
}

func (c client) eventually(f func() bool) {
	c.t.Helper()
	require.Eventually(c.t, f, patience, time.Millisecond)
}

// chunkOf is what a caller reads of one event.
type chunkOf struct {
	ID      string `json:"id"`
	Choices []struct {
		Delta struct {
			Content string `json:"content"`
		} `json:"delta"`
		Text   string  `json:"text"`
		Finish *string `json:"finish_reason"`
	} `json:"choices"`
	Usage *struct {
		Prompt  int `json:"prompt_tokens"`
		Output  int `json:"completion_tokens"`
		Details struct {
			Cached int `json:"cached_tokens"`
		} `json:"prompt_tokens_details"`
	} `json:"usage"`
}

// answer is one stream as a caller saw it.
type answer struct {
	status int
	text   string
	ids    []string
	seqs   []string
	last   chunkOf
	marked bool
	err    error
}

func chat(prompt string, tokens int) string {
	content, _ := json.Marshal(prompt)
	return fmt.Sprintf(`{"model":"m","stream":true,"max_tokens":%d,"messages":[{"role":"user","content":%s}]}`, tokens, content)
}

func (c client) generate(ctx context.Context, id, prompt string, tokens int, headers ...string) answer {
	a, err := c.send(ctx, "POST", "/v1/chat/completions", chat(prompt, tokens), append(headers, "X-Request-Id", id)...)
	return read(c.t, a, err)
}

func read(t *testing.T, r *http.Response, err error) answer {
	if err != nil {
		return answer{err: err}
	}
	defer r.Body.Close()
	a := answer{status: r.StatusCode}
	lines := bufio.NewScanner(r.Body)
	for lines.Scan() {
		field, value, _ := strings.Cut(lines.Text(), ": ")
		switch {
		case field == "id":
			a.seqs = append(a.seqs, value)
		case value == "[DONE]":
			a.marked = true
		case field == "data":
			a.last = chunkOf{}
			require.NoError(t, json.Unmarshal([]byte(value), &a.last), value)
			a.ids = append(a.ids, a.last.ID)
			a.text += a.last.Choices[0].Delta.Content + a.last.Choices[0].Text
		}
	}
	a.err = lines.Err()
	return a
}

func TestStreamIsWholeAndItsOwn(t *testing.T) {
	c := start(t, nil)
	a := c.generate(t.Context(), "r1", "ward 7", 5, "X-Priority", "2", "X-Grant", "9", "Idempotency-Key", "k")
	require.NoError(t, a.err)
	require.NoError(t, expect.Check("ward 7", a.text, 5))
	require.True(t, a.marked)
	require.Equal(t, []string{"0", "1", "2", "3", "4", "5"}, a.seqs)
	require.Equal(t, []string{"r1", "r1", "r1", "r1", "r1", "r1"}, a.ids)
	require.Equal(t, 2, a.last.Usage.Prompt)
	require.Equal(t, 5, a.last.Usage.Output)
	l := c.ledger()
	require.Len(t, l.Requests, 1)
	q := l.Requests[0]
	require.Equal(t, []any{"k", "9", 2, "ward 7", batch.Done}, []any{q.Key, q.Grant, q.Priority, q.Text, q.Outcome})
	require.GreaterOrEqual(t, q.Finished, q.FirstToken)
	require.Zero(t, c.load().Used)
}

func TestCompletionsJoinPrompts(t *testing.T) {
	c := start(t, nil)
	a, err := c.send(t.Context(), "POST", "/v1/completions", `{"model":"m","stream":true,"prompt":["a","b"]}`, "X-Request-Id", "r1")
	got := read(t, a, err)
	require.NoError(t, got.err)
	require.NoError(t, expect.Check("a\nb", got.text, expect.DefaultTokens))
}

func TestMalformedRequestsRunNothing(t *testing.T) {
	c := start(t, func(s *Settings) { s.Model = "m"; s.Memory = 1000 })
	id := []string{"X-Request-Id", "r"}
	c.do(400, "POST", "/v1/completions", `{`, id...)
	c.do(400, "POST", "/v1/completions", `{"model":"m","prompt":"a"}`, id...)
	c.do(400, "POST", "/v1/completions", `{"model":"m","stream":true}`, id...)
	c.do(400, "POST", "/v1/completions", `{"model":"m","stream":true,"prompt":"a"}`)
	c.do(400, "POST", "/v1/completions", `{"model":"m","stream":true,"prompt":"a"}`, "X-Request-Id", "r", "X-Reserve", "-1")
	c.do(404, "POST", "/v1/completions", `{"model":"other","stream":true,"prompt":"a"}`, id...)
	c.do(413, "POST", "/v1/completions", `{"model":"m","stream":true,"prompt":"a","max_tokens":1000}`, id...)
	require.Empty(t, c.ledger().Requests)
}

func TestUrgentGoesBeforeWaiting(t *testing.T) {
	c := start(t, func(s *Settings) { s.Slots = 1 })
	c.control(`{"slow":1000}`)
	for i, p := range []string{"0", "3", "3", "1"} {
		go c.generate(t.Context(), fmt.Sprint("r", i), "p", 2, "X-Priority", p)
		c.eventually(func() bool { return len(c.ledger().Requests) == i+1 })
	}
	require.Equal(t, 3, c.load().Queued)
	c.control(`{"slow":1}`)
	c.eventually(func() bool {
		l := c.ledger().Requests
		return l[2].Outcome == batch.Done
	})
	l := c.ledger().Requests
	require.LessOrEqual(t, l[3].Finished, l[1].Started)
	require.LessOrEqual(t, l[1].Finished, l[2].Started)
}

func TestPrefixIsCachedUntilMemoryIsNeeded(t *testing.T) {
	c := start(t, func(s *Settings) { s.Memory = 10_000 })
	prompt := strings.Repeat("abcd", 4200)
	c.generate(t.Context(), "r1", prompt, 1)
	a := c.generate(t.Context(), "r2", prompt+"tail", 1)
	require.Equal(t, 4096, a.last.Usage.Details.Cached)
	c.do(201, "POST", "/v1/kv", `{"request":"g","tokens":9000}`)
	c.do(507, "POST", "/v1/kv", `{"request":"h","tokens":2000}`)
	var events []Event
	require.NoError(t, json.Unmarshal([]byte(c.do(200, "GET", "/events?after=0", "")), &events))
	require.Len(t, events, 6)
	require.False(t, events[2].Evicted)
	require.True(t, events[3].Evicted)
	require.Equal(t, kv.LevelsOf(prompt)[2].Hash, events[3].Prefix, "the longest level leaves first")
	c.do(204, "DELETE", "/v1/requests/g", "")
	c.do(404, "DELETE", "/v1/requests/g", "")
	require.Zero(t, c.load().Used)
}

func TestResumeContinuesAfterTheLastEvent(t *testing.T) {
	c := start(t, nil)
	c.control(`{"truncate":3}`)
	a := c.generate(t.Context(), "r1", "ward 7", 8)
	require.Error(t, a.err)
	require.False(t, a.marked)
	require.Equal(t, []string{"0", "1", "2"}, a.seqs)
	c.control(`{"truncate":0}`)
	r, err := c.send(t.Context(), "GET", "/v1/requests/r1/stream", "", "Last-Event-ID", "2")
	b := read(t, r, err)
	require.NoError(t, b.err)
	require.True(t, b.marked)
	require.Equal(t, "3", b.seqs[0])
	require.NoError(t, expect.Check("ward 7", a.text+b.text, 8))
	c.do(404, "GET", "/v1/requests/none/stream", "")
}

// The caller's side of a stream goes away and never comes back. The engine
// runs on for a while, so that the stream can be resumed, then frees the memory.
func TestOrphanIsCanceledAfterItsTime(t *testing.T) {
	c := start(t, func(s *Settings) { s.OrphanTimeout = 100; s.Decode = 1 })
	ctx, cancel := context.WithCancel(t.Context())
	go c.generate(ctx, "r1", "ward 7", 1000)
	c.eventually(func() bool { return c.load().Used > 0 })
	cancel()
	c.eventually(func() bool { return c.load().Used == 0 })
	require.Equal(t, batch.Canceled, c.ledger().Requests[0].Outcome)
}

// An engine that never forgets a request by itself keeps its memory after its
// reader died, until somebody deletes the request; a lost DELETE changes nothing.
func TestMemoryIsHeldUntilDeleted(t *testing.T) {
	c := start(t, func(s *Settings) { s.OrphanTimeout = -1; s.Retention = 1 })
	ctx, cancel := context.WithCancel(t.Context())
	c.control(`{"stall":true}`)
	go c.generate(ctx, "r1", "ward 7", 2000)
	c.eventually(func() bool { return c.load().Used > 0 })
	cancel()
	c.eventually(func() bool { return len(c.ledger().Orphans) == 1 })
	c.control(`{"lose":1}`)
	_, err := c.send(t.Context(), "DELETE", "/v1/requests/r1", "")
	require.Error(t, err)
	require.NotZero(t, c.load().Used)
	c.do(204, "DELETE", "/v1/requests/r1", "")
	require.Zero(t, c.load().Used)
	c.eventually(func() bool {
		a, err := c.send(t.Context(), "DELETE", "/v1/requests/r1", "")
		require.NoError(t, err)
		a.Body.Close()
		return a.StatusCode == 404
	})
}

func TestCancelEndsTheStreamAndIsIdempotent(t *testing.T) {
	c := start(t, func(s *Settings) { s.Decode = 1 })
	got := make(chan answer)
	go func() { got <- c.generate(t.Context(), "r1", "ward 7", 1000) }()
	c.eventually(func() bool { return c.load().Used > 0 })
	c.do(204, "DELETE", "/v1/requests/r1", "")
	c.do(204, "DELETE", "/v1/requests/r1", "")
	a := <-got
	require.Error(t, a.err)
	require.False(t, a.marked)
	require.Zero(t, c.load().Used)
	require.Equal(t, batch.Canceled, c.ledger().Requests[0].Outcome)
}

func TestExportHoldsMemoryUntilDeleted(t *testing.T) {
	c := start(t, nil)
	c.do(201, "POST", "/v1/kv", `{"request":"r1","tokens":500}`)
	var x transfer
	require.NoError(t, json.Unmarshal([]byte(c.do(201, "POST", "/v1/kv/r1/export", "")), &x))
	c.do(204, "DELETE", "/v1/requests/r1", "")
	require.Equal(t, []kv.Export{{Handle: x.Handle, Request: "r1", Tokens: 500}}, c.load().Exports)
	d := start(t, nil)
	d.do(201, "POST", "/v1/kv/import", fmt.Sprintf(`{"handle":%q,"request":"r1"}`, x.Handle))
	a := d.generate(t.Context(), "r1", strings.Repeat("abcd", 600), 1)
	require.Equal(t, 500, a.last.Usage.Details.Cached)
	require.Zero(t, d.load().Used)
	c.do(204, "DELETE", "/v1/kv/"+string(x.Handle), "")
	c.do(404, "DELETE", "/v1/kv/"+string(x.Handle), "")
	require.Zero(t, c.load().Used)
}

// Two holders of the same duty give orders, the earlier one after a pause. An
// engine that checks refuses the old number; one that ignores it obeys.
func TestOldOrders(t *testing.T) {
	for _, fenced := range []bool{true, false} {
		c := start(t, func(s *Settings) { s.CheckFence = fenced })
		c.do(204, "POST", "/orders", `{"fence":2,"order":"role","value":"long"}`)
		if fenced {
			c.do(409, "POST", "/orders", `{"fence":1,"order":"role","value":"short"}`)
			require.Equal(t, "long", c.load().Role)
		} else {
			c.do(204, "POST", "/orders", `{"fence":1,"order":"role","value":"short"}`)
			require.Equal(t, "short", c.load().Role)
		}
		require.True(t, c.ledger().Orders[1].Stale)
		c.do(400, "POST", "/orders", `{"fence":3,"order":"dance"}`)
	}
}

// Chunks of another request arrive on a stream, or each chunk twice; whoever
// passes them on unchecked hands a caller someone else's answer or a garbled one.
func TestCrossedAndDuplicatedEvents(t *testing.T) {
	c := start(t, nil)
	c.control(`{"cross":true,"match":"seven"}`)
	a := c.generate(t.Context(), "r1", "ward seven", 2)
	require.Equal(t, "other-r1", a.ids[0])
	require.Error(t, expect.Check("ward seven", a.text, 2))
	b := c.generate(t.Context(), "r2", "ward eight", 2)
	require.NoError(t, expect.Check("ward eight", b.text, 2))
	c.control(`{"cross":false,"duplicate":1}`)
	a = c.generate(t.Context(), "r3", "ward seven", 2)
	require.Equal(t, []string{"0", "0", "1", "1", "2", "2"}, a.seqs)
	c.control(`{"cross":true,"duplicate":0,"from":1}`)
	a = c.generate(t.Context(), "r4", "ward seven", 2)
	require.Equal(t, "r4", a.ids[0])
	require.NotEqual(t, "r4", a.ids[1])
}

func TestStalledStreamGoesOnWhenReleased(t *testing.T) {
	c := start(t, nil)
	c.control(`{"stall":true,"late":1}`)
	got := make(chan answer)
	go func() { got <- c.generate(t.Context(), "r1", "ward 7", 4) }()
	c.eventually(func() bool {
		l := c.ledger().Requests
		return len(l) == 1 && l[0].Outcome == batch.Done
	})
	select {
	case <-got:
		require.Fail(t, "a stalled stream ended")
	default:
	}
	c.control(`{"stall":false}`)
	require.NoError(t, expect.Check("ward 7", (<-got).text, 4))
}

// An answer is cut and the connection closed as if it were whole: only the
// missing end mark tells.
func TestCleanTruncationLacksOnlyTheMark(t *testing.T) {
	c := start(t, nil)
	c.control(`{"truncate":2,"clean":true}`)
	a := c.generate(t.Context(), "r1", "ward 7", 4)
	require.NoError(t, a.err)
	require.False(t, a.marked)
	require.Len(t, a.seqs, 2)
}

// One request kills each engine that starts to run it; those queued do no harm yet.
func TestCrashTextEndsTheProcess(t *testing.T) {
	c := start(t, nil)
	died := make(chan int, 1)
	c.engine.exit = func(status int) { died <- status }
	c.control(`{"crash":"poison"}`)
	a := c.generate(t.Context(), "r1", "ward 7", 1)
	require.NoError(t, a.err)
	require.Empty(t, died)
	go c.generate(t.Context(), "r2", "some poison", 1)
	require.Equal(t, crashStatus, <-died)
}

// The engine takes a request and runs it, and its connection breaks before any
// answer: whoever sent it must not say that it did not run.
func TestLostAnswerStillRuns(t *testing.T) {
	c := start(t, nil)
	c.control(`{"die":1}`)
	require.Error(t, c.generate(t.Context(), "r1", "p", 1).err)
	c.eventually(func() bool { return c.ledger().Requests[0].Outcome == batch.Done })
	require.NoError(t, c.generate(t.Context(), "r2", "p", 1).err)
}

func TestRefusedRequestDoesNotRun(t *testing.T) {
	c := start(t, nil)
	c.control(`{"refuse":true}`)
	require.Equal(t, 503, c.generate(t.Context(), "r1", "p", 1).status)
	require.Empty(t, c.ledger().Requests)
}

func TestMuteEngineAnswersNothing(t *testing.T) {
	c := start(t, nil)
	c.control(`{"mute":true}`)
	got := make(chan string)
	go func() { got <- c.do(200, "GET", "/health", "") }()
	select {
	case <-got:
		require.Fail(t, "a mute engine answered")
	case <-time.After(50 * time.Millisecond):
	}
	c.control(`{"mute":false}`)
	<-got
}

func TestDrainTakesWorkForTheNoticeThenWaits(t *testing.T) {
	c := start(t, func(s *Settings) { s.NoticePeriod = 1; s.Decode = 500 })
	got := make(chan answer)
	go func() { got <- c.generate(t.Context(), "r1", "ward 7", 100) }()
	c.eventually(func() bool { return c.load().Used > 0 })
	c.engine.Drain()
	require.NoError(t, expect.Check("ward 7", (<-got).text, 100))
	require.True(t, c.load().Leaving)
	require.Equal(t, 503, c.generate(t.Context(), "r2", "p", 1).status)
}

func TestLoadReportLags(t *testing.T) {
	c := start(t, func(s *Settings) { s.ReportDelay = 100_000 })
	c.do(201, "POST", "/v1/kv", `{"request":"g","tokens":9000}`)
	require.Zero(t, c.load().Used)
	d := start(t, func(s *Settings) { s.ReportDelay = 30 })
	d.do(201, "POST", "/v1/kv", `{"request":"g","tokens":9000}`)
	d.eventually(func() bool { return d.load().Used == 9000 })
}

func TestLostEventsLeaveGaps(t *testing.T) {
	e := &Engine{settings: Settings{EventLoss: 0.5}, clock: clock.New()}
	e.events.random = newRandom(7)
	for i := range 100 {
		e.cacheChanged(decide.PrefixHash(i), false)
	}
	seen := e.after(0)
	require.Less(t, len(seen), 80)
	require.Greater(t, len(seen), 20)
	e.settings.EventDelay = 100_000
	require.Empty(t, e.after(0))
}

// A long prompt spans engines: each holds its part, and the leader needs only its own.
func TestGroupLeaderHoldsItsPart(t *testing.T) {
	c := start(t, func(s *Settings) { s.Memory = 1000 })
	prompt := strings.Repeat("abcd", 1500)
	require.Equal(t, 413, c.generate(t.Context(), "r1", prompt, 1).status)
	a := c.generate(t.Context(), "r1", prompt, 1, "X-Group", "e1,e2", "X-Reserve", "800")
	require.NoError(t, expect.Check(prompt, a.text, 1))
	require.Equal(t, decide.Tokens(800), c.ledger().Requests[0].Reserved)
}
