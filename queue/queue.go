// Package queue shares the slots of one upstream fairly between client
// accounts.
//
// It uses start-time fair queueing: each account has a virtual time that
// advances by 1/weight with each request, and the waiting request with the
// lowest virtual start time is next. An account that floods thereby delays
// mostly itself, and an idle account saves up no credit.
package queue

import (
	"container/heap"
	"context"
	"sync"
	"sync/atomic"
	"time"

	"dandelionrock.example/dandelionrock/internal/value/preset"
	"github.com/cockroachdb/errors"
)

var (
	// ErrFull reports that the queue of the account, or the whole queue, is
	// full.
	ErrFull = errors.New("queue is full")
	// ErrDeadline reports that the deadline passed, or is expected to pass,
	// before the request gets a slot.
	ErrDeadline = errors.New("deadline passes in the queue")
	// ErrClosed reports that the gate is closed.
	ErrClosed = errors.New("queue is closed")
)

// smoothing is the weight of a new service time in the average.
const smoothing = 0.1

// Options configures a Gate. Zero values select the defaults.
type Options struct {
	// Slots is the number of requests in flight. Default 1.
	Slots int
	// PerAccount and Total bound the requests that wait. Default 64 and 1024.
	PerAccount, Total int
	// ServiceTime is the initial estimate of the time that a request holds a slot.
	// Default 0: no request is refused before a service time was measured.
	ServiceTime time.Duration
	// Margin is the number of average service times that a request reserves
	// for its own execution when its wait is compared with its deadline.
	// Default 1.
	Margin float64
}

// Gate admits a bounded number of requests at a time. K identifies client
// accounts. Use New.
type Gate[K comparable] struct {
	options Options
	// less orders accounts that have waiters.
	less func(a, b *account[K]) bool

	mu       sync.Mutex
	accounts map[K]*account[K]
	// active is a heap of the accounts that have waiters.
	active active[K]
	// virtual is the start time of the request that got a slot last.
	virtual float64
	slots   int
	flying  int
	queued  int
	// service is the average time in nanoseconds that a request holds a slot.
	service float64
	closed  bool
	idle    chan struct{}
	// sweepAt is the number of accounts at which idle ones are dropped.
	sweepAt int
}

// account is a client account that waits, or whose virtual time is ahead.
type account[K comparable] struct {
	key K
	// finish is the virtual time at which the last request ends; the start time
	// of the next one is at least this.
	finish float64
	// start is the virtual start time of the first waiter.
	start float64
	// index is the position in the heap, -1 without waiters.
	index      int
	head, tail *waiter[K]
	waiting    int
}

// waiter is a request in the queue.
type waiter[K comparable] struct {
	account    *account[K]
	next, prev *waiter[K]
	weight     float64
	deadline   time.Time
	// ready receives the outcome once the waiter has left the queue.
	ready  chan error
	queued bool
}

// New returns an open gate.
func New[K comparable](o Options) *Gate[K] {
	preset.Positive(&o.Slots, 1)
	preset.Positive(&o.PerAccount, 64)
	preset.Positive(&o.Total, 1024)
	preset.Positive(&o.Margin, 1)
	g := &Gate[K]{
		options: o, accounts: map[K]*account[K]{}, slots: o.Slots,
		service: float64(o.ServiceTime), sweepAt: 64,
		less: func(a, b *account[K]) bool { return a.start < b.start },
	}
	g.active.gate = g
	return g
}

// Acquire waits for a slot. The caller releases the slot when the request has
// ended; further calls of release have no effect. Weight is at least 1. The
// error is ErrFull, ErrDeadline, ErrClosed or context.Canceled.
func (g *Gate[K]) Acquire(c context.Context, key K, weight int) (release func(), err error) {
	if err := c.Err(); err != nil {
		return nil, contextError(err)
	}
	g.mu.Lock()
	if g.closed {
		g.mu.Unlock()
		return nil, ErrClosed
	}
	a := g.account(key)
	w := 1 / float64(max(weight, 1))
	if g.flying < g.slots && g.queued == 0 {
		a.start = max(a.finish, g.virtual)
		g.charge(a, w)
		g.mu.Unlock()
		return g.hold(), nil
	}
	q, err := g.enqueue(c, a, w)
	g.mu.Unlock()
	if err != nil {
		return nil, err
	}
	return g.wait(c, q)
}

func contextError(err error) error {
	if err == context.DeadlineExceeded {
		return ErrDeadline
	}
	return err
}

// account finds or creates the state of an account.
func (g *Gate[K]) account(key K) *account[K] {
	if a := g.accounts[key]; a != nil {
		return a
	}
	if len(g.accounts) >= g.sweepAt {
		g.sweep()
	}
	a := &account[K]{key: key, index: -1}
	g.accounts[key] = a
	return a
}

