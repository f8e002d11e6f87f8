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

// timeFormat is RFC 3339 with milliseconds, the precision of a stamp.
const timeFormat = "2006-01-02T15:04:05.000Z07:00"

// maxLineBytes bounds a line that ReadJSON accepts.
const maxLineBytes = 1 << 20

// WriteJSON writes each event as one line with a JSON object, whose members are
// clock, time, instance-id, kind, subject and the fields.
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

// WriteText writes each event as one line with the time, the counter of the stamp
// in hexadecimal, the instance id, the kind, the subject and the fields.
func WriteText(w io.Writer, events []Event) error {
	b := bufio.NewWriter(w)
	for _, e := range events {
		fmt.Fprintf(b, "%s %04x %s %s %s", Time(e.Clock).Format(timeFormat), e.Clock&(1<<counterBits-1),
			quoteWord(e.InstanceID), quoteWord(e.Kind), quoteWord(e.Subject))
		for _, f := range e.Fields {
			fmt.Fprintf(b, " %s=%s", quoteWord(f.Name()), quoteWord(f.Value()))
		}
		b.WriteByte('\n')
	}
	return errors.Wrap(b.Flush(), "write events")
}

// quoteWord quotes a string that is empty, contains a space or needs escaping, so
// that it is one word of a line.
func quoteWord(s string) string {
	if q := strconv.Quote(s); s == "" || strings.Contains(s, " ") || q != `"`+s+`"` {
		return q
	}
	return s
}

// ReadJSON reads events in the format of WriteJSON. It ignores the member time,
// which follows from the clock.
func ReadJSON(r io.Reader) ([]Event, error) {
	s := bufio.NewScanner(r)
	s.Buffer(nil, maxLineBytes)
	var events []Event
	for s.Scan() {
		e, err := readEvent(s.Bytes())
		if err != nil {
			return nil, errors.Wrapf(err, "event %d", len(events)+1)
		}
		events = append(events, e)
	}
	return events, errors.Wrap(s.Err(), "read events")
}

// readEvent decodes one JSON object. Fields keep their order.
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

// set stores one member of a JSON object in the event.
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
