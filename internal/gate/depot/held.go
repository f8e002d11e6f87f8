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

// Open returns the tab of a new connection, which must be closed. evict must close the
// connection, and so have all that it holds given back.
func (d *Depot) Open(now clock.Time, evict func(shed.Victim)) *Tab {
	h := &d.held
	h.mu.Lock()
	defer h.mu.Unlock()
	h.last++
	h.ledger.Open(now, h.last)
	t := &Tab{h, h.last, evict}
	h.tabs[t.id] = t
	return t
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
		if t := h.tabs[v.ID]; t != nil {
			go t.evict(v)
		}
	}
}

// setLimit sets the limit to that of a process that has the given memory in bytes.
func (h *held) setLimit(memory int64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.ledger.SetLimit(shed.Bytes(float64(memory) * heldShare))
	h.evict()
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
