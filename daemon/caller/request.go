package caller

import (
	"bytes"
	"errors"
	"net/http"
	"os"
	"strconv"
	"strings"
	"time"
	"unicode/utf8"

	"github.com/cespare/xxhash/v2"

	"snipeshift.example/daemon/claim"
	"snipeshift.example/daemon/openai"
	"snipeshift.example/lib/clock"
	"snipeshift.example/lib/decide"
	"snipeshift.example/lib/document"
	"snipeshift.example/lib/fault"
	"snipeshift.example/lib/peer"
)

// Limits of what a caller may send, where the document names none.
const (
	defaultBody = 8 << 20
	// bodyTime bounds the reading of a body: a caller that trickles bytes would
	// hold memory and a connection for as long as it likes.
	bodyTime = 20 * time.Second
	maxKey   = 256
	// bytesPerToken is the estimate of the protocol.
	bytesPerToken = 4
)

// request is what a gate knows of one request.
type request struct {
	id        decide.RequestID
	workspace document.Workspace
	kind      document.Kind
	// deadline is an instant of this clock.
	deadline clock.Milli
	arrived  clock.Milli
	key      string
	// ticket is set once a claim was tried for a request that must not be repeated.
	ticket *claim.Ticket
	// replay is the kept answer of an earlier request with the same key.
	replay *peer.ClaimReply
	// upstream is the one that it was sent to last; empty before the first.
	upstream decide.UpstreamID
	// target is the model or service.
	target string
	// body goes to the upstream as it is.
	body   []byte
	prompt decide.Tokens
	output decide.Tokens
	// prefixes are hashes of growing leading parts of the prompt.
	prefixes    []decide.PrefixHash
	fingerprint uint64
	stream      bool
	usage       bool
	chat        bool
}

// authenticate finds the workspace of a request by its key.
func (g *Gate) authenticate(r *http.Request, c *document.Index) (*request, *fault.Error) {
	q := &request{arrived: g.Clock.Now()}
	// Until the kind is known, the id carries the present as its end.
	q.id = g.newID(q.arrived)
	key, ok := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	if !ok || key == "" {
		return q, fault.New(fault.Unauthorized, "send the workspace's key as Authorization: Bearer KEY")
	}
	w, ok := c.WorkspaceByKey(key)
	if !ok {
		return q, fault.New(fault.Unauthorized, "no workspace holds this key")
	}
	q.workspace = *w
	return q, nil
}

// identify finds workspace, kind, allowed time and key of a request. It reads headers only.
func (g *Gate) identify(r *http.Request, c *document.Index, kind string) (*request, *fault.Error) {
	q, e := g.authenticate(r, c)
	if e != nil {
		return q, e
	}
	if n := r.Header.Get(headerKind); n != "" {
		kind = n
	}
	k, ok := c.Kind(kind)
	if !ok {
		return q, fault.New(fault.Unknown, "no request kind %q", kind)
	}
	if !q.workspace.AllowsKind(k.Name) {
		return q, fault.New(fault.Forbidden, "workspace %s may not send kind %s", q.workspace.Name, k.Name)
	}
	q.kind = *k
	allowed, e := allowedTime(r, *k)
	if e != nil {
		return q, e
	}
	q.deadline = q.arrived + allowed
	q.id = g.newID(q.deadline)
	q.key = r.Header.Get(headerKey)
	if len(q.key) > maxKey || !utf8.ValidString(q.key) {
		return q, fault.New(fault.Malformed, "%s is at most %d bytes of UTF-8", headerKey, maxKey)
	}
	if !k.Repeatable && q.key == "" {
		return q, fault.New(fault.Keyless, "kind %s must not be repeated: send %s", k.Name, headerKey)
	}
	return q, nil
}

func (g *Gate) newID(deadline clock.Milli) decide.RequestID {
	o := peer.Origin{VM: g.vm, Incarnation: g.incarnation, Deadline: deadline, Count: g.count.Add(1)}
	return o.ID()
}

