package strict

import (
	"reflect"
	"slices"
	"strconv"
	"strings"

	"github.com/tailscale/hujson"
)

// fieldsOf returns the index of each field of a struct by its JSON name.
func fieldsOf(t reflect.Type) map[string]int {
	fields := map[string]int{}
	for i := range t.NumField() {
		name, _, _ := strings.Cut(t.Field(i).Tag.Get("json"), ",")
		if name != "" && name != "-" {
			fields[name] = i
		}
	}
	return fields
}

func sortedNames(fields map[string]int) []string {
	list := make([]string, 0, len(fields))
	for name := range fields {
		list = append(list, name)
	}
	slices.Sort(list)
	return list
}

func nameList(fields map[string]int) string { return strings.Join(sortedNames(fields), ", ") }

// joinPath appends a name to a path. An unusual name, for example with a line break, is quoted, so that
// the path fits on one line.
func joinPath(path, name string) string {
	if len(name) > maxQuoted || strings.ContainsFunc(name, needsQuoting) {
		name = quote(name)
	}
	if path == "" {
		return name
	}
	return path + "." + name
}

func needsQuoting(r rune) bool { return r <= ' ' || r > '~' || r == '.' || r == '[' }

// toLiteral returns a value as a literal, or the literal null if it is an object or a list.
func toLiteral(v *hujson.Value) hujson.Literal {
	l, ok := v.Value.(hujson.Literal)
	if !ok {
		return hujson.Literal("null")
	}
	return l
}

// typeName returns the type of a value. It never repeats the value, which may be an API key in the
// wrong field.
func typeName(v *hujson.Value) string {
	switch v.Value.Kind() {
	case '{':
		return "an object"
	case '[':
		return "a list"
	case '"':
		return "a string"
	case '0':
		return "a number"
	case 'n':
		return "null (leave the field out instead)"
	default:
		return "true or false"
	}
}

const maxQuoted = 60

// quote returns text as a quoted string on one line, truncated to maxQuoted bytes.
func quote(text string) string {
	if len(text) > maxQuoted {
		text = text[:maxQuoted] + "..."
	}
	return strconv.Quote(text)
}

func numberText(whole bool, unit string) string {
	text := "number"
	if whole {
		text = "whole number"
	}
	if unit != "" {
		text += " of " + unit
	}
	return text
}

func boundsText(f Field) string {
	if f.Max <= f.Min {
		return strings.TrimSpace("a smaller number " + f.Unit)
	}
	return strings.TrimSpace(formatNumber(f.Min) + " to " + formatNumber(f.Max) + " " + f.Unit)
}

func formatNumber(n float64) string { return strconv.FormatFloat(n, 'f', -1, 64) }
