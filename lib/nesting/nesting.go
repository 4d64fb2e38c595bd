// Package nesting bounds how deep JSON text nests. encoding/json fails on a whole message if one value in it nests deeper than
// it decodes, so that a single odd entry makes a list unreadable.
package nesting

// scanner follows the nesting of JSON text.
type scanner struct {
	depth             int
	inString, escaped bool
}

func (s *scanner) next(b byte) {
	switch {
	case s.escaped:
		s.escaped = false
	case s.inString && b == '\\':
		s.escaped = true
	case b == '"':
		s.inString = !s.inString
	case s.inString:
	case b == '{', b == '[':
		s.depth++
	case b == '}', b == ']':
		s.depth--
	}
}

// Depth returns the number of objects and lists around the innermost value of a JSON text.
func Depth(text []byte) int {
	var s scanner
	deepest := 0
	for _, b := range text {
		s.next(b)
		deepest = max(deepest, s.depth)
	}
	return deepest
}

// Cut returns a JSON text in which null replaces each object or list within more than limit others. It returns text itself if
// there is none.
func Cut(text []byte, limit int) []byte {
	var s scanner
	var cut []byte
	kept, inside := 0, false // the text from kept on is kept, unless the scanner is inside a value that is left out
	for i, b := range text {
		s.next(b)
		switch {
		case !inside && s.depth > limit:
			cut = append(cut, text[kept:i]...)
			cut = append(cut, "null"...)
			inside = true
		case inside && s.depth == limit:
			kept, inside = i+1, false
		}
	}
	switch {
	case cut == nil:
		return text
	case inside:
		return cut
	default:
		return append(cut, text[kept:]...)
	}
}
