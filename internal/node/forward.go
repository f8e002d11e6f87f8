package node

import (
	"context"
	"sync"
	"time"

	"dandelionrock.example/dandelionrock/route"
	"dandelionrock.example/dandelionrock/schema"
)

// calls holds the requests that other instances have forwarded here, so that
// they can be cancelled.
type calls struct {
	mu sync.Mutex
	// by is keyed by request id.
	by map[string]context.CancelFunc
}

func (k *calls) begin(id string, f context.CancelFunc) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.by == nil {
		k.by = make(map[string]context.CancelFunc)
	}
	k.by[id] = f
}

func (k *calls) end(id string) {
	k.mu.Lock()
	defer k.mu.Unlock()
	delete(k.by, id)
}

func (k *calls) cancel(id string) {
	k.mu.Lock()
	f := k.by[id]
	k.mu.Unlock()
	if f != nil {
		f()
	}
}

// forward executes a request at an upstream whose home is this instance. c ends
// at the request's deadline.
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

// Forward executes a request.
func (x *Route) Forward(r *schema.ForwardRequest, y *schema.ForwardReply) error {
	c, f := context.WithTimeout(x.n.life, time.Duration(r.GetTimeoutUs())*time.Microsecond)
	defer f()
	x.n.calls.begin(r.GetRequestId(), f)
	defer x.n.calls.end(r.GetRequestId())
	x.n.clock.Observe(r.GetClock())
	copyReply(y, x.n.forward(c, r))
	y.Clock = x.n.clock.Now()
	return nil
}

// copyReply copies the fields of a reply without copying the body. A reply may
// be shared with a stored record, so that y must not be the original.
func copyReply(y, x *schema.ForwardReply) {
	y.Outcome, y.Reason, y.Retry = x.GetOutcome(), x.GetReason(), x.GetRetry()
	y.Status, y.Headers, y.Body = x.GetStatus(), x.GetHeaders(), x.GetBody()
	y.Upstream, y.Epoch, y.Home, y.Term = x.GetUpstream(), x.GetEpoch(), x.GetHome(), x.GetTerm()
}

// Cancel ends a forwarded request whose caller is gone.
func (x *Route) Cancel(r *schema.CancelRequest, _ *schema.Empty) error {
	x.n.calls.cancel(r.GetRequestId())
	return nil
}
