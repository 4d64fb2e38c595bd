package strict

import (
	"reflect"

	"github.com/tailscale/hujson"
)

// readMap decodes an object whose names are not fixed. The table has one entry for all its values,
// under the path of the map.
func (s *Source) readMap(v *hujson.Value, into reflect.Value, path, tablePath string) {
	o, ok := v.Value.(*hujson.Object)
	if !ok {
		s.AddProblem(path, "must be an object {...}, not %s", typeName(v))
		return
	}
	into.Set(reflect.MakeMap(into.Type()))
	seen := map[string]int{}
	for i := range o.Members {
		m := &o.Members[i]
		name, memberPath, ok := s.readName(m, path, seen)
		if !ok {
			continue
		}
		value := reflect.New(into.Type().Elem()).Elem()
		s.readValue(&m.Value, value, memberPath, tablePath)
		into.SetMapIndex(reflect.ValueOf(name).Convert(into.Type().Key()), value)
	}
}

// readName returns the name of a member and its path, and reports a name that is there already. seen
// contains the names before it.
func (s *Source) readName(m *hujson.ObjectMember, path string, seen map[string]int) (name, memberPath string, ok bool) {
	name = toLiteral(&m.Name).String()
	memberPath = joinPath(path, name)
	if first, twice := seen[name]; twice {
		s.reportAt(m.Name.StartOffset, memberPath, "appears twice in this object, first at line %d: remove one", s.lineOf(first))
		return name, memberPath, false
	}
	seen[name] = m.Name.StartOffset
	s.offsets[memberPath] = m.Name.StartOffset
	return name, memberPath, true
}

// MemberPath returns the path under which a value of a map is reported.
func MemberPath(path, name string) string { return joinPath(path, name) }
