package node

import (
	"context"
	"slices"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"

	"dandelionrock.example/dandelionrock/config"
	"dandelionrock.example/dandelionrock/event"
	"dandelionrock.example/dandelionrock/peer"
	"dandelionrock.example/dandelionrock/route"
	"dandelionrock.example/dandelionrock/schema"
	"dandelionrock.example/dandelionrock/shard"
	"dandelionrock.example/dandelionrock/table"
)

const (
	// planInterval is how often the planner of a service runs.
	planInterval = 200 * time.Millisecond
	// planTimeout bounds one call or commit of the planner.
	planTimeout = 2 * time.Second
)

// planServices plans for each service whose planner this instance is.
func (n *Node) planServices() {
	if !n.mayCoordinate() {
		return
	}
	live := n.peers.Live()
	for _, o := range n.dir.Organisations() {
		for _, s := range o.Services {
			if p, ok := peer.Assignee(o.Name+"/"+s.Name, live); ok && p.ID == n.self.ID {
				n.planService(o, s)
			}
		}
	}
}

// planService assigns the shards of a new service, or proposes to move shards to
// the first idle upstream that can get some.
func (n *Node) planService(o *config.Organisation, s *config.Service) {
	m := n.dir.Map(o.Name, s.Name)
	if m == nil {
		return
	}
	if !m.Complete() {
		n.assignInitialOwners(o, s)
		return
	}
	x := n.state(o.Name, s)
	for _, u := range x.Idle() {
		if l := x.Join(u); len(l) > 0 {
			n.proposeMoves(o.Name, s.Name, l)
			return
		}
	}
}

// upstreams returns the upstreams of a service for the planner. Those that a live
// instance reports as unavailable are closed.
func (n *Node) upstreams(organisation string, s *config.Service) []shard.Upstream {
	live := n.peers.Live()
	l := make([]shard.Upstream, 0, len(s.Upstreams))
	for _, u := range s.Upstreams {
		k := route.HomeKey(organisation, s.Name, u.Name)
		h := n.home(k)
		l = append(l, shard.Upstream{
			Name: u.Name, Region: u.Region, FailureDomain: u.FailureDomain, Weight: float64(u.Slots),
			Closed: n.heartbeats.reportedUnavailable(k, live) || h != nil && h.Unavailable(),
		})
	}
	return l
}

// state returns the shard map and the upstreams of a service.
func (n *Node) state(organisation string, s *config.Service) shard.State {
	return shard.State{Map: n.dir.Map(organisation, s.Name), Upstreams: n.upstreams(organisation, s)}
}

// evacuationTargets returns moves of all shards of an upstream to other ones. It
// returns an error if the service isn't configured, or that of the planner.
func (n *Node) evacuationTargets(organisation, service, upstream string) ([]shard.Move, error) {
	o := n.dir.Organisation(organisation)
	if o == nil || o.Service(service) == nil {
		return nil, errors.Newf("service %s/%s is not configured", organisation, service)
	}
	x := n.state(organisation, o.Service(service))
	for i := range x.Upstreams {
		if x.Upstreams[i].Name == upstream {
			x.Upstreams[i].Closed = true
		}
	}
	return x.Evacuate(upstream)
}

// assignInitialOwners commits the first owners of the shards of a service.
func (n *Node) assignInitialOwners(o *config.Organisation, s *config.Service) {
	l, err := shard.Initial(s.ShardCount, n.upstreams(o.Name, s))
	if err != nil {
		n.events.Record("assignment-failed", o.Name+"/"+s.Name, event.Err(err))
		return
	}
	t := table.Txn{ID: table.NewTxnID()}
	for _, b := range l {
		v, err := proto.Marshal(b.Row())
		if err != nil {
			n.log.Error().Err(err).Msg("failed to encode block row")
			return
		}
		t.Puts = append(t.Puts, table.Put{Key: route.BlockKey(o.Name, s.Name, b.Number()), Value: v})
	}
	c, f := context.WithTimeout(n.ctx, planTimeout)
	defer f()
	if err := table.Settle(c, n.store, t); err != nil {
		n.events.Record("assignment-failed", o.Name+"/"+s.Name, event.Err(err))
		return
	}
	n.events.Record("assignment-committed", o.Name+"/"+s.Name, event.Uint("shards", s.ShardCount))
	n.announce(t.Rows())
}

// proposeMoves asks the homes of the current owners to move shards.
func (n *Node) proposeMoves(organisation, service string, l []shard.Move) {
	requests := make(map[string]*schema.MoveRequest)
	for _, m := range l {
		r := requests[m.From]
		if r == nil {
			r = &schema.MoveRequest{Organisation: organisation, Service: service, From: m.From}
			requests[m.From] = r
		}
		r.Targets = append(r.Targets, &schema.ShardTarget{Shard: uint32(m.Shard), Upstream: m.To})
	}
	for _, r := range requests {
		n.sendProposal(r)
	}
}

// sendProposal sends a proposal to the home of the upstream that it names, on this
// instance or another one.
func (n *Node) sendProposal(r *schema.MoveRequest) {
	if h := n.home(route.HomeKey(r.GetOrganisation(), r.GetService(), r.GetFrom())); h != nil {
		h.Move(r)
		return
	}
	a, ok := n.homeAddress(r.GetOrganisation(), r.GetService(), r.GetFrom())
	if !ok {
		return
	}
	c, f := context.WithTimeout(n.ctx, planTimeout)
	defer f()
	if err := n.pool.Call(c, a, "Home.Move", r, &schema.Empty{}); err != nil {
		n.events.Record("proposal-failed", r.GetOrganisation()+"/"+r.GetService(), event.Err(err))
	}
}

// homeAddress returns the RPC address of the instance that holds the home of an
// upstream, and false if there is none or its address isn't known.
func (n *Node) homeAddress(organisation, service, upstream string) (string, bool) {
	h, ok := n.dir.Home(organisation, service, upstream)
	if !ok || h.Released {
		return "", false
	}
	i, ok := n.dir.Instance(h.Instance)
	return i.RPCAddress, ok
}

// Home serves calls of other instances about homes: proposals and load requests
// of planners, and handovers.
type Home struct{ n *Node }

// Move passes the proposal of a planner to the home. It returns an error if the
// home doesn't run on this instance.
func (h *Home) Move(m *schema.MoveRequest, _ *schema.Empty) error {
	x := h.n.home(route.HomeKey(m.GetOrganisation(), m.GetService(), m.GetFrom()))
	if x == nil {
		return errors.Newf("home of upstream %s does not run on this instance", m.GetFrom())
	}
	x.Move(m)
	return nil
}

// Load returns the loads of the upstreams of a service whose homes run on this
// instance.
func (h *Home) Load(m *schema.LoadRequest, r *schema.LoadReply) error {
	for k, x := range *h.n.homes.Load() {
		y, err := route.ParseKey(k)
		if err == nil && y.Organisation == m.GetOrganisation() && y.Service == m.GetService() {
			r.Upstreams = append(r.Upstreams, x.Load())
		}
	}
	slices.SortFunc(r.Upstreams, func(a, b *schema.UpstreamLoad) int {
		return strings.Compare(a.GetUpstream(), b.GetUpstream())
	})
	return nil
}

// Handover takes over a home whose holder has ended its term.
func (h *Home) Handover(m *schema.HandoverRequest, _ *schema.Empty) error {
	return h.n.acceptHandover(table.Key(m.GetKey()), table.Version(m.GetVersion()))
}
