package config

import (
	"encoding/json"
	"fmt"
	"math"

	"github.com/cockroachdb/errors"
	"github.com/pelletier/go-toml/v2"
	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/reflect/protoreflect"
)

// MaxText is the maximum size of a configuration text. A row of the table service
// holds 400 KiB, of which 16 KiB are reserved for the other attributes.
const MaxText Bytes = 384 << 10

// checker collects the faults of one text. Most of its methods check the value of
// the key k in the table at the path p.
type checker struct {
	file string
	// lines holds the line of each value in the text.
	lines map[path]int
	// invalid holds the paths of values for which a fault was reported.
	invalid map[path]bool
	faults  []Fault
}

// decode decodes the text into m. It reports values of the wrong type and leaves
// them out. It returns false if no further checks are possible.
func decode(file string, text []byte, m proto.Message) (*checker, bool) {
	c := &checker{file: file, lines: map[path]int{"": 1}, invalid: map[path]bool{}}
	if Bytes(len(text)) > MaxText {
		c.fault("", "text has %d bytes, more than %d", len(text), MaxText)
		return c, false
	}
	v := map[string]any{}
	if err := toml.Unmarshal(text, &v); err != nil {
		c.syntax(err)
		return c, false
	}
	c.lines = indexLines(text)
	c.table("", v, m.ProtoReflect().Descriptor())
	b, err := json.Marshal(v)
	if err == nil {
		err = protojson.Unmarshal(b, m)
	}
	if err != nil {
		c.fault("", "%v", err)
		return c, false
	}
	return c, true
}

// syntax reports an error of the TOML parser.
func (c *checker) syntax(err error) {
	f := Fault{File: c.file, Line: 1, Cause: err.Error()}
	var d *toml.DecodeError
	if errors.As(err, &d) {
		f.Line, _ = d.Position()
	}
	c.faults = append(c.faults, f)
}

// fault reports a fault of the value at p and marks the value as invalid.
func (c *checker) fault(p path, format string, a ...any) {
	c.invalid[p] = true
	c.faults = append(c.faults, Fault{File: c.file, Line: c.lines[p], Cause: fmt.Sprintf(format, a...)})
}

// hasValue reports whether the text states a value for p for which no fault was
// reported.
func (c *checker) hasValue(p path) bool { return c.lines[p] > 0 && !c.invalid[p] }

// table checks the keys and the types of the values of a table against a message.
// Invalid values are removed, so that the others can be decoded and checked.
func (c *checker) table(p path, v map[string]any, d protoreflect.MessageDescriptor) {
	for k, e := range v {
		q := p.key(k)
		f := d.Fields().ByJSONName(k)
		if f == nil {
			c.fault(q, "unknown key %q", k)
			delete(v, k)
			continue
		}
		ok := false
		switch {
		case f.IsMap():
			ok = c.stringMap(q, k, e)
		case f.IsList():
			ok = c.array(q, k, e, f)
		default:
			v[k], ok = c.value(q, k, e, f)
		}
		if !ok {
			delete(v, k)
		}
	}
}

// array checks an array. Invalid elements are replaced by empty ones, so that the
// other elements keep their indexes.
func (c *checker) array(p path, k string, v any, f protoreflect.FieldDescriptor) bool {
	a, ok := v.([]any)
	if !ok {
		if _, t := v.(map[string]any); t && f.Message() != nil {
			c.fault(p, "%s is a table, want an array of tables: [[%s]]", k, k)
			return false
		}
		c.fault(p, "%s is %s, want an array", k, typeName(v))
		return false
	}
	for i := range a {
		if a[i], ok = c.value(p.index(i), k, a[i], f); ok {
			continue
		}
		if a[i] = ""; f.Message() != nil {
			a[i] = map[string]any{}
		}
	}
	return true
}

// stringMap checks a table whose values are strings.
func (c *checker) stringMap(p path, k string, v any) bool {
	m, ok := v.(map[string]any)
	if !ok {
		c.fault(p, "%s is %s, want a table", k, typeName(v))
		return false
	}
	for n, e := range m {
		if _, ok := e.(string); !ok {
			c.fault(p.key(n), "%s is %s, want a string", n, typeName(e))
			delete(m, n)
		}
	}
	return true
}

// value checks a value that is no array and returns it in the form that protojson
// accepts.
func (c *checker) value(p path, k string, v any, f protoreflect.FieldDescriptor) (any, bool) {
	want, ok := "", false
	switch f.Kind() {
	case protoreflect.StringKind:
		want = "a string"
		_, ok = v.(string)
	case protoreflect.BoolKind:
		want = "a boolean"
		_, ok = v.(bool)
	case protoreflect.Uint32Kind:
		want = "an integer"
		n, is := v.(int64)
		if is && (n < 0 || n > math.MaxUint32) {
			c.fault(p, "%s = %d is out of range", k, n)
			return nil, false
		}
		ok = is
	case protoreflect.DoubleKind:
		return c.double(p, k, v)
	case protoreflect.MessageKind:
		want = "a table"
		m, is := v.(map[string]any)
		if ok = is; is {
			c.table(p, m, f.Message())
		}
	}
	if !ok {
		c.fault(p, "%s is %s, want %s", k, typeName(v), want)
	}
	return v, ok
}

// double checks a number and returns it as a float64.
func (c *checker) double(p path, k string, v any) (any, bool) {
	switch n := v.(type) {
	case int64:
		return float64(n), true
	case float64:
		if math.IsNaN(n) || math.IsInf(n, 0) {
			c.fault(p, "%s = %v is not a finite number", k, n)
			return nil, false
		}
		return n, true
	}
	c.fault(p, "%s is %s, want a number", k, typeName(v))
	return nil, false
}

// typeName returns the TOML type of a decoded value, with its article.
func typeName(v any) string {
	switch v.(type) {
	case string:
		return "a string"
	case bool:
		return "a boolean"
	case int64:
		return "an integer"
	case float64:
		return "a float"
	case []any:
		return "an array"
	case map[string]any:
		return "a table"
	}
	return "a date or time"
}
