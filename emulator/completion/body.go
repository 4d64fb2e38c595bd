// Package completion parses the API's completion requests and writes the chunks of streamed
// completions, as far as the emulated engine needs them.
package completion

import (
	"encoding/json"
	"strings"
)

// Request is a completion or chat completion request. It has only the fields that the engine uses.
type Request struct {
	Model    string          `json:"model"`
	Messages []message       `json:"messages"`
	Prompt   json.RawMessage `json:"prompt"`
	Stream   bool            `json:"stream"`
	// MaxCompletionTokens takes precedence over the deprecated MaxTokens.
	MaxTokens           int `json:"max_tokens"`
	MaxCompletionTokens int `json:"max_completion_tokens"`
}

type message struct {
	Content json.RawMessage `json:"content"`
}

type contentPart struct {
	Text string `json:"text"`
}

// Limit returns the requested number of output tokens, or defaultLimit if the request has none.
func (b *Request) Limit(defaultLimit int) int {
	switch {
	case b.MaxCompletionTokens > 0:
		return b.MaxCompletionTokens
	case b.MaxTokens > 0:
		return b.MaxTokens
	default:
		return defaultLimit
	}
}

// ChatPrompt returns the prompt of a chat completion: the text of all messages, joined by newlines.
func (b *Request) ChatPrompt() (string, error) {
	texts := make([]string, len(b.Messages))
	for i, m := range b.Messages {
		t, err := parseText(m.Content, "")
		if err != nil {
			return "", err
		}
		texts[i] = t
	}
	return strings.Join(texts, "\n"), nil
}

// CompletionPrompt returns the prompt of a text completion. Several prompts are joined by newlines.
func (b *Request) CompletionPrompt() (string, error) { return parseText(b.Prompt, "\n") }

// parseText parses a string, a list of strings or a list of content parts. It joins strings by sep,
// content parts too.
func parseText(raw json.RawMessage, sep string) (string, error) {
	var s string
	if len(raw) == 0 || json.Unmarshal(raw, &s) == nil {
		return s, nil
	}
	var list []string
	if json.Unmarshal(raw, &list) == nil {
		return strings.Join(list, sep), nil
	}
	var parts []contentPart
	if err := json.Unmarshal(raw, &parts); err != nil {
		return "", err
	}
	for _, p := range parts {
		list = append(list, p.Text)
	}
	return strings.Join(list, sep), nil
}
