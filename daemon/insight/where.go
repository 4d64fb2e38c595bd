package insight

import (
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"strings"

	"snipeshift.example/daemon/placer"
	"snipeshift.example/daemon/relay"
	"snipeshift.example/lib/decide/blame"
	"snipeshift.example/lib/decide/span"
	answers "snipeshift.example/lib/operator"
	"snipeshift.example/lib/route"
)

// wherePage tells where a request would be placed now, without sending it.
func (p *Page) wherePage(w http.ResponseWriter, r *http.Request) {
	var q answers.WhereQuery
	d := json.NewDecoder(strings.NewReader(r.URL.Query().Get(answers.ParamWhere)))
	d.DisallowUnknownFields()
	if err := d.Decode(&q); err != nil {
		writeFailure(w, http.StatusBadRequest, fmt.Errorf("the parameter %s is not a description of a request: %w", answers.ParamWhere, err))
		return
	}
	x, err := p.describe(&q)
	if err != nil {
		writeFailure(w, http.StatusNotFound, err)
		return
	}
	reply, ownerErr := p.Placer.Where(r.Context(), x.service, x.ask, q.ID)
	if !reply.Found {
		writeFailure(w, http.StatusNotFound, notQueued(&q, &reply))
		return
	}
	writeJSON(w, p.whereAnswer(x.service, &reply, ownerErr))
}

// notQueued returns the error for an id that the owner does not know.
func notQueued(q *answers.WhereQuery, r *placer.WhereReply) error {
	if len(r.Waiting) == 0 {
		return fmt.Errorf("no request %s is queued or runs at %s: no request is queued there now", q.ID, r.VM)
	}
	return fmt.Errorf("no request %s is queued or runs at %s: queued are %q", q.ID, r.VM, r.Waiting)
}

func writeFailure(w http.ResponseWriter, status int, err error) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(answers.Failure{Error: err.Error()}) // an error means that the operator has disconnected
}

// described is a request that is not sent.
type described struct {
	service route.ServiceID
	ask     span.Ask
}

// describe returns the request of a query, as the gate of this VM would present it to the owner.
func (p *Page) describe(q *answers.WhereQuery) (x described, err error) {
	if q.Model != "" || q.Kind != "" {
		return x, fmt.Errorf("this VM relays services: name one of them, a model or kind is for daemons of OpenAI's API")
	}
	table := p.Registry.View().Table
	if table == nil {
		return x, fmt.Errorf("no document is known yet")
	}
	rt, err := findRoute(table, q)
	if err != nil {
		return x, err
	}
	if x.service, err = findService(rt, q); err != nil {
		return x, err
	}
	workspace, err := findWorkspace(table, q)
	if err != nil {
		return x, err
	}
	x.ask = p.Gate.Describe(rt, workspace, q.Prompt, q.Output)
	for _, text := range q.Parts {
		part, err := blame.ParsePart(text)
		if err != nil {
			return x, fmt.Errorf("%q is no part: use the hexadecimal digits that snipeshift parts shows", text)
		}
		x.ask.Parts = append(x.ask.Parts, part)
	}
	p.override(&x.ask, q)
	return x, nil
}

// override replaces what the route says by what the query says.
func (p *Page) override(a *span.Ask, q *answers.WhereQuery) {
	now := p.Clock.Now()
	if q.Deadline > 0 {
		a.Deadline = now + q.Deadline
		a.Patience = min(a.Patience, a.Deadline)
	}
	if q.Aim > 0 {
		a.Aim = now + q.Aim
	}
	if q.Urgency != nil {
		a.Urgency = *q.Urgency
	}
}

// findRoute returns the route that a query names, or the first one that leads to its service.
func findRoute(t *route.Table, q *answers.WhereQuery) (*route.Route, error) {
	if q.Host != "" {
		if r := t.Find(q.Host, q.Path); r != nil {
			return r, nil
		}
		return nil, fmt.Errorf("no route for %s%s", q.Host, q.Path)
	}
	if q.Service == "" {
		return nil, fmt.Errorf("name a service, or a route by its host and path")
	}
	routes := t.Document().Routes
	for i := range routes {
		if leadsTo(&routes[i], q.Service) {
			return &routes[i], nil
		}
	}
	return nil, fmt.Errorf("no route leads to a service %s", q.Service)
}

func leadsTo(r *route.Route, s route.ServiceID) bool {
	return slices.ContainsFunc(r.Targets, func(t route.Target) bool { return t.Service == s })
}

// findService returns the service of a query. The service of a request to a route with several of them is chosen by its id.
func findService(r *route.Route, q *answers.WhereQuery) (route.ServiceID, error) {
	switch {
	case q.Service != "" && !leadsTo(r, q.Service):
		return "", fmt.Errorf("the route for %s%s does not lead to the service %s", q.Host, q.Path, q.Service)
	case q.Service != "":
		return q.Service, nil
	case len(r.Targets) > 1:
		return "", fmt.Errorf("the route for %s%s leads to several services: name one of them", q.Host, q.Path)
	default:
		return r.Targets[0].Service, nil
	}
}

// findWorkspace returns the workspace of a query, nil if it names none.
func findWorkspace(t *route.Table, q *answers.WhereQuery) (*route.Workspace, error) {
	if q.Workspace == "" {
		return nil, nil //nolint:nilnil // a request without a key has no workspace
	}
	ws := t.Document().Workspaces
	i := slices.IndexFunc(ws, func(w route.Workspace) bool { return w.ID == q.Workspace })
	if i < 0 {
		return nil, fmt.Errorf("no workspace %s", q.Workspace)
	}
	return &ws[i], nil
}

// whereAnswer converts the reply of an owner.
func (p *Page) whereAnswer(s route.ServiceID, r *placer.WhereReply, ownerErr error) answers.Where {
	e := &r.Explanation
	holder, _ := p.Holders.Of(s)
	out := answers.Where{
		VM: p.VM, Owner: holder.VM, Epoch: holder.Epoch, From: r.VM, Service: s, Verdict: answers.Queued, Reason: e.Reason,
		Others: []answers.WhereOther{}, Place: e.Place, Queued: e.Queued, DocumentAge: r.DocumentAge, ListAge: r.ListAge,
	}
	if r.Epoch > holder.Epoch {
		out.Owner, out.Epoch = r.VM, r.Epoch
	}
	if ownerErr != nil {
		out.OwnerError = ownerErr.Error()
	}
	for _, x := range e.Others {
		out.Others = append(out.Others, answers.WhereOther{Upstream: x.Upstream, Against: string(x.Against)})
	}
	switch {
	case !e.Decided:
	case e.Decision.Action == span.Refused:
		out.Verdict, out.Fault, out.RetryAfter = answers.Refused, e.Decision.Fault, relay.RetryAfter(e.Decision.Retry, e.Decision.BookedAt != 0)
	default:
		out.Verdict = answers.Placed
		g := &e.Decision.Grant
		out.Upstream, out.FirstByte = g.Leader.Upstream, g.First
		for _, h := range g.Helpers {
			out.Helpers = append(out.Helpers, h.Upstream)
		}
	}
	return out
}
