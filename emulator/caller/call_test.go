package caller

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"snipeshift.example/emulator/service"
	"snipeshift.example/lib/expect"
)

// send sends a request to a server that responds to all requests with status 200 and text.
func send(t *testing.T, q Request, text string) Result {
	t.Helper()
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = fmt.Fprint(w, text)
	}))
	defer srv.Close()
	q.Address = strings.TrimPrefix(srv.URL, "http://")
	q.Path, q.Prompt, q.OutputTokens = "/", "p", 2
	q.Body = []byte("{}")
	c := New()
	defer c.Close()
	return c.Do(t.Context(), q, time.Now())
}

func TestCompletionsAreChecked(t *testing.T) {
	expected := expect.SeedOf("p").Answer(2)
	answer := `{"id":"x","choices":[{"message":{"content":%q}}],"usage":{"completion_tokens":%d}}`
	require.Equal(t, Finished, send(t, Request{}, fmt.Sprintf(answer, expected, 2)).Outcome)
	require.Equal(t, Wrong, send(t, Request{}, fmt.Sprintf(answer, expected, 3)).Outcome)
	require.Equal(t, Wrong, send(t, Request{}, fmt.Sprintf(answer, expected[:4], 2)).Outcome)
	require.Equal(t, Wrong, send(t, Request{}, `{"id":"x"}`).Outcome)
}

// A stream that ends early must not count as finished. It has to end with an error event, or at
// least without an end marker.
func TestStreamsAreChecked(t *testing.T) {
	s := expect.SeedOf("p")
	event := func(id string, i int) string {
		return fmt.Sprintf("data: {\"id\":%q,\"choices\":[{\"delta\":{\"content\":%q}}]}\n\n", id, s.Token(i))
	}
	fault := "data: {\"error\":{\"type\":\"incomplete\",\"ran\":%q}}\n\n"
	done := "data: [DONE]\n\n"
	for text, want := range map[string]Outcome{
		event("x", 0) + event("x", 1) + done:               Finished,
		event("x", 0) + done:                               Wrong,
		event("x", 1) + event("x", 0) + done:               Wrong,
		event("x", 0) + event("y", 1) + done:               Wrong,
		event("x", 0):                                      Broken,
		event("x", 1):                                      Wrong,
		event("x", 0) + fmt.Sprintf(fault, "yes"):          Failed,
		event("x", 0) + fmt.Sprintf(fault, "maybe") + done: Failed,
		fmt.Sprintf(fault, "no"):                           Refused,
		event("x", 1) + fmt.Sprintf(fault, "no"):           Wrong,
		"data: x\n\n":                                      Wrong,
	} {
		require.Equal(t, want, send(t, Request{Stream: true}, text).Outcome, text)
	}
	require.Equal(t, "incomplete", send(t, Request{Stream: true}, fmt.Sprintf(fault, "no")).ErrorKind)
}

func TestServiceResponsesAreChecked(t *testing.T) {
	q := Request{Service: true}
	right := fmt.Sprintf(`{"hash":%q}`, service.Hash([]byte("{}")))
	require.Equal(t, Finished, send(t, q, right).Outcome)
	require.Equal(t, Wrong, send(t, q, `{"hash":"other"}`).Outcome)
	require.Equal(t, Wrong, send(t, q, `hello`).Outcome)
}
