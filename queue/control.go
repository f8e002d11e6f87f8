package queue

import (
	"time"
)

// Stats describes a gate at one moment.
type Stats struct {
	Slots, InFlight, Queued int
	// ServiceTime is the average time that a request holds a slot.
	ServiceTime time.Duration
}

// Stats returns the present numbers.
func (g *Gate[K]) Stats() Stats {
	g.mu.Lock()
	defer g.mu.Unlock()
	return Stats{Slots: g.slots, InFlight: g.flying, Queued: g.queued, ServiceTime: time.Duration(g.service)}
}

// SetSlots changes the number of slots; with 0 nothing is admitted. Requests
// that hold a slot above the new number keep it.
func (g *Gate[K]) SetSlots(n int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.slots = max(n, 0)
	g.dispatch()
}

// Close refuses new requests, sends the waiting ones away with ErrClosed and
// waits until all slots are released.
func (g *Gate[K]) Close() error {
	g.mu.Lock()
	g.closed = true
	g.clear()
	if g.flying == 0 {
		g.mu.Unlock()
		return nil
	}
	if g.idle == nil {
		g.idle = make(chan struct{})
	}
	idle := g.idle
	g.mu.Unlock()
	<-idle
	return nil
}

// Clear sends the waiting requests away with ErrClosed. The gate stays open.
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
		q.ready <- ErrClosed
	}
}

// active implements heap.Interface.
type active[K comparable] struct {
	gate     *Gate[K]
	accounts []*account[K]
}

func (h *active[K]) Len() int           { return len(h.accounts) }
func (h *active[K]) Less(i, j int) bool { return h.gate.less(h.accounts[i], h.accounts[j]) }

func (h *active[K]) Swap(i, j int) {
	h.accounts[i], h.accounts[j] = h.accounts[j], h.accounts[i]
	h.accounts[i].index, h.accounts[j].index = i, j
}

// Push appends an account.
func (h *active[K]) Push(x any) {
	a := x.(*account[K])
	a.index = len(h.accounts)
	h.accounts = append(h.accounts, a)
}

// Pop removes the last account.
func (h *active[K]) Pop() any {
	n := len(h.accounts) - 1
	a := h.accounts[n]
	h.accounts[n] = nil
	h.accounts = h.accounts[:n]
	a.index = -1
	return a
}
