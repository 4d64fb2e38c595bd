package caller

import (
	"encoding/json"
	"time"

	"snipeshift.example/lib/clock"
)

// Request is one request.
type Request struct {
	Number int
	// DaemonIndex chooses among the daemons that are ready when it is sent.
	DaemonIndex int
	Address     string
	// Path is the path at a daemon, or at an engine or service if the run is direct.
	Path      string
	Workspace string
	Key       string
	Kind      string
	// IdempotencyKey is the idempotency key, or empty.
	IdempotencyKey string
	// Service is set for a plain service's call; Body is then what it hashes.
	Service bool
	Prompt  string
	Body    []byte
	// PromptTokens counts the prompt, Output the answer.
	PromptTokens, OutputTokens int
	Stream                     bool
	// Deadline is sent along unless it is zero; Allowed and Slack bound the wait.
	Deadline, TimeLimit, Slack clock.Milli
	ReadPause                  clock.Milli
	// Direct gives the engine ID as the request id, as a daemon would.
	Direct bool
	ID     string
	// OnFirstToken, if set, is called with the first token of a stream.
	OnFirstToken func()
	// SendOffset is when it is due, counted from the start of the run.
	SendOffset time.Duration
}

// ChatPath is the path of chat completions.
const ChatPath = "/v1/chat/completions"

// chatBody is a request of the API.
type chatBody struct {
	Model     string        `json:"model"`
	Stream    bool          `json:"stream"`
	MaxTokens int           `json:"max_tokens,omitempty"`
	Messages  []chatMessage `json:"messages"`
}

type chatMessage struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// ChatBody is the body of a chat completion with one message.
func ChatBody(model, prompt string, output int, stream bool) []byte {
	b, err := json.Marshal(chatBody{
		Model:     model,
		Stream:    stream,
		MaxTokens: output,
		Messages:  []chatMessage{{Role: "user", Content: prompt}},
	})
	if err != nil {
		panic(err) // strings always marshal
	}
	return b
}
