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
	"snipeshift.example/lib/exchange"
	"snipeshift.example/lib/route"
)

// What is seen of sends that go wrong.
var (
	errForeign  = errs.New("the answer belongs to another request")
	errForged   = errs.New("the answer bears no upstream's mark")
	errTurned   = errs.New("the upstream turned it away")
	errStranger = errs.New("the address belongs to another upstream")
	errReserve  = errs.New("no memory could be reserved")
	errTorn     = errs.New("the answer stopped in the middle")
	errStale    = errs.New("the upstream is leaving")
	errWithheld = errs.New("withheld by what the upstream says of itself")
)

// wholeLimit is the largest answer that is held back until it is whole, so that a
// broken one can be replaced. Larger ones are passed on as they come.
const wholeLimit = 1 << 20

// answer is a whole answer of an upstream.
type answer struct {
	status int
	header http.Header
	body   []byte
}

// send sends the request to where the grant says, once.
func (x *flight) send(ctx context.Context, grant span.Grant) result {
	g := x.gate
	v := g.Registry.View()
	if err := x.fresh(v); err != nil {
		return result{verdict: idle, outcome: span.Left, err: err, final: err}
	}
	u := v.Upstream(x.service, func(u *route.Upstream) bool { return u.ID == grant.Leader.Upstream })
	if u == nil || u.Leaving {
		// The owner's knowledge is older than ours. What left must not get new work.
		return result{verdict: idle, outcome: span.Left, err: errStale, withheld: true}
	}
	if !g.Suspects.Begin(x.fingerprint) {
		return result{verdict: idle, outcome: span.Left, err: errs.New("a copy of this suspect runs")}
	}
	var res result
	defer func() { g.Suspects.End(x.fingerprint, res.verdict == answered) }()
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	var withheld bool
	if res, withheld = x.withheld(grant); withheld {
		return res
	}
	memory, culprit := x.reserve(ctx, grant)
	if culprit != "" {
		res = result{verdict: idle, outcome: span.Full, err: errReserve, culprit: culprit}
		return res
	}
	defer memory.free()
	// To reserve takes a while, in which an answer to another request may have come.
	if res, withheld = x.withheld(grant); withheld {
		return res
	}
	res = x.exchange(ctx, cancel, grant, host(u.Address, u.Born), memory.helpers(grant), v)
	if res.suspicious && g.died(grant.Leader.Address) {
		g.Suspects.RecordCrash(x.fingerprint, u.ID, u.Born)
		res.outcome = span.Unreachable
	}
	return res
}

// exchange is one request and its answer on one connection.
func (x *flight) exchange(ctx context.Context, cancel context.CancelCauseFunc, grant span.Grant, host string, helpers []exchange.Helper, v *registry.View) result {
	w := newWatchdog(x.gate, grant.Leader.Address, x.firstLimits(grant), func() { cancel(errSilent) })
	defer w.stop()
	var wrote atomic.Bool
	trace := &httptrace.ClientTrace{
		WroteHeaders: func() { wrote.Store(true) },
		GotConn: func(httptrace.GotConnInfo) {
			wrote.Store(true)
			x.story.connected.Store(int64(x.passed()))
		},
		WroteRequest: func(httptrace.WroteRequestInfo) { x.story.sent.Store(int64(x.passed())) },
	}
	r := x.outgoing(httptrace.WithClientTrace(ctx, trace), grant, host, helpers)
	sent := x.gate.Clock.Now()
	resp, err := x.transport().RoundTrip(r)
	if err != nil {
		return x.broken(ctx, err, wrote.Load())
	}
	defer resp.Body.Close()
	word := x.gate.Codec.ResponseHead(resp, x.head.ID)
	x.hear(&word, grant.Leader, sent)
	if culprit := v.Upstream(x.service, func(u *route.Upstream) bool { return u.Address == word.Culprit }); culprit != nil {
		res := x.judge(ctx, resp, word, grant, w)
		res.culprit = culprit.ID
		return res
	}
	return x.judge(ctx, resp, word, grant, w)
}

