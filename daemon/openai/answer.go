package openai

import (
	"encoding/json"
	"errors"
)

// errNoChunks is returned for a stream that ended before its first chunk.
var errNoChunks = errors.New("stream ended without a chunk")

// Collector collects the chunks of a streamed response. Its zero value is empty.
type Collector struct {
	// head is the first chunk, nil before it arrived. Its Tier, Fingerprint and Usage are replaced
	// by those of later chunks.
	head *streamChunk
	// text, refusal and reasoning are the concatenated content of the chunks.
	text, refusal, reasoning []byte
	toolCalls                []toolCall
	// logprobs holds the lists of log probabilities under their names in the API.
	logprobs map[string][]json.RawMessage
	// finishReason is why the generation ended, and stopReason the stop sequence or token that
	// ended it.
	finishReason string
	stopReason   json.RawMessage
}

// streamChunk holds the fields of a chunk that are collected.
type streamChunk struct {
	ID          string          `json:"id"`
	Created     int64           `json:"created"`
	Model       string          `json:"model"`
	Fingerprint string          `json:"system_fingerprint"`
	Tier        string          `json:"service_tier"`
	Usage       json.RawMessage `json:"usage"`
	Choices     []choiceDelta   `json:"choices"`
}

// choiceDelta is the part of a choice that one chunk carries.
type choiceDelta struct {
	Text         string                       `json:"text"`
	FinishReason string                       `json:"finish_reason"`
	StopReason   json.RawMessage              `json:"stop_reason"`
	Logprobs     map[string][]json.RawMessage `json:"logprobs"`
	Delta        struct {
		Content   string          `json:"content"`
		Refusal   string          `json:"refusal"`
		Reasoning string          `json:"reasoning_content"`
		Tools     []toolCallDelta `json:"tool_calls"`
	} `json:"delta"`
}

// toolCallDelta is a part of a tool call, with the index of the call.
type toolCallDelta struct {
	Index int `json:"index"`
	toolCall
}

// toolCall is one tool call of a response.
type toolCall struct {
	index    int
	ID       string       `json:"id,omitempty"`
	Type     string       `json:"type,omitempty"`
	Function toolFunction `json:"function"`
}

type toolFunction struct {
	Name      string `json:"name,omitempty"`
	Arguments string `json:"arguments"`
}

// response is the body of a non-streaming response.
type response struct {
	ID          string           `json:"id"`
	Object      string           `json:"object"`
	Created     int64            `json:"created"`
	Model       string           `json:"model"`
	Fingerprint string           `json:"system_fingerprint,omitempty"`
	Tier        string           `json:"service_tier,omitempty"`
	Choices     []responseChoice `json:"choices"`
	Usage       json.RawMessage  `json:"usage,omitempty"`
}

type responseChoice struct {
	Index        int                          `json:"index"`
	Message      *responseMessage             `json:"message,omitempty"`
	Text         *string                      `json:"text,omitempty"`
	Logprobs     map[string][]json.RawMessage `json:"logprobs"`
	FinishReason string                       `json:"finish_reason"`
	StopReason   json.RawMessage              `json:"stop_reason,omitempty"`
}

type responseMessage struct {
	Role string `json:"role"`
	// Content is null in a response that only calls tools or refuses.
	Content   *string    `json:"content"`
	Refusal   *string    `json:"refusal"`
	Reasoning string     `json:"reasoning_content,omitempty"`
	Tools     []toolCall `json:"tool_calls,omitempty"`
}

// Add adds the next chunk of the stream, given as JSON.
func (a *Collector) Add(chunk string) error {
	var b streamChunk
	if err := json.Unmarshal([]byte(chunk), &b); err != nil {
		return err
	}
	a.head = b.mergeInto(a.head)
	for _, x := range b.Choices {
		a.addDelta(x)
	}
	return nil
}

// Response returns the collected response as the JSON body of a chat completion, or of a text
// completion if chat is false. It fails if there was no chunk.
func (a *Collector) Response(chat bool) ([]byte, error) {
	b := a.head
	if b == nil {
		return nil, errNoChunks
	}
	out := response{ID: b.ID, Object: "text_completion", Created: b.Created, Model: b.Model, Fingerprint: b.Fingerprint, Tier: b.Tier}
	if chat {
		out.Object = "chat.completion"
	}
	if isSet(b.Usage) {
		out.Usage = b.Usage
	}
	out.Choices = []responseChoice{a.choice(chat)}
	return json.Marshal(out)
}

// mergeInto copies to head the fields that only some chunks carry, and returns the head. The first
// chunk becomes the head itself.
func (b *streamChunk) mergeInto(head *streamChunk) *streamChunk {
	if head == nil {
		return b
	}
	if isSet(b.Usage) {
		head.Usage = b.Usage
	}
	if b.Fingerprint != "" {
		head.Fingerprint = b.Fingerprint
	}
	if b.Tier != "" {
		head.Tier = b.Tier
	}
	return head
}

func isSet(j json.RawMessage) bool { return len(j) > 0 && string(j) != "null" }

// addDelta adds a chunk's part of the only choice.
func (a *Collector) addDelta(x choiceDelta) {
	a.text = append(a.text, x.Text...)
	a.text = append(a.text, x.Delta.Content...)
	a.refusal = append(a.refusal, x.Delta.Refusal...)
	a.reasoning = append(a.reasoning, x.Delta.Reasoning...)
	if x.FinishReason != "" {
		a.finishReason = x.FinishReason
	}
	if isSet(x.StopReason) {
		a.stopReason = x.StopReason
	}
	for name, ps := range x.Logprobs {
		if a.logprobs == nil {
			a.logprobs = map[string][]json.RawMessage{}
		}
		a.logprobs[name] = append(a.logprobs[name], ps...)
	}
	for _, t := range x.Delta.Tools {
		a.addToolCall(t)
	}
}

// addToolCall appends a part of a tool call to the call with the same index.
func (a *Collector) addToolCall(t toolCallDelta) {
	for i := range a.toolCalls {
		if a.toolCalls[i].index == t.Index {
			a.toolCalls[i].Function.Arguments += t.Function.Arguments
			return
		}
	}
	t.toolCall.index = t.Index
	a.toolCalls = append(a.toolCalls, t.toolCall)
}

// choice returns the only choice of the collected response.
func (a *Collector) choice(chat bool) responseChoice {
	c := responseChoice{FinishReason: a.finishReason, StopReason: a.stopReason, Logprobs: a.logprobs}
	text := string(a.text)
	if !chat {
		c.Text = &text
		return c
	}
	c.Message = &responseMessage{Role: "assistant", Reasoning: string(a.reasoning), Tools: a.toolCalls}
	if text != "" || len(a.toolCalls) == 0 && len(a.refusal) == 0 {
		c.Message.Content = &text
	}
	if len(a.refusal) > 0 {
		refused := string(a.refusal)
		c.Message.Refusal = &refused
	}
	return c
}
