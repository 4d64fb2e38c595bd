package insight

import (
	"encoding/json"
	"net/http"

	"snipeshift.example/lib/decide/blame"
	answers "snipeshift.example/lib/operator"
)

// maxOrder bounds the body of an order of the operator, in bytes.
const maxOrder = 64 << 10

// partsPage lists the suspect parts of prompts that this VM knows of.
func (p *Page) partsPage(w http.ResponseWriter, _ *http.Request) {
	out := []answers.Part{}
	for _, x := range p.Placer.SuspectParts() {
		out = append(out, answers.Part{Service: x.Service, Part: x.Part.String(), Upstreams: x.Upstreams, First: x.First, Last: x.Last})
	}
	writeJSON(w, out)
}

// clearPart clears a suspect part of prompts at the owner of its service.
func (p *Page) clearPart(w http.ResponseWriter, r *http.Request) {
	var x answers.Part
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxOrder)).Decode(&x); err != nil {
		http.Error(w, "not a part: "+err.Error(), http.StatusBadRequest)
		return
	}
	part, err := blame.ParsePart(x.Part)
	if err != nil {
		http.Error(w, "not a part: "+err.Error(), http.StatusBadRequest)
		return
	}
	if _, ok := p.Holders.Of(x.Service); !ok {
		http.Error(w, "no VM holds the service "+string(x.Service), http.StatusNotFound)
		return
	}
	if x.Cleared, err = p.Placer.Pardon(r.Context(), x.Service, part); err != nil {
		http.Error(w, "the owner of the service gives no answer: "+err.Error(), http.StatusServiceUnavailable)
		return
	}
	writeJSON(w, x)
}

func writeJSON(w http.ResponseWriter, value any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(value) // an error means that the operator has disconnected
}
