package platform

import (
	"slices"
	"strings"
)

// key identifies an object by kind and name.
type key struct{ kind, name string }

// Version is the number of a write. Versions increase with every write to any object.
type Version uint64

// state is the state of an object at one version. A deleted or absent object has no value.
type state struct {
	version Version
	value   []byte
	deleted bool
}

// object holds the current and the previous state of one object.
type object struct {
	current, previous state
}

// table holds all objects. The caller synchronizes access.
type table struct {
	objects map[key]*object
	last    Version // version of the last write
}

// condition is the precondition of a write: none, that the object has a version, or that it is absent.
type condition struct {
	set    bool
	absent bool
	match  Version
}

// read returns the current state of an object, or the previous one if stale is set.
func (t *table) read(k key, stale bool) state {
	o, ok := t.objects[k]
	if !ok {
		return state{deleted: true}
	}
	if stale {
		return o.previous
	}
	return o.current
}

// write sets a new state of an object if the condition holds. It returns the resulting state and
// whether the condition held. A deletion of an absent object succeeds without a new version.
func (t *table) write(k key, value []byte, deleted bool, c condition) (state, bool) {
	o, ok := t.objects[k]
	if !ok {
		o = &object{current: state{deleted: true}, previous: state{deleted: true}}
	}
	if !c.holds(o.current) {
		return o.current, false
	}
	if deleted && o.current.deleted {
		return o.current, true
	}
	t.last++
	o.previous = o.current
	o.current = state{version: t.last, value: value, deleted: deleted}
	t.objects[k] = o
	return o.current, true
}

func (c condition) holds(s state) bool {
	switch {
	case !c.set:
		return true
	case c.absent:
		return s.deleted
	default:
		return !s.deleted && s.version == c.match
	}
}

// Item is one entry of a list.
type Item struct {
	Name    string  `json:"name"`
	Version Version `json:"version"`
	Value   []byte  `json:"value"`
}

// list returns the existing objects of a kind whose names have a prefix, sorted by name.
func (t *table) list(kind, prefix string, stale bool) []Item {
	items := []Item{}
	for k := range t.objects {
		if k.kind != kind || !strings.HasPrefix(k.name, prefix) {
			continue
		}
		s := t.read(k, stale)
		if !s.deleted {
			items = append(items, Item{Name: k.name, Version: s.version, Value: s.value})
		}
	}
	slices.SortFunc(items, func(a, b Item) int { return strings.Compare(a.Name, b.Name) })
	return items
}
