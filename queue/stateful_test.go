package queue

import (
	"cmp"
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"dandelionrock.example/dandelionrock/internal/model"
)

const accounts = 4

var weights = [accounts]int{1, 1, 2, 5}

type outcome struct {
	id      int
	release func()
	err     error
}

// system is a gate together with its oracle: what waits in which order, who
// holds slots, and the service since both accounts of each pair wait.
type system struct {
	gate    *Gate[int]
	results chan outcome
	cancels map[int]context.CancelFunc
	account map[int]int
	waiting [accounts][]int
	held    []outcome
	// served counts the slots that the first account of a pair got while both
	// were waiting.
	served [accounts][accounts]int
	slots  int
	next   int
	err    error
}

func newSystem(fault func(g *Gate[int])) *system {
	g := New[int](Options{Slots: 2, PerAccount: 8, Total: 24})
	fault(g)
	return &system{gate: g, results: make(chan outcome, 1000), cancels: map[int]context.CancelFunc{}, account: map[int]int{}, slots: 2}
}

func (s *system) acquire(a int, timeout time.Duration) {
	s.next++
	id := s.next
	c, cancel := context.WithTimeout(context.Background(), timeout)
	s.cancels[id], s.account[id] = cancel, a
	s.waiting[a] = append(s.waiting[a], id)
	go func() {
		r, err := s.gate.Acquire(c, a, weights[a])
		s.results <- outcome{id, r, err}
	}()
}

// settle waits until nothing moves, collects outcomes and checks them.
func (s *system) settle() {
	synctest.Wait()
	before := len(s.held)
	var granted []outcome
	for len(s.results) > 0 {
		if o := <-s.results; o.err != nil {
			s.collect(o)
		} else {
			granted = append(granted, o)
		}
	}
	for _, o := range granted {
		s.collect(o)
	}
	q := 0
	for a := range s.waiting {
		q += len(s.waiting[a])
	}
	n := s.gate.Stats()
	switch {
	case len(s.held) > before && len(s.held) > s.slots:
		s.fail("%d in flight with %d slots", len(s.held), s.slots)
	case q > 0 && len(s.held) < s.slots:
		s.fail("%d wait although only %d of %d slots are held", q, len(s.held), s.slots)
	case n.InFlight != len(s.held) || n.Queued != q:
		s.fail("counts are %+v, want %d in flight, %d queued", n, len(s.held), q)
	}
}

// collect checks that an account is served in order and within its share.
func (s *system) collect(o outcome) {
	a := s.account[o.id]
	for i, id := range s.waiting[a] {
		if id != o.id {
			continue
		}
		if o.err == nil && i > 0 {
			s.fail("request %d overtook request %d of its account", id, s.waiting[a][0])
		}
		s.waiting[a] = append(append([]int{}, s.waiting[a][:i]...), s.waiting[a][i+1:]...)
	}
	if o.err == nil {
		s.held = append(s.held, o)
		for b := range accounts {
			if b != a && len(s.waiting[b]) > 0 {
				s.served[a][b]++
			}
		}
	}
	for b := range accounts {
		s.compare(a, b)
	}
}

// compare checks the weighted shares of two accounts. Without a time at which
// either does not wait, they differ by at most one request of each.
func (s *system) compare(a, b int) {
	if len(s.waiting[a]) == 0 || len(s.waiting[b]) == 0 {
		s.served[a][b], s.served[b][a] = 0, 0
		return
	}
	x, y := float64(s.served[a][b])/float64(weights[a]), float64(s.served[b][a])/float64(weights[b])
	if d := 1/float64(weights[a]) + 1/float64(weights[b]); x-y > d+1e-9 {
		s.fail("account %d is %.2f ahead of account %d, which waits", a, x-y, b)
	}
}

func (s *system) fail(format string, a ...any) {
	if s.err == nil {
		s.err = fmt.Errorf(format, a...)
	}
}

func (s *system) release(n int) {
	if len(s.held) == 0 {
		return
	}
	n %= len(s.held)
	s.held[n].release()
	s.held = append(s.held[:n], s.held[n+1:]...)
}

// finish releases all slots and checks that no waiter is left.
func (s *system) finish() error {
	if s.slots == 0 {
		s.slots = 1
		s.gate.SetSlots(1)
	}
	s.settle()
	for len(s.held) > 0 {
		s.release(0)
		s.settle()
	}
	for id, a := range s.account {
		s.cancels[id]()
		if len(s.waiting[a]) > 0 {
			s.fail("requests %v were lost", s.waiting[a])
		}
	}
	s.gate.Close()
	return s.err
}

// cancel ends the context of a request just before or after a slot is freed.
func (s *system) cancel(n int) {
	if n%3 == 0 {
		s.release(n)
	}
	if s.next > 0 {
		s.cancels[n%s.next+1]()
	}
	if n%3 == 1 {
		s.release(n)
	}
}

// resize changes the slots one by one, because the order of simultaneous grants
// can't be seen.
func (s *system) resize(n int) {
	for n %= 4; s.slots != n; s.settle() {
		s.slots += cmp.Compare(n, s.slots)
		s.gate.SetSlots(s.slots)
	}
}

// operations of the same kind are repeated to make them more frequent.
func operations() []func(*system, int) error {
	acquire := func(s *system, n int) { s.acquire(n%accounts, time.Hour) }
	list := []func(*system, int){
		acquire, acquire, acquire, acquire,
		func(s *system, n int) { s.acquire(n%accounts, time.Duration(n%50)*time.Millisecond) },
		(*system).release, (*system).release, (*system).cancel, (*system).resize,
		func(_ *system, n int) { time.Sleep(time.Duration(n) * time.Millisecond) },
	}
	var out []func(*system, int) error
	for _, f := range list {
		out = append(out, func(s *system, n int) error {
			f(s, n)
			s.settle()
			return s.err
		})
	}
	return out
}

// check reports the first fault found in random sequences of operations.
func check(t *testing.T, fault func(g *Gate[int])) (found error) {
	synctest.Test(t, func(*testing.T) {
		found = model.Property[*system]{
			Seed: 20261204, Runs: 400, Length: 100,
			New:        func() *system { return newSystem(fault) },
			Operations: operations(), MaxArgument: 100,
			Finish: (*system).finish,
		}.Check()
	})
	return found
}

// Guards against unfair shares, too many requests in flight, lost waiters and
// wrong counts, with cancellations, deadlines and changing slots.
func TestStateful(t *testing.T) {
	if err := check(t, func(*Gate[int]) {}); err != nil {
		t.Error(err)
	}
}

// Guards against an oracle that finds nothing: with accounts served without
// regard to their weights it must report a fault.
func TestStatefulFindsFault(t *testing.T) {
	err := check(t, func(g *Gate[int]) { g.less = func(a, b *account[int]) bool { return a.waiting > b.waiting } })
	if err == nil {
		t.Error("unfair order was not found")
	}
	t.Log(err)
}
