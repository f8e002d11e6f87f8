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

// MaxText is the largest text of an organisation. A row of the table service
// holds 400 KiB, of which 16 KiB are left for the rest of the row.
const MaxText Bytes = 384 << 10

// checker collects the faults of one text.
type checker struct {
	file  string
	lines map[path]int
	// bad holds the paths whose value is already refused.
	bad    map[path]bool
	faults []Fault
}

// decode reads the text into m. Values of the wrong type are reported and left
// out. It returns false where nothing further can be checked.
func decode(file string, text []byte, m proto.Message) (*checker, bool) {
	c := &checker{file: file, lines: map[path]int{"": 1}, bad: map[path]bool{}}
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
	c.shape("", v, m.ProtoReflect().Descriptor())
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

func (c *checker) syntax(err error) {
	f := Fault{File: c.file, Line: 1, Cause: err.Error()}
	var d *toml.DecodeError
	if errors.As(err, &d) {
		f.Line, _ = d.Position()
	}
	c.faults = append(c.faults, f)
}

func (c *checker) fault(p path, format string, a ...any) {
	c.bad[p] = true
	c.faults = append(c.faults, Fault{File: c.file, Line: c.lines[p], Cause: fmt.Sprintf(format, a...)})
}

// stated reports whether the text holds a usable value for p.
func (c *checker) stated(p path) bool { return c.lines[p] > 0 && !c.bad[p] }

// shape compares the keys and types of a table with a message. Refused values
// are removed, so that the rest can be decoded and checked.
func (c *checker) shape(p path, v map[string]any, d protoreflect.MessageDescriptor) {
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
			ok = c.strings(q, k, e)
		case f.IsList():
			ok = c.list(q, k, e, f)
		default:
			v[k], ok = c.single(q, k, e, f)
		}
		if !ok {
			delete(v, k)
		}
	}
}

// list checks an array. A refused element is replaced by an empty one, so that
// the indexes of the others are kept.
func (c *checker) list(p path, k string, v any, f protoreflect.FieldDescriptor) bool {
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
		if a[i], ok = c.single(p.index(i), k, a[i], f); ok {
			continue
		}
		if a[i] = ""; f.Message() != nil {
			a[i] = map[string]any{}
		}
	}
	return true
}

func (c *checker) strings(p path, k string, v any) bool {
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

// single checks one value and returns it in the form that protojson reads.
func (c *checker) single(p path, k string, v any, f protoreflect.FieldDescriptor) (any, bool) {
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
			c.shape(p, m, f.Message())
		}
	}
	if !ok {
		c.fault(p, "%s is %s, want %s", k, typeName(v), want)
	}
	return v, ok
}

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
