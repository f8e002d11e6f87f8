package mirror

import (
	"bytes"
	"fmt"
	"strings"
	"testing"

	"dandelionrock.example/dandelionrock/clock"
	"dandelionrock.example/dandelionrock/platform"
	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"
	"google.golang.org/protobuf/proto"
)

// sameMeaning reports whether two values are equal up to the colon; the rest is a
// heartbeat.
func sameMeaning(a, b []byte) bool {
	x, _, _ := bytes.Cut(a, []byte(":"))
	y, _, _ := bytes.Cut(b, []byte(":"))
	return bytes.Equal(x, y)
}

// padding makes a value large.
var padding = strings.Repeat(" ", largeValue)

// codec encodes changes of large values and rejects a change that is based on
// another value.
type codec struct{}

func (codec) Diff(from, to []byte) ([]byte, bool) {
	a, _, _ := bytes.Cut(from, []byte(":"))
	return []byte(string(a) + ">" + strings.TrimSpace(string(to))), true
}

func (codec) Apply(from, change []byte) ([]byte, error) {
	a, b, _ := strings.Cut(string(change), ">")
	if !sameMeaning(from, []byte(a)) {
		return nil, fmt.Errorf("change of %q applied to %q", a, bytes.TrimSpace(from))
	}
	return []byte(b + padding), nil
}

// history is a model of the store: its current rows and all changes.
type history struct {
	// padding is appended to each value.
	padding string
	rows    map[string]platform.Row
	changes []platform.Row
}

func (h *history) write(op uint16) {
	v := platform.Version(len(h.changes) + 1)
	r := platform.Row{Key: fmt.Sprint("k", op%7), Version: v, Value: fmt.Appendf(nil, "v%d:%d%s", op/7%3, v, h.padding)}
	if op%5 == 0 {
		r.Value, r.Removed = nil, true
		delete(h.rows, r.Key)
	} else {
		h.rows[r.Key] = r
	}
	h.changes = append(h.changes, r)
}

func (h *history) version() platform.Version { return platform.Version(len(h.changes)) }

func (h *history) whole() platform.Rows {
	r := platform.Rows{Version: h.version()}
	for _, v := range h.rows {
		r.Rows = append(r.Rows, v)
	}
	return r
}

// difference describes a row that differs from the store; empty if there is none.
func (h *history) difference(t *Table) string {
	for k, r := range h.rows {
		if c := t.rows[k]; c == nil || c.removed || !sameMeaning(c.value, r.Value) {
			return "row " + k + " differs from the store"
		}
	}
	for k, c := range t.rows {
		if _, ok := h.rows[k]; !ok && !c.removed {
			return "row " + k + " is not in the store"
		}
	}
	return ""
}

// Guards against copies that miss a change or a removal, or return to an older
// state: a reader reads changes or the whole table, and starts again at times, and
// another copy is merged from it, with gaps and with answers older than the copy.
func TestCopiesFollowTheStore(t *testing.T) {
	t.Run("small rows", func(t *testing.T) { followTheStore(t, "", nil) })
	t.Run("changes of large rows", func(t *testing.T) { followTheStore(t, padding, codec{}) })
}

func followTheStore(t *testing.T, padding string, c Codec) {
	p := gopter.DefaultTestParameters()
	p.Rng.Seed(1)
	p.MinSuccessfulTests = 500
	q := gopter.NewProperties(p)
	q.Property("copies agree with the store once they are up to date", prop.ForAllNoShrink(func(ops []uint16) string {
		h := &history{padding: padding, rows: map[string]platform.Row{}}
		reader, other := New(sameMeaning, c), New(sameMeaning, c)
		var old *platform.Rows
		for i, op := range ops {
			now := clock.Time(i + 1)
			h.write(op)
			switch op % 11 {
			case 0, 1, 2:
				reader.Apply(now, h.whole(), true)
			case 3, 4, 5:
				if reader.Complete() {
					reader.Apply(now, platform.Rows{Rows: h.changes[reader.Version():], Version: h.version()}, false)
				}
			case 6:
				w := h.whole()
				old = &w
			case 7:
				if old != nil {
					reader.Apply(now, *old, true)
				}
			case 8:
				// The reader starts again and reads the table as it is then.
				reader = New(sameMeaning, c)
				reader.Apply(now, h.whole(), true)
			}
			if op%3 == 0 {
				if _, err := other.Merge(now, reader.Since(now, other.Version(), other.Known())); err != nil {
					return err.Error()
				}
			}
		}
		now := clock.Time(len(ops) + 1)
		reader.Apply(now, h.whole(), true)
		if _, err := other.Merge(now, reader.Since(now, other.Version(), other.Known())); err != nil {
			return err.Error()
		}
		if s := h.difference(reader); s != "" {
			return "reader: " + s
		}
		if s := h.difference(other); s != "" {
			return "other: " + s
		}
		return ""
	}, gen.SliceOfN(40, gen.UInt16())))
	q.TestingRun(t)
}

