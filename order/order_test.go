package order

import (
	"context"
	"encoding/binary"
	"fmt"
	"testing"
	"time"

	"dandelionrock.example/dandelionrock/internal/model"
	"github.com/google/uuid"
)

var epoch = time.Date(2026, 12, 4, 0, 0, 0, 0, time.UTC)

// makeID returns a UUID of version 7 with the given time and number.
func makeID(t time.Time, n uint32) string {
	var u uuid.UUID
	binary.BigEndian.PutUint64(u[:], uint64(t.UnixMilli())<<16)
	u[6], u[8] = 0x70, 0x80
	binary.BigEndian.PutUint32(u[12:], n)
	return u.String()
}

func size(r string) int { return len(r) }

// Guards against rule 7 decided wrongly for ids without a record.
func TestBeginWithoutRecord(t *testing.T) {
	for _, tc := range []struct {
		name    string
		id      string
		attempt uint32
		want    Kind
	}{
		{"younger than the term", makeID(epoch.Add(1001*time.Millisecond), 0), 2, New},
		{"within the clock skew", makeID(epoch.Add(time.Second), 0), 2, Unknown},
		{"older, first attempt", makeID(epoch.Add(-time.Hour), 0), 1, New},
		{"older, attempt not stated", makeID(epoch.Add(-time.Hour), 0), 0, Unknown},
		{"in the future", makeID(epoch.Add(time.Hour), 0), 0, Unknown},
		{"UUID of version 4", "6ba7b810-9dad-41d1-80b4-00c04fd430c8", 0, Unknown},
		{"other text", "order 17", 0, Unknown},
		{"other text, first attempt", "order 17", 1, New},
	} {
		r := NewRecord(Options{TermStart: epoch}, size)
		if d := r.Begin(epoch.Add(10*time.Second), Request{ID: tc.id, Attempt: tc.attempt}); d.Kind != tc.want {
			t.Errorf("%s: %v, want %v", tc.name, d.Kind, tc.want)
		}
	}
	q := Request{ID: makeID(epoch.Add(2*time.Second), 0), Attempt: 2, Since: epoch.Add(time.Second)}
	if d := NewRecord(Options{TermStart: epoch}, size).Begin(epoch.Add(10*time.Second), q); d.Kind != Unknown {
		t.Errorf("younger than the term, not than the gain of the shard: %v", d.Kind)
	}
}

// Guards against an account that makes another one forget its ids.
func TestEvictionIsPerAccount(t *testing.T) {
	r := NewRecord(Options{TermStart: epoch, Count: 10}, size)
	now := epoch.Add(time.Minute)
	q := Request{Account: "quiet", ID: makeID(now, 0)}
	r.Begin(now, q)
	r.Finish(q, "receipt", true)
	for i := range uint32(100) {
		f := Request{Account: "flood", ID: makeID(now, i)}
		if d := r.Begin(now, f); d.Kind == New {
			r.Finish(f, "", true)
		}
		now = now.Add(time.Millisecond)
	}
	if d := r.Begin(now, q); d.Kind != Replay || d.Reply != "receipt" {
		t.Errorf("repeat: %v %q, want the receipt", d.Kind, d.Reply)
	}
}

// Guards against a running request that is evicted, and against a bound that
// running requests exceed.
func TestRunningIsKept(t *testing.T) {
	r := NewRecord(Options{TermStart: epoch, Count: 1}, size)
	q := Request{ID: "1", Attempt: 1}
	for i, want := range []Kind{New, Full, Join} {
		if d := r.Begin(epoch, Request{ID: []string{"1", "2", "1"}[i], Attempt: 1}); d.Kind != want {
			t.Errorf("request %d: %v, want %v", i, d.Kind, want)
		}
	}
	if !r.Joined(q) {
		t.Error("joined run is not reported")
	}
}

func ExampleRecord() {
	r := NewRecord(Options{TermStart: epoch}, func(s string) int { return len(s) })
	q := Request{Account: "guild-web", ID: "0b2f", Attempt: 1, Fingerprint: 7}
	fmt.Println(r.Begin(epoch, q).Kind)
	d := r.Begin(epoch, q)
	fmt.Println(d.Kind)
	r.Finish(q, "translated", true)
	fmt.Println(d.Wait(context.Background()))
	fmt.Println(r.Begin(epoch, q))
	// Output:
	// new
	// join
	// translated <nil>
	// {replay translated <nil>}
}

// order is what the oracle knows about one id.
type order struct {
	request Request
	stamp   int64
	sent    bool
	runs    int
	running bool
	reply   string
	joins   []Decision[string]
}

type system struct {
	record *Record[string]
	fault  bool
	now    time.Time
	orders []*order
	// latest is the highest id time among the finished orders of each account
	// in this home; only ids up to it may be unknown at a first attempt.
	latest map[string]int64
}

