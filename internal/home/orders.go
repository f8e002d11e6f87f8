package home

import (
	"context"
	"net/http"
	"time"

	"google.golang.org/protobuf/proto"

	"dandelionrock.example/dandelionrock/order"
	"dandelionrock.example/dandelionrock/schema"
)

// Reasons of replies to requests with an order id.
const (
	reasonRecordLost    = "order-record-lost"
	reasonOrderIDReused = "order-id-reused"
	reasonRecordFull    = "order-record-full"
)

// Forward sends a request to the upstream at most once and returns the outcome. A
// repeated order is answered from the record of orders. The deadline of c is that
// of the request.
func (h *Home) Forward(c context.Context, r *schema.ForwardRequest) *schema.ForwardReply {
	if r.GetOrderId() == "" {
		return h.setOrigin(h.run(c, r, 0))
	}
	g := h.ownership(r.GetKey())
	q := order.Request{
		Since:       g.since,
		Account:     r.GetClientAccount(),
		ID:          r.GetOrderId(),
		Attempt:     r.GetAttempt(),
		Fingerprint: order.Fingerprint(r.GetMethod(), r.GetPath(), r.GetKey(), r.GetBody()),
	}
	d := h.orders.Begin(time.Now(), q)
	if g.epoch == 0 && (d.Kind == order.New || d.Kind == order.Unknown) {
		// The upstream doesn't own the key: the home of its owner decides whether
		// the order has run.
		y := h.setOrigin(notRun(reasonMoved, true))
		if d.Kind == order.New {
			h.orders.Finish(q, y, false)
		}
		return y
	}
	switch d.Kind {
	case order.New:
		y := h.setOrigin(h.run(c, r, g.epoch))
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
		y := notRun(reasonOrderIDReused, false)
		y.Status = http.StatusConflict
		return h.setOrigin(y)
	case order.Full:
		return h.setOrigin(notRun(reasonRecordFull, false))
	}
	return h.setOrigin(unknown(reasonRecordLost))
}

// ownership returns the ownership of the shard of a key, or the zero value if the
// upstream does not own it.
func (h *Home) ownership(key string) ownership {
	i, owner := h.find(key)
	h.mu.Lock()
	defer h.mu.Unlock()
	if owner != h.config.Upstream.Name || !h.lease.Owned(i) {
		return ownership{}
	}
	return h.ownerships[i]
}

// replySize returns the size of a recorded reply in bytes.
func replySize(y *schema.ForwardReply) int { return proto.Size(y) }
