package event

import (
	"encoding/json"
	"math"
	"strconv"
	"time"

	"github.com/rs/zerolog"
)

type fieldKind uint8

const (
	stringKind fieldKind = iota
	intKind
	uintKind
	floatKind
	boolKind
	durationKind
	rawKind
)

// Field is a named value of an event. Its name must be in kebab case and not one
// of the members of every event: clock, time, instance-id, kind and subject.
type Field struct {
	name string
	kind fieldKind
	// text holds the value of the kinds stringKind and rawKind.
	text string
	// bits holds the value of the other kinds.
	bits uint64
}

// String returns a field that holds a string.
func String(name, v string) Field { return Field{name: name, text: v} }

// Int returns a field that holds a signed integer.
func Int[T ~int | ~int32 | ~int64](name string, v T) Field {
	return Field{name: name, kind: intKind, bits: uint64(v)}
}

// Uint returns a field that holds an unsigned integer.
func Uint[T ~uint | ~uint32 | ~uint64](name string, v T) Field {
	return Field{name: name, kind: uintKind, bits: uint64(v)}
}

// Float returns a field that holds a floating-point number.
func Float(name string, v float64) Field {
	return Field{name: name, kind: floatKind, bits: math.Float64bits(v)}
}

// Bool returns a field that holds a boolean.
func Bool(name string, v bool) Field {
	f := Field{name: name, kind: boolKind}
	if v {
		f.bits = 1
	}
	return f
}

// Duration returns a field that holds a duration. It is written as by
// time.Duration.String.
func Duration(name string, v time.Duration) Field {
	return Field{name: name, kind: durationKind, bits: uint64(v)}
}

// Err returns a field named "error" with the text of err, empty if err is nil.
func Err(err error) Field {
	if err == nil {
		return String("error", "")
	}
	return String("error", err.Error())
}

// Name returns the name of the field.
func (f Field) Name() string { return f.name }

// Value returns the value as a string.
func (f Field) Value() string {
	switch f.kind {
	case intKind:
		return strconv.FormatInt(int64(f.bits), 10)
	case uintKind:
		return strconv.FormatUint(f.bits, 10)
	case floatKind:
		return strconv.FormatFloat(math.Float64frombits(f.bits), 'g', -1, 64)
	case boolKind:
		return strconv.FormatBool(f.bits == 1)
	case durationKind:
		return time.Duration(f.bits).String()
	}
	return f.text
}

// append adds the field to z.
func (f Field) append(z *zerolog.Event) {
	switch f.kind {
	case intKind:
		z.Int64(f.name, int64(f.bits))
	case uintKind:
		z.Uint64(f.name, f.bits)
	case floatKind:
		z.Float64(f.name, math.Float64frombits(f.bits))
	case boolKind:
		z.Bool(f.name, f.bits == 1)
	case rawKind:
		z.RawJSON(f.name, []byte(f.text))
	default:
		z.Str(f.name, f.Value())
	}
}

// rawField returns a field with a value that was read from JSON. Values that are
// no strings keep their JSON text, so that numbers don't lose digits.
func rawField(name string, v json.RawMessage) Field {
	var s string
	if json.Unmarshal(v, &s) == nil {
		return String(name, s)
	}
	return Field{name: name, kind: rawKind, text: string(v)}
}
