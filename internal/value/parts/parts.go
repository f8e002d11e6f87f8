// Package parts compares texts that consist of named parts with fields.
package parts

import (
	"fmt"
	"slices"
	"strings"
)

// Part is a part of a text.
type Part struct {
	Name string
	// Fields has each name once.
	Fields []Field
}

// Field is a value with a name.
type Field struct{ Name, Value string }

// Change is a part that differs between two texts.
type Change struct {
	Name string
	// Added and Removed are set if only one of the texts has the part. Otherwise Old and
	// New hold the fields that differ or that only one of them has.
	Added, Removed bool
	Old, New       []Field
}

// Diff returns the changes that lead from one text to another, in the order of the old
// text, with the added parts last. It ignores the order of parts with different names; of
// several parts of one name, the first is compared with the first.
func Diff(old, next []Part) []Change {
	ids, olds := index(old)
	nextIDs, nexts := index(next)
	var c []Change
	for _, k := range ids {
		o := olds[k].Fields
		p, ok := nexts[k]
		x := Change{Name: k.String(), Removed: !ok, Old: without(o, p.Fields), New: without(p.Fields, o)}
		if !ok || len(x.Old)+len(x.New) > 0 {
			c = append(c, x)
		}
	}
	for _, k := range nextIDs {
		if _, ok := olds[k]; !ok {
			c = append(c, Change{Name: k.String(), Added: true, New: nexts[k].Fields})
		}
	}
	return c
}

// id identifies a part of a text: earlier is the number of parts of the same name before it.
type id struct {
	name    string
	earlier int
}

// String returns the name, with a number for parts after the first of that name.
func (k id) String() string {
	if k.earlier == 0 {
		return k.name
	}
	return fmt.Sprintf("%s (%d)", k.name, k.earlier+1)
}

// index returns the ids of parts in their order, and the parts by id.
func index(ps []Part) ([]id, map[id]Part) {
	var ids []id
	m, count := map[id]Part{}, map[string]int{}
	for _, p := range ps {
		k := id{p.Name, count[p.Name]}
		count[p.Name]++
		ids, m[k] = append(ids, k), p
	}
	return ids, m
}

// without returns the fields that others don't hold with the same value.
func without(fs, others []Field) []Field {
	var out []Field
	for _, f := range fs {
		if !slices.Contains(others, f) {
			out = append(out, f)
		}
	}
	return out
}

// String returns the change in one line, with old and new values.
func (c Change) String() string {
	switch {
	case c.Added:
		return "added: " + c.Name + list(c.New)
	case c.Removed:
		return "removed: " + c.Name + list(c.Old)
	}
	var s []string
	for _, o := range c.Old {
		s = append(s, o.Name+": "+o.Value+" -> "+value(c.New, o.Name))
	}
	for _, n := range c.New {
		if value(c.Old, n.Name) == unset {
			s = append(s, n.Name+": "+unset+" -> "+n.Value)
		}
	}
	return "changed: " + c.Name + ": " + strings.Join(s, ", ")
}

// unset stands for the value of a field that isn't there.
const unset = "(unset)"

func value(fs []Field, name string) string {
	for _, f := range fs {
		if f.Name == name {
			return f.Value
		}
	}
	return unset
}

func list(fs []Field) string {
	var s []string
	for _, f := range fs {
		s = append(s, f.Name+" "+f.Value)
	}
	if len(s) == 0 {
		return ""
	}
	return ": " + strings.Join(s, ", ")
}
