package caller

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"strings"

	"github.com/cespare/xxhash/v2"

	"snipeshift.example/daemon/claim"
	"snipeshift.example/lib/clock"
	"snipeshift.example/lib/decide"
	"snipeshift.example/lib/decide/blame"
	"snipeshift.example/lib/document"
	"snipeshift.example/lib/engine"
	"snipeshift.example/lib/fault"
	"snipeshift.example/lib/peer"
	"snipeshift.example/lib/retryafter"
	"snipeshift.example/lib/timeline"
)

// hopByHopHeaders apply to a single connection and are not forwarded.
var hopByHopHeaders = []string{"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Te", "Trailer", "Transfer-Encoding", "Upgrade"}

// service handles requests to plain services. All methods are accepted, and bodies are forwarded
// unchanged.
func (g *Gate) service(w http.ResponseWriter, r *http.Request) {
	c, ok := g.Registry.Index()
	if !ok {
		g.writeError(w, g.newRequestID(g.Clock.Now()), noConfiguration())
		return
	}
	sv, known := c.Service(r.PathValue("name"))
	kind := ""
	if known {
		kind = sv.Kind
	}
	q, e := g.identify(r, c, kind)
	if e == nil && !known {
		e = fault.New(fault.Unknown, "no service %q", r.PathValue("name"))
	}
	if e != nil {
		g.writeError(w, q.id, e)
		return
	}
	q.target = sv.Name
	if q.body, e = g.readBody(w, r, c, q); e != nil {
		g.writeError(w, q.id, e)
		return
	}
	q.fingerprint = fingerprint(r, q.body)
	q.parts = []blame.Part{blame.Part(fingerprint(r, nil))}
	ctx, cancel := context.WithTimeout(r.Context(), (q.deadline - g.Clock.Now()).Duration())
	defer cancel()
	g.recordEvent(q, timeline.Arrived, "", q.kind.Name)
	x := &serviceCall{gate: g, q: q, w: w, r: r}
	e = g.serve(ctx, c, q, x)
	g.recordOutcome(q, e)
	if e != nil {
		g.finishFailedCall(x, e)
	}
	g.metrics.observeRequest(q, g.Clock.Now())
}

func (g *Gate) finishFailedCall(x *serviceCall, e *fault.Error) {
	if x.q.stored != nil && x.q.stored.Status != 0 {
		g.writeStored(x.w, x.q)
		return
	}
	if x.headersSent {
		// The header was sent already. Closing the connection is the only way to show the client
		// that the response is incomplete.
		g.metrics.countError(e.Kind, e.Ran)
		panic(http.ErrAbortHandler)
	}
	g.writeError(x.w, x.q.id, e)
}

func fingerprint(r *http.Request, body []byte) uint64 {
	d := xxhash.New()
	_, _ = d.WriteString(r.Method + " " + r.URL.RequestURI() + "\n")
	_, _ = d.Write(body)
	return d.Sum64()
}

// serviceCall dispatches one request to a plain service.
type serviceCall struct {
	gate        *Gate
	q           *request
	w           http.ResponseWriter
	r           *http.Request
	headersSent bool
}

func (x *serviceCall) started() bool { return x.headersSent }

// dispatch sends the request and forwards the response.
func (x *serviceCall) dispatch(ctx context.Context, pg poolGrant, u document.Upstream) result {
	req, err := http.NewRequestWithContext(ctx, x.r.Method, "http://"+u.Address+upstreamURI(x.r), bytes.NewReader(x.q.body))
	if err != nil {
		return result{unsent: true, outcome: decide.Unused, fault: fault.New(fault.Malformed, "the path cannot be passed on: %v", err)}
	}
	req.GetBody = nil
	x.setUpstreamHeader(req)
	// Each call uses a new connection: a plain service streams no tokens, so nothing would reveal
	// that a kept-alive connection is broken.
	resp, err := x.gate.Engines.Do(req, true)
	if err != nil {
		return x.failure(ctx, u, err)
	}
	defer resp.Body.Close()
	// A 429 status is forwarded and not recorded as a back-off: it may result from a rate limit
	// that the service applies to this client alone.
	if backoff, _ := retryafter.Parse(resp.Header); resp.StatusCode == http.StatusServiceUnavailable && backoff > 0 {
		x.gate.recordBackoff(x.q.target, pg.grant.Upstreams[0], backoff)
	}
	return x.forwardResponse(ctx, u, resp)
}

// upstreamURI returns the path and query that go to the service, still escaped as the client sent
// them. Decoding them would turn an escaped question mark or percent sign in a name into a
// different path.
func upstreamURI(r *http.Request) string {
	path := "/"
	// The path is /services/NAME/REST.
	if parts := strings.SplitN(r.URL.EscapedPath(), "/", servicePathParts); len(parts) == servicePathParts {
		path += parts[servicePathParts-1]
	}
	if r.URL.RawQuery != "" {
		path += "?" + r.URL.RawQuery
	}
	return path
}

// servicePathParts is the number of parts of /services/NAME/REST, including the empty part before
// the first slash.
const servicePathParts = 4

