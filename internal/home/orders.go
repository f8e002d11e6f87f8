package home

import (
	"context"
	"net/http"
	"time"

	"google.golang.org/protobuf/proto"

	"dandelionrock.example/dandelionrock/order"
	"dandelionrock.example/dandelionrock/schema"
)

const (
	reasonRecordLost    = "order-record-lost"
	reasonOrderMismatch = "order-id-reused"
	reasonRecordFull    = "order-record-full"
)

// Forward executes a request at the upstream, or answers a repeated order from
// the record of orders. c ends at the request's deadline.
func (h *Home) Forward(c context.Context, r *schema.ForwardRequest) *schema.ForwardReply {
	if r.GetOrderId() == "" {
		return h.stamp(h.run(c, r, 0))
	}
	g := h.gained(r.GetKey())
	q := order.Request{
		Since:       g.at,
		Account:     r.GetClientAccount(),
		ID:          r.GetOrderId(),
		Attempt:     r.GetAttempt(),
		Fingerprint: order.Fingerprint(r.GetMethod(), r.GetPath(), r.GetKey(), r.GetBody()),
	}
	d := h.orders.Begin(time.Now(), q)
	if g.epoch == 0 && (d.Kind == order.New || d.Kind == order.Unknown) {
		// The home of the present owner decides.
		y := h.stamp(notRun(reasonMoved, true))
		if d.Kind == order.New {
			h.orders.Finish(q, y, false)
		}
		return y
	}
	switch d.Kind {
	case order.New:
		y := h.stamp(h.run(c, r, g.epoch))
		h.orders.Finish(q, y, y.GetOutcome() != schema.Outcome_OUTCOME_NOT_RUN)
		return y
	case order.Join:
		y, err := d.Wait(c)
		if err != nil {
			return unknown(reasonDeadline)
		}
		return y
	case order.Replay:
		return d.Reply
	case order.Mismatch:
		y := notRun(reasonOrderMismatch, false)
		y.Status = http.StatusConflict
		return h.stamp(y)
	case order.Full:
		return h.stamp(notRun(reasonRecordFull, false))
	}
	return h.stamp(unknown(reasonRecordLost))
}

// gained returns the gain under which the upstream owns a key, or the zero value
// if it does not.
func (h *Home) gained(key string) gain {
	i, owner := h.find(key)
	h.mu.Lock()
	defer h.mu.Unlock()
	if owner != h.c.Upstream.Name || !h.lease.Owned(i) {
		return gain{}
	}
	return h.gains[i]
}

// replySize returns the memory of a recorded reply in bytes.
func replySize(y *schema.ForwardReply) int { return proto.Size(y) }
