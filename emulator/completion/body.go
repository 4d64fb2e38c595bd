// Package completion is the shape of the API's completions as an engine reads
// and writes it: the parts of a body that matter, and the chunks of a stream.
package completion

import (
	"encoding/json"
	"strings"
)

// Request is what the engine reads of a generation request.
type Request struct {
	Model    string          `json:"model"`
	Messages []message       `json:"messages"`
	Prompt   json.RawMessage `json:"prompt"`
	Stream   bool            `json:"stream"`
	// MaxCompletionTokens goes before the older MaxTokens.
	MaxTokens           int `json:"max_tokens"`
	MaxCompletionTokens int `json:"max_completion_tokens"`
}

type message struct {
	Content json.RawMessage `json:"content"`
}

type part struct {
	Text string `json:"text"`
}

// Limit is the number of output tokens, normal where the request names none.
func (b *Request) Limit(normal int) int {
	switch {
	case b.MaxCompletionTokens > 0:
		return b.MaxCompletionTokens
	case b.MaxTokens > 0:
		return b.MaxTokens
	default:
		return normal
	}
}

// ChatPrompt joins the text of all messages by newlines.
func (b *Request) ChatPrompt() (string, error) {
	texts := make([]string, len(b.Messages))
	for i, m := range b.Messages {
		t, err := text(m.Content, "")
		if err != nil {
			return "", err
		}
		texts[i] = t
	}
	return strings.Join(texts, "\n"), nil
}

// CompletionPrompt reads a prompt, or joins several by newlines.
func (b *Request) CompletionPrompt() (string, error) { return text(b.Prompt, "\n") }

// text reads a string, a list of strings or a list of text parts, joined by sep.
func text(raw json.RawMessage, sep string) (string, error) {
	var s string
	if len(raw) == 0 || json.Unmarshal(raw, &s) == nil {
		return s, nil
	}
	var list []string
	if json.Unmarshal(raw, &list) == nil {
		return strings.Join(list, sep), nil
	}
	var parts []part
	if err := json.Unmarshal(raw, &parts); err != nil {
		return "", err
	}
	for _, p := range parts {
		list = append(list, p.Text)
	}
	return strings.Join(list, sep), nil
}
