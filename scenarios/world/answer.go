package world

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"snipeshift.example/lib/expect"
)

// streamEnd is the last event of a complete stream.
const streamEnd = "[DONE]"

// chunk is an event of a streamed response, or a response that is not streamed.
type chunk struct {
	Choices []struct {
		Finish  string      `json:"finish_reason"`
		Delta   messageText `json:"delta"`
		Message messageText `json:"message"`
	} `json:"choices"`
	Error *struct {
		Type    string `json:"type"`
		Ran     string `json:"ran"`
		Request string `json:"request"`
	} `json:"error"`
}

// messageText is the message of a choice, or its delta in a stream.
type messageText struct {
	Content string `json:"content"`
}

// serviceResponse is the response of the emulated plain service: the path of the request and the
// xxhash of its body in hexadecimal digits.
type serviceResponse struct {
	Path string `json:"path"`
	Hash string `json:"hash"`
}

// read reads the response and records the outcome of the call.
func (r *Result) read(ctx context.Context, resp *http.Response) {
	switch {
	case resp.StatusCode != http.StatusOK:
		r.readError(ctx, resp.Body)
	case r.Call.Service:
		r.readService(ctx, resp.Body)
	case r.Call.NonStreaming || r.Replayed:
		r.readCompletion(ctx, resp.Body)
	default:
		r.readStream(ctx, resp.Body)
	}
}

// readError reads an error response. A response of the daemon needs an error kind; that of a plain
// service may come from the service itself.
func (r *Result) readError(ctx context.Context, body io.Reader) {
	b, err := io.ReadAll(body)
	if err != nil {
		r.recordError(ctx, err)
		return
	}
	if r.Error == "" && !r.Call.Service {
		r.setOutcome(Wrong, fmt.Sprintf("an error response without an error kind: %s", b))
		return
	}
	r.setOutcome(Refused, string(b))
}

// readService reads the response of the plain service and compares it with the request sent.
func (r *Result) readService(ctx context.Context, body io.Reader) {
	b, err := io.ReadAll(body)
	if err != nil {
		r.recordError(ctx, err)
		return
	}
	var got serviceResponse
	want := strconv.FormatUint(xxhash.Sum64String(r.Call.prompt()), 16)
	if json.Unmarshal(b, &got) != nil || got.Hash != want || got.Path != "/"+r.Call.PromptStart {
		r.setOutcome(Wrong, fmt.Sprintf("response %s, want hash %s", b, want))
		return
	}
	r.setOutcome(Complete, "")
}

// readCompletion reads a completion that is not streamed.
func (r *Result) readCompletion(ctx context.Context, body io.Reader) {
	b, err := io.ReadAll(body)
	if err != nil {
		r.recordError(ctx, err)
		return
	}
	var c chunk
	if err := json.Unmarshal(b, &c); err != nil || len(c.Choices) != 1 {
		r.setOutcome(Wrong, fmt.Sprintf("response does not follow the API: %s", b))
		return
	}
	r.Text = c.Choices[0].Message.Content
	r.checkText()
}

// checkText compares a complete text with the one that an emulated engine generates for the prompt.
func (r *Result) checkText() {
	if err := expect.Check(r.Call.prompt(), r.Text, r.Call.OutputLimit); err != nil {
		r.setOutcome(Wrong, err.Error())
		return
	}
	r.setOutcome(Complete, "")
}

// readStream reads events up to the end mark, an error event or the end of the connection.
func (r *Result) readStream(ctx context.Context, body io.Reader) {
	lines := bufio.NewReader(body)
	finished := false
	for {
		line, err := lines.ReadBytes('\n')
		data, ok := bytes.CutPrefix(bytes.TrimSpace(line), []byte("data: "))
		if err != nil {
			r.recordBrokenStream(ctx, err)
			return
		}
		if !ok {
			continue
		}
		if string(data) == streamEnd {
			if !finished {
				r.setOutcome(Wrong, "end mark without a finish reason")
				return
			}
			r.checkText()
			return
		}
		if done := r.handleEvent(data, &finished); done {
			return
		}
	}
}

// handleEvent processes one event. It returns true for an error event and for an invalid event, with
// which the response ends. It sets *finished if the event has a finish reason.
func (r *Result) handleEvent(data []byte, finished *bool) bool {
	var c chunk
	if err := json.Unmarshal(data, &c); err != nil {
		r.setOutcome(Wrong, fmt.Sprintf("event is not valid JSON: %q", data))
		return true
	}
	if c.Error != nil {
		r.Error, r.Ran = c.Error.Type, c.Error.Ran
		r.setOutcome(Aborted, string(data))
		r.checkPartialText()
		return true
	}
	r.mu.Lock()
	if r.FirstChunk == 0 {
		r.FirstChunk = time.Since(r.SentAt)
	}
	r.mu.Unlock()
	for _, x := range c.Choices {
		r.Text += x.Delta.Content
		*finished = *finished || x.Finish != ""
	}
	return false
}

// recordBrokenStream records the outcome of a stream that broke off.
func (r *Result) recordBrokenStream(ctx context.Context, err error) {
	r.recordError(ctx, err)
	r.checkPartialText()
}

// checkPartialText sets the outcome to Wrong if the text received so far is not the beginning of the
// text expected for the prompt.
func (r *Result) checkPartialText() {
	want := expect.SeedOf(r.Call.prompt()).Answer(r.Call.OutputLimit)
	if !strings.HasPrefix(want, r.Text) {
		r.setOutcome(Wrong, fmt.Sprintf("partial text is not the beginning of the expected one: %q", r.Text))
	}
}
