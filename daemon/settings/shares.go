package settings

import (
	"snipeshift.example/lib/decide"
	"snipeshift.example/lib/decide/share"
	"snipeshift.example/lib/strict"
)

// Shares divide scarce capacity among workspaces.
type Shares struct {
	Enabled bool `json:"enabled"`
	// Weights of workspaces that are not listed are 1.
	Weights map[decide.WorkspaceID]float64 `json:"weights"`
}

// check reports weights that are out of bounds.
func (s Shares) check(src *strict.Source) {
	for id, w := range s.Weights {
		path := strict.MemberPath("shares.weights", string(id))
		if !src.HasProblem(path) && (w <= 0 || w > share.MaxWeight) {
			src.AddProblem(path, "is %g: use a number above 0, and at most %g", w, share.MaxWeight)
		}
	}
}
