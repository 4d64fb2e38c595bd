package relay

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"strings"
	"sync/atomic"

	"github.com/zeebo/errs"

	"snipeshift.example/daemon/registry"
	"snipeshift.example/lib/decide/span"
	"snipeshift.example/lib/dial"
	"snipeshift.example/lib/exchange"
	"snipeshift.example/lib/logline"
	"snipeshift.example/lib/route"
)

// Reasons why a send fails.
var (
	errMismatch    = errs.New("the answer belongs to another request")
	errUnsigned    = errs.New("the answer bears no upstream's mark")
	errRejected    = errs.New("the upstream turned it away")
	errMisdirected = errs.New("the address belongs to another upstream")
	errReserve     = errs.New("no memory could be reserved")
	errTruncated   = errs.New("the answer stopped in the middle")
	errOversize    = errs.New("the answer is larger than it may be")
	errLeaving     = errs.New("the upstream is leaving")
	errWithheld    = errs.New("withheld by what the upstream says of itself")
)

// bufferLimit is the size in bytes of the largest response that is buffered before it is passed on,
// so that an incomplete one can be replaced by a retry. Larger responses are passed on as they arrive.
// Responses without end reach it, and must leave room for the bodies of other requests.
const bufferLimit = 256 << 10

// answer is a buffered response of an upstream.
type answer struct {
	status int
	header http.Header
	body   []byte
}

// send sends the request once, to the upstreams of the grant.
func (x *request) send(ctx context.Context, grant span.Grant) result {
	g := x.gate
	v := g.Registry.View()
	if err := x.checkKey(v); err != nil {
		return result{verdict: notRun, outcome: span.Left, err: err, final: err}
	}
	u := v.Upstream(x.service, func(u *route.Upstream) bool { return u.ID == grant.Leader.Upstream })
	if u == nil || u.Leaving {
		// The owner's list of upstreams is older than this VM's. A leaving upstream must not get
		// new requests.
		return result{verdict: notRun, outcome: span.Left, err: errLeaving, unsent: true}
	}
	if !g.Suspects.Begin(x.fingerprint) {
		return result{verdict: notRun, outcome: span.Left, err: errs.New("a copy of this suspect runs")}
	}
	var res result
	defer func() { g.Suspects.End(x.fingerprint, res.verdict == answered) }()
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	var withheld bool
	if res, withheld = x.checkStatements(grant); withheld {
		return res
	}
	memory, failed := x.reserve(ctx, grant)
	if failed != nil {
		res = *failed
		return res
	}
	defer memory.free()
	// Check again: while memory was being reserved, the response to another request may have
	// contained a statement that forbids this send.
	if res, withheld = x.checkStatements(grant); withheld {
		return res
	}
	res = x.roundTrip(ctx, cancel, grant, poolHost(u.Address, u.Born), memory.helpers(grant), v)
	if res.suspicious {
		x.attribute(grant.Leader.Address, u, &res)
	}
	return res
}

// attribute decides what a broken or unanswered send says about the upstream. If the upstream accepts no connection,
// from this VM or others, it crashed while it ran the request, which is suspected unless its response had lasted. If it
// accepts them through other VMs only, or the send went through another VM, the send says nothing: its path may have
// failed.
func (x *request) attribute(address string, u *route.Upstream, res *result) {
	g := x.gate
	suspected := !x.record.send.lasted(g.Clock.Now())
	state, err := g.probe(address, min(probeTimeout, max(minProbeTimeout, x.timeLeft().Duration())))
	switch {
	case state == unreachable:
		g.Log.Warn().Str(logline.Key, logline.Crashed).Str("id", x.head.ID).Str("upstream", string(u.ID)).Str("send", logline.Brief(res.err)).Err(err).
			Bool("head", x.record.send.head).Int("events", x.record.send.events).Str("parts", partNames(x.head.Parts)).
			Bool("suspected", suspected).Msg("upstream accepts no connection after it broke off a response")
		if suspected {
			res.crashed = u
		}
		if res.outcome == span.Silent {
			res.outcome = span.Unreachable
		} else {
			res.outcome = span.Crashed
		}
	case state != reachable || x.carrier.Load() != nil:
		res.outcome = span.Left
	}
}

