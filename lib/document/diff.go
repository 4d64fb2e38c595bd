package document

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"strconv"
)

// Change is one difference between two documents.
type Change struct {
	// Path is the path of the field, with entries of lists by name: "kinds.draft.allowed".
	Path string `json:"path"`
	// Before and After are the field's JSON values; empty if the document lacks the field.
	Before string `json:"before,omitempty"`
	After  string `json:"after,omitempty"`
}

// String returns the change as one line.
func (c Change) String() string {
	switch {
	case c.Before == "":
		return fmt.Sprintf("+ %s: %s", c.Path, c.After)
	case c.After == "":
		return fmt.Sprintf("- %s: %s", c.Path, c.Before)
	default:
		return fmt.Sprintf("~ %s: %s -> %s", c.Path, c.Before, c.After)
	}
}

// Compare returns the differences in effect between two documents, sorted by path. It ignores
// comments, layout and the order of entries, except for the first kind, which is the default.
func Compare(before, after *Document) ([]Change, error) {
	a, err := flatten(before)
	if err != nil {
		return nil, err
	}
	b, err := flatten(after)
	if err != nil {
		return nil, err
	}
	paths := map[string]bool{}
	for p := range a {
		paths[p] = true
	}
	for p := range b {
		paths[p] = true
	}
	var changes []Change
	for _, p := range slices.Sorted(maps.Keys(paths)) {
		if a[p] != b[p] {
			changes = append(changes, Change{Path: p, Before: a[p], After: b[p]})
		}
	}
	return changes, nil
}

// flatten returns the JSON value of each field of a document by path.
func flatten(d *Document) (map[string]string, error) {
	text, err := json.Marshal(d)
	if err != nil {
		return nil, err
	}
	var tree map[string]any
	if err := json.Unmarshal(text, &tree); err != nil {
		return nil, err
	}
	flat := map[string]string{}
	flattenValue(flat, "", tree)
	if len(d.Kinds) > 0 {
		flat["kinds (default)"] = strconv.Quote(d.Kinds[0].Name)
	}
	return flat, nil
}

func flattenValue(flat map[string]string, path string, value any) {
	switch v := value.(type) {
	case map[string]any:
		for name, sub := range v {
			flattenValue(flat, joinPath(path, name), sub)
		}
	case []any:
		for _, sub := range v {
			flattenEntry(flat, path, sub)
		}
	case nil:
	default:
		text, _ := json.Marshal(v) // can't fail: the value was decoded from JSON
		flat[path] = string(text)
	}
}

// flattenEntry adds an entry of a list under its name. A string is its own name.
func flattenEntry(flat map[string]string, path string, entry any) {
	switch e := entry.(type) {
	case map[string]any:
		name, _ := e["name"].(string)
		flattenValue(flat, joinPath(path, name), e)
	case string:
		flat[joinPath(path, e)] = "true"
	}
}

func joinPath(path, name string) string {
	if path == "" {
		return name
	}
	return path + "." + name
}
