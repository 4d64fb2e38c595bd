package caller

import (
	"encoding/json"
	"time"

	"snipeshift.example/lib/clock"
)

// Request describes one request to send and the expected response.
type Request struct {
	// Number is the position of the request in a run.
	Number int
	// DaemonIndex selects one of the daemons that are ready when the request is sent: it is an
	// index modulo their number.
	DaemonIndex int
	// Address is host:port of the server.
	Address string
	// Path is the URL path at a daemon or, if Direct is set, at the engine or service.
	Path string
	// Workspace is the workspace that sends the request, Key its API key, Kind the request kind.
	Workspace string
	Key       string
	Kind      string
	// IdempotencyKey is the idempotency key; empty for none.
	IdempotencyKey string
	// Service is set for a call of a plain service, whose response contains the hash of Body.
	Service bool
	Prompt  string
	Body    []byte
	// PromptTokens is the length of the prompt and OutputTokens the length of the
	// response. OutputTokens 0 stands for the default of the emulated engines.
	PromptTokens, OutputTokens int
	Stream                     bool
	// Deadline is sent as the Snipeshift-Deadline header unless it is zero. TimeLimit plus
	// Slack is the time after which the client gives up; there is no limit if TimeLimit is zero.
	Deadline, TimeLimit, Slack clock.Milli
	// ReadPause is the wait after each event of a stream, to emulate a slow reader.
	ReadPause clock.Milli
	// Direct is set if the request goes to an engine or service without a daemon. ID is then
	// sent as the X-Request-Id header, which otherwise the daemon sets.
	Direct bool
	// ID identifies the request within a run.
	ID string
	// OnFirstToken, if set, is called when the first token of a stream arrives.
	OnFirstToken func()
	// SendOffset is the send time, as an offset from the start of the run.
	SendOffset time.Duration
}

// ChatPath is the URL path of chat completions.
const ChatPath = "/v1/chat/completions"

// chatBody is the body of a chat completion request.
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

// ChatBody returns the body of a chat completion request with one user message. With output 0
// the body sets no max_tokens.
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