// roundTrip sends one request to the leader and handles its response.
func (x *request) roundTrip(ctx context.Context, cancel context.CancelCauseFunc, grant span.Grant, host string, helpers []exchange.Helper, v *registry.View) result {
	w := x.newWatchdog(grant.Leader.Address, x.firstByteLimits(grant), func() { cancel(errUnresponsive) })
	defer w.stop()
	var wrote atomic.Bool
	trace := &httptrace.ClientTrace{
		WroteHeaders: func() { wrote.Store(true) },
		GotConn: func(info httptrace.GotConnInfo) {
			wrote.Store(true)
			x.noteCarrier(info.Conn)
			x.record.connected.Store(int64(x.elapsed()))
		},
		WroteRequest: func(httptrace.WroteRequestInfo) { x.record.sent.Store(int64(x.elapsed())) },
	}
	r := x.upstreamRequest(httptrace.WithClientTrace(ctx, trace), grant, host, helpers)
	sent := x.gate.Clock.Now()
	resp, err := x.transport().RoundTrip(r)
	if err != nil {
		return x.classifyError(ctx, err, wrote.Load())
	}
	defer resp.Body.Close()
	x.record.send.head = true
	head := x.gate.Codec.ResponseHead(resp, x.head.ID)
	x.reportStatements(&head, grant.Leader, sent)
	if culprit := v.Upstream(x.service, func(u *route.Upstream) bool { return u.Address == head.Culprit }); culprit != nil {
		res := x.handleResponse(ctx, resp, head, grant, w)
		res.culprit = culprit.ID
		return res
	}
	return x.handleResponse(ctx, resp, head, grant, w)
}

// handleResponse checks the header of a response, and passes the response on if it is valid.
func (x *request) handleResponse(ctx context.Context, resp *http.Response, head exchange.ResponseHead, grant span.Grant, w *watchdog) result {
	switch {
	case head.Misdirected:
		return result{verdict: notRun, outcome: span.Unreachable, err: errMisdirected}
	case head.NotRun:
		w.drain(resp.Body)
		return result{verdict: notRun, outcome: span.Full, err: errRejected, backOff: head.Declared.BackOff > 0}
	case !head.Matches:
		return result{verdict: mayHaveRun, outcome: span.Broken, err: errMismatch}
	case !head.Signed:
		return result{verdict: mayHaveRun, outcome: span.Broken, err: errUnsigned}
	}
	if resp.StatusCode == http.StatusOK && x.route.Stream {
		return x.passStream(ctx, resp, grant, w)
	}
	return x.passBuffered(ctx, resp, grant, w)
}

// passBuffered reads a response to its end, as far as it can be buffered, before any of it is passed on.
func (x *request) passBuffered(ctx context.Context, resp *http.Response, grant span.Grant, w *watchdog) result {
	if resp.ContentLength > x.gate.bounds.ResponseBytes {
		return x.classifyError(ctx, errOversize, true)
	}
	body, whole, err := x.buffer(resp.Body)
	if err != nil {
		return x.classifyError(ctx, err, true)
	}
	a := &answer{status: resp.StatusCode, header: resp.Header, body: body}
	if resp.StatusCode >= http.StatusInternalServerError {
		res := result{verdict: mayHaveRun, outcome: span.Failed, err: errs.New("the upstream answered %d", resp.StatusCode)}
		if !x.started && whole {
			res.failure = a
		}
		return res
	}
	x.gate.Placer.FirstByte(grant.Request)
	if x.started {
		return result{verdict: mayHaveRun, outcome: span.Broken, err: errs.New("a stream was continued with status %d", resp.StatusCode)}
	}
	if whole {
		x.deliver(a)
		return result{verdict: answered, outcome: span.Done}
	}
	return x.passLarge(ctx, a, resp.Body, w)
}

