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

func TestClientLibraryStreamingAndNonStreaming(t *testing.T) {
	b := newHarness(t, completeResponse)
	c := openai.NewClient(option.WithBaseURL(b.server.URL+"/v1/"), option.WithAPIKey(wardsKey))
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
	b.awaitIdle()
}

// A client sends a request that cannot be served. The response is a 4xx that names the error kind,
// no grant is acquired, and no state is left behind.
func TestInvalidRequestIsNotDispatched(t *testing.T) {
	b := newHarness(t, completeResponse)
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
		{"token limit would overflow", chat, `{"model":"drafter","max_tokens":9223372036854775807,"messages":[{"content":"x"}]}`, nil, 413, "oversize"},
		{"body over the limit", chat, strings.Repeat("x", 2<<20), nil, 413, "large"},
		{"unknown model", chat, `{"model":"nobody","messages":[{"content":"x"}]}`, nil, 404, "unknown"},
		{"unknown kind", chat, chatBody, []string{headerKind, "nothing"}, 404, "unknown"},
		{"unknown path", "/v2/x", chatBody, nil, 404, "unknown"},
		{"unknown service", "/services/none/x", "", nil, 404, "unknown"},
		{"negative deadline", chat, chatBody, []string{headerDeadline, "-5"}, 400, "malformed"},
		{"deadline not a number", chat, chatBody, []string{headerDeadline, "soon"}, 400, "malformed"},
		{"wrong API key", chat, chatBody, []string{"Authorization", "Bearer no"}, 401, "unauthorized"},
		{"no API key", chat, chatBody, []string{"Authorization", ""}, 401, "unauthorized"},
		{"non-repeatable without idempotency key", chat, chatBody, []string{headerKind, "send"}, 400, "keyless"},
		{"header over the limit", chat, chatBody, []string{"X-Long", strings.Repeat("h", 40<<10)}, 431, "header"},
		{"idempotency key too long", chat, chatBody, []string{headerIdempotencyKey, strings.Repeat("k", 300)}, 400, "malformed"},
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
	b.awaitIdle()
}

