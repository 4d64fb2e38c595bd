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
	// Model is the name of the language model, Service that of the plain service.
	Model   = "drafter"
	Service = "desk"
	// KindDraft is the default kind of model requests; KindLookup is urgent and short; KindDossier is
	// long and can wait; KindNotice is urgent and must run at most once.
	KindDraft   = "draft"
	KindLookup  = "lookup"
	KindDossier = "dossier"
	KindNotice  = "notice"
)

// Workspaces are the names of the workspaces, equal in weight.
var Workspaces = []string{"ward", "depot"}

// APIKey returns the API key of a workspace.
func APIKey(workspace string) string { return "scenario-key-of-" + workspace }

// domains are the names of the failure domains, over which processes are spread in turn.
var domains = []string{"hall-a", "hall-b", "hall-c"}

// jsonObject is a JSON object whose fields are addressed by path.
type jsonObject map[string]any

// baseDocument returns the document before the edits of the script. It lists the first
// domainCount failure domains.
func baseDocument(upstreams []document.Upstream, domainCount int) (jsonObject, error) {
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
	for _, h := range domains[:domainCount] {
		d.Domains = append(d.Domains, document.Domain{Name: h})
	}
	for _, w := range Workspaces {
		d.Workspaces = append(d.Workspaces, document.Workspace{Name: w, Weight: 1, Keys: []string{document.HashKey(APIKey(w))}})
	}
	text, err := json.Marshal(d)
	if err != nil {
		return nil, err
	}
	t := jsonObject{}
	if err := json.Unmarshal(text, &t); err != nil {
		return nil, err
	}
	return prune(t), nil
}

// prune removes null fields, which the parser of documents rejects.
func prune(t jsonObject) jsonObject {
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

// set applies an edit PATH=VALUE such as kinds.draft.allowed=500. An element of an
// array is addressed by its index or by its field "name". A value that is not
// valid JSON is taken as a string.
func (t jsonObject) set(edit string) error {
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
		if at = lookup(at, s); at == nil {
			return fmt.Errorf("no %q in the path %s", s, path)
		}
	}
	last, ok := at.(map[string]any)
	if !ok {
		return fmt.Errorf("%s is not a field of an object", path)
	}
	last[steps[len(steps)-1]] = v
	return nil
}

// lookup returns the field of an object, or the element of an array, that a step of a path names.
func lookup(at any, step string) any {
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

// decode converts the object to a document, without validation.
func (t jsonObject) decode() (document.Document, error) {
	var d document.Document
	text, err := json.Marshal(t)
	if err != nil {
		return d, err
	}
	return d, json.Unmarshal(text, &d)
}

func (t jsonObject) copy() (jsonObject, error) {
	text, err := json.Marshal(t)
	if err != nil {
		return nil, err
	}
	c := jsonObject{}
	return c, json.Unmarshal(text, &c)
}
