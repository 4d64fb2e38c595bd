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

// MaxDepth is the deepest allowed nesting of objects and lists. It bounds the recursion of Read.
const MaxDepth = 64

// Source maps the paths of a decoded file to lines and collects its problems. Checks of the decoded
// values report their problems with AddProblem.
type Source struct {
	name  string
	table Table
	// lineBreaks are the offsets of the line breaks in ascending order.
	lineBreaks []int
	// offsets maps each path in the file to its offset.
	offsets map[string]int
	// faulty is the set of paths that have a problem.
	faulty   map[string]bool
	problems Problems
}

// Read decodes text into the struct that into points to and checks the fields against table. It
// always returns a Source; its Problems are complete only after all further checks of the caller.
// name is the file name that the problems contain.
func Read(text []byte, name string, into any, table Table) *Source {
	s := &Source{name: name, table: table, offsets: map[string]int{}, faulty: map[string]bool{}}
	for i, b := range text {
		if b == '\n' {
			s.lineBreaks = append(s.lineBreaks, i)
		}
	}
	if nestsTooDeep(text) {
		s.report(1, "", "nests deeper than %d levels: flatten it", MaxDepth)
		return s
	}
	tree, err := hujson.Parse(text)
	if err != nil {
		s.reportSyntaxError(err)
		return s
	}
	s.readValue(&tree, reflect.ValueOf(into).Elem(), "", "")
	return s
}

