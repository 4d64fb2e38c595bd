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

// Deployment is the name of an example deployment, which has an example document.
type Deployment string

// The example deployments.
const (
	Directorate Deployment = "directorate"
	Indus       Deployment = "indus"
)

// APIKey returns the API key of a workspace in the example documents.
func APIKey(workspace string) string { return "example-" + workspace }

// Example returns the complete example document of a deployment.
func Example(d Deployment) (document.Document, error) {
	var text []byte
	switch d {
	case Directorate:
		text = directorate
	case Indus:
		text = indus
	default:
		return document.Document{}, fmt.Errorf("unknown deployment %q: must be directorate or indus", d)
	}
	var doc document.Document
	err := settings.Parse(text, &doc)
	return doc, err
}

// resize returns doc with the given numbers of engines and services. It drops upstreams from the end
// or adds copies, which are assigned to the failure domains in turn.
func resize(doc document.Document, engines, services int) document.Document {
	var es, ss []document.Upstream
	for _, u := range doc.Upstreams {
		if u.Model != "" {
			es = append(es, u)
		} else {
			ss = append(ss, u)
		}
	}
	doc.Upstreams = append(takeOrRepeat(es, engines, domains(doc)), takeOrRepeat(ss, services, domains(doc))...)
	return doc
}

// takeOrRepeat returns the first n upstreams. If there are fewer, it adds copies under new names and
// assigns these to the domains in turn.
func takeOrRepeat(us []document.Upstream, n int, domainNames []string) []document.Upstream {
	var kept []document.Upstream
	for i := range n {
		u := us[i%len(us)]
		if i >= len(us) {
			u.Name = fmt.Sprintf("%s-again-%d", u.Name, i/len(us))
			u.Domain = domainNames[i%len(domainNames)]
		}
		kept = append(kept, u)
	}
	return kept
}

// domains returns the failure domains of a document's upstreams in order of first appearance.
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

// encodeDocument returns a document in the format in which the platform stores it.
func encodeDocument(doc document.Document) ([]byte, error) { return json.MarshalIndent(doc, "", "  ") }
