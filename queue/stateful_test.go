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

const accountCount = 4

var weights = [accountCount]int{1, 1, 2, 5}

type outcome struct {
	id      int
	release func()
	err     error
}

// system is a gate and its oracle. The oracle records which requests wait, in
// which order, which requests hold slots, and how many slots each account got
// while another account was waiting as well.
type system struct {
	gate    *Gate[int]
	results chan outcome
	cancels map[int]context.CancelFunc
	account map[int]int
	waiting [accountCount][]int
	running []outcome
	// served counts, for each pair of accounts, the slots that the first one got
	// since both have been waiting.
	served [accountCount][accountCount]int
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

// checkSettled waits until all goroutines are blocked, records the outcomes and
// compares the counts of the gate with those of the oracle.
func (s *system) checkSettled() {
	synctest.Wait()
	before := len(s.running)
	var granted []outcome
	for len(s.results) > 0 {
		if o := <-s.results; o.err != nil {
			s.recordOutcome(o)
		} else {
			granted = append(granted, o)
		}
	}
	for _, o := range granted {
		s.recordOutcome(o)
	}
	q := 0
	for a := range s.waiting {
		q += len(s.waiting[a])
	}
	n := s.gate.Stats()
	switch {
	case len(s.running) > before && len(s.running) > s.slots:
		s.fail("%d in flight with %d slots", len(s.running), s.slots)
	case q > 0 && len(s.running) < s.slots:
		s.fail("%d requests wait although only %d of %d slots are in use", q, len(s.running), s.slots)
	case n.InFlight != len(s.running) || n.Queued != q:
		s.fail("counts are %+v, want %d in flight, %d queued", n, len(s.running), q)
	}
}

// recordOutcome records that a request left the queue and checks that its
// account is served in order and within its share.
func (s *system) recordOutcome(o outcome) {
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
		s.running = append(s.running, o)
		for b := range accountCount {
			if b != a && len(s.waiting[b]) > 0 {
				s.served[a][b]++
			}
		}
	}
	for b := range accountCount {
		s.checkShares(a, b)
	}
}

// checkShares checks the weighted shares of two accounts. While both have
// waiting requests, the shares differ by at most one request of each.
func (s *system) checkShares(a, b int) {
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
	if len(s.running) == 0 {
		return
	}
	n %= len(s.running)
	s.running[n].release()
	s.running = append(s.running[:n], s.running[n+1:]...)
}

// finish releases all slots and checks that no request is left in the queue.
func (s *system) finish() error {
	if s.slots == 0 {
		s.slots = 1
		s.gate.SetSlots(1)
	}
	s.checkSettled()
	for len(s.running) > 0 {
		s.release(0)
		s.checkSettled()
	}
	for id, a := range s.account {
		s.cancels[id]()
		if len(s.waiting[a]) > 0 {
			s.fail("requests %v still wait after all slots were released", s.waiting[a])
		}
	}
	s.gate.Close()
	return s.err
}

// cancel cancels the context of a request, in some cases immediately before or
// after a slot is released.
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

// resize changes the number of slots one by one, because the oracle can't tell
// in which order requests get slots at the same time.
func (s *system) resize(n int) {
	for n %= 4; s.slots != n; s.checkSettled() {
		s.slots += cmp.Compare(n, s.slots)
		s.gate.SetSlots(s.slots)
	}
}

// operations returns the operations of the property test. Some are listed
// several times to make them more frequent.
func operations() []func(*system, int) error {
	acquire := func(s *system, n int) { s.acquire(n%accountCount, time.Hour) }
	list := []func(*system, int){
		acquire, acquire, acquire, acquire,
		func(s *system, n int) { s.acquire(n%accountCount, time.Duration(n%50)*time.Millisecond) },
		(*system).release, (*system).release, (*system).cancel, (*system).resize,
		func(_ *system, n int) { time.Sleep(time.Duration(n) * time.Millisecond) },
	}
	var out []func(*system, int) error
	for _, f := range list {
		out = append(out, func(s *system, n int) error {
			f(s, n)
			s.checkSettled()
			return s.err
		})
	}
	return out
}

// runSequences runs random sequences of operations on gates that fault has
// modified, and returns the first violation.
func runSequences(t *testing.T, fault func(g *Gate[int])) (found error) {
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

// Guards against unfair shares, too many requests in flight, requests that never
// leave the queue and wrong counts, when requests are cancelled or reach their
// deadlines and the number of slots changes.
func TestStateful(t *testing.T) {
	if err := runSequences(t, func(*Gate[int]) {}); err != nil {
		t.Error(err)
	}
}

// Guards against an oracle that detects no violation: it must report a gate that
// serves the account with the most waiting requests first.
func TestStatefulFindsFault(t *testing.T) {
	err := runSequences(t, func(g *Gate[int]) { g.less = func(a, b *account[int]) bool { return a.waiting > b.waiting } })
	if err == nil {
		t.Error("unfair order of accounts was not detected")
	}
	t.Log(err)
}
