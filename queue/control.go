package queue

import (
	"time"
)

// Stats is a snapshot of the state of a Gate.
type Stats struct {
	// Slots is the number of slots, InFlight that of the requests that hold one,
	// Queued that of the waiting requests.
	Slots, InFlight, Queued int
	// ServiceTime is the average time that a request holds a slot.
	ServiceTime time.Duration
}

// Stats returns a snapshot of the state of the gate.
func (g *Gate[K]) Stats() Stats {
	g.mu.Lock()
	defer g.mu.Unlock()
	return Stats{Slots: g.slots, InFlight: g.inFlight, Queued: g.queued, ServiceTime: time.Duration(g.serviceTime)}
}

// SetSlots changes the number of slots. If n is 0 or negative, no request is
// admitted. Requests in flight keep their slots, even if there are more than n.
func (g *Gate[K]) SetSlots(n int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.slots = max(n, 0)
	g.dispatch()
}

// Close refuses new requests, removes the waiting ones from the queue with
// ErrClosed and blocks until all slots are released. The error is always nil.
func (g *Gate[K]) Close() error {
	g.mu.Lock()
	g.closed = true
	g.clear()
	if g.inFlight == 0 {
		g.mu.Unlock()
		return nil
	}
	if g.drained == nil {
		g.drained = make(chan struct{})
	}
	drained := g.drained
	g.mu.Unlock()
	<-drained
	return nil
}

// Clear removes all waiting requests from the queue; their calls of Acquire
// return ErrClosed. The gate stays open.
func (g *Gate[K]) Clear() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.clear()
}

// clear implements Clear. The caller holds mu.
func (g *Gate[K]) clear() {
	for g.queued > 0 {
		q := g.active.accounts[0].head
		g.remove(q)
		q.result <- ErrClosed
	}
}

// accountHeap is a heap of accounts in the order of Gate.less. It implements
// heap.Interface.
type accountHeap[K comparable] struct {
	gate     *Gate[K]
	accounts []*account[K]
}

func (h *accountHeap[K]) Len() int           { return len(h.accounts) }
func (h *accountHeap[K]) Less(i, j int) bool { return h.gate.less(h.accounts[i], h.accounts[j]) }

func (h *accountHeap[K]) Swap(i, j int) {
	h.accounts[i], h.accounts[j] = h.accounts[j], h.accounts[i]
	h.accounts[i].index, h.accounts[j].index = i, j
}

// Push appends an account.
func (h *accountHeap[K]) Push(x any) {
	a := x.(*account[K])
	a.index = len(h.accounts)
	h.accounts = append(h.accounts, a)
}

// Pop removes the last account.
func (h *accountHeap[K]) Pop() any {
	n := len(h.accounts) - 1
	a := h.accounts[n]
	h.accounts[n] = nil
	h.accounts = h.accounts[:n]
	a.index = -1
	return a
}