func newSystem(fault bool) *system {
	s := &system{now: epoch, fault: fault}
	_ = s.restart(0)
	return s
}

// restart replaces the home: its record is lost.
func (s *system) restart(int) error {
	s.record = NewRecord(Options{TermStart: s.now, Count: 6, Bytes: 8 * entryBytes}, size)
	s.record.ignoreFloor = s.fault
	s.latest = map[string]int64{}
	for _, o := range s.orders {
		o.running, o.joins = false, nil
	}
	return nil
}

// create makes an id by a clock that is up to the skew wrong.
func (s *system) create(n int) error {
	t := s.now.Add(time.Duration(n-500) * 2 * time.Millisecond)
	id, stamp := makeID(t, uint32(len(s.orders))), t.UnixMilli()
	if n%5 == 0 {
		id, stamp = fmt.Sprint("order ", len(s.orders)), 1
	}
	s.orders = append(s.orders, &order{request: Request{Account: fmt.Sprint(n % 2), ID: id, Fingerprint: uint64(n)}, stamp: stamp})
	return nil
}

// send sends an order. Only the first time it may be called attempt 1.
func (s *system) send(n int) error {
	if len(s.orders) == 0 {
		return nil
	}
	o := s.orders[n%len(s.orders)]
	q := o.request
	if q.Attempt = uint32(n % 2); o.sent && q.Attempt == 1 {
		q.Attempt = 2
	}
	first := !o.sent
	o.sent = true
	d := s.record.Begin(s.now, q)
	switch {
	case d.Kind == New && (o.runs > 0 || o.running):
		return fmt.Errorf("order %s is new after %d runs", q.ID, o.runs)
	case d.Kind == Join && !o.running, d.Kind == Replay && (o.runs != 1 || d.Reply != o.reply), d.Kind == Mismatch:
		return fmt.Errorf("order %s: %v, reply %q, want %+v", q.ID, d.Kind, d.Reply, o)
	case d.Kind == Unknown && first && q.Attempt == 1 && o.stamp > s.latest[q.Account]:
		return fmt.Errorf("order %s is unknown although no later one was forgotten", q.ID)
	case d.Kind == New:
		o.runs, o.running = 1, true
	case d.Kind == Join:
		o.joins = append(o.joins, d)
	}
	q.Fingerprint++
	if k := s.record.Begin(s.now, q).Kind; o.running && k != Mismatch {
		return fmt.Errorf("different request with the id of order %s: %v", q.ID, k)
	} else if k == New {
		s.record.Finish(q, "", false)
	}
	return s.bounds()
}

// finish ends a run; one in four was not run after all.
func (s *system) finish(n int) error {
	if len(s.orders) == 0 {
		return nil
	}
	o := s.orders[n%len(s.orders)]
	if !o.running {
		return nil
	}
	o.running, o.reply = false, fmt.Sprint("reply to ", o.request.ID, n)
	ran := n%4 != 0
	if !ran {
		o.runs = 0
	}
	s.record.Finish(o.request, o.reply, ran)
	if ran {
		s.latest[o.request.Account] = max(s.latest[o.request.Account], o.stamp)
	}
	for _, d := range o.joins {
		if r, err := d.Wait(context.Background()); r != o.reply || err != nil {
			return fmt.Errorf("joined reply %q, %v, want %q", r, err, o.reply)
		}
	}
	o.joins = nil
	return s.bounds()
}

func (s *system) bounds() error {
	n, b := s.record.Len()
	sum := 0
	for _, e := range s.record.entries {
		sum += e.bytes
	}
	if n > 6 || b > 8*entryBytes || b != sum {
		return fmt.Errorf("%d ids, %d bytes, counted %d", n, b, sum)
	}
	return nil
}

func check(fault bool) error {
	wait := func(s *system, n int) error { s.now = s.now.Add(time.Duration(n) * time.Millisecond); return nil }
	return model.Property[*system]{
		Seed: 20261204, Runs: 500, Length: 200, MaxArgument: 999,
		New: func() *system { return newSystem(fault) }, Finish: func(*system) error { return nil },
		Operations: []func(*system, int) error{
			(*system).create, (*system).create, (*system).send, (*system).send, (*system).send, (*system).finish, (*system).finish,
			func(s *system, n int) error {
				if n%8 == 0 {
					return s.restart(n)
				}
				return wait(s, n)
			},
		},
	}.Check()
}

// Guards against a second run of an order, in whatever order requests begin,
// finish and are forgotten, and whenever the home is replaced.
func TestStateful(t *testing.T) {
	if err := check(false); err != nil {
		t.Error(err)
	}
}

// Guards against an oracle that finds nothing: without the floor that evictions
// raise it must report a second run.
func TestStatefulFindsFault(t *testing.T) {
	if err := check(true); err == nil {
		t.Error("second run was not found")
	} else {
		t.Log(err)
	}
}
