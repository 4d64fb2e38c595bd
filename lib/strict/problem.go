// Package strict decodes JSON with comments into structs and reports all problems at once: unknown,
// missing and duplicate fields, wrong types and values out of bounds, each with file, line and path.
package strict

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
)

// Problem is a fault of a file.
type Problem struct {
	File string `json:"file"`
	// Line counts from 1.
	Line int `json:"line"`
	// Path is the path of the field, such as "upstreams[2].memory"; empty for the whole file.
	Path string `json:"path"`
	// Text describes the fault and its correction in one line.
	Text string `json:"text"`
}

// String returns the problem as one line: file, line, path and text.
func (p Problem) String() string {
	if p.Path == "" {
		return fmt.Sprintf("%s:%d: %s", p.File, p.Line, p.Text)
	}
	return fmt.Sprintf("%s:%d: %s: %s", p.File, p.Line, p.Path, p.Text)
}

// Problems are the problems of a file, sorted by line.
type Problems []Problem

// Error implements error. The text has one line for each problem.
func (ps Problems) Error() string {
	lines := make([]string, len(ps))
	for i, p := range ps {
		lines[i] = p.String()
	}
	return strings.Join(lines, "\n")
}

// Err returns ps as an error, or nil if ps is empty.
func (ps Problems) Err() error {
	if len(ps) == 0 {
		return nil
	}
	return ps
}

func (ps Problems) sort() {
	slices.SortStableFunc(ps, func(a, b Problem) int { return cmp.Compare(a.Line, b.Line) })
}