// allowedTime is the kind's, or a shorter one that the caller names.
func allowedTime(r *http.Request, k document.Kind) (clock.Milli, *fault.Error) {
	s := r.Header.Get(headerAllowed)
	if s == "" {
		return k.TimeLimit, nil
	}
	n, err := strconv.ParseInt(s, 10, 64)
	if err != nil || n < 1 {
		return 0, fault.New(fault.Malformed, "%s is a time in milliseconds, 1 or more", headerAllowed)
	}
	return min(clock.Milli(n), k.TimeLimit), nil
}

// read reads a body within its limits of size and time.
func (g *Gate) read(w http.ResponseWriter, r *http.Request, c *document.Index, q *request) ([]byte, *fault.Error) {
	limit := c.Document().Limits.Body
	if limit <= 0 {
		limit = defaultBody
	}
	// The request's own allowed time bounds the reading too.
	left := min(bodyTime, (q.deadline - g.Clock.Now()).Duration())
	rc := http.NewResponseController(w)
	_ = rc.SetReadDeadline(time.Now().Add(left))
	b := bytes.NewBuffer(make([]byte, 0, bodyRoom(r.ContentLength, limit)))
	_, err := b.ReadFrom(http.MaxBytesReader(w, r.Body, limit))
	if err == nil {
		_ = rc.SetReadDeadline(time.Time{})
		return b.Bytes(), nil
	}
	var large *http.MaxBytesError
	if errors.As(err, &large) {
		return nil, fault.New(fault.Large, "the body is over %d bytes", limit)
	}
	if errors.Is(err, os.ErrDeadlineExceeded) {
		return nil, fault.New(fault.Slow, "the body did not arrive within %v", left)
	}
	return nil, fault.New(fault.Malformed, "the body cannot be read: %v", err)
}

// bodyRoom is how much room is made for a body before it is read. The length is
// only what the caller says: room for megabytes that never come, from many
// callers at once, would take the memory of requests that do.
func bodyRoom(length, limit int64) int64 {
	return min(max(length, 0), limit, firstRoom) + bytes.MinRead
}

// firstRoom holds a prompt of about 16 k tokens, longer than most.
const firstRoom = 64 << 10

// parse reads a generation request and makes the body that goes to the engine.
func (q *request) parse(b []byte, c *document.Index) *fault.Error {
	x, e := openai.ParseRequest(b, q.chat)
	if e != nil {
		return e
	}
	m, ok := c.Model(x.Model)
	if !ok {
		return fault.New(fault.Unknown, "no model %q", x.Model)
	}
	if !q.workspace.AllowsModel(m.Name) {
		return fault.New(fault.Forbidden, "workspace %s may not use model %s", q.workspace.Name, m.Name)
	}
	q.target, q.stream, q.usage = m.Name, x.Stream, x.IncludeUsage
	q.prompt = decide.Tokens((len(x.Prompt) + bytesPerToken - 1) / bytesPerToken)
	q.output = q.kind.Output
	if x.MaxTokens > 0 {
		q.output = x.MaxTokens
	}
	if m.Context > 0 && q.prompt+q.output > m.Context {
		return fault.New(fault.Oversize, "prompt and output need %d tokens, model %s takes %d", q.prompt+q.output, m.Name, m.Context)
	}
	q.prefixes = prefixes(x.Prompt)
	q.fingerprint = xxhash.Sum64(b)
	q.body = x.EngineBody(q.output)
	return nil
}

// prefixes hashes the first 1, 2, 4, ... blocks of the prompt.
func prefixes(text []byte) []decide.PrefixHash {
	const block = int(decide.PrefixBlock) * bytesPerToken
	var out []decide.PrefixHash
	d := xxhash.New()
	done := 0
	for n := block; n <= len(text); n *= 2 {
		_, _ = d.Write(text[done:n])
		done = n
		out = append(out, decide.PrefixHash(d.Sum64()))
	}
	return out
}
