// Package openai reads and writes the OpenAI-compatible API: the bodies of
// generation requests, and whole answers put together from a stream's chunks.
package openai

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"slices"
	"strconv"
	"unicode/utf8"

	"snipeshift.example/lib/decide"
	"snipeshift.example/lib/fault"
)

// maxOutput bounds the limit of output tokens: far above it sums would pass over,
// and no engine has the memory.
const maxOutput decide.Tokens = 1 << 30

// Request is a generation request as a gate reads it.
type Request struct {
	Model  string
	Stream bool
	// IncludeUsage tells whether the caller wants the chunk that reports usage.
	IncludeUsage bool
	// MaxTokens is the caller's limit of output tokens, zero for none.
	MaxTokens decide.Tokens
	// Prompt is the prompt in the order in which an engine reads it.
	Prompt []byte

	fields fields
	size   int
}

// ParseRequest reads the body of a chat completion, or of a completion. Its faults are
// Malformed and Oversize.
func ParseRequest(b []byte, chat bool) (*Request, *fault.Error) {
	if len(b) == 0 {
		return nil, fault.New(fault.Malformed, "the request has no body")
	}
	if !utf8.Valid(b) {
		return nil, fault.New(fault.Malformed, "the body is not UTF-8")
	}
	f, err := object(b)
	if err != nil {
		return nil, fault.New(fault.Malformed, "the body is not a JSON object: %v", err)
	}
	x, err := f.call()
	if err != nil {
		return nil, fault.New(fault.Malformed, "the body is not the JSON of the API: %v", err)
	}
	if x.Choices != nil && *x.Choices != 1 {
		return nil, fault.New(fault.Malformed, "n is 1: send a request for each choice")
	}
	limit, e := x.limit()
	if e != nil {
		return nil, e
	}
	text, e := x.text(chat, len(b))
	if e != nil {
		return nil, e
	}
	return &Request{Model: x.Model, Stream: x.Stream, IncludeUsage: x.Usage, MaxTokens: limit, Prompt: text, fields: f, size: len(b)}, nil
}

// limit is the caller's limit of output tokens, zero for none.
func (x *call) limit() (decide.Tokens, *fault.Error) {
	var limit decide.Tokens
	for _, n := range []*decide.Tokens{x.Max, x.Completion} {
		if n == nil {
			continue
		}
		if *n < 1 {
			return 0, fault.New(fault.Malformed, "the limit of output tokens is 1 or more")
		}
		if *n > maxOutput {
			return 0, fault.New(fault.Oversize, "the limit of output tokens is %d or less", maxOutput)
		}
		limit = *n
	}
	return limit, nil
}

// fields are the members of a JSON object by their exact names.
//
// encoding/json fills a struct's field from any spelling of its name. A request
// with "max_tokens" of a million and "MAX_TOKENS" of five would be placed as one
// of five tokens, while the engine, which knows the exact name only, runs a million:
// memory that nobody reserved, and work that nobody counted.
type fields map[string]json.RawMessage

// object reads the members of a body.
func object(b []byte) (fields, error) {
	var f fields
	err := json.Unmarshal(b, &f)
	var wrong *json.UnmarshalTypeError
	if errors.As(err, &wrong) {
		return nil, fmt.Errorf("it is %s", kindOf(b))
	}
	return f, err
}

// get reads one member; into stays as it is where there is none. Wanted says what it is to be, for the caller who sent
// something else.
func (f fields) get(name, wanted string, into any) error {
	raw, ok := f[name]
	if !ok {
		return nil
	}
	if err := json.Unmarshal(raw, into); err != nil {
		return fmt.Errorf("%s is %s, not %s", name, wanted, kindOf(raw))
	}
	return nil
}

// shownValue is the longest value in bytes that an error shows.
const shownValue = 40

// kindOf tells what a JSON value is, as its writer would call it.
func kindOf(raw []byte) string {
	raw = bytes.TrimSpace(raw)
	switch {
	case len(raw) == 0:
		return "nothing"
	case raw[0] == '{':
		return "an object"
	case raw[0] == '[':
		return "this list"
	case raw[0] == '"':
		return "a string"
	case len(raw) > shownValue:
		return "this number"
	default:
		return string(raw)
	}
}

// call is the part of a generation request that a gate reads.
type call struct {
	Model    string
	Stream   bool
	Prompt   json.RawMessage
	Messages []fields
	Options  fields
	// Usage tells whether the caller wants the chunk that reports usage.
	Usage           bool
	Max, Completion *decide.Tokens
	Choices         *int
}

func (f fields) call() (x call, err error) {
	err = errors.Join(
		f.get("model", "a string", &x.Model),
		f.get("stream", "true or false", &x.Stream),
		f.get("prompt", "a string", &x.Prompt),
		f.get("messages", "a list of objects", &x.Messages),
		f.get("stream_options", "an object", &x.Options),
		f.get("max_tokens", "a whole number", &x.Max),
		f.get("max_completion_tokens", "a whole number", &x.Completion),
		f.get("n", "a whole number", &x.Choices),
	)
	if err != nil {
		return x, err
	}
	return x, x.Options.get("include_usage", "true or false", &x.Usage)
}

// text joins the prompt's parts in the order in which an engine reads them; size
// is that of the whole body.
func (x *call) text(chat bool, size int) ([]byte, *fault.Error) {
	if !chat {
		var s string
		if err := json.Unmarshal(x.Prompt, &s); err != nil {
			return nil, fault.New(fault.Malformed, "prompt is one text")
		}
		return []byte(s), nil
	}
	if len(x.Messages) == 0 {
		return nil, fault.New(fault.Malformed, "messages has no message")
	}
	out := make([]byte, 0, size)
	for i, m := range x.Messages {
		if i > 0 {
			out = append(out, '\n')
		}
		var s string
		if err := m.get("content", "a string", &s); err == nil {
			out = append(out, s...)
			continue
		}
		// Content in parts counts with its JSON text.
		out = append(out, m["content"]...)
	}
	return out, nil
}

// EngineBody is the body that asks the engine for a stream that reports usage, whatever the caller
// asked for: only a stream shows that an engine went silent. A request without a
// limit of its own gets limit, the one that memory is reserved for: some client libraries
// send null for a limit that was not set, and passed on it would let the engine
// write for as long as it likes in memory reserved for less.
func (b *Request) EngineBody(limit decide.Tokens) []byte {
	f := b.fields
	f["stream"] = json.RawMessage("true")
	f["stream_options"] = json.RawMessage(`{"include_usage":true}`)
	if b.MaxTokens == 0 {
		f["max_tokens"] = json.RawMessage(strconv.FormatInt(int64(limit), 10))
	}
	return join(f, b.size)
}

// join writes an object from fields whose values are valid JSON already.
// json.Marshal would check and copy every value once more, and the longest
// prompts have megabytes.
func join(fields map[string]json.RawMessage, size int) []byte {
	out := append(make([]byte, 0, size+joinRoom), '{')
	for i, name := range slices.Sorted(maps.Keys(fields)) {
		if i > 0 {
			out = append(out, ',')
		}
		key, err := json.Marshal(name)
		if err != nil {
			panic(err) // no string fails to encode
		}
		out = append(out, key...)
		out = append(out, ':')
		out = append(out, fields[name]...)
	}
	return append(out, '}')
}

// joinRoom holds what is added to a caller's body.
const joinRoom = 128
