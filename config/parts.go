package config

import (
	"fmt"
	"maps"
	"slices"
	"strconv"

	"dandelionrock.example/dandelionrock/internal/value/parts"
	"github.com/pelletier/go-toml/v2"
)

// Parts returns the parts of o with the names and values of its configuration text, and
// defaults where the text states none.
func (o *Organisation) Parts() []parts.Part {
	var v map[string]any
	if err := toml.Unmarshal(o.Text(), &v); err != nil {
		// Unreachable: Text returns TOML.
		panic("config: " + err.Error())
	}
	return tableParts("organisation", "", v)
}

// tableParts returns the parts of a table: its own fields without its name, which is part of
// the name given, and then the tables in its arrays. prefix precedes the names of these.
func tableParts(name, prefix string, v map[string]any) []parts.Part {
	own := parts.Part{Name: name}
	var inner []parts.Part
	for _, k := range slices.Sorted(maps.Keys(v)) {
		elements, _ := v[k].([]any)
		tables := 0
		for _, e := range elements {
			if t, ok := e.(map[string]any); ok {
				tables++
				n := fmt.Sprintf("%s%s %q", prefix, k, t["name"])
				inner = append(inner, tableParts(n, n+" ", t)...)
			}
		}
		if tables == 0 && k != "name" {
			own.Fields = append(own.Fields, parts.Field{Name: k, Value: formatValue(v[k])})
		}
	}
	return append([]parts.Part{own}, inner...)
}

func formatValue(v any) string {
	switch v := v.(type) {
	case string:
		return strconv.Quote(v)
	case []any:
		names := make([]string, len(v))
		for i := range v {
			names[i] = fmt.Sprint(v[i])
		}
		return formatList(names)
	}
	return fmt.Sprint(v)
}

// Warnings returns the entries of o that never take effect.
func (o *Organisation) Warnings() []Fault {
	var f []Fault
	for _, s := range o.Services {
		if !slices.ContainsFunc(o.Accounts, func(a *Account) bool { return slices.Contains(a.Services, s.Name) }) {
			f = append(f, Fault{o.File, s.Line, fmt.Sprintf("service %q gets no requests: no client account lists it", s.Name)})
		}
	}
	return f
}