// Guards against heartbeats that are sent to other instances as changes.
func TestHeartbeatsAreNoChanges(t *testing.T) {
	m := New(sameMeaning, nil)
	row := func(v platform.Version, s string) platform.Rows {
		return platform.Rows{Version: v, Rows: []platform.Row{{Key: "k", Value: []byte(s), Version: v}}}
	}
	if n := len(m.Apply(1, row(1, "a:1"), true)); n != 1 {
		t.Errorf("first read gives %d changes", n)
	}
	if n := len(m.Apply(2, row(2, "a:2"), false)); n != 0 {
		t.Errorf("heartbeat gives %d changes", n)
	}
	if n := len(m.Since(2, 1, nil).Rows); n != 0 {
		t.Errorf("heartbeat is sent as %d rows", n)
	}
	if n := len(m.Apply(3, row(3, "b:3"), false)); n != 1 {
		t.Errorf("change gives %d changes", n)
	}
}

// Guards against the rows of all targets that are sent uncompressed to each
// instance that starts.
func TestManyRows(t *testing.T) {
	a, b := New(nil, nil), New(nil, nil)
	rows, size := platform.Rows{Version: 1}, 0
	for i := range 1000 {
		v := fmt.Appendf(nil, `{"service":"quotes","addr":"10.2.%d.%d:8321","zone":"a1","version":"v1","slots":2,"state":"ready","seq":1,"born":17723638%05d}`, i/250, i%250, i*97)
		rows.Rows = append(rows.Rows, platform.Row{Key: fmt.Sprintf("i-%08x", i*2654435761%(1<<32)), Value: v, Version: 1})
		size += len(v)
	}
	a.Apply(1, rows, true)
	m := a.Since(1, 0, nil)
	if n := proto.Size(m); n > size/4 {
		t.Errorf("%d bytes of rows are sent in %d bytes", size, n)
	}
	c, err := b.Merge(2, m)
	if err != nil || len(c) != len(rows.Rows) {
		t.Errorf("Merge() gives %d rows, %v", len(c), err)
	}
	m.Packed = m.Packed[:len(m.Packed)/2]
	if _, err := New(nil, nil).Merge(2, m); err == nil {
		t.Error("a truncated answer is accepted")
	}
}

// Guards against large rows that are sent whole for each small change.
func TestChangesOfLargeRows(t *testing.T) {
	a, b := New(nil, codec{}), New(nil, codec{})
	for v := platform.Version(1); v <= 5; v++ {
		r := platform.Row{Key: "k", Value: fmt.Appendf(nil, "v%d:%s", v, padding), Version: v}
		a.Apply(clock.Time(v), platform.Rows{Version: v, Rows: []platform.Row{r}}, v == 1)
		m := a.Since(clock.Time(v), b.Version(), b.Known())
		if n := len(m.Rows[0].Value); v > 1 && n > 20 {
			t.Errorf("change %d is sent in %d bytes", v, n)
		}
		if _, err := b.Merge(clock.Time(v), m); err != nil || !bytes.Equal(b.rows["k"].value, r.Value) {
			t.Errorf("change %d: Merge() = %v", v, err)
		}
	}
}

// uncheckedCodec applies a change to any value without a check.
type uncheckedCodec struct{ codec }

func (uncheckedCodec) Apply(_, change []byte) ([]byte, error) { return change, nil }

// Guards against a change that is applied to another value than the one that it is
// based on.
func TestChangeOfAnotherValue(t *testing.T) {
	a, b := New(nil, uncheckedCodec{}), New(nil, uncheckedCodec{})
	version := func(v platform.Version) platform.Rows {
		return platform.Rows{Version: v, Rows: []platform.Row{{Key: "k", Value: fmt.Appendf(nil, "v%d:%s", v, padding), Version: v}}}
	}
	for v := platform.Version(1); v <= 3; v++ {
		a.Apply(clock.Time(v), version(v), v == 1)
	}
	b.Apply(1, version(1), true)
	want := b.rows["k"].value
	m := a.Since(3, b.Version(), map[string]platform.Version{"k": 2})
	if m.Rows[0].Base != 2 {
		t.Fatalf("the change is based on version %d", m.Rows[0].Base)
	}
	if _, err := b.Merge(3, m); err == nil || b.Version() != 1 || !bytes.Equal(b.rows["k"].value, want) {
		t.Errorf("Merge() = %v, and the copy has version %d", err, b.Version())
	}
}

// Guards against large rows that are damaged in transfer and accepted.
func TestLargeRows(t *testing.T) {
	a, b := New(nil, nil), New(nil, nil)
	want := []byte(strings.Repeat(`{"name":"route"}`, 9000))
	a.Apply(1, platform.Rows{Version: 1, Rows: []platform.Row{{Key: "k", Value: want, Version: 1}}}, true)
	m := a.Since(1, 0, nil)
	if n := len(m.Rows[0].Value); n > len(want)/10 {
		t.Errorf("%d of %d bytes are sent", n, len(want))
	}
	if _, err := b.Merge(2, m); err != nil || !bytes.Equal(b.rows["k"].value, want) {
		t.Errorf("Merge() = %v", err)
	}
	m.Rows[0].Value = m.Rows[0].Value[:20]
	if _, err := New(nil, nil).Merge(2, m); err == nil {
		t.Error("a truncated row is accepted")
	}
}
