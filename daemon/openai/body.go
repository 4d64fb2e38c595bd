// Package openai reads and writes the OpenAI-compatible API: it parses generation requests, and
// assembles non-streaming responses from the chunks of a stream.
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

// maxOutputTokens bounds the token limit that a client may set. Much larger limits would overflow
// sums, and no engine has the memory for them.
const maxOutputTokens decide.Tokens = 1 << 30

// Request is a parsed generation request.
type Request struct {
	Model  string
	Stream bool
	// IncludeUsage reports whether the client asked for the chunk with the token usage.
	IncludeUsage bool
	// MaxTokens is the client's limit of output tokens, zero for none.
	MaxTokens decide.Tokens
	// Prompt is the prompt, its parts in the order in which an engine reads them.
	Prompt []byte
	// First is the length in bytes of the first of several messages, with which Prompt begins; zero for a single one.
	First int

	fields fields
	size   int
}

// ParseRequest parses the body of a chat completion, or of a text completion if chat is false. Its
// faults are of kind Malformed or Oversize.
func ParseRequest(b []byte, chat bool) (*Request, *fault.Error) {
	if len(b) == 0 {
		return nil, fault.New(fault.Malformed, "the request has no body")
	}
	if !utf8.Valid(b) {
		return nil, fault.New(fault.Malformed, "the body is not UTF-8")
	}
	f, err := parseObject(b)
	if err != nil {
		return nil, fault.New(fault.Malformed, "the body is not a JSON object: %v", err)
	}
	x, err := f.parameters()
	if err != nil {
		return nil, fault.New(fault.Malformed, "the body is not the JSON of the API: %v", err)
	}
	if x.Choices != nil && *x.Choices != 1 {
		return nil, fault.New(fault.Malformed, "n is 1: send a request for each choice")
	}
	limit, e := x.outputLimit()
	if e != nil {
		return nil, e
	}
	text, first, e := x.promptText(chat, len(b))
	if e != nil {
		return nil, e
	}
	return &Request{Model: x.Model, Stream: x.Stream, IncludeUsage: x.IncludeUsage, MaxTokens: limit, Prompt: text, First: first, fields: f, size: len(b)}, nil
}

// outputLimit returns the client's limit of output tokens, zero for none.
func (x *parameters) outputLimit() (decide.Tokens, *fault.Error) {
	var limit decide.Tokens
	for _, n := range []*decide.Tokens{x.MaxTokens, x.MaxCompletionTokens} {
		if n == nil {
			continue
		}
		if *n < 1 {
			return 0, fault.New(fault.Malformed, "the limit of output tokens is 1 or more")
		}
		if *n > maxOutputTokens {
			return 0, fault.New(fault.Oversize, "the limit of output tokens is %d or less", maxOutputTokens)
		}
		limit = *n
	}
	return limit, nil
}

// fields holds the members of a JSON object by their exact names.
//
// It is used because encoding/json matches the names of struct fields without regard to case. With
// "max_tokens" of a million and "MAX_TOKENS" of five, five tokens would be reserved, while the
// engine, which matches exact names, would generate a million: unreserved memory and uncounted
// work.
type fields map[string]json.RawMessage

// parseObject decodes the members of a JSON object.
func parseObject(b []byte) (fields, error) {
	var f fields
	err := json.Unmarshal(b, &f)
	var wrong *json.UnmarshalTypeError
	if errors.As(err, &wrong) {
		return nil, fmt.Errorf("it is %s", describeValue(b))
	}
	return f, err
}

// decode decodes the member with the given name. If there is none, into remains unchanged. The
// error tells the client the expected type, given by wanted.
func (f fields) decode(name, wanted string, into any) error {
	raw, ok := f[name]
	if !ok {
		return nil
	}
	if err := json.Unmarshal(raw, into); err != nil {
		return fmt.Errorf("%s is %s, not %s", name, wanted, describeValue(raw))
	}
	return nil
}

// maxShownValue is the longest value, in bytes, that an error message quotes.
const maxShownValue = 40

// describeValue describes a JSON value for an error message.
func describeValue(raw []byte) string {
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
	case len(raw) > maxShownValue:
		return "this number"
	default:
		return string(raw)
	}
}

// parameters holds the members of a generation request that a gate reads.
type parameters struct {
	Model    string
	Stream   bool
	Prompt   json.RawMessage
	Messages []fields
	Options  fields
	// IncludeUsage reports whether the client asked for the chunk with the token usage.
	IncludeUsage                   bool
	MaxTokens, MaxCompletionTokens *decide.Tokens
	Choices                        *int
}

func (f fields) parameters() (x parameters, err error) {
	err = errors.Join(
		f.decode("model", "a string", &x.Model),
		f.decode("stream", "true or false", &x.Stream),
		f.decode("prompt", "a string", &x.Prompt),
		f.decode("messages", "a list of objects", &x.Messages),
		f.decode("stream_options", "an object", &x.Options),
		f.decode("max_tokens", "a whole number", &x.MaxTokens),
		f.decode("max_completion_tokens", "a whole number", &x.MaxCompletionTokens),
		f.decode("n", "a whole number", &x.Choices),
	)
	if err != nil {
		return x, err
	}
	return x, x.Options.decode("include_usage", "true or false", &x.IncludeUsage)
}

// promptText joins the parts of the prompt in the order in which an engine reads them, and returns the length of the first
// of several. The parameter size is the length of the whole body, an upper bound for the result.
func (x *parameters) promptText(chat bool, size int) (text []byte, first int, _ *fault.Error) {
	if !chat {
		var s string
		if err := json.Unmarshal(x.Prompt, &s); err != nil {
			return nil, 0, fault.New(fault.Malformed, "prompt is one text")
		}
		return []byte(s), 0, nil
	}
	if len(x.Messages) == 0 {
		return nil, 0, fault.New(fault.Malformed, "messages has no message")
	}
	out := make([]byte, 0, size)
	for i, m := range x.Messages {
		if i == 1 {
			first = len(out)
		}
		if i > 0 {
			out = append(out, '\n')
		}
		var s string
		if err := m.decode("content", "a string", &s); err == nil {
			out = append(out, s...)
			continue
		}
		// Content that is not a string, such as a list of parts, is counted with its JSON text.
		out = append(out, m["content"]...)
	}
	return out, first, nil
}

// EngineBody returns the body to send to the engine. It always asks for a stream with usage,
// whatever the client asked for, since only a stream shows that an engine stopped responding. If
// the client set no limit of output tokens, limit is set, for which memory is reserved. This also
// replaces a null, which some client libraries send for an unset limit: with it the engine would
// generate without a limit in memory reserved for less.
func (b *Request) EngineBody(limit decide.Tokens) []byte {
	f := b.fields
	f["stream"] = json.RawMessage("true")
	f["stream_options"] = json.RawMessage(`{"include_usage":true}`)
	if b.MaxTokens == 0 {
		f["max_tokens"] = json.RawMessage(strconv.FormatInt(int64(limit), 10))
	}
	return encodeObject(f, b.size)
}

// encodeObject encodes an object whose values are already valid JSON. It avoids json.Marshal, which
// would validate and copy each value again, since the longest prompts take megabytes.
func encodeObject(fields map[string]json.RawMessage, size int) []byte {
	out := append(make([]byte, 0, size+addedFieldsSize), '{')
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

// addedFieldsSize is extra capacity for the members that are added to a client's body.
const addedFieldsSize = 128
