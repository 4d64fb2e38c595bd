package strict

import (
	"fmt"
	"math"
	"reflect"
	"slices"
	"sort"
	"strconv"
	"strings"

	"github.com/tailscale/hujson"
)

// MaxDepth bounds how deep a file may nest, and with it the reader's stack.
const MaxDepth = 64

// Source is a file that was read. Checks that come after reading add their
// problems to it by path.
type Source struct {
	name  string
	table Table
	// breaks are the offsets of line breaks, rising.
	breaks []int
	// offsets gives the place of each path that the file contains.
	offsets map[string]int
	// faulty holds the paths of all problems.
	faulty   map[string]bool
	problems Problems
}

// Read reads text into the struct that into points to. It always returns a
// Source; ask it for Problems after all further checks.
func Read(text []byte, name string, into any, table Table) *Source {
	s := &Source{name: name, table: table, offsets: map[string]int{}, faulty: map[string]bool{}}
	for i, b := range text {
		if b == '\n' {
			s.breaks = append(s.breaks, i)
		}
	}
	if deep(text) {
		s.report(1, "", "nests deeper than %d levels: flatten it", MaxDepth)
		return s
	}
	tree, err := hujson.Parse(text)
	if err != nil {
		s.syntax(err)
		return s
	}
	s.value(&tree, reflect.ValueOf(into).Elem(), "", "")
	return s
}

// deep tells whether brackets nest deeper than MaxDepth. It also counts those
// within strings and comments, which a configuration has no use for in such number.
func deep(text []byte) bool {
	depth := 0
	for _, b := range text {
		switch b {
		case '{', '[':
			depth++
		case '}', ']':
			depth--
		}
		if depth > MaxDepth {
			return true
		}
	}
	return false
}

// syntax reports text that is no JSON with comments; the reader of the syntax stops at the first.
func (s *Source) syntax(err error) {
	line, column, text := 1, 1, err.Error()
	if n, _ := fmt.Sscanf(text, "hujson: line %d, column %d:", &line, &column); n == 2 {
		text = text[strings.Index(text, ": ")+2:]
		text = text[strings.Index(text, ": ")+2:]
	}
	// What follows is a piece of the file, which may be a key that lacks its quotes.
	text, _, _ = strings.Cut(text, "invalid literal:")
	if text == "" {
		text = "a value that is no string, number, true, false or null"
	}
	text = strings.ReplaceAll(text, "\n", " ")
	s.report(line, "", "no JSON with comments at column %d: %s", column, text)
}

// Problems returns all problems found so far, by line.
func (s *Source) Problems() Problems {
	s.problems.sort()
	return s.problems
}

// AddProblem reports a problem with a field. A path that the file does not contain is
// reported at the line of its nearest parent.
func (s *Source) AddProblem(path, format string, args ...any) {
	s.report(s.Line(path), path, format, args...)
}

// Line returns the line of a path, or of its nearest parent in the file.
func (s *Source) Line(path string) int {
	for {
		offset, ok := s.offsets[path]
		if ok || path == "" {
			return s.line(offset)
		}
		path = path[:max(strings.LastIndexAny(path, ".["), 0)]
	}
}

func (s *Source) line(offset int) int {
	return 1 + sort.SearchInts(s.breaks, offset)
}

// value reads one value. Path has list positions and generic has none.
func (s *Source) value(v *hujson.Value, into reflect.Value, path, generic string) {
	if _, ok := s.offsets[path]; !ok {
		s.offsets[path] = v.StartOffset
	}
	switch into.Kind() {
	case reflect.Struct:
		s.object(v, into, path, generic)
	case reflect.Slice:
		s.list(v, into, path, generic)
	default:
		s.literal(v, into, path, generic)
	}
}

func (s *Source) object(v *hujson.Value, into reflect.Value, path, generic string) {
	o, ok := v.Value.(*hujson.Object)
	if !ok {
		s.AddProblem(path, "must be an object {...}, not %s", describe(v))
		return
	}
	fields := fieldsOf(into.Type())
	seen := map[string]int{}
	for i := range o.Members {
		m := &o.Members[i]
		name := literal(&m.Name).String()
		sub := join(path, name)
		if first, ok := seen[name]; ok {
			s.at(m.Name.StartOffset, sub, "stands twice in this object, first at line %d: remove one", s.line(first))
			continue
		}
		seen[name] = m.Name.StartOffset
		s.offsets[sub] = m.Name.StartOffset
		f, ok := fields[name]
		if !ok {
			s.at(m.Name.StartOffset, sub, "unknown field: use one of %s", names(fields))
			continue
		}
		s.value(&m.Value, into.Field(f), sub, join(generic, name))
	}
	s.absent(into, fields, seen, path, generic)
}

