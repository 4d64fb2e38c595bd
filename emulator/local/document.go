package local

import (
	_ "embed" // the example documents
	"encoding/json"
	"fmt"

	"snipeshift.example/emulator/settings"
	"snipeshift.example/lib/document"
)

//go:embed directorate.hujson
var directorate []byte

//go:embed indus.hujson
var indus []byte

// Deployment names an example document.
type Deployment string

// The deployments that have an example.
const (
	Directorate Deployment = "directorate"
	Indus       Deployment = "indus"
)

// APIKey is the API key of a workspace in the example documents.
func APIKey(workspace string) string { return "example-" + workspace }

// Example returns the full example document of a deployment.
func Example(d Deployment) (document.Document, error) {
	var text []byte
	switch d {
	case Directorate:
		text = directorate
	case Indus:
		text = indus
	default:
		return document.Document{}, fmt.Errorf("no deployment %q: directorate or indus", d)
	}
	var doc document.Document
	err := settings.Parse(text, &doc)
	return doc, err
}

// resize keeps the first so many engines and services, or adds more like them.
// They alternate over the domains.
func resize(doc document.Document, engines, services int) document.Document {
	var es, ss []document.Upstream
	for _, u := range doc.Upstreams {
		if u.Model != "" {
			es = append(es, u)
		} else {
			ss = append(ss, u)
		}
	}
	doc.Upstreams = append(take(es, engines, domains(doc)), take(ss, services, domains(doc))...)
	return doc
}

// take returns the first n; beyond the end it repeats them under new names.
func take(us []document.Upstream, n int, halls []string) []document.Upstream {
	var kept []document.Upstream
	for i := range n {
		u := us[i%len(us)]
		if i >= len(us) {
			u.Name = fmt.Sprintf("%s-again-%d", u.Name, i/len(us))
			u.Domain = halls[i%len(halls)]
		}
		kept = append(kept, u)
	}
	return kept
}

// domains lists the failure domains of a document in order of appearance.
func domains(doc document.Document) []string {
	var names []string
	seen := map[string]bool{}
	for _, u := range doc.Upstreams {
		if !seen[u.Domain] {
			seen[u.Domain] = true
			names = append(names, u.Domain)
		}
	}
	return names
}

// encode writes a document as the store holds it.
func encode(doc document.Document) ([]byte, error) { return json.MarshalIndent(doc, "", "  ") }
