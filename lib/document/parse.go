package document

import (
	"fmt"

	"snipeshift.example/lib/strict"
)

// Names of the types in which Parse reports problems.
type (
	// Problem is one fault of a document.
	Problem = strict.Problem
	// Problems are all faults of a document, sorted by line.
	Problems = strict.Problems
)

// Parse decodes and validates a document and returns all problems found. name is the file name that
// the problems contain. If there is any problem, the document is nil: a document is never applied
// in part.
func Parse(text []byte, name string) (*Document, Problems) {
	if len(text) > MaxSize {
		return nil, Problems{{
			File: name, Line: 1,
			Text: fmt.Sprintf("has %d bytes, the store accepts at most %d: remove entries that are not in use", len(text), MaxSize),
		}}
	}
	d := &Document{}
	s := strict.Read(text, name, d, fieldTable)
	if !s.HasProblem("") {
		c := checker{source: s, document: d}
		c.run()
	}
	if ps := s.Problems(); len(ps) > 0 {
		return nil, ps
	}
	return d, nil
}
