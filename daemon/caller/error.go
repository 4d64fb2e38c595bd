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

// Header fields of requests and responses.
const (
	headerRequest        = "Snipeshift-Request"
	headerError          = "Snipeshift-Error"
	headerRan            = "Snipeshift-Ran"
	headerKeyState       = "Snipeshift-Key"
	headerKind           = "Snipeshift-Kind"
	headerDeadline       = "Snipeshift-Deadline"
	headerIdempotencyKey = "Idempotency-Key"
	headerRetryAfter     = "Retry-After"
	// headerShouldRetry stops client libraries of the API from retrying automatically.
	headerShouldRetry = "X-Should-Retry"
)

// errorBody is the body of an error response, in the format of the OpenAI API.
type errorBody struct {
	Error errorDetail `json:"error"`
}

type errorDetail struct {
	Message string           `json:"message"`
	Type    fault.Kind       `json:"type"`
	Code    fault.Kind       `json:"code"`
	Ran     fault.Ran        `json:"ran"`
	Key     fault.KeyState   `json:"key,omitempty"`
	Retry   clock.Milli      `json:"retry_ms,omitempty"`
	Request decide.RequestID `json:"request"`
}

func errorJSON(e *fault.Error, id decide.RequestID) []byte {
	b, err := json.Marshal(errorBody{Error: errorDetail{Message: e.Text, Type: e.Kind, Code: e.Kind, Ran: e.Ran, Key: e.Key, Retry: e.Retry, Request: id}})
	if err != nil {
		return []byte(`{"error":{"type":"internal"}}`)
	}
	return b
}

// writeError writes an error response.
func (g *Gate) writeError(w http.ResponseWriter, id decide.RequestID, e *fault.Error) {
	class := fault.Lookup(e.Kind)
	h := w.Header()
	h.Set("Content-Type", "application/json")
	h.Set(headerRequest, string(id))
	h.Set(headerError, string(e.Kind))
	h.Set(headerRan, string(e.Ran))
	if e.Key != "" {
		h.Set(headerKeyState, string(e.Key))
	}
	if class.Retryable && e.Ran == fault.RanNo {
		h.Set(headerRetryAfter, strconv.FormatInt(retryAfterSeconds(e.Retry), 10))
	} else {
		h.Set(headerShouldRetry, "false")
	}
	g.setConnectionHeader(h)
	_ = http.NewResponseController(w).SetWriteDeadline(time.Now().Add(finalWriteTimeout))
	w.WriteHeader(class.Status)
	_, _ = w.Write(errorJSON(e, id))
	g.metrics.countError(e.Kind, e.Ran)
}

// retryAfterSeconds rounds up to whole seconds, at least one, so that the client does not retry
// before the condition ends.
func retryAfterSeconds(m clock.Milli) int64 {
	return max(1, int64((m+clock.Second-1)/clock.Second))
}

func (g *Gate) setConnectionHeader(h http.Header) {
	if g.stopping.Load() {
		h.Set("Connection", "close")
	}
}
