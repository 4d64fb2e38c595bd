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
	"snipeshift.example/lib/document"
	"snipeshift.example/lib/engine"
	"snipeshift.example/lib/fault"
	"snipeshift.example/lib/peer"
	"snipeshift.example/lib/retryafter"
	"snipeshift.example/lib/timeline"
)

// hopHeaders belong to one connection and are not passed on.
var hopHeaders = []string{"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Te", "Trailer", "Transfer-Encoding", "Upgrade"}

// service serves requests to plain services, any method, the body passed through.
func (g *Gate) service(w http.ResponseWriter, r *http.Request) {
	c, ok := g.Registry.Index()
	if !ok {
		g.refuse(w, g.newID(g.Clock.Now()), noDocument())
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
		g.refuse(w, q.id, e)
		return
	}
	q.target = sv.Name
	if q.body, e = g.read(w, r, c, q); e != nil {
		g.refuse(w, q.id, e)
		return
	}
	q.fingerprint = fingerprint(r, q.body)
	ctx, cancel := context.WithTimeout(r.Context(), (q.deadline - g.Clock.Now()).Duration())
	defer cancel()
	g.note(q, timeline.Arrived, "", q.kind.Name)
	x := &passage{gate: g, q: q, w: w, r: r}
	e = g.serve(ctx, c, q, x)
	g.conclude(q, e)
	if e != nil {
		g.endPassage(x, e)
	}
	g.metrics.served(q, g.Clock.Now())
}

func (g *Gate) endPassage(x *passage, e *fault.Error) {
	if x.q.replay != nil && x.q.replay.Status != 0 {
		g.replay(x.w, x.q)
		return
	}
	if x.wrote {
		// Headers are out; only a cut connection tells the caller that the answer is not whole.
		g.metrics.refused(e.Kind, e.Ran)
		panic(http.ErrAbortHandler)
	}
	g.refuse(x.w, x.q.id, e)
}

func fingerprint(r *http.Request, body []byte) uint64 {
	d := xxhash.New()
	_, _ = d.WriteString(r.Method + " " + r.URL.RequestURI() + "\n")
	_, _ = d.Write(body)
	return d.Sum64()
}

// passage dispatches one request to a plain service.
type passage struct {
	gate  *Gate
	q     *request
	w     http.ResponseWriter
	r     *http.Request
	wrote bool
}

func (x *passage) started() bool { return x.wrote }

// dispatch sends the request and passes the answer on.
func (x *passage) dispatch(ctx context.Context, gr granted, u document.Upstream) result {
	req, err := http.NewRequestWithContext(ctx, x.r.Method, "http://"+u.Address+rest(x.r), bytes.NewReader(x.q.body))
	if err != nil {
		return result{unsent: true, outcome: decide.Unused, fault: fault.New(fault.Malformed, "the path cannot be passed on: %v", err)}
	}
	req.GetBody = nil
	x.headers(req)
	// Always a connection of its own: a plain service streams no tokens whose
	// absence would show that a kept connection has gone silent.
	resp, err := x.gate.Engines.Do(req, true)
	if err != nil {
		return x.failed(ctx, u, err)
	}
	defer resp.Body.Close()
	// A 429 of a service is its word to the caller, who may have a rate of its own there.
	if rest, _ := retryafter.Parse(resp.Header); resp.StatusCode == http.StatusServiceUnavailable && rest > 0 {
		x.gate.wantsRest(x.q.target, gr.grant.Upstreams[0], rest)
	}
	return x.pass(ctx, u, resp)
}

// rest is the service's own part of a request's path and query, as the caller wrote it.
// Decoded once and sent on, a question mark or a percent sign in a name would make
// another path of it, and the service would act on something else.
func rest(r *http.Request) string {
	path := "/"
	// The path is /services/NAME/REST.
	if parts := strings.SplitN(r.URL.EscapedPath(), "/", servicePath); len(parts) == servicePath {
		path += parts[servicePath-1]
	}
	if r.URL.RawQuery != "" {
		path += "?" + r.URL.RawQuery
	}
	return path
}

