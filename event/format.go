package event

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"strconv"
	"strings"

	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"
)

// timeFormat is RFC 3339 with the milliseconds of a stamp.
const timeFormat = "2006-01-02T15:04:05.000Z07:00"

// maxLine bounds a line that ReadJSON accepts, in bytes.
const maxLine = 1 << 20

// WriteJSON writes one JSON object for each event, with the members clock,
// time, instance-id, kind, subject and the fields.
func WriteJSON(w io.Writer, events []Event) error {
	b := bufio.NewWriter(w)
	l := zerolog.New(b)
	for _, e := range events {
		z := l.Log().Uint64("clock", e.Clock).Str("time", Time(e.Clock).Format(timeFormat)).
			Str("instance-id", e.InstanceID).Str("kind", e.Kind).Str("subject", e.Subject)
		for _, f := range e.Fields {
			f.append(z)
		}
		z.Send()
	}
	return errors.Wrap(b.Flush(), "write events")
}

// WriteText writes one line for each event: time, counter, instance, kind,
// subject and the fields.
func WriteText(w io.Writer, events []Event) error {
	b := bufio.NewWriter(w)
	for _, e := range events {
		fmt.Fprintf(b, "%s %04x %s %s %s", Time(e.Clock).Format(timeFormat), e.Clock&(1<<counterBits-1),
			word(e.InstanceID), word(e.Kind), word(e.Subject))
		for _, f := range e.Fields {
			fmt.Fprintf(b, " %s=%s", word(f.Name()), word(f.Value()))
		}
		b.WriteByte('\n')
	}
	return errors.Wrap(b.Flush(), "write events")
}

// word quotes a text that would not be read as one word of a line.
func word(s string) string {
	if q := strconv.Quote(s); s == "" || strings.Contains(s, " ") || q != `"`+s+`"` {
		return q
	}
	return s
}

// ReadJSON reads what WriteJSON has written. The time is taken from the clock.
func ReadJSON(r io.Reader) ([]Event, error) {
	s := bufio.NewScanner(r)
	s.Buffer(nil, maxLine)
	var a []Event
	for s.Scan() {
		e, err := readEvent(s.Bytes())
		if err != nil {
			return nil, errors.Wrapf(err, "event %d", len(a)+1)
		}
		a = append(a, e)
	}
	return a, errors.Wrap(s.Err(), "read events")
}

// readEvent reads one object and keeps the order of its fields.
func readEvent(b []byte) (Event, error) {
	var e Event
	d := json.NewDecoder(bytes.NewReader(b))
	if t, err := d.Token(); err != nil || t != json.Delim('{') {
		return e, errors.Newf("not a JSON object: %.40q", b)
	}
	for d.More() {
		t, err := d.Token()
		if err != nil {
			return e, err
		}
		var v json.RawMessage
		if err := d.Decode(&v); err != nil {
			return e, err
		}
		if err := e.set(t.(string), v); err != nil {
			return e, errors.Wrapf(err, "%v", t)
		}
	}
	if _, err := d.Token(); err != nil {
		return e, err
	}
	return e, nil
}

// set stores one member of a JSON object.
func (e *Event) set(name string, v json.RawMessage) error {
	switch name {
	case "clock":
		return json.Unmarshal(v, &e.Clock)
	case "time":
		return nil
	case "instance-id":
		return json.Unmarshal(v, &e.InstanceID)
	case "kind":
		return json.Unmarshal(v, &e.Kind)
	case "subject":
		return json.Unmarshal(v, &e.Subject)
	}
	e.Fields = append(e.Fields, rawField(name, v))
	return nil
}
