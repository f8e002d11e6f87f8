package node

import (
	"context"
	"sync"
	"time"

	"dandelionrock.example/dandelionrock/route"
	"dandelionrock.example/dandelionrock/schema"
)

// forwardedCalls holds the cancel functions of the requests that other instances
// have forwarded here.
type forwardedCalls struct {
	mu sync.Mutex
	// cancels is keyed by request id.
	cancels map[string]context.CancelFunc
}

// begin records the cancel function of a request.
func (k *forwardedCalls) begin(id string, f context.CancelFunc) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.cancels == nil {
		k.cancels = make(map[string]context.CancelFunc)
	}
	k.cancels[id] = f
}

// end removes a request that has ended.
func (k *forwardedCalls) end(id string) {
	k.mu.Lock()
	defer k.mu.Unlock()
	delete(k.cancels, id)
}

// cancel cancels a request if it hasn't ended.
func (k *forwardedCalls) cancel(id string) {
	k.mu.Lock()
	f := k.cancels[id]
	k.mu.Unlock()
	if f != nil {
		f()
	}
}

// forward executes a request at an upstream whose home runs on this instance, or
// returns a reply with the outcome not-run if there is none. c ends at the
// request's deadline.
func (n *Node) forward(c context.Context, r *schema.ForwardRequest) *schema.ForwardReply {
	t, err := n.dir.Resolve(r.GetOrganisation(), r.GetService(), r.GetKey())
	if err != nil {
		return &schema.ForwardReply{Outcome: schema.Outcome_OUTCOME_NOT_RUN, Reason: "no-home", Retry: true}
	}
	h := n.home(route.HomeKey(r.GetOrganisation(), r.GetService(), t.Upstream))
	if h == nil {
		return &schema.ForwardReply{Outcome: schema.Outcome_OUTCOME_NOT_RUN, Reason: "not-home", Retry: true}
	}
	return h.Forward(c, r)
}

// Route serves requests that other instances forward.
type Route struct{ n *Node }

// Forward executes a request of another instance.
func (x *Route) Forward(r *schema.ForwardRequest, y *schema.ForwardReply) error {
	c, f := context.WithTimeout(x.n.ctx, time.Duration(r.GetTimeoutUs())*time.Microsecond)
	defer f()
	x.n.calls.begin(r.GetRequestId(), f)
	defer x.n.calls.end(r.GetRequestId())
	x.n.clock.Observe(r.GetClock())
	copyReply(y, x.n.forward(c, r))
	y.Clock = x.n.clock.Now()
	return nil
}

// copyReply copies the fields of the reply x to y; both share the body. x may
// belong to a stored record, which must not change when y does.
func copyReply(y, x *schema.ForwardReply) {
	y.Outcome, y.Reason, y.Retry = x.GetOutcome(), x.GetReason(), x.GetRetry()
	y.Status, y.Headers, y.Body = x.GetStatus(), x.GetHeaders(), x.GetBody()
	y.Upstream, y.Epoch, y.Home, y.Term = x.GetUpstream(), x.GetEpoch(), x.GetHome(), x.GetTerm()
}

// Cancel cancels a forwarded request whose caller has gone away.
func (x *Route) Cancel(r *schema.CancelRequest, _ *schema.Empty) error {
	x.n.calls.cancel(r.GetRequestId())
	return nil
}