func (x *serviceCall) setUpstreamHeader(req *http.Request) {
	req.Header = x.r.Header.Clone()
	for _, v := range req.Header.Values("Connection") {
		for h := range strings.SplitSeq(v, ",") {
			req.Header.Del(strings.TrimSpace(h))
		}
	}
	for _, h := range hopByHopHeaders {
		req.Header.Del(h)
	}
	// The body was received completely, so the upstream need not be asked before it is sent.
	req.Header.Del("Expect")
	// The key of the workspace is not disclosed to upstreams.
	req.Header.Del("Authorization")
	for h := range req.Header {
		if strings.HasPrefix(h, "Snipeshift-") {
			req.Header.Del(h)
		}
	}
	req.Header.Set(engine.HeaderRequest, string(x.q.id))
}

// forwardResponse copies the response to the client, and keeps the beginning to store it for
// repeats of the key.
func (x *serviceCall) forwardResponse(ctx context.Context, u document.Upstream, resp *http.Response) result {
	usage := usageOf(resp.StatusCode)
	if resp.ContentLength > maxServiceResponse {
		return result{outcome: decide.Failed, usage: usage, fault: fault.New(fault.Upstream, "the answer of upstream %s is too large", u.Name)}
	}
	h := x.w.Header()
	for k, vs := range resp.Header {
		h[k] = vs
	}
	for _, k := range hopByHopHeaders {
		h.Del(k)
	}
	h.Set(headerRequest, string(x.q.id))
	x.gate.setConnectionHeader(h)
	rc := http.NewResponseController(x.w)
	x.gate.setWriteDeadline(rc, x.q)
	x.w.WriteHeader(resp.StatusCode)
	x.headersSent = true
	var stored responseCopy
	n, err := io.Copy(&clientWriter{call: x, rc: rc, stored: &stored}, io.LimitReader(resp.Body, maxServiceResponse+1))
	if err == nil && n <= maxServiceResponse {
		x.gate.settleClaim(x.q, resp.StatusCode, stored.bytes())
		return result{outcome: decide.Done, usage: usage}
	}
	r := result{outcome: decide.Failed, usage: usage, fault: fault.New(fault.Incomplete, "the answer of upstream %s stopped", u.Name)}
	if ctx.Err() != nil || errors.Is(err, errClientWrite) {
		r.outcome = decide.Canceled
	}
	return r
}

// maxServiceResponse is the size of the largest response of a plain service in bytes. A longer one is cut off.
const maxServiceResponse = 8 << 20

// usageOf returns the usage charged for a call that got a response. The statuses 503 and 429
// declare that the service did not take the call, so nothing is charged for them.
func usageOf(status int) peer.Usage {
	if retryafter.IsRejection(status) {
		return peer.Usage{}
	}
	return peer.Usage{Requests: 1}
}

// failure classifies an attempt without a response.
func (x *serviceCall) failure(ctx context.Context, u document.Upstream, err error) result {
	if engine.ErrNotSent.Has(err) && ctx.Err() == nil {
		return result{unsent: true, outcome: unsentOutcome(err), fault: fault.New(fault.Unavailable, "upstream %s cannot be reached", u.Name).WithRan(fault.RanNo).WithRetry(clock.Second)}
	}
	// Nothing is charged, since nothing proves that the call ran. If packets are lost on the way to
	// the service, a workspace would otherwise pay for calls that no upstream received.
	r := result{outcome: decide.Failed, unsent: engine.ErrNotSent.Has(err)}
	switch {
	case ctx.Err() != nil:
		r.outcome = decide.Canceled
		r.fault = contextFault(ctx)
	default:
		if x.gate.crashed(u.Address) {
			r.outcome = decide.Lost
		}
		r.fault = fault.New(fault.Upstream, "upstream %s gave no answer", u.Name)
	}
	switch {
	case r.unsent:
		r.fault = r.fault.WithRan(fault.RanNo)
	case !x.q.kind.Repeatable:
		r.fault = fault.New(fault.Indeterminate, "sent to upstream %s, and its outcome is not known: %s", u.Name, r.fault.Text)
	}
	return r
}

// responseCopy collects the beginning of a response, up to one byte more than may be stored. The
// extra byte shows that the response is too long.
type responseCopy struct{ b []byte }

func (k *responseCopy) add(p []byte) {
	if room := claim.MaxStoredAnswer + 1 - len(k.b); room > 0 {
		k.b = append(k.b, p[:min(room, len(p))]...)
	}
}

// bytes never returns nil, since nil stands for a response that is not stored, unlike an empty one.
func (k *responseCopy) bytes() []byte { return append([]byte{}, k.b...) }

// clientWriter writes a response to the client. Its errors include errClientWrite, which tells them
// apart from errors of reading from the upstream.
type clientWriter struct {
	call   *serviceCall
	rc     *http.ResponseController
	stored *responseCopy
}

// Write implements io.Writer.
func (p *clientWriter) Write(b []byte) (int, error) {
	p.stored.add(b)
	p.call.gate.setWriteDeadline(p.rc, p.call.q)
	n, err := p.call.w.Write(b)
	if err != nil {
		return n, errors.Join(errClientWrite, err)
	}
	return n, p.rc.Flush()
}
