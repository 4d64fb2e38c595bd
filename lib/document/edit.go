package document

import (
	"encoding/json"
	"fmt"

	"github.com/tailscale/hujson"
	"github.com/zeebo/errs"
)

// Class is the error class of this package.
var Class = errs.Class("document")

// patchOperation is an operation of a JSON patch (RFC 6902).
type patchOperation struct {
	Op    string `json:"op"`
	Path  string `json:"path"`
	Value bool   `json:"value"`
}

// SetDrain returns the text with the field drain of one upstream set. Comments and layout are
// preserved, since operators keep notes in the text.
func SetDrain(text []byte, upstream string, drain bool) ([]byte, error) {
	d, ps := Parse(text, "document")
	if err := ps.Err(); err != nil {
		return nil, Class.Wrap(err)
	}
	for i, u := range d.Upstreams {
		if u.Name == upstream {
			return setField(text, fmt.Sprintf("/upstreams/%d", i), "drain", drain)
		}
	}
	return nil, Class.New("no upstream %q in the document: snipeshift upstreams lists the names", upstream)
}

// setField sets a field of the object at a JSON pointer.
func setField(text []byte, object, field string, value bool) ([]byte, error) {
	tree, err := hujson.Parse(text)
	if err != nil {
		return nil, Class.Wrap(err)
	}
	patch, err := json.Marshal([]patchOperation{{Op: "add", Path: object + "/" + field, Value: value}})
	if err != nil {
		return nil, Class.Wrap(err)
	}
	if err := tree.Patch(patch); err != nil {
		return nil, Class.Wrap(err)
	}
	if o, ok := tree.Find(object).Value.(*hujson.Object); ok {
		addSpaces(&o.Members[len(o.Members)-1])
	}
	return tree.Pack(), nil
}

// addSpaces inserts the missing spaces before the name and value of a member that a patch has added.
func addSpaces(m *hujson.ObjectMember) {
	if len(m.Name.BeforeExtra) == 0 {
		m.Name.BeforeExtra = hujson.Extra(" ")
	}
	if len(m.Value.BeforeExtra) == 0 {
		m.Value.BeforeExtra = hujson.Extra(" ")
	}
}
