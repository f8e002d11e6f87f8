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
	// planInterval is how often the planner of a service looks at it.
	planInterval = 200 * time.Millisecond
	// planTimeout bounds one call or commit of the planner.
	planTimeout = 2 * time.Second
)

// plan looks at each service whose planner this instance is.
func (n *Node) plan() {
	if !n.mayTake() {
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

func (n *Node) planService(o *config.Organisation, s *config.Service) {
	m := n.dir.Map(o.Name, s.Name)
	if m == nil {
		return
	}
	if !m.Complete() {
		n.assign(o, s)
		return
	}
	x := n.state(o.Name, s)
	for _, u := range x.Idle() {
		if l := x.Join(u); len(l) > 0 {
			n.propose(o.Name, s.Name, l)
			return
		}
	}
}

// upstreams returns the upstreams of a service as the planner sees them.
func (n *Node) upstreams(organisation string, s *config.Service) []shard.Upstream {
	live := n.peers.Live()
	l := make([]shard.Upstream, 0, len(s.Upstreams))
	for _, u := range s.Upstreams {
		k := route.HomeKey(organisation, s.Name, u.Name)
		h := n.home(k)
		l = append(l, shard.Upstream{
			Name: u.Name, Region: u.Region, FailureDomain: u.FailureDomain, Weight: float64(u.Slots),
			Closed: n.views.avoided(k, live) || h != nil && h.Unavailable(),
		})
	}
	return l
}

// state returns what the planner knows of a service.
func (n *Node) state(organisation string, s *config.Service) shard.State {
	return shard.State{Map: n.dir.Map(organisation, s.Name), Upstreams: n.upstreams(organisation, s)}
}

// targets proposes new owners for the shards of an upstream.
func (n *Node) targets(organisation, service, upstream string) ([]shard.Move, error) {
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

// assign commits the first owners of the shards of a service.
func (n *Node) assign(o *config.Organisation, s *config.Service) {
	l, err := shard.Initial(s.ShardCount, n.upstreams(o.Name, s))
	if err != nil {
		n.events.Record("assignment-failed", o.Name+"/"+s.Name, event.Err(err))
		return
	}
	t := table.Txn{ID: table.NewTxnID()}
	for _, b := range l {
		v, err := proto.Marshal(b.Row())
		if err != nil {
			n.log.Error().Err(err).Msg("block row can't be encoded")
			return
		}
		t.Puts = append(t.Puts, table.Put{Key: route.BlockKey(o.Name, s.Name, b.Number()), Value: v})
	}
	c, f := context.WithTimeout(n.life, planTimeout)
	defer f()
	if err := table.Settle(c, n.store, t); err != nil {
		n.events.Record("assignment-failed", o.Name+"/"+s.Name, event.Err(err))
		return
	}
	n.events.Record("assignment-committed", o.Name+"/"+s.Name, event.Uint("shards", s.ShardCount))
	n.announce(t.Rows())
}

// propose asks the homes of the present owners to move shards.
func (n *Node) propose(organisation, service string, l []shard.Move) {
	by := make(map[string]*schema.MoveRequest)
	for _, m := range l {
		r := by[m.From]
		if r == nil {
			r = &schema.MoveRequest{Organisation: organisation, Service: service, From: m.From}
			by[m.From] = r
		}
		r.Targets = append(r.Targets, &schema.ShardTarget{Shard: uint32(m.Shard), Upstream: m.To})
	}
	for _, r := range by {
		n.ask(r)
	}
}

// ask sends a proposal to the home that it concerns.
func (n *Node) ask(r *schema.MoveRequest) {
	if h := n.home(route.HomeKey(r.GetOrganisation(), r.GetService(), r.GetFrom())); h != nil {
		h.Move(r)
		return
	}
	a, ok := n.homeAddress(r.GetOrganisation(), r.GetService(), r.GetFrom())
	if !ok {
		return
	}
	c, f := context.WithTimeout(n.life, planTimeout)
	defer f()
	if err := n.pool.Call(c, a, "Home.Move", r, &schema.Empty{}); err != nil {
		n.events.Record("proposal-failed", r.GetOrganisation()+"/"+r.GetService(), event.Err(err))
	}
}

// homeAddress returns where the home of an upstream is reached.
func (n *Node) homeAddress(organisation, service, upstream string) (string, bool) {
	h, ok := n.dir.Home(organisation, service, upstream)
	if !ok || h.Released {
		return "", false
	}
	i, ok := n.dir.Instance(h.Instance)
	return i.RPCAddress, ok
}

// Home serves the calls of planners and of leaving homes.
type Home struct{ n *Node }

// Move takes a proposal of a planner.
func (h *Home) Move(m *schema.MoveRequest, _ *schema.Empty) error {
	x := h.n.home(route.HomeKey(m.GetOrganisation(), m.GetService(), m.GetFrom()))
	if x == nil {
		return errors.Newf("home of %s is not here", m.GetFrom())
	}
	x.Move(m)
	return nil
}

// Load reports the load of the upstreams of a service whose home is here.
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

// Handover takes a home over whose holder acts no more.
func (h *Home) Handover(m *schema.HandoverRequest, _ *schema.Empty) error {
	return h.n.takeHandover(table.Key(m.GetKey()), table.Version(m.GetVersion()))
}
