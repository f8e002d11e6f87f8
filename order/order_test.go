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

var termStart = time.Date(2026, 12, 4, 0, 0, 0, 0, time.UTC)

// makeID returns a UUID of version 7 with the given time and number.
func makeID(t time.Time, n uint32) string {
	var u uuid.UUID
	binary.BigEndian.PutUint64(u[:], uint64(t.UnixMilli())<<16)
	u[6], u[8] = 0x70, 0x80
	binary.BigEndian.PutUint32(u[12:], n)
	return u.String()
}

func size(r string) int { return len(r) }

// Guards against a second run of an order whose id is not recorded because its
// home or owner has changed, and against refusing an order that can't have run.
func TestBeginWithoutRecord(t *testing.T) {
	for _, tc := range []struct {
		name    string
		id      string
		attempt uint32
		want    Kind
	}{
		{"newer than the term", makeID(termStart.Add(1001*time.Millisecond), 0), 2, New},
		{"within the clock skew", makeID(termStart.Add(time.Second), 0), 2, Unknown},
		{"older, first attempt", makeID(termStart.Add(-time.Hour), 0), 1, New},
		{"older, attempt not stated", makeID(termStart.Add(-time.Hour), 0), 0, Unknown},
		{"in the future", makeID(termStart.Add(time.Hour), 0), 0, Unknown},
		{"UUID of version 4", "6ba7b810-9dad-41d1-80b4-00c04fd430c8", 0, Unknown},
		{"other text", "order 17", 0, Unknown},
		{"other text, first attempt", "order 17", 1, New},
	} {
		r := NewRecord(Options{TermStart: termStart}, size)
		if d := r.Begin(termStart.Add(10*time.Second), Request{ID: tc.id, Attempt: tc.attempt}); d.Kind != tc.want {
			t.Errorf("%s: %v, want %v", tc.name, d.Kind, tc.want)
		}
	}
	q := Request{ID: makeID(termStart.Add(2*time.Second), 0), Attempt: 2, Since: termStart.Add(time.Second)}
	if d := NewRecord(Options{TermStart: termStart}, size).Begin(termStart.Add(10*time.Second), q); d.Kind != Unknown {
		t.Errorf("newer than the term, older than the ownership of the shard: %v, want unknown", d.Kind)
	}
}

// Guards against an account whose many orders evict those of another account.
func TestEvictionIsPerAccount(t *testing.T) {
	r := NewRecord(Options{TermStart: termStart, Count: 10}, size)
	now := termStart.Add(time.Minute)
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
		t.Errorf("repeated order: %v %q, want replay of \"receipt\"", d.Kind, d.Reply)
	}
}

// Guards against the eviction of a running request, which could then run twice,
// and against running requests that exceed the size of the record.
func TestRunningOrderIsNotEvicted(t *testing.T) {
	r := NewRecord(Options{TermStart: termStart, Count: 1}, size)
	q := Request{ID: "1", Attempt: 1}
	for i, want := range []Kind{New, Full, Join} {
		if d := r.Begin(termStart, Request{ID: []string{"1", "2", "1"}[i], Attempt: 1}); d.Kind != want {
			t.Errorf("request %d: %v, want %v", i, d.Kind, want)
		}
	}
	if !r.Joined(q) {
		t.Error("Joined returned false for a request that was joined")
	}
}

func ExampleRecord() {
	r := NewRecord(Options{TermStart: termStart}, func(s string) int { return len(s) })
	q := Request{Account: "guild-web", ID: "0b2f", Attempt: 1, Fingerprint: 7}
	fmt.Println(r.Begin(termStart, q).Kind)
	d := r.Begin(termStart, q)
	fmt.Println(d.Kind)
	r.Finish(q, "translated", true)
	fmt.Println(d.Wait(context.Background()))
	fmt.Println(r.Begin(termStart, q))
	// Output:
	// new
	// join
	// translated <nil>
	// {replay translated <nil>}
}

// order is the state of one order in the oracle.
type order struct {
	request Request
	created int64
	sent    bool
	runs    int
	running bool
	reply   string
	joins   []Decision[string]
}

// system is a record and its oracle.
type system struct {
	record *Record[string]
	fault  bool
	now    time.Time
	orders []*order
	// lastFinished is the latest creation time among the finished orders of each
	// account in this home. Only ids that are not newer may be unknown at a first
	// attempt.
	lastFinished map[string]int64
}

func newSystem(fault bool) *system {
	s := &system{now: termStart, fault: fault}
	_ = s.restart(0)
	return s
}

// restart replaces the home, which loses its record.
func (s *system) restart(int) error {
	s.record = NewRecord(Options{TermStart: s.now, Count: 6, Bytes: 8 * entryBytes}, size)
	s.record.ignoreEvictions = s.fault
	s.lastFinished = map[string]int64{}
	for _, o := range s.orders {
		o.running, o.joins = false, nil
	}
	return nil
}

// create adds an order. The clock of its id differs from that of the home by up
// to the skew.
func (s *system) create(n int) error {
	t := s.now.Add(time.Duration(n-500) * 2 * time.Millisecond)
	id, created := makeID(t, uint32(len(s.orders))), t.UnixMilli()
	if n%5 == 0 {
		id, created = fmt.Sprint("order ", len(s.orders)), 1
	}
	s.orders = append(s.orders, &order{request: Request{Account: fmt.Sprint(n % 2), ID: id, Fingerprint: uint64(n)}, created: created})
	return nil
}

// send sends an order and checks the decision. Only the first request may state
// attempt 1.
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
	case d.Kind == Unknown && first && q.Attempt == 1 && o.created > s.lastFinished[q.Account]:
		return fmt.Errorf("order %s is unknown although no newer one was evicted", q.ID)
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
	return s.checkBounds()
}

// finish ends a run. The reply to one in four says that the order was not run.
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
		s.lastFinished[o.request.Account] = max(s.lastFinished[o.request.Account], o.created)
	}
	for _, d := range o.joins {
		if r, err := d.Wait(context.Background()); r != o.reply || err != nil {
			return fmt.Errorf("joined reply %q, %v, want %q", r, err, o.reply)
		}
	}
	o.joins = nil
	return s.checkBounds()
}

// checkBounds checks the size of the record and its count of bytes.
func (s *system) checkBounds() error {
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

// runSequences runs random sequences of operations and returns the first
// violation. If fault is set, the record ignores evictions.
func runSequences(fault bool) error {
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

// Guards against a second run of an order, for random sequences in which orders
// begin, finish and are evicted and the home is replaced.
func TestStateful(t *testing.T) {
	if err := runSequences(false); err != nil {
		t.Error(err)
	}
}

// Guards against an oracle that detects no violation: it must report the second
// run of an order whose eviction the record ignores.
func TestStatefulFindsFault(t *testing.T) {
	if err := runSequences(true); err == nil {
		t.Error("second run was not detected")
	} else {
		t.Log(err)
	}
}
