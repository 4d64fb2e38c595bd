package caller

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/openai/openai-go/v3"
	"github.com/openai/openai-go/v3/option"
	"github.com/stretchr/testify/require"

	"snipeshift.example/lib/decide"
	"snipeshift.example/lib/engine"
	"snipeshift.example/lib/peer"
)

func TestStreamAndWholeAnswerByClientLibrary(t *testing.T) {
	b := newBench(t, wholeAnswer)
	c := openai.NewClient(option.WithBaseURL(b.server.URL+"/v1/"), option.WithAPIKey(key))
	p := openai.ChatCompletionNewParams{Model: "drafter", Messages: []openai.ChatCompletionMessageParamUnion{openai.UserMessage("boil water")}}

	got, err := c.Chat.Completions.New(context.Background(), p)
	require.NoError(t, err)
	require.Equal(t, "boil all water", got.Choices[0].Message.Content)
	require.EqualValues(t, 3, got.Usage.PromptTokens)

	s := c.Chat.Completions.NewStreaming(context.Background(), p)
	var text strings.Builder
	for s.Next() {
		text.WriteString(s.Current().Choices[0].Delta.Content)
	}
	require.NoError(t, s.Err())
	require.Equal(t, "boil all water", text.String())

	ms, err := c.Models.List(context.Background())
	require.NoError(t, err)
	require.Equal(t, "drafter", ms.Data[0].ID)
	b.idle()
}

// A caller sends something that cannot be served. It gets a clear 4xx that
// names the kind, nothing reaches an engine, and nothing stays behind.
func TestBadInputRunsNothing(t *testing.T) {
	b := newBench(t, wholeAnswer)
	chat := "/v1/chat/completions"
	for _, c := range []struct {
		name, path, body string
		headers          []string
		status           int
		kind             string
	}{
		{"no body", chat, "", nil, 400, "malformed"},
		{"not JSON", chat, "{", nil, 400, "malformed"},
		{"not an object", chat, "[1]", nil, 400, "malformed"},
		{"not UTF-8", chat, "{\"model\":\"drafter\",\"messages\":[{\"content\":\"\xff\"}]}", nil, 400, "malformed"},
		{"no messages", chat, `{"model":"drafter"}`, nil, 400, "malformed"},
		{"no prompt", "/v1/completions", `{"model":"drafter"}`, nil, 400, "malformed"},
		{"two choices", chat, `{"model":"drafter","n":2,"messages":[{"content":"x"}]}`, nil, 400, "malformed"},
		{"no tokens", chat, `{"model":"drafter","max_tokens":0,"messages":[{"content":"x"}]}`, nil, 400, "malformed"},
		{"too long", chat, `{"model":"drafter","max_tokens":1000000,"messages":[{"content":"x"}]}`, nil, 413, "oversize"},
		{"more tokens than there are numbers", chat, `{"model":"drafter","max_tokens":9223372036854775807,"messages":[{"content":"x"}]}`, nil, 413, "oversize"},
		{"body over the limit", chat, strings.Repeat("x", 2<<20), nil, 413, "large"},
		{"unknown model", chat, `{"model":"nobody","messages":[{"content":"x"}]}`, nil, 404, "unknown"},
		{"unknown kind", chat, ask, []string{headerKind, "nothing"}, 404, "unknown"},
		{"unknown path", "/v2/x", ask, nil, 404, "unknown"},
		{"unknown service", "/services/none/x", "", nil, 404, "unknown"},
		{"negative deadline", chat, ask, []string{headerAllowed, "-5"}, 400, "malformed"},
		{"deadline no number", chat, ask, []string{headerAllowed, "soon"}, 400, "malformed"},
		{"wrong key", chat, ask, []string{"Authorization", "Bearer no"}, 401, "unauthorized"},
		{"no key", chat, ask, []string{"Authorization", ""}, 401, "unauthorized"},
		{"not to be repeated, without key", chat, ask, []string{headerKind, "send"}, 400, "keyless"},
		{"header over the limit", chat, ask, []string{"X-Long", strings.Repeat("h", 40<<10)}, 431, "header"},
		{"idempotency key too long", chat, ask, []string{headerKey, strings.Repeat("k", 300)}, 400, "malformed"},
	} {
		t.Run(c.name, func(t *testing.T) {
			a := b.post(c.path, c.body, c.headers...)
			require.Equal(t, c.status, a.status, a.body)
			require.Equal(t, c.kind, a.kind())
			require.Equal(t, "no", a.ran())
			require.NotEmpty(t, a.header.Get(headerRequest))
		})
	}
	require.Empty(t, b.fakes.acquired)
	b.idle()
}

// A desk may send none but its own kind, which is not the first of the document. Its
// client library lists the models to find out whether the key works; refused
// there, the desk would take a good key for a wrong one.
func TestModelsAreListedToEveryWorkspace(t *testing.T) {
	b := newBench(t, wholeAnswer)
	req, err := http.NewRequest(http.MethodGet, b.server.URL+"/v1/models", http.NoBody)
	require.NoError(t, err)
	req.Header.Set("Authorization", "Bearer "+deskKey)
	resp, err := http.DefaultClient.Do(req)
	require.NoError(t, err)
	defer resp.Body.Close()
	require.Equal(t, http.StatusOK, resp.StatusCode)
	text, err := io.ReadAll(resp.Body)
	require.NoError(t, err)
	require.Contains(t, string(text), `"id":"drafter"`)
}