// sweep drops the accounts whose state equals that of a new one.
func (g *Gate[K]) sweep() {
	for k, a := range g.accounts {
		if a.index < 0 && a.finish <= g.virtual {
			delete(g.accounts, k)
		}
	}
	g.sweepAt = max(64, 2*len(g.accounts))
}

// charge gives a slot to an account whose start time is set.
func (g *Gate[K]) charge(a *account[K], w float64) {
	g.virtual = max(g.virtual, a.start)
	a.finish = a.start + w
	g.flying++
}

// enqueue appends a waiter, unless a bound or its deadline forbids that.
func (g *Gate[K]) enqueue(c context.Context, a *account[K], w float64) (*waiter[K], error) {
	if a.waiting >= g.options.PerAccount || g.queued >= g.options.Total {
		return nil, ErrFull
	}
	d, ok := c.Deadline()
	if ok && time.Until(d) < g.estimate(a, w) {
		return nil, ErrDeadline
	}
	q := &waiter[K]{account: a, weight: w, deadline: d, ready: make(chan error, 1), queued: true}
	if a.tail == nil {
		a.head, a.tail = q, q
		a.start = max(a.finish, g.virtual)
		heap.Push(&g.active, a)
	} else {
		q.prev, a.tail.next, a.tail = a.tail, q, q
	}
	a.waiting++
	g.queued++
	return q, nil
}

// estimate returns the time that a new request of an account needs until its
// end: the requests that will get slots before it, and its own execution.
func (g *Gate[K]) estimate(a *account[K], w float64) time.Duration {
	start := max(a.finish, g.virtual)
	if a.index >= 0 {
		start = a.start + float64(a.waiting)*w
	}
	n := float64(a.waiting)
	for _, b := range g.active.accounts {
		if b != a && b.start < start {
			n += min(float64(b.waiting), (start-b.start)/b.head.weight)
		}
	}
	return time.Duration(g.service * (n/float64(max(g.slots, 1)) + g.options.Margin))
}

// wait blocks until the waiter has left the queue.
func (g *Gate[K]) wait(c context.Context, q *waiter[K]) (func(), error) {
	select {
	case err := <-q.ready:
		return g.admit(err)
	case <-c.Done():
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if q.queued {
		g.remove(q)
		return nil, contextError(c.Err())
	}
	// The outcome came at the same time as the end of the context.
	if err := <-q.ready; err != nil {
		return nil, err
	}
	g.refund(q)
	g.leave()
	return nil, contextError(c.Err())
}

// refund takes back the charge for a slot that was not used.
func (g *Gate[K]) refund(q *waiter[K]) {
	a := q.account
	a.finish -= q.weight
	if a.index >= 0 {
		a.start -= q.weight
		heap.Fix(&g.active, a.index)
	}
}

func (g *Gate[K]) admit(err error) (func(), error) {
	if err != nil {
		return nil, err
	}
	return g.hold(), nil
}

// hold returns the release function of a slot.
func (g *Gate[K]) hold() func() {
	begin := time.Now()
	done := new(atomic.Bool)
	return func() {
		if done.Swap(true) {
			return
		}
		d := float64(time.Since(begin))
		g.mu.Lock()
		defer g.mu.Unlock()
		if g.service == 0 {
			g.service = d
		}
		g.service += smoothing * (d - g.service)
		g.leave()
	}
}

// leave frees a slot.
func (g *Gate[K]) leave() {
	g.flying--
	g.dispatch()
	if g.flying == 0 && g.idle != nil {
		close(g.idle)
		g.idle = nil
	}
}

// execution returns the time that a request reserves for its own execution.
func (g *Gate[K]) execution() time.Duration { return time.Duration(g.service * g.options.Margin) }

// dispatch gives free slots to waiters. A waiter that would not end before its
// deadline gets none: it would use the slot for an answer that comes too late.
func (g *Gate[K]) dispatch() {
	var now time.Time
	for g.flying < g.slots && g.queued > 0 {
		a := g.active.accounts[0]
		q := a.head
		if now.IsZero() {
			now = time.Now()
		}
		if !q.deadline.IsZero() && now.Add(g.execution()).After(q.deadline) {
			g.remove(q)
			q.ready <- ErrDeadline
			continue
		}
		g.charge(a, q.weight)
		a.start = a.finish
		g.remove(q)
		q.ready <- nil
	}
}

// remove takes a waiter out of the queue. The next waiter of the account
// inherits the start time.
func (g *Gate[K]) remove(q *waiter[K]) {
	a := q.account
	if q.prev != nil {
		q.prev.next = q.next
	} else {
		a.head = q.next
	}
	if q.next != nil {
		q.next.prev = q.prev
	} else {
		a.tail = q.prev
	}
	q.queued, q.next, q.prev = false, nil, nil
	a.waiting--
	g.queued--
	if a.waiting == 0 {
		heap.Remove(&g.active, a.index)
	} else {
		heap.Fix(&g.active, a.index)
	}
}
