package home

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"dandelionrock.example/dandelionrock/config"
	"dandelionrock.example/dandelionrock/fence"
	"dandelionrock.example/dandelionrock/lease"
	"dandelionrock.example/dandelionrock/queue"
	"dandelionrock.example/dandelionrock/schema"
	"dandelionrock.example/dandelionrock/shard"
)

// Reasons of a not-run reply.
const (
	reasonMoved      = "moved"
	reasonNotGranted = "not-granted"
	reasonNotHome    = "not-home"
	reasonQueueFull  = "queue-full"
)

// stamp completes a reply with who gave it. It is called before the reply is
// shared with the record of orders.
func (h *Home) stamp(y *schema.ForwardReply) *schema.ForwardReply {
	y.Upstream, y.Home, y.Term = h.c.Upstream.Name, h.c.Instance, uint64(h.c.Lease.Term)
	return y
}

// run executes a request once, or returns a reply that says that it did not run.
// It runs only in the given epoch of the shard, if that is not 0: what the
// record of orders tells about a repeat holds only for that.
func (h *Home) run(c context.Context, r *schema.ForwardRequest, e shard.Epoch) *schema.ForwardReply {
	if y := h.refuse(r.GetKey()); y != nil {
		return y
	}
	free, err := h.gate.Acquire(c, r.GetClientAccount(), h.c.Weight(r.GetClientAccount()))
	if err != nil {
		return notRun(queueReason(err), errors.Is(err, queue.ErrClosed))
	}
	defer free()
	t, err := h.begin(r.GetKey(), e)
	if err != nil {
		return notRun(dispatchReason(err), true)
	}
	if r.GetOrderId() != "" {
		// A caller that goes away and repeats its order gets the answer of this
		// run, so that only the deadline ends it.
		x, f := detach(c)
		defer f()
		c = x
	}
	y := h.c.Sender.Send(c, r, t, func() error { return h.permit(t) })
	h.end(c, t.Shard, y.GetOutcome() != schema.Outcome_OUTCOME_UNKNOWN)
	h.depth.note(y)
	h.hot.add(t.Shard, r.GetKey())
	y.Epoch = uint64(t.Epoch)
	return y
}

// detach returns a context with the deadline of c that isn't cancelled with it.
func detach(c context.Context) (context.Context, context.CancelFunc) {
	x := context.WithoutCancel(c)
	if d, ok := c.Deadline(); ok {
		return context.WithDeadline(x, d)
	}
	return context.WithCancel(x)
}

// refuse returns a reply for a request that would be refused behind the queue,
// or nil. It spares the caller the wait.
func (h *Home) refuse(key string) *schema.ForwardReply {
	i, owner := h.find(key)
	if owner != h.c.Upstream.Name {
		return notRun(reasonMoved, true)
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	switch {
	case h.lease.Superseded():
		return notRun(reasonNotHome, true)
	case h.lease.Releasing(i):
		return notRun(reasonMoved, true)
	case h.checked() && !h.lease.Granted(h.c.Now(), i):
		return notRun(reasonNotGranted, true)
	}
	return nil
}

func (h *Home) find(key string) (shard.ID, string) {
	m := h.c.Directory.Map(h.c.Lease.Organisation, h.c.Service.Name)
	if m == nil {
		return 0, ""
	}
	i, owner, _ := m.Find(key)
	return i, owner
}

// begin checks the authority over the key and counts the request as in flight.
// The authority is checked again by permit when the request is written.
func (h *Home) begin(key string, e shard.Epoch) (fence.Token, error) {
	i, owner := h.find(key)
	if owner != h.c.Upstream.Name {
		return fence.Token{}, lease.ErrNotOwned
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	t, err := h.lease.CanDispatch(h.c.Now(), i)
	if err != nil {
		return fence.Token{}, err
	}
	if e != 0 && t.Epoch != e {
		return fence.Token{}, lease.ErrNotOwned
	}
	h.flight(i).count++
	return t, nil
}

// flight returns the count of a shard, which may be a new one. The caller holds
// mu.
func (h *Home) flight(i shard.ID) *flight {
	f := h.flights[i]
	if f == nil {
		f = &flight{}
		h.flights[i] = f
	}
	return f
}

// permit checks that a request may still be written with the token.
func (h *Home) permit(t fence.Token) error {
	h.mu.Lock()
	defer h.mu.Unlock()
	x, err := h.lease.CanDispatch(h.c.Now(), t.Shard)
	if err == nil && x != t {
		err = lease.ErrNotGranted
	}
	return err
}

// end takes a request out of the count. One that did not end cleanly may be
// executed until its deadline, which the upstream honours.
func (h *Home) end(c context.Context, i shard.ID, clean bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	f := h.flights[i]
	f.count--
	if !clean {
		d, ok := c.Deadline()
		left := h.c.Lease.MaxRequest
		if ok {
			left = min(left, max(0, time.Until(d)))
		}
		f.until = max(f.until, h.c.Now().Add(h.c.Lease.Drift.Stretch(left)))
	}
	if f.count > 0 {
		return
	}
	if f.until <= h.c.Now() {
		h.lease.Drained(i)
		delete(h.flights, i)
	}
	if h.lease.Releasing(i) {
		signal(h.moveNow)
	}
}

// checked reports whether the upstream refuses a stale token.
func (h *Home) checked() bool { return h.c.Upstream.Fencing == config.FencingChecked }

func queueReason(err error) string {
	switch {
	case errors.Is(err, queue.ErrFull):
		return reasonQueueFull
	case errors.Is(err, queue.ErrDeadline):
		return reasonDeadline
	case errors.Is(err, queue.ErrClosed):
		return reasonNotHome
	}
	return reasonCancelled
}

func dispatchReason(err error) string {
	switch {
	case errors.Is(err, lease.ErrSuperseded), errors.Is(err, lease.ErrUnconfirmed):
		return reasonNotHome
	case errors.Is(err, lease.ErrNotGranted):
		return reasonNotGranted
	}
	return reasonMoved
}
