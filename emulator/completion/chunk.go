package completion

import (
	"strconv"

	"snipeshift.example/emulator/batch"
	"snipeshift.example/lib/clock"
	"snipeshift.example/lib/decide"
	"snipeshift.example/lib/expect"
)

// Source is the request whose ID and answer a chunk contains. It is normally the request of the
// stream, and a different one while the engine's fault Control.Cross is set.
type Source struct {
	ID   decide.RequestID
	Seed expect.Seed
}

// AppendChunk appends event n of the stream of q in the API's JSON format, with the ID and text of v.
// The event after the last token holds the finish reason and the usage.
func AppendChunk(b []byte, q *batch.Request, n int, v Source) []byte {
	b = append(b, `{"id":`...)
	b = strconv.AppendQuote(b, string(v.ID))
	if q.Chat {
		b = append(b, `,"object":"chat.completion.chunk","created":`...)
	} else {
		b = append(b, `,"object":"text_completion","created":`...)
	}
	b = strconv.AppendInt(b, int64(q.Entry.Arrived/clock.Second), 10)
	b = append(b, `,"model":`...)
	b = strconv.AppendQuote(b, q.Model)
	b = append(b, `,"choices":[{"index":0,`...)
	if n == q.Limit {
		return appendFinish(b, q)
	}
	b = appendDelta(b, q, n)
	b = v.Seed.Append(b, n)
	if q.Chat {
		return append(b, `"},"finish_reason":null}]}`...)
	}
	return append(b, `","finish_reason":null}]}`...)
}

func appendDelta(b []byte, q *batch.Request, n int) []byte {
	switch {
	case !q.Chat:
		return append(b, `"text":"`...)
	case n == 0:
		return append(b, `"delta":{"role":"assistant","content":"`...)
	default:
		return append(b, `"delta":{"content":"`...)
	}
}

// appendFinish appends the remainder of the final chunk, with the finish reason and the usage.
func appendFinish(b []byte, q *batch.Request) []byte {
	if q.Chat {
		b = append(b, `"delta":{},"finish_reason":"length"}]`...)
	} else {
		b = append(b, `"text":"","finish_reason":"length"}]`...)
	}
	prompt := int64(q.Entry.Prompt)
	b = append(b, `,"usage":{"prompt_tokens":`...)
	b = strconv.AppendInt(b, prompt, 10)
	b = append(b, `,"completion_tokens":`...)
	b = strconv.AppendInt(b, int64(q.Limit), 10)
	b = append(b, `,"total_tokens":`...)
	b = strconv.AppendInt(b, prompt+int64(q.Limit), 10)
	b = append(b, `,"prompt_tokens_details":{"cached_tokens":`...)
	b = strconv.AppendInt(b, int64(q.Entry.Cached), 10)
	return append(b, `}}}`...)
}
