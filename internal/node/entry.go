package node

import (
	"context"
	"net/http"
	"time"

	"dandelionrock.example/dandelionrock/internal/edge"
	"dandelionrock.example/dandelionrock/limit"
	"dandelionrock.example/dandelionrock/route"
	"dandelionrock.example/dandelionrock/schema"
)

// maxRoundTrip bounds the round trip that is subtracted from a request's time, so
// that one slow heartbeat doesn't use up the whole time.
const maxRoundTrip = 100 * time.Millisecond

// resolver implements edge.Resolver by the directory.
type resolver struct{ n *Node }

// Resolve implements edge.Resolver.
func (x resolver) Resolve(organisation, service, key string) (edge.Target, error) {
	t, err := x.n.dir.Resolve(organisation, service, key)
	e := edge.Target{
		Organisation: organisation, Service: service, Shard: t.Shard,
		Version: uint64(t.Generation), Upstream: t.Upstream, Term: uint64(t.Term),
	}
	if err != nil {
		return e, err
	}
	if t.Home == x.n.self.ID {
		return e, nil
	}
	i, ok := x.n.dir.Instance(t.Home)
	if !ok {
		return e, route.ErrNoHome
	}
	e.Address, e.RoundTrip = i.RPCAddress, min(x.n.heartbeats.roundTrip(t.Home), maxRoundTrip)
	return e, nil
}

// Wait implements edge.Resolver.
func (x resolver) Wait(c context.Context, t edge.Target) error {
	_, err := x.n.dir.Wait(c, route.Generation(t.Version))
	return err
}

// caller implements edge.Caller.
type caller struct{ n *Node }

// Call implements edge.Caller.
func (x caller) Call(c context.Context, t edge.Target, q *schema.ForwardRequest, r *schema.ForwardReply) error {
	if t.Address != "" {
		q.Clock = x.n.clock.Now()
		err := x.n.pool.Call(c, t.Address, "Route.Forward", q, r)
		if err == nil {
			x.n.clock.Observe(r.GetClock())
		}
		return err
	}
	c, f := context.WithTimeout(c, time.Duration(q.GetTimeoutUs())*time.Microsecond)
	defer f()
	copyReply(r, x.n.forward(c, q))
	return nil
}

// Cancel implements edge.Caller. It does nothing for a local request, which ends
// with its context.
func (x caller) Cancel(c context.Context, t edge.Target, id string) {
	if t.Address != "" {
		_ = x.n.pool.Call(c, t.Address, "Route.Cancel", &schema.CancelRequest{RequestId: id}, &schema.Empty{})
	}
}

// newEdge returns the HTTP handler of callers' requests.
func (n *Node) newEdge() http.Handler {
	l := limit.New[edge.AccountKey](limit.Options{})
	budget := func(organisation, account string) bool { return n.spendRetry(l, organisation, account) }
	n.entry = edge.NewEntry(resolver{n}, caller{n}, budget)
	n.edge = edge.NewHandler(edge.Options{
		Instance: n.self.ID, Directory: n.dir, Forwarder: n.entry, Limiter: l, Observe: n.observe,
	})
	return n.edge
}

// spendRetry takes a retry from the budget of a client account. It returns false
// if the budget is used up.
func (n *Node) spendRetry(l *limit.Limiter[edge.AccountKey], organisation, account string) bool {
	ok := l.Retry(time.Now(), edge.AccountKey{Organisation: organisation, Account: account})
	if ok {
		n.scope.Counter("retries").Inc(1)
	}
	return ok
}

// observe counts a request by its outcome.
func (n *Node) observe(q *schema.ForwardRequest, r *schema.ForwardReply, took time.Duration) {
	n.meter.request(q.GetOrganisation(), q.GetService(), r.GetOutcome(), took)
}
