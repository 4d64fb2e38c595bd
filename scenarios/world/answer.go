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

// endMark is the last event of a whole stream.
const endMark = "[DONE]"

// chunk is an event of a stream, or an answer that is not streamed.
type chunk struct {
	Choices []struct {
		Finish  string `json:"finish_reason"`
		Delta   text   `json:"delta"`
		Message text   `json:"message"`
	} `json:"choices"`
	Error *struct {
		Type    string `json:"type"`
		Ran     string `json:"ran"`
		Request string `json:"request"`
	} `json:"error"`
}

type text struct {
	Content string `json:"content"`
}

// served is the answer of the plain service's stand-in.
type served struct {
	Path string `json:"path"`
	Hash string `json:"hash"`
}

// read takes the answer in and judges it.
func (r *Result) read(ctx context.Context, resp *http.Response) {
	switch {
	case resp.StatusCode != http.StatusOK:
		r.refused(ctx, resp.Body)
	case r.Call.Service:
		r.plain(ctx, resp.Body)
	case r.Call.NonStreaming || r.Replayed:
		r.whole(ctx, resp.Body)
	default:
		r.stream(ctx, resp.Body)
	}
}

func (r *Result) refused(ctx context.Context, body io.Reader) {
	b, err := io.ReadAll(body)
	if err != nil {
		r.broken(ctx, err)
		return
	}
	if r.Error == "" && !r.Call.Service {
		r.ends(Wrong, fmt.Sprintf("a refusal without error kind: %s", b))
		return
	}
	r.ends(Refused, string(b))
}

func (r *Result) plain(ctx context.Context, body io.Reader) {
	b, err := io.ReadAll(body)
	if err != nil {
		r.broken(ctx, err)
		return
	}
	var s served
	want := strconv.FormatUint(xxhash.Sum64String(r.Call.prompt()), 16)
	if json.Unmarshal(b, &s) != nil || s.Hash != want || s.Path != "/"+r.Call.PromptStart {
		r.ends(Wrong, fmt.Sprintf("answer %s, want hash %s", b, want))
		return
	}
	r.ends(Complete, "")
}

func (r *Result) whole(ctx context.Context, body io.Reader) {
	b, err := io.ReadAll(body)
	if err != nil {
		r.broken(ctx, err)
		return
	}
	var c chunk
	if err := json.Unmarshal(b, &c); err != nil || len(c.Choices) != 1 {
		r.ends(Wrong, fmt.Sprintf("not an answer of the API: %s", b))
		return
	}
	r.Text = c.Choices[0].Message.Content
	r.judge()
}

// judge compares a complete answer with the one that its prompt calls for.
func (r *Result) judge() {
	if err := expect.Check(r.Call.prompt(), r.Text, r.Call.OutputLimit); err != nil {
		r.ends(Wrong, err.Error())
		return
	}
	r.ends(Complete, "")
}

// stream reads events to the end mark, an error event or the end of the connection.
func (r *Result) stream(ctx context.Context, body io.Reader) {
	lines := bufio.NewReader(body)
	finished := false
	for {
		line, err := lines.ReadBytes('\n')
		data, ok := bytes.CutPrefix(bytes.TrimSpace(line), []byte("data: "))
		if err != nil {
			r.unfinished(ctx, err)
			return
		}
		if !ok {
			continue
		}
		if string(data) == endMark {
			if !finished {
				r.ends(Wrong, "an end mark without a finish reason")
				return
			}
			r.judge()
			return
		}
		if done := r.event(data, &finished); done {
			return
		}
	}
}

// event takes one event; it returns true when the answer has ended with it.
func (r *Result) event(data []byte, finished *bool) bool {
	var c chunk
	if err := json.Unmarshal(data, &c); err != nil {
		r.ends(Wrong, fmt.Sprintf("event %q", data))
		return true
	}
	if c.Error != nil {
		r.Error, r.Ran = c.Error.Type, c.Error.Ran
		r.ends(Aborted, string(data))
		r.own()
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

// unfinished ends a stream that broke off.
func (r *Result) unfinished(ctx context.Context, err error) {
	r.broken(ctx, err)
	r.own()
}

// own checks that a part of an answer is the start of the call's own.
func (r *Result) own() {
	want := expect.SeedOf(r.Call.prompt()).Answer(r.Call.OutputLimit)
	if !strings.HasPrefix(want, r.Text) {
		r.ends(Wrong, fmt.Sprintf("part of an answer that is not its own: %q", r.Text))
	}
}