// passLarge passes on a response that can't be buffered whole, up to the bound on responses.
func (x *request) passLarge(ctx context.Context, a *answer, rest io.Reader, w *watchdog) result {
	x.startResponse(a.status, a.header)
	defer x.endWritesWith(ctx)()
	_, _ = x.w.Write(a.body)
	buffer := make([]byte, 32<<10)
	passed := int64(len(a.body))
	for {
		n, err := rest.Read(buffer)
		if passed += int64(n); passed > x.gate.bounds.ResponseBytes {
			return x.classifyError(ctx, errOversize, true)
		}
		w.reset(x.pauseLimits())
		if _, werr := x.w.Write(buffer[:n]); werr != nil {
			return result{verdict: mayHaveRun, outcome: span.Left, err: werr}
		}
		if errors.Is(err, io.EOF) {
			return result{verdict: answered, outcome: span.Done}
		}
		if err != nil {
			return x.classifyError(ctx, err, true)
		}
	}
}

// deliver writes a buffered response to the client.
func (x *request) deliver(a *answer) {
	x.startResponse(a.status, a.header)
	_, _ = x.w.Write(a.body) // an error means that the client has disconnected
}

// startResponse writes the header of an upstream's response to the client.
func (x *request) startResponse(status int, from http.Header) {
	x.started = true
	x.outlastStop()
	x.record.beginResponse(x.gate.Clock.Now()-x.arrived, status)
	x.gate.Codec.Answer(x.w.Header(), from)
	x.closeAtStop()
	x.boundWrites()
	x.w.WriteHeader(status)
}

// classifyError returns the result of a send that ended without a complete response; wrote is set if
// the request or a part of it may have reached the upstream.
func (x *request) classifyError(ctx context.Context, err error, wrote bool) result {
	var failed *net.OpError
	switch {
	case errors.Is(context.Cause(ctx), errUnresponsive):
		return result{verdict: mayHaveRun, outcome: span.Silent, err: errUnresponsive, suspicious: true}
	case ctx.Err() != nil && !wrote:
		return result{verdict: notRun, outcome: span.Left, err: context.Cause(ctx), unsent: true}
	case ctx.Err() != nil:
		return result{verdict: mayHaveRun, outcome: span.Left, err: context.Cause(ctx)}
	case !wrote && dial.ErrNoPath.Has(err):
		return noPath(err)
	case !wrote && errors.As(err, &failed) && failed.Op == "dial":
		return result{verdict: notRun, outcome: span.Unreachable, err: err, unsent: true}
	case !wrote:
		return result{verdict: notRun, outcome: span.Silent, err: err, unsent: true}
	case errors.Is(err, errOversize):
		return result{verdict: mayHaveRun, outcome: span.Broken, err: err}
	default:
		return result{verdict: mayHaveRun, outcome: span.Broken, err: err, suspicious: true}
	}
}

// upstreamRequest returns the request for an upstream. Its body cannot be rewound, so that
// http.Transport never sends the request a second time when a pooled connection turns out to be
// closed: only run decides on retries.
func (x *request) upstreamRequest(ctx context.Context, grant span.Grant, host string, helpers []exchange.Helper) *http.Request {
	u := &url.URL{Scheme: "http", Host: host, Opaque: x.r.RequestURI}
	if strings.HasPrefix(x.r.RequestURI, "//") {
		path, query, has := strings.Cut(x.r.RequestURI, "?")
		plain, err := url.PathUnescape(path)
		if err != nil {
			plain = path
		}
		u = &url.URL{Scheme: "http", Host: host, Path: plain, RawPath: path, RawQuery: query, ForceQuery: has}
	}
	send := exchange.Send{
		Upstream: grant.Leader.Upstream, Workspace: x.workspaceID(), TimeLeft: x.timeLeft(), KeyRequired: x.keyRequired, Helpers: helpers, LastEventID: x.lastEventID,
	}
	r := &http.Request{
		Method: x.r.Method, URL: u, Host: x.r.Host, Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1,
		Header:        x.gate.Codec.Forward(x.r.Header, send),
		Body:          io.NopCloser(bytes.NewReader(x.body)),
		ContentLength: int64(len(x.body)),
	}
	if len(x.body) == 0 {
		r.Body = io.NopCloser(strings.NewReader(""))
	}
	return r.WithContext(ctx)
}

// transport returns the transport for the request. A request that must not run twice gets a new
// connection: if a pooled connection turns out to be closed, it is unknown whether the request ran.
func (x *request) transport() http.RoundTripper {
	if x.route.Repeat == route.Once {
		return x.gate.Unpooled
	}
	return x.gate.Pooled
}