// servicePath counts the parts of a path to a service, the empty one before the first slash included.
const servicePath = 4

func (x *passage) headers(req *http.Request) {
	req.Header = x.r.Header.Clone()
	for _, v := range req.Header.Values("Connection") {
		for h := range strings.SplitSeq(v, ",") {
			req.Header.Del(strings.TrimSpace(h))
		}
	}
	for _, h := range hopHeaders {
		req.Header.Del(h)
	}
	// The body is here already; nobody waits for the upstream's word to send it.
	req.Header.Del("Expect")
	// The workspace's key is between the caller and this system.
	req.Header.Del("Authorization")
	for h := range req.Header {
		if strings.HasPrefix(h, "Snipeshift-") {
			req.Header.Del(h)
		}
	}
	req.Header.Set(engine.HeaderRequest, string(x.q.id))
}

// pass copies the answer, keeping the start of it for a repeat of the key.
func (x *passage) pass(ctx context.Context, u document.Upstream, resp *http.Response) result {
	usage := charge(resp.StatusCode)
	h := x.w.Header()
	for k, vs := range resp.Header {
		h[k] = vs
	}
	for _, k := range hopHeaders {
		h.Del(k)
	}
	h.Set(headerRequest, string(x.q.id))
	x.gate.finishHeaders(h)
	rc := http.NewResponseController(x.w)
	x.gate.limitWrite(rc, x.q)
	x.w.WriteHeader(resp.StatusCode)
	x.wrote = true
	var keep keeper
	_, err := io.Copy(&passWriter{passage: x, rc: rc, keep: &keep}, resp.Body)
	if err == nil {
		x.gate.answered(x.q, resp.StatusCode, keep.bytes())
		return result{outcome: decide.Done, usage: usage}
	}
	r := result{outcome: decide.Failed, usage: usage, fault: fault.New(fault.Incomplete, "the answer of upstream %s stopped", u.Name)}
	if ctx.Err() != nil || errors.Is(err, errCaller) {
		r.outcome = decide.Canceled
	}
	return r
}

// charge is what a workspace is charged for a call that was answered.
// By these two statuses a service says that it did not take a call on: nothing ran that could be charged.
func charge(status int) peer.Usage {
	if retryafter.IsRejection(status) {
		return peer.Usage{}
	}
	return peer.Usage{Requests: 1}
}

// failed classifies an attempt without an answer.
func (x *passage) failed(ctx context.Context, u document.Upstream, err error) result {
	if engine.ErrNotSent.Has(err) && ctx.Err() == nil {
		return result{unsent: true, outcome: decide.Lost, fault: fault.New(fault.Unavailable, "upstream %s cannot be reached", u.Name).WithRan(fault.RanNo).WithRetry(clock.Second)}
	}
	// Nothing proves that it ran, so nothing is charged: over a link that carries
	// nothing, a team would pay for calls that no upstream ever saw.
	r := result{outcome: decide.Failed, unsent: engine.ErrNotSent.Has(err)}
	switch {
	case ctx.Err() != nil:
		r.outcome = decide.Canceled
		r.fault = ended(ctx)
	default:
		if x.gate.died(u.Address) {
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

// keeper keeps the start of an answer, up to one byte more than may be kept.
type keeper struct{ b []byte }

func (k *keeper) add(p []byte) {
	if room := claim.MaxStoredAnswer + 1 - len(k.b); room > 0 {
		k.b = append(k.b, p[:min(room, len(p))]...)
	}
}

// bytes is never nil: an empty answer is one that was kept.
func (k *keeper) bytes() []byte { return append([]byte{}, k.b...) }

// passWriter tells failures of the caller from failures of the upstream.
type passWriter struct {
	passage *passage
	rc      *http.ResponseController
	keep    *keeper
}

// Write implements io.Writer.
func (p *passWriter) Write(b []byte) (int, error) {
	p.keep.add(b)
	p.passage.gate.limitWrite(p.rc, p.passage.q)
	n, err := p.passage.w.Write(b)
	if err != nil {
		return n, errors.Join(errCaller, err)
	}
	return n, p.rc.Flush()
}
