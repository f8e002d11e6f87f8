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

// Field is a named value of an event. Its name is in kebab case and differs
// from the names that every event has.
type Field struct {
	name string
	kind fieldKind
	text string
	// bits holds a value that is not text.
	bits uint64
}

// String returns a field that holds a text.
func String(name, v string) Field { return Field{name: name, text: v} }

// Int returns a field that holds a signed integer.
func Int[T ~int | ~int32 | ~int64](name string, v T) Field {
	return Field{name: name, kind: intKind, bits: uint64(v)}
}

// Uint returns a field that holds an unsigned integer.
func Uint[T ~uint | ~uint32 | ~uint64](name string, v T) Field {
	return Field{name: name, kind: uintKind, bits: uint64(v)}
}

// Float returns a field that holds a number.
func Float(name string, v float64) Field {
	return Field{name: name, kind: floatKind, bits: math.Float64bits(v)}
}

// Bool returns a field that holds a truth value.
func Bool(name string, v bool) Field {
	f := Field{name: name, kind: boolKind}
	if v {
		f.bits = 1
	}
	return f
}

// Duration returns a field that holds a duration, written with its unit.
func Duration(name string, v time.Duration) Field {
	return Field{name: name, kind: durationKind, bits: uint64(v)}
}

// Err returns a field named "error", empty where there is none.
func Err(err error) Field {
	if err == nil {
		return String("error", "")
	}
	return String("error", err.Error())
}

// Name returns the name of the field.
func (f Field) Name() string { return f.name }

// Value returns the value as text.
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

// rawField returns a field read from JSON. Numbers keep their digits.
func rawField(name string, v json.RawMessage) Field {
	var s string
	if json.Unmarshal(v, &s) == nil {
		return String(name, s)
	}
	return Field{name: name, kind: rawKind, text: string(v)}
}
