package document

import (
	"fmt"

	"snipeshift.example/lib/strict"
)

// Problem and Problems are what Parse reports.
type (
	// Problem is one thing to mend in a document.
	Problem = strict.Problem
	// Problems are all of them, by line.
	Problems = strict.Problems
)

// Parse reads a document and checks all of it. Name is the file's name for the
// problems. The document is nil unless there is no problem at all: a document
// is in force whole or not.
func Parse(text []byte, name string) (*Document, Problems) {
	if len(text) > MaxSize {
		return nil, Problems{{
			File: name, Line: 1,
			Text: fmt.Sprintf("has %d bytes, the store holds at most %d: remove what is not in use", len(text), MaxSize),
		}}
	}
	d := &Document{}
	s := strict.Read(text, name, d, fields)
	if !s.HasProblem("") {
		c := checker{source: s, document: d}
		c.run()
	}
	if ps := s.Problems(); len(ps) > 0 {
		return nil, ps
	}
	return d, nil
}
