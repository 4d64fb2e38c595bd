package caller

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"snipeshift.example/lib/clock"
	"snipeshift.example/lib/decide"
	"snipeshift.example/lib/fault"
)

// Headers of answers.
const (
	headerRequest = "Snipeshift-Request"
	headerError   = "Snipeshift-Error"
	headerRan     = "Snipeshift-Ran"
	headerKnown   = "Snipeshift-Key"
	headerKind    = "Snipeshift-Kind"
	headerAllowed = "Snipeshift-Deadline"
	headerKey     = "Idempotency-Key"
	headerRetry   = "Retry-After"
	// headerAgain stops client libraries of the API from repeating on their own.
	headerAgain = "X-Should-Retry"
)

// refusal is the body of an answer that is no success, in the shape that client
// libraries of the API read.
type refusal struct {
	Error detail `json:"error"`
}

type detail struct {
	Message string           `json:"message"`
	Type    fault.Kind       `json:"type"`
	Code    fault.Kind       `json:"code"`
	Ran     fault.Ran        `json:"ran"`
	Key     fault.KeyState   `json:"key,omitempty"`
	Retry   clock.Milli      `json:"retry_ms,omitempty"`
	Request decide.RequestID `json:"request"`
}

func body(e *fault.Error, id decide.RequestID) []byte {
	b, err := json.Marshal(refusal{Error: detail{Message: e.Text, Type: e.Kind, Code: e.Kind, Ran: e.Ran, Key: e.Key, Retry: e.Retry, Request: id}})
	if err != nil {
		return []byte(`{"error":{"type":"internal"}}`)
	}
	return b
}

// refuse writes the final answer of a request that got no success.
func (g *Gate) refuse(w http.ResponseWriter, id decide.RequestID, e *fault.Error) {
	a := fault.Lookup(e.Kind)
	h := w.Header()
	h.Set("Content-Type", "application/json")
	h.Set(headerRequest, string(id))
	h.Set(headerError, string(e.Kind))
	h.Set(headerRan, string(e.Ran))
	if e.Key != "" {
		h.Set(headerKnown, string(e.Key))
	}
	if a.Retryable && e.Ran == fault.RanNo {
		h.Set(headerRetry, strconv.FormatInt(seconds(e.Retry), 10))
	} else {
		h.Set(headerAgain, "false")
	}
	g.finishHeaders(h)
	_ = http.NewResponseController(w).SetWriteDeadline(time.Now().Add(lastWords))
	w.WriteHeader(a.Status)
	_, _ = w.Write(body(e, id))
	g.metrics.refused(e.Kind, e.Ran)
}

// seconds rounds up, at least one: coming back earlier would find the same answer.
func seconds(m clock.Milli) int64 {
	return max(1, int64((m+clock.Second-1)/clock.Second))
}

func (g *Gate) finishHeaders(h http.Header) {
	if g.stopping.Load() {
		h.Set("Connection", "close")
	}
}
