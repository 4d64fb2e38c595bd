package strict

import (
	"encoding/json"
	"slices"

	"github.com/google/jsonschema-go/jsonschema"
)

// Keywords that the schema adds to those of the standard, for a console of forms.
const (
	// KeywordUnit names what a number counts.
	KeywordUnit = "x-unit"
	// KeywordTable names the table whose entries' names a field refers to.
	KeywordTable = "x-table"
)

// Schema returns the JSON Schema of the format that T and table describe. It
// has the bounds of single fields; what only several fields together show
// (references, duplicates) a reader checks on top.
func Schema[T any](table Table) (*jsonschema.Schema, error) {
	s, err := jsonschema.For[T](nil)
	if err != nil {
		return nil, err
	}
	s.Schema = "https://json-schema.org/draft/2020-12/schema"
	return s, decorate(s, table, "")
}

// decorate adds to a schema and all below it what the table tells.
func decorate(s *jsonschema.Schema, table Table, path string) error {
	s.Required = nil
	for name, sub := range s.Properties {
		at := join(path, name)
		f := table[at]
		if f.Required {
			s.Required = append(s.Required, name)
		}
		if err := describeField(sub, f); err != nil {
			return err
		}
		if err := decorate(sub, table, at); err != nil {
			return err
		}
	}
	slices.Sort(s.Required)
	if s.Items == nil {
		return nil
	}
	bound(s.Items, table[path])
	return decorate(s.Items, table, path)
}

func describeField(s *jsonschema.Schema, f Field) error {
	s.Description = f.Description
	if len(s.Types) > 0 {
		// The package lets a list be null; the reader does not.
		s.Type, s.Types = "array", nil
	}
	s.Extra = extra(f)
	bound(s, f)
	if f.Default == nil {
		return nil
	}
	text, err := json.Marshal(f.Default)
	s.Default = text
	return err
}

func extra(f Field) map[string]any {
	words := map[string]any{}
	if f.Unit != "" {
		words[KeywordUnit] = f.Unit
	}
	if f.RefersTo != "" {
		words[KeywordTable] = f.RefersTo
	}
	return words
}

func bound(s *jsonschema.Schema, f Field) {
	for _, o := range f.Enum {
		s.Enum = append(s.Enum, o)
	}
	switch {
	case f.Max <= f.Min:
	case s.Type == "integer" || s.Type == "number":
		s.Minimum, s.Maximum = &f.Min, &f.Max
	case s.Type == "string":
		least, most := int(f.Min), int(f.Max)
		s.MinLength, s.MaxLength = &least, &most
	}
}