// The connection to an engine is cut in the middle of an answer. The caller
// must not take the half for a whole: no end mark comes, and the error says so.
func TestTruncatedStreamIsNeverWhole(t *testing.T) {
	b := newBench(t, func(w http.ResponseWriter, r *http.Request) {
		if r.Method == http.MethodPost {
			say(w, r, 0, "boil ")
		}
	})
	a := b.post("/v1/chat/completions", ask)
	require.Equal(t, 200, a.status)
	require.NotContains(t, a.body, "[DONE]")
	require.Contains(t, a.body, `"type":"incomplete"`)
	require.Contains(t, a.body, `"ran":"yes"`)

	a = b.post("/v1/chat/completions", strings.Replace(ask, `"stream":true`, `"stream":false`, 1))
	require.Equal(t, 502, a.status)
	require.Equal(t, "incomplete", a.kind())
	b.idle()
}

// An engine mixes up two connections, loses an event or sends one twice. The
// caller gets no word of another's answer, and each word of its own once.
func TestForeignRepeatedAndMissingChunks(t *testing.T) {
	for name, h := range map[string]http.HandlerFunc{
		"foreign": func(w http.ResponseWriter, _ *http.Request) { sayAs(w, "other.1.2.3", 0, "SECRET", "") },
		"missing": func(w http.ResponseWriter, r *http.Request) { say(w, r, 0, "boil "); say(w, r, 2, "SECRET") },
		"changed": func(w http.ResponseWriter, r *http.Request) { say(w, r, 0, "boil "); say(w, r, 0, "SECRET") },
		"unended": func(w http.ResponseWriter, r *http.Request) { say(w, r, 0, "boil "); fmt.Fprint(w, "data: [DONE]\n\n") },
	} {
		t.Run(name, func(t *testing.T) {
			b := newBench(t, h)
			a := b.post("/v1/chat/completions", ask)
			require.NotContains(t, a.body, "SECRET")
			require.NotContains(t, a.body, "[DONE]")
			require.Contains(t, a.body, `"error"`)
		})
	}
	b := newBench(t, func(w http.ResponseWriter, r *http.Request) {
		say(w, r, 0, "boil ")
		say(w, r, 0, "boil ")
		sayAs(w, r.Header.Get(engine.HeaderRequest), 1, "water", "stop")
		fmt.Fprint(w, "data: [DONE]\n\n")
	})
	a := b.post("/v1/chat/completions", ask)
	require.Equal(t, 1, strings.Count(a.body, "boil"))
	require.Contains(t, a.body, "[DONE]")
}

// An engine breaks off before its first token. A request that may be repeated
// goes to another engine, and its caller notices nothing but the time.
func TestRetryElsewhereBeforeTheFirstToken(t *testing.T) {
	b := newBench(t, func(w http.ResponseWriter, r *http.Request) { hijack(w) }, wholeAnswer)
	a := b.post("/v1/chat/completions", ask)
	require.Contains(t, a.body, "[DONE]")
	require.Equal(t, []decide.UpstreamID{"engine-1"}, b.fakes.acquired[1].Request.Avoid)
}

// An engine breaks off in the middle of an answer that its caller wants in one
// piece, and another engine gives it whole. The part of the first one must not
// stand before it: a ward officer would read the beginning of his notice twice.
func TestRetryOfAWholeAnswerDropsTheFirstPart(t *testing.T) {
	b := newBench(t, func(w http.ResponseWriter, r *http.Request) {
		if r.Method == http.MethodPost {
			say(w, r, 0, "boil ")
			say(w, r, 1, "all ")
		}
	}, wholeAnswer)
	a := b.post("/v1/chat/completions", strings.Replace(ask, `"stream":true`, `"stream":false`, 1))
	require.Equal(t, 200, a.status)
	require.Contains(t, a.body, `"boil all water"`)
	b.idle()
}

// A request that must not be repeated was sent, and then the connection broke.
// Nobody knows whether it ran: it is not sent again, and the caller is not told
// that it did not run.
func TestSentOnceIsNeverRepeated(t *testing.T) {
	var runs atomic.Int32
	b := newBench(t, func(w http.ResponseWriter, r *http.Request) {
		if r.Method == http.MethodPost {
			runs.Add(1)
			hijack(w)
		}
	}, wholeAnswer)
	a := b.post("/v1/chat/completions", ask, headerKind, "send", headerKey, "k1")
	require.Equal(t, "indeterminate", a.kind())
	require.Equal(t, "maybe", a.ran())
	require.Equal(t, "false", a.header.Get(headerAgain))
	require.Empty(t, a.header.Get(headerRetry))
	require.EqualValues(t, 1, runs.Load())
}

