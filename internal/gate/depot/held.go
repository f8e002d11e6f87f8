package depot

import (
	"sync"

	"dandelionrock.example/dandelionrock/clock"
	"dandelionrock.example/dandelionrock/internal/plan/shed"
)

// heldShare is the share of the memory for all that is held of requests, apart from their
// large bodies, and of responses: while it arrives, is on its way between instances, waits
// for its turn or for its client. The part for responses that are being read,
// responseShare, lies within it.
const heldShare = 0.25

const (
	// connMemory is the memory in bytes of a connection that holds nothing else: the
	// stacks of its goroutines and the buffers of net/http. connShare is the share of the
	// memory for all of them.
	connMemory = 24 << 10
	connShare  = 0.2
	// fileDescriptors are those that are kept for files, and connDescriptors is the share
	// of the others for connections of clients: the rest is for targets, other instances,
	// the store and load balancers.
	fileDescriptors = 200
	connDescriptors = 0.75
)

// MaxConnections returns the number of connections of clients that an instance has at once,
// given its memory in bytes and its file descriptors; 0 descriptors stand for any number.
func MaxConnections(memory int64, descriptors int) int {
	n := int(float64(memory) * connShare / connMemory)
	if descriptors > 0 {
		n = min(n, int(float64(descriptors-min(fileDescriptors, descriptors/2))*connDescriptors))
	}
	return max(n, 1)
}

// SetDescriptors sets the number of file descriptors that the process may have open; 0 means
// any number.
func (d *Depot) SetDescriptors(n int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.descriptors = n
	d.held.setMaxOpen(MaxConnections(d.memory, n))
}

// held is the memory for connections, requests and responses.
type held struct {
	mu     sync.Mutex
	ledger *shed.Ledger
	// tabs holds the connections that have not been closed.
	tabs map[shed.ID]*Tab
	last shed.ID
}

// Tab is what is held for a connection of a client. A nil Tab counts nothing and always
// has room. Its methods may be called concurrently.
type Tab struct {
	held *held
	id   shed.ID
	// evict is called in a goroutine of its own when the connection is to be closed.
	evict func(shed.Victim)
}

// Open returns the tab of a new connection, which must be closed, or false if there is no
// place for one. evict must close the connection, and so have all that it holds given back;
// for shed.Connections it may call Spare instead.
func (d *Depot) Open(now clock.Time, o shed.Origin, evict func(shed.Victim)) (*Tab, bool) {
	h := &d.held
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, v := range h.ledger.Crowd(now) {
		h.notify(v)
	}
	if !h.ledger.Open(now, h.last+1, o) {
		return nil, false
	}
	h.last++
	t := &Tab{h, h.last, evict}
	h.tabs[t.id] = t
	return t, true
}

// Hold counts n bytes that belong to no connection of this instance, or gives them back if
// n is negative.
func (d *Depot) Hold(n int64) { d.held.hold(shed.Others, n) }

// Held returns the bytes that are held.
func (d *Depot) Held() int64 {
	d.held.mu.Lock()
	defer d.held.mu.Unlock()
	return int64(d.held.ledger.Total())
}

// hold changes the bytes of a connection and reports whether they are within the limit.
func (h *held) hold(id shed.ID, n int64) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.ledger.Hold(id, shed.Bytes(n))
	if n > 0 {
		h.evict()
	}
	return !h.ledger.Full()
}

// evict has the connections closed that are to pay. The caller holds mu.
func (h *held) evict() {
	for {
		v, ok := h.ledger.Next(clock.Boot())
		if !ok {
			return
		}
		h.notify(v)
	}
}

// notify has a connection closed. The caller holds mu.
func (h *held) notify(v shed.Victim) {
	if t := h.tabs[v.ID]; t != nil {
		go t.evict(v)
	}
}

// setLimit sets the limit to that of a process that has the given memory in bytes, less a
// part that is lent to the body of a request.
func (h *held) setLimit(memory, lent int64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.ledger.SetLimit(shed.Bytes(float64(memory)*heldShare) - shed.Bytes(lent))
	h.evict()
}

// isCalm reports whether little would be held with such a limit.
func (h *held) isCalm(memory, lent int64) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.ledger.IsCalm(shed.Bytes(float64(memory)*heldShare) - shed.Bytes(lent))
}

func (h *held) setMaxOpen(n int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.ledger.SetMaxOpen(n)
}

// Hold counts n bytes that are held for the connection, or gives them back if n is
// negative.
func (t *Tab) Hold(n int64) {
	if t != nil {
		t.held.hold(t.id, n)
	}
}

// Admit counts n bytes of a request like Hold, unless there is no memory for them. It
// fails with ErrFull then.
func (t *Tab) Admit(n int64) error {
	if t == nil {
		return nil
	}
	return t.held.admit(t.id, n)
}

// Admit counts n bytes that belong to no connection of this instance, unless there is no
// memory for them. It fails with ErrFull then.
func (d *Depot) Admit(n int64) error { return d.held.admit(shed.Others, n) }

func (h *held) admit(id shed.ID, n int64) error {
	h.mu.Lock()
	defer h.mu.Unlock()
	if !h.ledger.Admits(shed.Bytes(n)) {
		h.evict()
		return ErrFull
	}
	h.ledger.Hold(id, shed.Bytes(n))
	h.evict()
	return nil
}

// HasRoom reports whether a request of the connection may run ahead of its turn.
func (t *Tab) HasRoom() bool {
	if t == nil {
		return true
	}
	t.held.mu.Lock()
	defer t.held.mu.Unlock()
	return t.held.ledger.HasRoom(t.id)
}

// Write records that a write to the connection begins, or that the client has taken a part
// of it.
func (t *Tab) Write() { t.record(func(l *shed.Ledger) { l.Write(clock.Boot(), t.id) }) }

// Written records that a write has ended.
func (t *Tab) Written() { t.record(func(l *shed.Ledger) { l.Written(t.id) }) }

// Receive records that the client is to send from now on, or to close the connection.
func (t *Tab) Receive(now clock.Time) { t.record(func(l *shed.Ledger) { l.Receive(now, t.id) }) }

// Received records that the client has sent n bytes of what it is to send.
func (t *Tab) Received(now clock.Time, n int) {
	t.record(func(l *shed.Ledger) { l.Received(now, t.id, shed.Bytes(n)) })
}

// Serve records that the client has sent all that it is to send.
func (t *Tab) Serve() { t.record(func(l *shed.Ledger) { l.Serve(t.id) }) }

// Spare records that the connection stays, although evict was called.
func (t *Tab) Spare() { t.record(func(l *shed.Ledger) { l.Spare(t.id) }) }

// Waits reports whether the client keeps the instance waiting.
func (t *Tab) Waits() (waits bool) {
	t.record(func(l *shed.Ledger) { waits = l.Waits(t.id) })
	return waits
}

// Close forgets the connection. Bytes that it still holds are given back later.
func (t *Tab) Close() {
	t.record(func(l *shed.Ledger) {
		l.Close(t.id)
		delete(t.held.tabs, t.id)
	})
}

// record calls f with the ledger.
func (t *Tab) record(f func(l *shed.Ledger)) {
	if t == nil {
		return
	}
	t.held.mu.Lock()
	defer t.held.mu.Unlock()
	f(t.held.ledger)
}