// absent fills in defaults and reports needed fields that were left out.
func (s *Source) absent(into reflect.Value, fields map[string]int, seen map[string]int, path, generic string) {
	for _, name := range sorted(fields) {
		if _, ok := seen[name]; ok {
			continue
		}
		into := into.Field(fields[name])
		f := s.table[join(generic, name)]
		if f.Required {
			s.AddProblem(join(path, name), "is missing: add it (%s)", f.Description)
		}
		if f.Default != nil {
			into.Set(reflect.ValueOf(f.Default).Convert(into.Type()))
		}
		if into.Kind() == reflect.Struct {
			// An object that was left out still has its fields' defaults.
			s.absent(into, fieldsOf(into.Type()), nil, join(path, name), join(generic, name))
		}
	}
}

func (s *Source) list(v *hujson.Value, into reflect.Value, path, generic string) {
	a, ok := v.Value.(*hujson.Array)
	if !ok {
		s.AddProblem(path, "must be a list [...], not %s", describe(v))
		return
	}
	into.Set(reflect.MakeSlice(into.Type(), len(a.Elements), len(a.Elements)))
	for i := range a.Elements {
		s.value(&a.Elements[i], into.Index(i), fmt.Sprintf("%s[%d]", path, i), generic)
	}
}

func (s *Source) literal(v *hujson.Value, into reflect.Value, path, generic string) {
	f := s.table[generic]
	l := literal(v)
	switch into.Kind() {
	case reflect.String:
		if l.Kind() != '"' {
			s.AddProblem(path, "must be a string, not %s", describe(v))
			return
		}
		into.SetString(l.String())
		s.text(l.String(), f, path)
	case reflect.Bool:
		if l.Kind() != 't' && l.Kind() != 'f' {
			s.AddProblem(path, "must be true or false, not %s", describe(v))
			return
		}
		into.SetBool(l.Bool())
	default:
		s.number(v, into, path, f)
	}
}

func (s *Source) text(text string, f Field, path string) {
	if len(f.Enum) > 0 && !slices.Contains(f.Enum, text) {
		s.AddProblem(path, "is %s: use one of %s", quote(text), strings.Join(f.Enum, ", "))
		return
	}
	if f.Max > 0 && (float64(len(text)) < f.Min || float64(len(text)) > f.Max) {
		s.AddProblem(path, "has %d bytes: use %s to %s", len(text), format(f.Min), format(f.Max))
	}
}

func (s *Source) number(v *hujson.Value, into reflect.Value, path string, f Field) {
	whole := into.Kind() != reflect.Float64
	l := literal(v)
	if l.Kind() != '0' {
		s.AddProblem(path, "must be a %s, not %s", wanted(whole, f.Unit), describe(v))
		return
	}
	n, err := strconv.ParseFloat(string(l), 64)
	if err != nil {
		s.AddProblem(path, "is too large: use %s", bounds(f))
		return
	}
	if f.Max > f.Min && (n < f.Min || n > f.Max) {
		s.AddProblem(path, "is %s: use %s", l, bounds(f))
		return
	}
	if whole && n != math.Trunc(n) {
		s.AddProblem(path, "is %s: must be a %s", l, wanted(whole, f.Unit))
		return
	}
	if !set(into, n) {
		s.AddProblem(path, "is %s: use a smaller number", l)
	}
}

// set stores a number unless the field's type cannot hold it.
func set(into reflect.Value, n float64) bool {
	switch {
	case into.CanFloat():
		into.SetFloat(n)
	case into.CanInt():
		// Above 2^53 a float no longer holds every whole number, and no unit of ours comes near it.
		if n < -(1<<53) || n > 1<<53 || into.OverflowInt(int64(n)) {
			return false
		}
		into.SetInt(int64(n))
	default:
		if n < 0 || n > 1<<53 || into.OverflowUint(uint64(n)) {
			return false
		}
		into.SetUint(uint64(n))
	}
	return true
}

func (s *Source) at(offset int, path, format string, args ...any) {
	s.report(s.line(offset), path, format, args...)
}

func (s *Source) report(line int, path, format string, args ...any) {
	s.faulty[path] = true
	s.problems = append(s.problems, Problem{s.name, line, path, fmt.Sprintf(format, args...)})
}

// HasProblem tells whether a problem with this very field was reported already, so
// that a later check does not report what follows from it.
func (s *Source) HasProblem(path string) bool { return s.faulty[path] }