// judge decides what an answer is worth by its header, and passes it on.
func (x *flight) judge(ctx context.Context, resp *http.Response, word exchange.ResponseHead, grant span.Grant, w *watchdog) result {
	switch {
	case word.Misdirected:
		return result{verdict: idle, outcome: span.Unreachable, err: errStranger}
	case word.NotRun:
		drain(resp.Body)
		return result{verdict: idle, outcome: span.Full, err: errTurned, rests: word.Declared.BackOff > 0}
	case !word.Matches:
		return result{verdict: ran, outcome: span.Broken, err: errForeign}
	case !word.Signed:
		return result{verdict: ran, outcome: span.Broken, err: errForged}
	}
	if resp.StatusCode == http.StatusOK && x.route.Stream {
		return x.stream(ctx, resp, grant, w)
	}
	return x.whole(ctx, resp, grant, w)
}

// whole takes an answer to its end before any of it is passed on.
func (x *flight) whole(ctx context.Context, resp *http.Response, grant span.Grant, w *watchdog) result {
	body, err := io.ReadAll(io.LimitReader(resp.Body, wholeLimit+1))
	if err != nil {
		return x.broken(ctx, err, true)
	}
	a := &answer{status: resp.StatusCode, header: resp.Header, body: body}
	if resp.StatusCode >= http.StatusInternalServerError {
		res := result{verdict: ran, outcome: span.Failed, err: errs.New("the upstream answered %d", resp.StatusCode)}
		if !x.begun {
			res.failure = a
		}
		return res
	}
	x.gate.Placer.FirstByte(grant.Request)
	if x.begun {
		return result{verdict: ran, outcome: span.Broken, err: errs.New("a stream was continued with status %d", resp.StatusCode)}
	}
	if len(body) <= wholeLimit {
		x.deliver(a)
		return result{verdict: answered, outcome: span.Done}
	}
	return x.rest(ctx, a, resp.Body, w)
}

// rest passes on an answer that is too large to be held back.
func (x *flight) rest(ctx context.Context, a *answer, rest io.Reader, w *watchdog) result {
	x.start(a.status, a.header)
	_, _ = x.w.Write(a.body)
	buffer := make([]byte, 32<<10)
	for {
		n, err := rest.Read(buffer)
		w.touch(x.nextLimits())
		if _, werr := x.w.Write(buffer[:n]); werr != nil {
			return result{verdict: ran, outcome: span.Left, err: werr}
		}
		if errors.Is(err, io.EOF) {
			return result{verdict: answered, outcome: span.Done}
		}
		if err != nil {
			return x.broken(ctx, err, true)
		}
	}
}

// deliver gives the caller a whole answer.
func (x *flight) deliver(a *answer) {
	x.start(a.status, a.header)
	_, _ = x.w.Write(a.body) // a caller that went away has nobody to tell
}

// start writes the header of an upstream's answer.
func (x *flight) start(status int, from http.Header) {
	x.begun = true
	x.story.begin(x.gate.Clock.Now()-x.arrived, status)
	x.gate.Codec.Answer(x.w.Header(), from)
	x.w.WriteHeader(status)
}

// broken judges an exchange that ended without an answer.
func (x *flight) broken(ctx context.Context, err error, wrote bool) result {
	var dial *net.OpError
	switch {
	case errors.Is(context.Cause(ctx), errSilent):
		return result{verdict: ran, outcome: span.Silent, err: errSilent, suspicious: true}
	case ctx.Err() != nil:
		return result{verdict: ran, outcome: span.Left, err: context.Cause(ctx)}
	case !wrote && errors.As(err, &dial) && dial.Op == "dial":
		return result{verdict: idle, outcome: span.Unreachable, err: err}
	case !wrote:
		return result{verdict: idle, outcome: span.Silent, err: err}
	default:
		return result{verdict: ran, outcome: span.Broken, err: err, suspicious: true}
	}
}

// outgoing is the request for an upstream. Its body cannot be rewound, so that
// http.Transport never sends it a second time by itself when a kept connection
// turns out closed: only the flight decides on a second send.
func (x *flight) outgoing(ctx context.Context, grant span.Grant, host string, helpers []exchange.Helper) *http.Request {
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
		Upstream: grant.Leader.Upstream, Workspace: x.workspace(), TimeLeft: x.left(), KeyRequired: x.keyed, Helpers: helpers, LastEventID: x.last,
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

// transport chooses the connection. A request that must not run twice gets a
// fresh one: a kept one that turns out closed leaves open whether it ran.
func (x *flight) transport() http.RoundTripper {
	if x.route.Repeat == route.Once {
		return x.gate.Unpooled
	}
	return x.gate.Pooled
}

// drain reads the short rest of an answer, so that its connection can be kept.
func drain(r io.Reader) { _, _ = io.Copy(io.Discard, io.LimitReader(r, 4<<10)) }
