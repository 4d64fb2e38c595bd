package caller

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/openai/openai-go/v3"
	"github.com/openai/openai-go/v3/option"
	"github.com/stretchr/testify/require"

	"snipeshift.example/lib/engine"
)

// scriptedChunks responds with chunks that contain the given JSON members and the ID of the
// request.
func scriptedChunks(chunks ...string) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		for i, c := range chunks {
			fmt.Fprintf(w, "id: %d\ndata: {\"id\":%q,\"created\":1,\"model\":\"drafter\",%s}\n\n", i, r.Header.Get(engine.HeaderRequest), c)
		}
		fmt.Fprint(w, "data: [DONE]\n\n")
	}
}

// A client asks for a non-streaming response with log probabilities or tools. The collected
// response must have every field of the stream: without its refusal, for example, a response would
// look empty.
func TestNonStreamingResponseKeepsEveryField(t *testing.T) {
	b := newHarness(t, scriptedChunks(
		`"system_fingerprint":"fp","choices":[{"index":0,"delta":{"role":"assistant","content":"boil "},"logprobs":{"content":[{"token":"boil","logprob":-1}]}}]`,
		`"choices":[{"index":0,"delta":{"content":"water"},"logprobs":{"content":[{"token":"water","logprob":-2}]},"finish_reason":"stop"}]`,
		`"service_tier":"flex","choices":[],"usage":{"prompt_tokens":3,"completion_tokens":2}`,
	))
	got := b.completeChat()
	require.Contains(t, got.RawJSON(), `"system_fingerprint":"fp"`)
	require.EqualValues(t, "flex", got.ServiceTier)
	require.Len(t, got.Choices[0].Logprobs.Content, 2)
	require.Equal(t, "boil water", got.Choices[0].Message.Content)

	b = newHarness(t, scriptedChunks(`"choices":[{"index":0,"delta":{"refusal":"I can"}}]`, `"choices":[{"index":0,"delta":{"refusal":"not"},"finish_reason":"stop"}]`))
	got = b.completeChat()
	require.Equal(t, "I cannot", got.Choices[0].Message.Refusal)
	require.Empty(t, got.Choices[0].Message.Content)

	b = newHarness(t, scriptedChunks(
		`"choices":[{"index":0,"delta":{"tool_calls":[{"index":0,"id":"a","type":"function","function":{"name":"lift","arguments":"{\"x\":"}},{"index":1,"id":"b","type":"function","function":{"name":"warn","arguments":"{}"}}]}}]`,
		`"choices":[{"index":0,"delta":{"tool_calls":[{"index":0,"function":{"arguments":"1}"}}]},"finish_reason":"tool_calls"}]`,
	))
	got = b.completeChat()
	require.Len(t, got.Choices[0].Message.ToolCalls, 2)
	require.Equal(t, `{"x":1}`, got.Choices[0].Message.ToolCalls[0].Function.Arguments)
	require.Equal(t, "warn", got.Choices[0].Message.ToolCalls[1].Function.Name)
	require.Contains(t, got.RawJSON(), `"content":null`)
}

func (b *harness) completeChat() *openai.ChatCompletion {
	b.t.Helper()
	c := openai.NewClient(option.WithBaseURL(b.server.URL+"/v1/"), option.WithAPIKey(wardsKey), option.WithMaxRetries(0))
	got, err := c.Chat.Completions.New(context.Background(), openai.ChatCompletionNewParams{Model: "drafter", Messages: []openai.ChatCompletionMessageParamUnion{openai.UserMessage("boil water")}})
	require.NoError(b.t, err)
	return got
}

// brokenWriter is a response writer whose client has disconnected.
type brokenWriter struct{ *httptest.ResponseRecorder }

func (brokenWriter) Write([]byte) (int, error) { return 0, io.ErrClosedPipe }

// The connection of a client breaks just when its response is complete, and the client repeats the
// key. The client must get the response. Otherwise its repeats would be refused for a day because
// the key is in use.
func TestResponseIsStoredAfterCallerDisconnects(t *testing.T) {
	b := newHarness(t, completeResponse)
	r := httptest.NewRequest(http.MethodPost, "/v1/chat/completions", strings.NewReader(strings.Replace(chatBody, `"stream":true`, `"stream":false`, 1)))
	r.Header.Set("Authorization", "Bearer "+wardsKey)
	r.Header.Set(headerKind, "send")
	r.Header.Set(headerIdempotencyKey, "k1")
	b.gate.Handler().ServeHTTP(brokenWriter{httptest.NewRecorder()}, r)
	b.gate.WaitBackground()
	require.Len(t, b.fakes.settled, 1)
	require.Equal(t, http.StatusOK, b.fakes.settled[0].Status)
	require.Contains(t, string(b.fakes.settled[0].Answer), "boil all water")
}
