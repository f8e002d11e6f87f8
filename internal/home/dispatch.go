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

// setOrigin sets the upstream, home and term of a reply. It must be called before
// the reply is passed to the record of orders, which shares it.
func (h *Home) setOrigin(y *schema.ForwardReply) *schema.ForwardReply {
	y.Upstream, y.Home, y.Term = h.config.Upstream.Name, h.config.Instance, uint64(h.config.Lease.Term)
	return y
}

// run sends a request to the upstream at most once and returns the outcome. If e
// is not 0, the request runs only in that epoch of the shard, because the
// decision of the record of orders is valid only for that epoch.
func (h *Home) run(c context.Context, r *schema.ForwardRequest, e shard.Epoch) *schema.ForwardReply {
	if y := h.earlyRefusal(r.GetKey()); y != nil {
		return y
	}
	release, err := h.gate.Acquire(c, r.GetClientAccount(), h.config.Weight(r.GetClientAccount()))
	if err != nil {
		return notRun(queueReason(err), errors.Is(err, queue.ErrClosed))
	}
	defer release()
	t, err := h.begin(r.GetKey(), e)
	if err != nil {
		return notRun(dispatchReason(err), true)
	}
	if r.GetOrderId() != "" {
		// A caller that disconnects and repeats its order gets the answer of this
		// run. The run therefore ends only at its deadline.
		x, f := detach(c)
		defer f()
		c = x
	}
	y := h.config.Sender.Send(c, r, t, func() error { return h.permit(t) })
	h.end(c, t.Shard, y.GetOutcome() != schema.Outcome_OUTCOME_UNKNOWN)
	h.concurrency.record(y)
	h.load.add(t.Shard, r.GetKey())
	y.Epoch = uint64(t.Epoch)
	return y
}

// detach returns a context with the deadline of c that isn't cancelled when c is.
func detach(c context.Context) (context.Context, context.CancelFunc) {
	x := context.WithoutCancel(c)
	if d, ok := c.Deadline(); ok {
		return context.WithDeadline(x, d)
	}
	return context.WithCancel(x)
}

// earlyRefusal returns a not-run reply if the request would be refused after it
// has waited in the queue, else nil.
func (h *Home) earlyRefusal(key string) *schema.ForwardReply {
	i, owner := h.find(key)
	if owner != h.config.Upstream.Name {
		return notRun(reasonMoved, true)
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	switch {
	case h.lease.Superseded():
		return notRun(reasonNotHome, true)
	case h.lease.Releasing(i):
		return notRun(reasonMoved, true)
	case h.fencingChecked() && !h.lease.Granted(h.config.Now(), i):
		return notRun(reasonNotGranted, true)
	}
	return nil
}

// find returns the shard of a key and the name of the upstream that owns it, ""
// if the directory has no shard map of the service.
func (h *Home) find(key string) (shard.ID, string) {
	m := h.config.Directory.Map(h.config.Lease.Organisation, h.config.Service.Name)
	if m == nil {
		return 0, ""
	}
	i, owner, _ := m.Find(key)
	return i, owner
}

// begin checks the authority over the shard of the key and counts the request as
// in flight. An e other than 0 must be the epoch of the shard. The authority is
// checked again by permit when the request is written. The error is one of
// package lease.
func (h *Home) begin(key string, e shard.Epoch) (fence.Token, error) {
	i, owner := h.find(key)
	if owner != h.config.Upstream.Name {
		return fence.Token{}, lease.ErrNotOwned
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	t, err := h.lease.CanDispatch(h.config.Now(), i)
	if err != nil {
		return fence.Token{}, err
	}
	if e != 0 && t.Epoch != e {
		return fence.Token{}, lease.ErrNotOwned
	}
	h.requests(i).count++
	return t, nil
}

// requests returns the requests in flight on a shard and creates the record if
// necessary. The caller holds mu.
func (h *Home) requests(i shard.ID) *shardRequests {
	f := h.inFlight[i]
	if f == nil {
		f = &shardRequests{}
		h.inFlight[i] = f
	}
	return f
}

// permit returns an error if a request may no longer be written with the token.
func (h *Home) permit(t fence.Token) error {
	h.mu.Lock()
	defer h.mu.Unlock()
	x, err := h.lease.CanDispatch(h.config.Now(), t.Shard)
	if err == nil && x != t {
		err = lease.ErrNotGranted
	}
	return err
}

// end removes a request from those in flight. If clean is false, the upstream may
// execute the request until its deadline, which the upstream honours.
func (h *Home) end(c context.Context, i shard.ID, clean bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	f := h.inFlight[i]
	f.count--
	if !clean {
		d, ok := c.Deadline()
		left := h.config.Lease.MaxRequest
		if ok {
			left = min(left, max(0, time.Until(d)))
		}
		f.mayRunUntil = max(f.mayRunUntil, h.config.Now().Add(h.config.Lease.Drift.Stretch(left)))
	}
	if f.count > 0 {
		return
	}
	if f.mayRunUntil <= h.config.Now() {
		h.lease.Drained(i)
		delete(h.inFlight, i)
	}
	if h.lease.Releasing(i) {
		signal(h.moveNow)
	}
}

// fencingChecked reports whether the upstream refuses requests with a stale token.
func (h *Home) fencingChecked() bool { return h.config.Upstream.Fencing == config.FencingChecked }

// queueReason returns the reason for an error of queue.Gate.Acquire.
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

// dispatchReason returns the reason for an error of begin.
func dispatchReason(err error) string {
	switch {
	case errors.Is(err, lease.ErrSuperseded), errors.Is(err, lease.ErrUnconfirmed):
		return reasonNotHome
	case errors.Is(err, lease.ErrNotGranted):
		return reasonNotGranted
	}
	return reasonMoved
}