// nestsTooDeep reports whether brackets nest deeper than MaxDepth. It also counts brackets in strings and
// comments, where no configuration needs that many unclosed ones.
func nestsTooDeep(text []byte) bool {
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

// reportSyntaxError reports an error of the JSON parser, which stops at the first one.
func (s *Source) reportSyntaxError(err error) {
	line, column, text := 1, 1, err.Error()
	if n, _ := fmt.Sscanf(text, "hujson: line %d, column %d:", &line, &column); n == 2 {
		text = text[strings.Index(text, ": ")+2:]
		text = text[strings.Index(text, ": ")+2:]
	}
	// The rest of the error quotes the file and may contain an API key that lacks its quotes.
	text, _, _ = strings.Cut(text, "invalid literal:")
	if text == "" {
		text = "value is not a string, number, true, false or null"
	}
	text = strings.ReplaceAll(text, "\n", " ")
	s.report(line, "", "invalid JSON with comments at column %d: %s", column, text)
}

// Problems returns all problems found so far, sorted by line.
func (s *Source) Problems() Problems {
	s.problems.sort()
	return s.problems
}

// AddProblem records a problem with the field at path. If the file does not contain the field, the problem
// is reported at the line of its nearest parent.
func (s *Source) AddProblem(path, format string, args ...any) {
	s.report(s.Line(path), path, format, args...)
}

// Line returns the line of the field at path, or of its nearest parent if the file lacks the field.
func (s *Source) Line(path string) int {
	for {
		offset, ok := s.offsets[path]
		if ok || path == "" {
			return s.lineOf(offset)
		}
		path = path[:max(strings.LastIndexAny(path, ".["), 0)]
	}
}

func (s *Source) lineOf(offset int) int {
	return 1 + sort.SearchInts(s.lineBreaks, offset)
}

// readValue decodes one value. path contains list positions; tablePath is the same path without them,
// as in Table.
func (s *Source) readValue(v *hujson.Value, into reflect.Value, path, tablePath string) {
	if _, ok := s.offsets[path]; !ok {
		s.offsets[path] = v.StartOffset
	}
	switch into.Kind() {
	case reflect.Struct:
		s.readObject(v, into, path, tablePath)
	case reflect.Slice:
		s.readList(v, into, path, tablePath)
	case reflect.Map:
		s.readMap(v, into, path, tablePath)
	default:
		s.readLiteral(v, into, path, tablePath)
	}
}

func (s *Source) readObject(v *hujson.Value, into reflect.Value, path, tablePath string) {
	o, ok := v.Value.(*hujson.Object)
	if !ok {
		s.AddProblem(path, "must be an object {...}, not %s", typeName(v))
		return
	}
	fields := fieldsOf(into.Type())
	seen := map[string]int{}
	for i := range o.Members {
		m := &o.Members[i]
		name, fieldPath, ok := s.readName(m, path, seen)
		if !ok {
			continue
		}
		f, ok := fields[name]
		if !ok {
			s.reportAt(m.Name.StartOffset, fieldPath, "unknown field: use one of %s", nameList(fields))
			continue
		}
		s.readValue(&m.Value, into.Field(f), fieldPath, joinPath(tablePath, name))
	}
	s.fillAbsent(into, fields, seen, path, tablePath)
}

// fillAbsent sets the defaults of absent fields and reports absent fields that are required. seen
// contains the fields that are present.
func (s *Source) fillAbsent(into reflect.Value, fields map[string]int, seen map[string]int, path, tablePath string) {
	for _, name := range sortedNames(fields) {
		if _, ok := seen[name]; ok {
			continue
		}
		into := into.Field(fields[name])
		f := s.table[joinPath(tablePath, name)]
		if f.Required {
			s.AddProblem(joinPath(path, name), "is missing: add it (%s)", f.Description)
		}
		if f.Default != nil {
			into.Set(reflect.ValueOf(f.Default).Convert(into.Type()))
		}
		if into.Kind() == reflect.Struct {
			// The fields of an absent object also receive their defaults.
			s.fillAbsent(into, fieldsOf(into.Type()), nil, joinPath(path, name), joinPath(tablePath, name))
		}
	}
}

func (s *Source) readList(v *hujson.Value, into reflect.Value, path, tablePath string) {
	a, ok := v.Value.(*hujson.Array)
	if !ok {
		s.AddProblem(path, "must be a list [...], not %s", typeName(v))
		return
	}
	into.Set(reflect.MakeSlice(into.Type(), len(a.Elements), len(a.Elements)))
	for i := range a.Elements {
		s.readValue(&a.Elements[i], into.Index(i), fmt.Sprintf("%s[%d]", path, i), tablePath)
	}
}

func (s *Source) readLiteral(v *hujson.Value, into reflect.Value, path, tablePath string) {
	f := s.table[tablePath]
	l := toLiteral(v)
	switch into.Kind() {
	case reflect.String:
		if l.Kind() != '"' {
			s.AddProblem(path, "must be a string, not %s", typeName(v))
			return
		}
		into.SetString(l.String())
		s.checkString(l.String(), f, path)
	case reflect.Bool:
		if l.Kind() != 't' && l.Kind() != 'f' {
			s.AddProblem(path, "must be true or false, not %s", typeName(v))
			return
		}
		into.SetBool(l.Bool())
	default:
		s.readNumber(v, into, path, f)
	}
}

func (s *Source) checkString(text string, f Field, path string) {
	if len(f.Enum) > 0 && !slices.Contains(f.Enum, text) {
		s.AddProblem(path, "is %s: use one of %s", quote(text), strings.Join(f.Enum, ", "))
		return
	}
	if f.Max > 0 && (float64(len(text)) < f.Min || float64(len(text)) > f.Max) {
		s.AddProblem(path, "has %d bytes: use %s to %s", len(text), formatNumber(f.Min), formatNumber(f.Max))
	}
}

func (s *Source) readNumber(v *hujson.Value, into reflect.Value, path string, f Field) {
	whole := into.Kind() != reflect.Float64
	l := toLiteral(v)
	if l.Kind() != '0' {
		s.AddProblem(path, "must be a %s, not %s", numberText(whole, f.Unit), typeName(v))
		return
	}
	n, err := strconv.ParseFloat(string(l), 64)
	if err != nil {
		s.AddProblem(path, "is too large: use %s", boundsText(f))
		return
	}
	if f.Max > f.Min && (n < f.Min || n > f.Max) {
		s.AddProblem(path, "is %s: use %s", l, boundsText(f))
		return
	}
	if whole && n != math.Trunc(n) {
		s.AddProblem(path, "is %s: must be a %s", l, numberText(whole, f.Unit))
		return
	}
	if !setNumber(into, n) {
		s.AddProblem(path, "is %s: use a smaller number", l)
	}
}

// setNumber stores a number and reports whether the field's type can represent it.
func setNumber(into reflect.Value, n float64) bool {
	switch {
	case into.CanFloat():
		into.SetFloat(n)
	case into.CanInt():
		// Above 2^53 a float64 can't represent every integer; no field needs values that large.
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

func (s *Source) reportAt(offset int, path, format string, args ...any) {
	s.report(s.lineOf(offset), path, format, args...)
}

func (s *Source) report(line int, path, format string, args ...any) {
	s.faulty[path] = true
	s.problems = append(s.problems, Problem{s.name, line, path, fmt.Sprintf(format, args...)})
}

// HasProblem reports whether the field at path itself has a problem already, so that later checks do
// not report the consequences of that problem.
func (s *Source) HasProblem(path string) bool { return s.faulty[path] }
