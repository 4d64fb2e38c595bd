package caller

import (
	"encoding/json"
	"net/http"

	"snipeshift.example/lib/fault"
)

// modelList is the response body of GET /v1/models.
type modelList struct {
	Object string  `json:"object"`
	Data   []model `json:"data"`
}

type model struct {
	ID      string `json:"id"`
	Object  string `json:"object"`
	Created int64  `json:"created"`
	Owner   string `json:"owned_by"`
}

// models lists the models that the workspace may use.
func (g *Gate) models(w http.ResponseWriter, r *http.Request) {
	c, ok := g.Registry.Index()
	if !ok {
		g.writeError(w, g.newRequestID(g.Clock.Now()), noConfiguration())
		return
	}
	q, e := g.authenticate(r, c)
	if e != nil {
		g.writeError(w, q.id, e)
		return
	}
	l := modelList{Object: "list", Data: []model{}}
	for _, m := range c.Document().Models {
		if !q.workspace.AllowsModel(m.Name) {
			continue
		}
		l.Data = append(l.Data, model{ID: m.Name, Object: "model", Owner: "snipeshift"})
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set(headerRequest, string(q.id))
	g.setConnectionHeader(w.Header())
	_ = json.NewEncoder(w).Encode(l)
}

func (g *Gate) unknownPath(w http.ResponseWriter, r *http.Request) {
	g.writeError(w, g.newRequestID(g.Clock.Now()), fault.New(fault.Unknown, "no path %s %s", r.Method, r.URL.Path))
}
