// Package queue shares the slots of one upstream fairly between client
// accounts.
//
// It uses start-time fair queueing: each account has a virtual time that
// advances by 1/weight with each request, and the waiting request with the
// lowest virtual start time is admitted next. An account that sends too many
// requests therefore delays mostly its own, and an idle account accumulates no
// credit.
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
	// ErrFull is returned by Acquire if the queue of the account, or the whole
	// queue, is full.
	ErrFull = errors.New("queue is full")
	// ErrDeadline is returned by Acquire if the deadline of the context has
	// passed, or if the request is not expected to end before it.
	ErrDeadline = errors.New("deadline passes in the queue")
	// ErrClosed is returned by Acquire if the gate is closed, or if Clear
	// removed the request from the queue.
	ErrClosed = errors.New("queue is closed")
)

// smoothing is the weight of a new service time in the moving average.
const smoothing = 0.1

// Options configures a Gate. Zero values select the defaults.
type Options struct {
	// Slots is the maximum number of requests in flight. Default 1.
	Slots int
	// PerAccount and Total limit the number of waiting requests of one account
	// and of all accounts. Default 64 and 1024.
	PerAccount, Total int
	// ServiceTime is the initial estimate of the time that a request holds a slot.
	// Default 0: until the first slot is released, no request is refused because
	// of the expected wait.
	ServiceTime time.Duration
	// Margin is the time reserved for the execution of a request when its
	// expected wait is compared with its deadline, in average service times.
	// Default 1.
	Margin float64
}

// Gate limits the number of requests in flight and queues the others. K is the
// type of the keys that identify client accounts. A Gate is safe for concurrent
// use. Use New to create one.
type Gate[K comparable] struct {
	options Options
	// less orders the accounts that have waiting requests.
	less func(a, b *account[K]) bool

	mu       sync.Mutex
	accounts map[K]*account[K]
	// active is a heap of the accounts that have waiting requests.
	active accountHeap[K]
	// virtualTime is the highest virtual start time of a request that got a
	// slot.
	virtualTime float64
	slots       int
	inFlight    int
	queued      int
	// serviceTime is the average time in nanoseconds that a request holds a slot.
	serviceTime float64
	closed      bool
	// drained is closed once no request is in flight; nil unless Close waits.
	drained chan struct{}
	// sweepAt is the number of accounts at which idle ones are deleted.
	sweepAt int
}

// account is the state of a client account. It is deleted by sweep once no
// request waits and finish is not ahead of the virtual time.
type account[K comparable] struct {
	key K
	// finish is the virtual finish time of the last request that got a slot, a
	// lower bound for the start time of the next one.
	finish float64
	// start is the virtual start time of the first waiting request.
	start float64
	// index is the position in Gate.active, -1 if no request waits.
	index      int
	head, tail *waiter[K]
	waiting    int
}

// waiter is a waiting request, an element of its account's linked list.
type waiter[K comparable] struct {
	account    *account[K]
	next, prev *waiter[K]
	// cost is the virtual duration of the request, 1/weight.
	cost     float64
	deadline time.Time
	// result receives nil if the request got a slot, else the error.
	result chan error
	// queued reports whether the request is still in the queue.
	queued bool
}

// New returns a Gate without requests.
func New[K comparable](o Options) *Gate[K] {
	preset.Positive(&o.Slots, 1)
	preset.Positive(&o.PerAccount, 64)
	preset.Positive(&o.Total, 1024)
	preset.Positive(&o.Margin, 1)
	g := &Gate[K]{
		options: o, accounts: map[K]*account[K]{}, slots: o.Slots,
		serviceTime: float64(o.ServiceTime), sweepAt: 64,
		less: func(a, b *account[K]) bool { return a.start < b.start },
	}
	g.active.gate = g
	return g
}

