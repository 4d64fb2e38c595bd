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
	"snipeshift.example/lib/decide/blame"
	"snipeshift.example/lib/document"
	"snipeshift.example/lib/fault"
	"snipeshift.example/lib/peer"
)

// Limits of requests, where the configuration document sets none.
const (
	defaultMaxBody = 8 << 20
	// bodyTimeout bounds the time to read a body. Otherwise a client that sends its body slowly
	// would hold memory and a connection indefinitely.
	bodyTimeout       = 20 * time.Second
	maxIdempotencyKey = 256
	// bytesPerToken is the length of a token that the protocol assumes to estimate prompts.
	bytesPerToken = 4
)

// request is the state of one request at its gate.
type request struct {
	id        decide.RequestID
	workspace document.Workspace
	kind      document.Kind
	// deadline is an instant on this VM's clock.
	deadline       clock.Milli
	arrived        clock.Milli
	idempotencyKey string
	// ticket is set once a claim was tried for a non-repeatable request.
	ticket *claim.Ticket
	// stored is the response of an earlier request with the same key.
	stored *peer.ClaimReply
	// upstream is the upstream to which the request was sent last; empty before the first attempt.
	upstream decide.UpstreamID
	// target is the name of the model or service.
	target string
	// body is sent to the upstream unchanged.
	body   []byte
	prompt decide.Tokens
	output decide.Tokens
	// prefixes are hashes of increasingly long prefixes of the prompt.
	prefixes    []decide.PrefixHash
	fingerprint uint64
	// parts are the parts that other requests may share, besides prefixes.
	parts        []blame.Part
	stream       bool
	includeUsage bool
	chat         bool
}

// authenticate finds the workspace of a request by its API key.
func (g *Gate) authenticate(r *http.Request, c *document.Index) (*request, *fault.Error) {
	q := &request{arrived: g.Clock.Now()}
	// The deadline depends on the request kind, which is not known yet, so the ID contains the
	// arrival time instead.
	q.id = g.newRequestID(q.arrived)
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

// identify determines the workspace, kind, deadline and idempotency key of a request from its
// header.
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
	q.id = g.newRequestID(q.deadline)
	q.idempotencyKey = r.Header.Get(headerIdempotencyKey)
	if len(q.idempotencyKey) > maxIdempotencyKey || !utf8.ValidString(q.idempotencyKey) {
		return q, fault.New(fault.Malformed, "%s is at most %d bytes of UTF-8", headerIdempotencyKey, maxIdempotencyKey)
	}
	if !k.Repeatable && q.idempotencyKey == "" {
		return q, fault.New(fault.Keyless, "kind %s must not be repeated: send %s", k.Name, headerIdempotencyKey)
	}
	return q, nil
}

// newRequestID returns a new ID, which contains the request's deadline.
func (g *Gate) newRequestID(deadline clock.Milli) decide.RequestID {
	o := peer.Origin{VM: g.vm, Incarnation: g.incarnation, Deadline: deadline, Count: g.requestSerial.Add(1)}
	return o.ID()
}

// allowedTime returns the time limit of the kind, or a shorter one if the client sent it.
func allowedTime(r *http.Request, k document.Kind) (clock.Milli, *fault.Error) {
	s := r.Header.Get(headerDeadline)
	if s == "" {
		return k.TimeLimit, nil
	}
	n, err := strconv.ParseInt(s, 10, 64)
	if err != nil || n < 1 {
		return 0, fault.New(fault.Malformed, "%s is a time in milliseconds, 1 or more", headerDeadline)
	}
	return min(clock.Milli(n), k.TimeLimit), nil
}

// readBody reads a body within the limits for its size and time.
func (g *Gate) readBody(w http.ResponseWriter, r *http.Request, c *document.Index, q *request) ([]byte, *fault.Error) {
	limit := c.Document().Limits.Body
	if limit <= 0 {
		limit = defaultMaxBody
	}
	// The time left until the deadline applies as well.
	left := min(bodyTimeout, (q.deadline - g.Clock.Now()).Duration())
	rc := http.NewResponseController(w)
	_ = rc.SetReadDeadline(time.Now().Add(left))
	b := bytes.NewBuffer(make([]byte, 0, bodyBufferSize(r.ContentLength, limit)))
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

// bodyBufferSize returns the initial size of a body's buffer. Content-Length is not trusted for
// large sizes: many clients that announce megabytes and send nothing would use up the memory that
// other requests need.
func bodyBufferSize(length, limit int64) int64 {
	return min(max(length, 0), limit, maxInitialBodyBuffer) + bytes.MinRead
}

// maxInitialBodyBuffer holds a prompt of about 16,000 tokens, longer than most.
const maxInitialBodyBuffer = 64 << 10

// parse reads the body of a generation request and builds the body for the engine.
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
	q.target, q.stream, q.includeUsage = m.Name, x.Stream, x.IncludeUsage
	q.prompt = decide.Tokens((len(x.Prompt) + bytesPerToken - 1) / bytesPerToken)
	q.output = q.kind.Output
	if x.MaxTokens > 0 {
		q.output = x.MaxTokens
	}
	if m.Context > 0 && q.prompt+q.output > m.Context {
		return fault.New(fault.Oversize, "prompt and output need %d tokens, model %s takes %d", q.prompt+q.output, m.Name, m.Context)
	}
	q.prefixes = prefixHashes(x.Prompt)
	if x.First > 0 {
		q.parts = []blame.Part{blame.Part(xxhash.Sum64(x.Prompt[:x.First]))}
	}
	q.fingerprint = xxhash.Sum64(b)
	q.body = x.EngineBody(q.output)
	return nil
}

// prefixHashes hashes the first 1, 2, 4, ... blocks of the prompt.
func prefixHashes(text []byte) []decide.PrefixHash {
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
