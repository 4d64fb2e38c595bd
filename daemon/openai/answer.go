package openai

import (
	"encoding/json"
	"errors"
)

// errNoChunk is an answer that ended before its first chunk.
var errNoChunk = errors.New("an answer without a chunk")

// Collector is the part of a streamed answer that came. Its zero value is empty.
type Collector struct {
	// head is the first chunk; nil before it came. Its Tier, Print and Usage are the newest ones.
	head *chunkBody
	// text, refused and reasoning are content that came in pieces.
	text, refused, reasoning []byte
	tools                    []toolCall
	// probs holds the lists of log probabilities by the API's name of each.
	probs map[string][]json.RawMessage
	// end is why the generation ended, stop what ended it.
	end  string
	stop json.RawMessage
}

// chunkBody is a chunk of the API, as far as it is collected.
type chunkBody struct {
	ID      string          `json:"id"`
	Created int64           `json:"created"`
	Model   string          `json:"model"`
	Print   string          `json:"system_fingerprint"`
	Tier    string          `json:"service_tier"`
	Usage   json.RawMessage `json:"usage"`
	Choices []choicePart    `json:"choices"`
}

type choicePart struct {
	Text   string                       `json:"text"`
	Finish string                       `json:"finish_reason"`
	Stop   json.RawMessage              `json:"stop_reason"`
	Probs  map[string][]json.RawMessage `json:"logprobs"`
	Delta  struct {
		Content   string     `json:"content"`
		Refusal   string     `json:"refusal"`
		Reasoning string     `json:"reasoning_content"`
		Tools     []toolPart `json:"tool_calls"`
	} `json:"delta"`
}

// toolPart is a part of the call of a tool with its place among the calls.
type toolPart struct {
	Index int `json:"index"`
	toolCall
}

// toolCall is a call of a tool.
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

// whole is an answer of the API that is not streamed.
type whole struct {
	ID      string          `json:"id"`
	Object  string          `json:"object"`
	Created int64           `json:"created"`
	Model   string          `json:"model"`
	Print   string          `json:"system_fingerprint,omitempty"`
	Tier    string          `json:"service_tier,omitempty"`
	Choices []wholeChoice   `json:"choices"`
	Usage   json.RawMessage `json:"usage,omitempty"`
}

type wholeChoice struct {
	Index   int                          `json:"index"`
	Message *wholeMessage                `json:"message,omitempty"`
	Text    *string                      `json:"text,omitempty"`
	Probs   map[string][]json.RawMessage `json:"logprobs"`
	Finish  string                       `json:"finish_reason"`
	Stop    json.RawMessage              `json:"stop_reason,omitempty"`
}

type wholeMessage struct {
	Role string `json:"role"`
	// Content is null in an answer that only calls tools or refuses.
	Content   *string    `json:"content"`
	Refusal   *string    `json:"refusal"`
	Reasoning string     `json:"reasoning_content,omitempty"`
	Tools     []toolCall `json:"tool_calls,omitempty"`
}

// Add takes the next chunk of the stream.
func (a *Collector) Add(chunk string) error {
	var b chunkBody
	if err := json.Unmarshal([]byte(chunk), &b); err != nil {
		return err
	}
	a.head = b.after(a.head)
	for _, x := range b.Choices {
		a.add(x)
	}
	return nil
}

// Response is the answer in one piece, for a chat completion or a completion.
func (a *Collector) Response(chat bool) ([]byte, error) {
	b := a.head
	if b == nil {
		return nil, errNoChunk
	}
	out := whole{ID: b.ID, Object: "text_completion", Created: b.Created, Model: b.Model, Print: b.Print, Tier: b.Tier}
	if chat {
		out.Object = "chat.completion"
	}
	if given(b.Usage) {
		out.Usage = b.Usage
	}
	out.Choices = []wholeChoice{a.choice(chat)}
	return json.Marshal(out)
}

// after takes from b what only some chunks carry, and gives the head of the answer.
func (b *chunkBody) after(head *chunkBody) *chunkBody {
	if head == nil {
		return b
	}
	if given(b.Usage) {
		head.Usage = b.Usage
	}
	if b.Print != "" {
		head.Print = b.Print
	}
	if b.Tier != "" {
		head.Tier = b.Tier
	}
	return head
}

func given(j json.RawMessage) bool { return len(j) > 0 && string(j) != "null" }

// add takes the next piece of the one choice.
func (a *Collector) add(x choicePart) {
	a.text = append(a.text, x.Text...)
	a.text = append(a.text, x.Delta.Content...)
	a.refused = append(a.refused, x.Delta.Refusal...)
	a.reasoning = append(a.reasoning, x.Delta.Reasoning...)
	if x.Finish != "" {
		a.end = x.Finish
	}
	if given(x.Stop) {
		a.stop = x.Stop
	}
	for name, ps := range x.Probs {
		if a.probs == nil {
			a.probs = map[string][]json.RawMessage{}
		}
		a.probs[name] = append(a.probs[name], ps...)
	}
	for _, t := range x.Delta.Tools {
		a.tool(t)
	}
}

// tool adds a part of a tool call to the call of its index.
func (a *Collector) tool(t toolPart) {
	for i := range a.tools {
		if a.tools[i].index == t.Index {
			a.tools[i].Function.Arguments += t.Function.Arguments
			return
		}
	}
	t.toolCall.index = t.Index
	a.tools = append(a.tools, t.toolCall)
}

// choice is the one choice of the whole answer.
func (a *Collector) choice(chat bool) wholeChoice {
	c := wholeChoice{Finish: a.end, Stop: a.stop, Probs: a.probs}
	text := string(a.text)
	if !chat {
		c.Text = &text
		return c
	}
	c.Message = &wholeMessage{Role: "assistant", Reasoning: string(a.reasoning), Tools: a.tools}
	if text != "" || len(a.tools) == 0 && len(a.refused) == 0 {
		c.Message.Content = &text
	}
	if len(a.refused) > 0 {
		refused := string(a.refused)
		c.Message.Refusal = &refused
	}
	return c
}