// Acquire waits for a slot for a request of the account key. The account's share
// of the slots is proportional to weight; a weight below 1 counts as 1. The
// caller must call release when the request has ended; further calls have no
// effect. The error is ErrFull, ErrDeadline, ErrClosed or context.Canceled.
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
	if g.inFlight < g.slots && g.queued == 0 {
		a.start = max(a.finish, g.virtualTime)
		g.charge(a, w)
		g.mu.Unlock()
		return g.releaser(), nil
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

// account returns the state of an account and creates it if necessary. The
// caller holds mu.
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

// sweep deletes the accounts whose state is equivalent to that of a new one.
func (g *Gate[K]) sweep() {
	for k, a := range g.accounts {
		if a.index < 0 && a.finish <= g.virtualTime {
			delete(g.accounts, k)
		}
	}
	g.sweepAt = max(64, 2*len(g.accounts))
}

// charge takes a slot for a request that starts at a.start and advances the
// virtual times. The argument w is the cost of the request.
func (g *Gate[K]) charge(a *account[K], w float64) {
	g.virtualTime = max(g.virtualTime, a.start)
	a.finish = a.start + w
	g.inFlight++
}

// enqueue appends a request to the queue of its account. It returns ErrFull or
// ErrDeadline if the request can't wait.
func (g *Gate[K]) enqueue(c context.Context, a *account[K], w float64) (*waiter[K], error) {
	if a.waiting >= g.options.PerAccount || g.queued >= g.options.Total {
		return nil, ErrFull
	}
	d, ok := c.Deadline()
	if ok && time.Until(d) < g.estimate(a, w) {
		return nil, ErrDeadline
	}
	q := &waiter[K]{account: a, cost: w, deadline: d, result: make(chan error, 1), queued: true}
	if a.tail == nil {
		a.head, a.tail = q, q
		a.start = max(a.finish, g.virtualTime)
		heap.Push(&g.active, a)
	} else {
		q.prev, a.tail.next, a.tail = a.tail, q, q
	}
	a.waiting++
	g.queued++
	return q, nil
}

// estimate returns the expected time until a new request of the account ends:
// the service times of the requests that will get slots before it, divided by
// the number of slots, plus the time reserved for its own execution.
func (g *Gate[K]) estimate(a *account[K], w float64) time.Duration {
	start := max(a.finish, g.virtualTime)
	if a.index >= 0 {
		start = a.start + float64(a.waiting)*w
	}
	n := float64(a.waiting)
	for _, b := range g.active.accounts {
		if b != a && b.start < start {
			n += min(float64(b.waiting), (start-b.start)/b.head.cost)
		}
	}
	return time.Duration(g.serviceTime * (n/float64(max(g.slots, 1)) + g.options.Margin))
}

// wait blocks until the request gets a slot, is refused or its context ends.
func (g *Gate[K]) wait(c context.Context, q *waiter[K]) (func(), error) {
	select {
	case err := <-q.result:
		return g.admit(err)
	case <-c.Done():
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if q.queued {
		g.remove(q)
		return nil, contextError(c.Err())
	}
	// The request left the queue at the same time as the context ended.
	if err := <-q.result; err != nil {
		return nil, err
	}
	g.refund(q)
	g.freeSlot()
	return nil, contextError(c.Err())
}

// refund reverts the virtual times of an account after a slot was not used.
func (g *Gate[K]) refund(q *waiter[K]) {
	a := q.account
	a.finish -= q.cost
	if a.index >= 0 {
		a.start -= q.cost
		heap.Fix(&g.active, a.index)
	}
}

func (g *Gate[K]) admit(err error) (func(), error) {
	if err != nil {
		return nil, err
	}
	return g.releaser(), nil
}

// releaser returns the function that releases a slot and records its service
// time.
func (g *Gate[K]) releaser() func() {
	begin := time.Now()
	done := new(atomic.Bool)
	return func() {
		if done.Swap(true) {
			return
		}
		d := float64(time.Since(begin))
		g.mu.Lock()
		defer g.mu.Unlock()
		if g.serviceTime == 0 {
			g.serviceTime = d
		}
		g.serviceTime += smoothing * (d - g.serviceTime)
		g.freeSlot()
	}
}

// freeSlot returns a slot to the gate and gives it to the next request.
func (g *Gate[K]) freeSlot() {
	g.inFlight--
	g.dispatch()
	if g.inFlight == 0 && g.drained != nil {
		close(g.drained)
		g.drained = nil
	}
}

// reservedTime returns the time reserved for the execution of a request.
func (g *Gate[K]) reservedTime() time.Duration {
	return time.Duration(g.serviceTime * g.options.Margin)
}

// dispatch gives free slots to waiting requests. A request that is not expected
// to end before its deadline is refused, because its answer would come too late.
func (g *Gate[K]) dispatch() {
	var now time.Time
	for g.inFlight < g.slots && g.queued > 0 {
		a := g.active.accounts[0]
		q := a.head
		if now.IsZero() {
			now = time.Now()
		}
		if !q.deadline.IsZero() && now.Add(g.reservedTime()).After(q.deadline) {
			g.remove(q)
			q.result <- ErrDeadline
			continue
		}
		g.charge(a, q.cost)
		a.start = a.finish
		g.remove(q)
		q.result <- nil
	}
}

// remove removes a request from the queue. The next request of the account
// gets its start time.
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
