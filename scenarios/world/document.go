package world

import (
	"encoding/json"
	"fmt"
	"strconv"
	"strings"

	"snipeshift.example/lib/document"
)

// Names in the document of every scenario.
const (
	// Model is the language model, Service the plain service.
	Model   = "drafter"
	Service = "desk"
	// KindDraft is the default kind; Lookup answers immediately; Dossier is long
	// and can wait; Notice must run at most once.
	KindDraft   = "draft"
	KindLookup  = "lookup"
	KindDossier = "dossier"
	KindNotice  = "notice"
)

// Workspaces are the teams, equal in weight.
var Workspaces = []string{"ward", "depot"}

// APIKey is the API key of a workspace.
func APIKey(workspace string) string { return "scenario-key-of-" + workspace }

// domains of a deployment, in the order in which processes are spread over them.
var domains = []string{"hall-a", "hall-b", "hall-c"}

// tree is a JSON object whose fields are addressed by path.
type tree map[string]any

// baseDocument is the document before a script's own edits.
func baseDocument(upstreams []document.Upstream, halls int) (tree, error) {
	d := document.Document{
		Models:   []document.Model{{Name: Model, Context: 1_000_000}},
		Services: []document.Service{{Name: Service, Kind: KindLookup}},
		Kinds: []document.Kind{
			{Name: KindDraft, Urgency: 1, TimeLimit: 20_000, Output: 32, Repeatable: true},
			{Name: KindLookup, Urgency: 0, TimeLimit: 5_000, Output: 16, Repeatable: true},
			{Name: KindDossier, Urgency: 3, TimeLimit: 60_000, Output: 64, Repeatable: true},
			{Name: KindNotice, Urgency: 0, TimeLimit: 10_000, Output: 16, Repeatable: false},
		},
		Upstreams: upstreams,
		Limits:    document.Limits{Body: 4 << 20, Idle: 2_000},
	}
	for _, h := range domains[:halls] {
		d.Domains = append(d.Domains, document.Domain{Name: h})
	}
	for _, w := range Workspaces {
		d.Workspaces = append(d.Workspaces, document.Workspace{Name: w, Weight: 1, Keys: []string{document.HashKey(APIKey(w))}})
	}
	text, err := json.Marshal(d)
	if err != nil {
		return nil, err
	}
	t := tree{}
	if err := json.Unmarshal(text, &t); err != nil {
		return nil, err
	}
	return prune(t), nil
}

// prune leaves out nulls, which the reader of documents refuses.
func prune(t tree) tree {
	for k, v := range t {
		switch x := v.(type) {
		case nil:
			delete(t, k)
		case map[string]any:
			prune(x)
		case []any:
			for _, e := range x {
				if m, ok := e.(map[string]any); ok {
					prune(m)
				}
			}
		}
	}
	return t
}

// set changes the field at a path such as kinds.draft.allowed; an entry of a
// table is addressed by its name. A value that is no JSON is a string.
func (t tree) set(edit string) error {
	path, value, ok := strings.Cut(edit, "=")
	if !ok {
		return fmt.Errorf("%q is not PATH=VALUE", edit)
	}
	var v any
	if json.Unmarshal([]byte(value), &v) != nil {
		v = value
	}
	steps := strings.Split(path, ".")
	var at any = map[string]any(t)
	for _, s := range steps[:len(steps)-1] {
		if at = child(at, s); at == nil {
			return fmt.Errorf("no %q in the document's %s", s, path)
		}
	}
	last, ok := at.(map[string]any)
	if !ok {
		return fmt.Errorf("%s is no field of an object", path)
	}
	last[steps[len(steps)-1]] = v
	return nil
}

func child(at any, step string) any {
	switch x := at.(type) {
	case map[string]any:
		return x[step]
	case []any:
		if i, err := strconv.Atoi(step); err == nil && i < len(x) {
			return x[i]
		}
		for _, e := range x {
			if m, ok := e.(map[string]any); ok && m["name"] == step {
				return m
			}
		}
	}
	return nil
}

// decode reads the tree as the document that daemons obey.
func (t tree) decode() (document.Document, error) {
	var d document.Document
	text, err := json.Marshal(t)
	if err != nil {
		return d, err
	}
	return d, json.Unmarshal(text, &d)
}

func (t tree) copy() (tree, error) {
	text, err := json.Marshal(t)
	if err != nil {
		return nil, err
	}
	c := tree{}
	return c, json.Unmarshal(text, &c)
}
