package strict

import (
	"encoding/json"
	"slices"

	"github.com/google/jsonschema-go/jsonschema"
)

// Keywords in addition to those of JSON Schema, for a web console that generates forms.
const (
	// KeywordUnit is the unit of a number.
	KeywordUnit = "x-unit"
	// KeywordTable is the list whose entries a field refers to by name.
	KeywordTable = "x-table"
)

// Schema returns the JSON Schema of the format that T and table describe. It has the bounds of
// single fields. Constraints that involve several fields, such as references and unique names, are
// checked only in code, after Read.
func Schema[T any](table Table) (*jsonschema.Schema, error) {
	s, err := jsonschema.For[T](nil)
	if err != nil {
		return nil, err
	}
	s.Schema = "https://json-schema.org/draft/2020-12/schema"
	return s, annotate(s, table, "")
}

// annotate adds the descriptions, bounds and defaults of the table to a schema and its subschemas.
func annotate(s *jsonschema.Schema, table Table, path string) error {
	s.Required = nil
	for name, sub := range s.Properties {
		at := joinPath(path, name)
		f := table[at]
		if f.Required {
			s.Required = append(s.Required, name)
		}
		if err := annotateField(sub, f); err != nil {
			return err
		}
		if err := annotate(sub, table, at); err != nil {
			return err
		}
	}
	slices.Sort(s.Required)
	if s.Items == nil {
		return nil
	}
	setBounds(s.Items, table[path])
	return annotate(s.Items, table, path)
}

func annotateField(s *jsonschema.Schema, f Field) error {
	s.Description = f.Description
	if len(s.Types) > 0 {
		// The jsonschema package allows null for a list; Read does not.
		s.Type, s.Types = "array", nil
	}
	s.Extra = extraKeywords(f)
	setBounds(s, f)
	if f.Default == nil {
		return nil
	}
	text, err := json.Marshal(f.Default)
	s.Default = text
	return err
}

func extraKeywords(f Field) map[string]any {
	keywords := map[string]any{}
	if f.Unit != "" {
		keywords[KeywordUnit] = f.Unit
	}
	if f.RefersTo != "" {
		keywords[KeywordTable] = f.RefersTo
	}
	return keywords
}

func setBounds(s *jsonschema.Schema, f Field) {
	for _, o := range f.Enum {
		s.Enum = append(s.Enum, o)
	}
	switch {
	case f.Max <= f.Min:
	case s.Type == "integer" || s.Type == "number":
		s.Minimum, s.Maximum = &f.Min, &f.Max
	case s.Type == "string":
		minLen, maxLen := int(f.Min), int(f.Max)
		s.MinLength, s.MaxLength = &minLen, &maxLen
	}
}