// A workspace may send only a kind that is not the first of the configuration. Its client
// library lists the models to check the API key. If the list were refused, the library would report
// a valid key as invalid.
func TestModelsAreListedForEveryWorkspace(t *testing.T) {
	b := newHarness(t, completeResponse)
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

// The connection to an engine is cut in the middle of a response. The client must not take the
// partial response for a complete one: no [DONE] event follows, and an error is sent.
func TestTruncatedStreamIsReportedIncomplete(t *testing.T) {
	b := newHarness(t, func(w http.ResponseWriter, r *http.Request) {
		if r.Method == http.MethodPost {
			writeChunk(w, r, 0, "boil ")
		}
	})
	a := b.post("/v1/chat/completions", chatBody)
	require.Equal(t, 200, a.status)
	require.NotContains(t, a.body, "[DONE]")
	require.Contains(t, a.body, `"type":"incomplete"`)
	require.Contains(t, a.body, `"ran":"yes"`)

	a = b.post("/v1/chat/completions", strings.Replace(chatBody, `"stream":true`, `"stream":false`, 1))
	require.Equal(t, 502, a.status)
	require.Equal(t, "incomplete", a.kind())
	b.awaitIdle()
}

// An engine mixes up two connections, loses an event, or sends one twice. The client must not get
// chunks of another response, and must get each of its own chunks once.
func TestMisroutedDuplicatedAndMissingChunks(t *testing.T) {
	for name, h := range map[string]http.HandlerFunc{
		"misrouted": func(w http.ResponseWriter, _ *http.Request) { writeChunkAs(w, "other.1.2.3", 0, "SECRET", "") },
		"missing": func(w http.ResponseWriter, r *http.Request) {
			writeChunk(w, r, 0, "boil ")
			writeChunk(w, r, 2, "SECRET")
		},
		"duplicate with other data": func(w http.ResponseWriter, r *http.Request) {
			writeChunk(w, r, 0, "boil ")
			writeChunk(w, r, 0, "SECRET")
		},
		"no finish reason": func(w http.ResponseWriter, r *http.Request) {
			writeChunk(w, r, 0, "boil ")
			fmt.Fprint(w, "data: [DONE]\n\n")
		},
	} {
		t.Run(name, func(t *testing.T) {
			b := newHarness(t, h)
			a := b.post("/v1/chat/completions", chatBody)
			require.NotContains(t, a.body, "SECRET")
			require.NotContains(t, a.body, "[DONE]")
			require.Contains(t, a.body, `"error"`)
		})
	}
	b := newHarness(t, func(w http.ResponseWriter, r *http.Request) {
		writeChunk(w, r, 0, "boil ")
		writeChunk(w, r, 0, "boil ")
		writeChunkAs(w, r.Header.Get(engine.HeaderRequest), 1, "water", "stop")
		fmt.Fprint(w, "data: [DONE]\n\n")
	})
	a := b.post("/v1/chat/completions", chatBody)
	require.Equal(t, 1, strings.Count(a.body, "boil"))
	require.Contains(t, a.body, "[DONE]")
}

// An engine closes the connection before the first token. A repeatable request is sent to another
// engine, and the client gets a complete response.
func TestRetryOnOtherEngineBeforeFirstToken(t *testing.T) {
	b := newHarness(t, func(w http.ResponseWriter, r *http.Request) { cutConnection(w) }, completeResponse)
	a := b.post("/v1/chat/completions", chatBody)
	require.Contains(t, a.body, "[DONE]")
	require.Equal(t, []decide.UpstreamID{"engine-1"}, b.fakes.acquired[1].Request.Avoid)
}

// An engine closes the connection in the middle of a non-streaming response, and another engine
// returns a complete one. The part from the first engine must be discarded, or the client would
// read the beginning twice.
func TestRetryDiscardsPartialResponse(t *testing.T) {
	b := newHarness(t, func(w http.ResponseWriter, r *http.Request) {
		if r.Method == http.MethodPost {
			writeChunk(w, r, 0, "boil ")
			writeChunk(w, r, 1, "all ")
		}
	}, completeResponse)
	a := b.post("/v1/chat/completions", strings.Replace(chatBody, `"stream":true`, `"stream":false`, 1))
	require.Equal(t, 200, a.status)
	require.Contains(t, a.body, `"boil all water"`)
	b.awaitIdle()
}

// The connection breaks after a non-repeatable request was sent, so it is unknown whether the
// request ran. It must not be sent again, and the client must not be told that it did not run.
func TestNonRepeatableRequestIsSentOnce(t *testing.T) {
	var runs atomic.Int32
	b := newHarness(t, func(w http.ResponseWriter, r *http.Request) {
		if r.Method == http.MethodPost {
			runs.Add(1)
			cutConnection(w)
		}
	}, completeResponse)
	a := b.post("/v1/chat/completions", chatBody, headerKind, "send", headerIdempotencyKey, "k1")
	require.Equal(t, "indeterminate", a.kind())
	require.Equal(t, "maybe", a.ran())
	require.Equal(t, "false", a.header.Get(headerShouldRetry))
	require.Empty(t, a.header.Get(headerRetryAfter))
	require.EqualValues(t, 1, runs.Load())
}

// The claim of a non-repeatable request cannot be confirmed. The request must not be sent, is
// reported as not run, and its key is released.
func TestUnconfirmedClaimPreventsDispatch(t *testing.T) {
	var runs atomic.Int32
	b := newHarness(t, func(http.ResponseWriter, *http.Request) { runs.Add(1) })
	b.fakes.claim = peer.ClaimReply{State: peer.ClaimUnknown}
	a := b.post("/v1/chat/completions", chatBody, headerKind, "send", headerIdempotencyKey, "k1")
	require.Equal(t, 503, a.status)
	require.Equal(t, "no", a.ran())
	require.Equal(t, "unknown", a.header.Get(headerKeyState), "an earlier request under the key may have run")
	require.NotEmpty(t, a.header.Get(headerRetryAfter))
	require.Zero(t, runs.Load())
	require.Eventually(t, func() bool {
		b.fakes.mu.Lock()
		defer b.fakes.mu.Unlock()
		return len(b.fakes.settled) == 1 && b.fakes.settled[0].Released && len(b.fakes.returned) == 1 && b.fakes.returned[0].Outcome == decide.Unused
	}, 5*time.Second, 5*time.Millisecond)
}

// A network partition separates the VMs, and copies of one non-repeatable request, which sends a text
// message, reach both sides. One side runs the request; on the other no owner responds, so the key
// cannot be looked up. If the refusal only reported that the request did not run, the client would
// send it under a new key, and the recipients would get the message twice.
func TestRefusalWithoutOwnerReportsKeyUnknown(t *testing.T) {
	b := newHarness(t, completeResponse)
	b.fakes.ownersUnreachable = true
	a := b.post("/v1/chat/completions", chatBody, headerKind, "send", headerIdempotencyKey, "k1")
	require.Equal(t, 504, a.status, "the deadline passes before the search for an owner ends")
	require.Equal(t, "no", a.ran())
	require.Equal(t, "unknown", a.header.Get(headerKeyState))
}

func TestRepeatedKeyGetsStoredResponse(t *testing.T) {
	b := newHarness(t, completeResponse)
	b.fakes.claim = peer.ClaimReply{State: peer.ClaimDone, Status: 200, Answer: []byte(`{"kept":true}`)}
	a := b.post("/v1/chat/completions", chatBody, headerKind, "send", headerIdempotencyKey, "k1")
	require.Equal(t, 200, a.status)
	require.Equal(t, `{"kept":true}`, a.body)
	b.fakes.claim = peer.ClaimReply{State: peer.ClaimTaken}
	a = b.post("/v1/chat/completions", chatBody, headerKind, "send", headerIdempotencyKey, "k1")
	require.Equal(t, 409, a.status)
	require.Equal(t, "maybe", a.ran())
}

// A non-repeatable request was answered as a stream, which is not stored, and its client repeats the
// key. The client would take a success with an empty body for an empty text.
func TestRepeatedKeyOfStreamIsNotEmptySuccess(t *testing.T) {
	b := newHarness(t, completeResponse)
	a := b.post("/v1/chat/completions", chatBody, headerKind, "send", headerIdempotencyKey, "k1")
	require.Contains(t, a.body, "[DONE]")
	b.gate.WaitBackground()
	require.Len(t, b.fakes.settled, 1)
	require.Zero(t, b.fakes.settled[0].Status, "no response was stored, so none may be replayed")

	b.post("/v1/chat/completions", strings.Replace(chatBody, `"stream":true`, `"stream":false`, 1), headerKind, "send", headerIdempotencyKey, "k2")
	b.gate.WaitBackground()
	require.Equal(t, 200, b.fakes.settled[1].Status)
	require.NotEmpty(t, b.fakes.settled[1].Answer)
}

// An engine freezes: its connection stays open and sends nothing. The request must be retried on
// another engine and end within its permitted time.
func TestUnresponsiveEngineTimesOut(t *testing.T) {
	release := make(chan struct{})
	b := newHarness(t, func(w http.ResponseWriter, r *http.Request) {
		if r.Method == http.MethodPost {
			select {
			case <-release:
			case <-r.Context().Done():
			}
		}
	}, completeResponse)
	defer close(release)
	start := time.Now()
	a := b.post("/v1/chat/completions", chatBody, headerDeadline, "4000")
	require.Contains(t, a.body, "[DONE]")
	require.Less(t, time.Since(start), 4*time.Second)
}

// A request has crashed two upstreams. It must be refused before it reaches a third.
func TestPoisonRequestIsRefused(t *testing.T) {
	die := func(w http.ResponseWriter, _ *http.Request) { cutConnection(w) }
	b := newHarness(t, die, die, die)
	q := &request{workspace: b.index.Document().Workspaces[0], kind: b.index.Document().Kinds[0], chat: true}
	require.Nil(t, q.parse([]byte(chatBody), b.index))
	b.fakes.crashes[q.fingerprint] = 2
	a := b.post("/v1/chat/completions", chatBody)
	require.Equal(t, 422, a.status)
	require.Empty(t, b.fakes.acquired)
}

func cutConnection(w http.ResponseWriter) {
	c, _, err := http.NewResponseController(w).Hijack()
	if err == nil {
		_ = c.Close()
	}
}
