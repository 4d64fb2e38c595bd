package document

import (
	"github.com/google/jsonschema-go/jsonschema"

	"snipeshift.example/lib/strict"
)

// Schema returns the JSON Schema of the document, from which a web console can generate its forms.
func Schema() (*jsonschema.Schema, error) {
	s, err := strict.Schema[Document](fieldTable)
	if err != nil {
		return nil, err
	}
	s.Title = "snipeshift configuration document"
	s.Properties["workspaces"].Items.Properties["keys"].Items.Pattern = "^" + keyHashPrefix + "[0-9a-f]{64}$"
	s.Properties["upstreams"].Items.OneOf = []*jsonschema.Schema{
		{Required: []string{"model"}},
		{Required: []string{"service"}},
	}
	return s, nil
}