// The claim of a request that must not be repeated cannot be proved to stand.
// Then nothing is sent, "not run" is true, and the key is freed again.
func TestNoProvedClaimNoDispatch(t *testing.T) {
	var runs atomic.Int32
	b := newBench(t, func(http.ResponseWriter, *http.Request) { runs.Add(1) })
	b.fakes.claim = peer.ClaimReply{State: peer.ClaimUnknown}
	a := b.post("/v1/chat/completions", ask, headerKind, "send", headerKey, "k1")
	require.Equal(t, 503, a.status)
	require.Equal(t, "no", a.ran())
	require.Equal(t, "unknown", a.header.Get(headerKnown), "an earlier request under the key may have run")
	require.NotEmpty(t, a.header.Get(headerRetry))
	require.Zero(t, runs.Load())
	require.Eventually(t, func() bool {
		b.fakes.mu.Lock()
		defer b.fakes.mu.Unlock()
		return len(b.fakes.settled) == 1 && b.fakes.settled[0].Released && len(b.fakes.returned) == 1 && b.fakes.returned[0].Outcome == decide.Unused
	}, 5*time.Second, 5*time.Millisecond)
}

// VMs lose each other, and copies of one notice reach both sides. One side runs it; on the other no owner answers, so nobody looks its key up. Told
// only that it did not run, its caller would send it anew under another key, and residents get it twice.
func TestARefusalForWantOfOwnersSaysThatTheKeyIsUnknown(t *testing.T) {
	b := newBench(t, wholeAnswer)
	b.fakes.lost = true
	a := b.post("/v1/chat/completions", ask, headerKind, "send", headerKey, "k1")
	require.Equal(t, 504, a.status, "its time is over before owners are given up")
	require.Equal(t, "no", a.ran())
	require.Equal(t, "unknown", a.header.Get(headerKnown))
}

func TestRepeatOfAnAnsweredKeyGetsTheKeptAnswer(t *testing.T) {
	b := newBench(t, wholeAnswer)
	b.fakes.claim = peer.ClaimReply{State: peer.ClaimDone, Status: 200, Answer: []byte(`{"kept":true}`)}
	a := b.post("/v1/chat/completions", ask, headerKind, "send", headerKey, "k1")
	require.Equal(t, 200, a.status)
	require.Equal(t, `{"kept":true}`, a.body)
	b.fakes.claim = peer.ClaimReply{State: peer.ClaimTaken}
	a = b.post("/v1/chat/completions", ask, headerKind, "send", headerKey, "k1")
	require.Equal(t, 409, a.status)
	require.Equal(t, "maybe", a.ran())
}

// A notice was answered as a stream, which is not kept, and its caller sends the
// key again. A success with an empty body would read like a notice without a word.
func TestRepeatOfAStreamedKeyIsNotAnEmptySuccess(t *testing.T) {
	b := newBench(t, wholeAnswer)
	a := b.post("/v1/chat/completions", ask, headerKind, "send", headerKey, "k1")
	require.Contains(t, a.body, "[DONE]")
	b.gate.WaitBackground()
	require.Len(t, b.fakes.settled, 1)
	require.Zero(t, b.fakes.settled[0].Status, "nothing was kept, so nothing may be replayed")

	b.post("/v1/chat/completions", strings.Replace(ask, `"stream":true`, `"stream":false`, 1), headerKind, "send", headerKey, "k2")
	b.gate.WaitBackground()
	require.Equal(t, 200, b.fakes.settled[1].Status)
	require.NotEmpty(t, b.fakes.settled[1].Answer)
}

// An engine freezes: its connection stays open and nothing comes. The request
// ends within its allowed time, and is tried elsewhere while there is time.
func TestSilentEngineIsGivenUp(t *testing.T) {
	release := make(chan struct{})
	b := newBench(t, func(w http.ResponseWriter, r *http.Request) {
		if r.Method == http.MethodPost {
			select {
			case <-release:
			case <-r.Context().Done():
			}
		}
	}, wholeAnswer)
	defer close(release)
	start := time.Now()
	a := b.post("/v1/chat/completions", ask, headerAllowed, "4000")
	require.Contains(t, a.body, "[DONE]")
	require.Less(t, time.Since(start), 4*time.Second)
}

// A request killed two upstreams. It is refused and reaches no third one.
func TestThirdUpstreamIsNeverRisked(t *testing.T) {
	die := func(w http.ResponseWriter, _ *http.Request) { hijack(w) }
	b := newBench(t, die, die, die)
	q := &request{workspace: b.index.Document().Workspaces[0], kind: b.index.Document().Kinds[0], chat: true}
	require.Nil(t, q.parse([]byte(ask), b.index))
	b.fakes.deaths[q.fingerprint] = 2
	a := b.post("/v1/chat/completions", ask)
	require.Equal(t, 422, a.status)
	require.Empty(t, b.fakes.acquired)
}

func hijack(w http.ResponseWriter) {
	c, _, err := http.NewResponseController(w).Hijack()
	if err == nil {
		_ = c.Close()
	}
}
