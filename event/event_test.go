package event

import (
	"bytes"
	"errors"
	"math"
	"math/rand"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"
	"github.com/sebdah/goldie/v2"
)

// process is a simulated process whose wall clock has a constant skew.
type process struct {
	clock *Clock
	log   *Log
}

func newProcess(id string, wall *time.Time, skew time.Duration, size int) process {
	c := NewClock(func() time.Time { return wall.Add(skew) })
	return process{c, New(id, size, c)}
}

// Guards against changes of the formats that operators and scripts read.
func TestFormats(t *testing.T) {
	w := time.Date(2026, 1, 2, 3, 4, 5, 6e6, time.UTC)
	a, b := newProcess("hobart-a-1", &w, 0, 8), newProcess("burnie-b-1", &w, -time.Second, 8)
	b.clock.Observe(a.log.Record("home-taken", "home/guild/quotes/quote-01", Uint("term", uint64(math.MaxUint64)), Int("shards", -1)))
	b.log.Record("row-applied", "home/guild/quotes/quote-01", Bool("newer", true), Float("ratio", 1.25),
		Duration("after", 40*time.Millisecond), String("note", "two words\n"), Err(errors.New("late")))
	a.log.Record("stopped", "", Err(nil))
	x, _ := a.log.Events()
	y, _ := b.log.Events()
	m := Merge(y, x, y)
	var text, lines, rewritten bytes.Buffer
	if err := errors.Join(WriteText(&text, m), WriteJSON(&lines, m)); err != nil {
		t.Fatal(err)
	}
	g := goldie.New(t)
	g.Assert(t, "text", text.Bytes())
	g.Assert(t, "lines", lines.Bytes())
	r, err := ReadJSON(bytes.NewReader(lines.Bytes()))
	if err != nil {
		t.Fatal(err)
	}
	if err := WriteJSON(&rewritten, r); err != nil || rewritten.String() != lines.String() {
		t.Errorf("JSON differs after reading and writing: %v\n%s", err, rewritten.String())
	}
}

// Guards against malformed or truncated JSON that is read without an error.
func TestReadJSONRefuses(t *testing.T) {
	for _, s := range []string{"1", "{", `{"clock":-1}`, `{"kind":1}`, `{"clock":1`, `{"a":}`} {
		if e, err := ReadJSON(strings.NewReader(s)); err == nil {
			t.Errorf("ReadJSON(%q) = %v", s, e)
		}
	}
}

// Guards against an effect that is ordered before its cause, and against events of
// one process that are reordered.
func TestMergeKeepsCausalOrder(t *testing.T) {
	p := gopter.NewProperties(nil)
	p.Property("causal order", prop.ForAll(func(seed int64) bool { return isCausal(rand.New(rand.NewSource(seed))) }, gen.Int64()))
	p.TestingRun(t)
}

// isCausal lets processes with skewed clocks exchange messages and reports whether
// Merge orders each event after the latest event that its process knew of.
func isCausal(r *rand.Rand) bool {
	w := time.UnixMilli(1e12)
	ids := []string{"a", "b", "c", "d"}
	// known holds the highest stamp that each process knows of.
	ps, known := make([]process, len(ids)), make([]uint64, len(ids))
	for i, id := range ids {
		ps[i] = newProcess(id, &w, time.Duration(r.Intn(40000)-20000)*time.Millisecond, 1000)
	}
	// cause maps an event, by its stamp and process, to the highest stamp that its
	// process knew of.
	cause := map[uint64]uint64{}
	for range 300 {
		w = w.Add(time.Duration(r.Intn(3)-1) * time.Millisecond)
		i, j := r.Intn(len(ids)), r.Intn(len(ids))
		s := ps[i].log.Record("sent", "")
		cause[s<<2|uint64(i)], known[i] = known[i], s
		if i != j && r.Intn(2) == 0 {
			ps[j].clock.Observe(s)
			known[j] = max(known[j], s)
		}
	}
	var lists [][]Event
	for _, p := range ps {
		l, _ := p.log.Events()
		lists = append(lists, l)
	}
	m := Merge(lists...)
	firstIndex := map[uint64]int{} // of each stamp
	for n, e := range m {
		if _, ok := firstIndex[e.Clock]; !ok {
			firstIndex[e.Clock] = n
		}
		c := cause[e.Clock<<2|uint64(strings.Index("abcd", e.InstanceID))]
		if k, ok := firstIndex[c]; c != 0 && (!ok || k >= n || c >= e.Clock) {
			return false
		}
	}
	return len(m) == 300
}

// Guards against a clock that advances far ahead or overflows because another
// process sent a wrong stamp.
func TestObserveIgnoresFarFuture(t *testing.T) {
	w := time.UnixMilli(1e12)
	c := NewClock(func() time.Time { return w })
	a := c.Now()
	c.Observe(math.MaxUint64)
	c.Observe(a + uint64(MaxAhead.Milliseconds()+1)<<counterBits)
	if b := c.Now(); b != a+1 {
		t.Errorf("Now() = %d after %d", b, a)
	}
}

// Guards against a log that exceeds its size, counts overwritten events wrongly or
// keeps concurrent events out of order.
func TestLogIsBounded(t *testing.T) {
	var c Clock
	l := New("a", 100, &c)
	var g sync.WaitGroup
	for i := range 8 {
		g.Go(func() {
			for range 100 {
				l.Record("k", "s", Int("worker", i))
				c.Observe(c.Now())
			}
		})
	}
	g.Wait()
	e, n := l.Events()
	if len(e) != 100 || n != 700 {
		t.Fatalf("%d events kept and %d overwritten, want 100 and 700", len(e), n)
	}
	for i := 1; i < len(e); i++ {
		if e[i].Clock <= e[i-1].Clock {
			t.Fatalf("event %d is stamped %d after %d", i, e[i].Clock, e[i-1].Clock)
		}
	}
}

// Guards against allocations in Record, which must be cheap on the request path.
func TestRecordDoesNotAllocate(t *testing.T) {
	var c Clock
	l := New("a", 4, &c)
	n := testing.AllocsPerRun(1000, func() { l.Record("k", "s", Int("a", 1), String("b", "c"), Uint("d", uint64(2))) })
	if n != 0 {
		t.Errorf("Record allocates %v times", n)
	}
}

func BenchmarkRecord(b *testing.B) {
	var c Clock
	l := New("a", 4096, &c)
	b.ReportAllocs()
	b.RunParallel(func(p *testing.PB) {
		for p.Next() {
			l.Record("k", "s", Int("a", 1), String("b", "c"))
		}
	})
}
