package node

import (
	"context"
	"sync"
	"time"

	"dandelionrock.example/dandelionrock/config"
	"dandelionrock.example/dandelionrock/event"
	"dandelionrock.example/dandelionrock/peer"
	"dandelionrock.example/dandelionrock/schema"
	"dandelionrock.example/dandelionrock/shard"
)

const (
	// balanceInterval is how often the planner of a service collects its loads.
	balanceInterval = time.Second
	// minBalancedRate is the rate of a service, in requests per second, below
	// which it isn't balanced, because the rates of its shards are mostly noise.
	minBalancedRate = 50
)

// balanceServices balances the load of each service that this instance plans
// for.
func (n *Node) balanceServices() {
	if !n.mayCoordinate() {
		return
	}
	live := n.peers.Live()
	for _, o := range n.dir.Organisations() {
		for _, s := range o.Services {
			k := o.Name + "/" + s.Name
			p, ok := peer.Assignee(k, live)
			if !ok || p.ID != n.self.ID || s.RebalanceAbove == 0 {
				delete(n.balancers, k)
				continue
			}
			n.balanceService(o, s, k)
		}
	}
}

// balanceService asks the balancer of a service for a plan and proposes it to
// the homes.
func (n *Node) balanceService(o *config.Organisation, s *config.Service, k string) {
	b := n.balancers[k]
	if b == nil {
		b = &shard.Balancer{}
		n.balancers[k] = b
	}
	b.Policy.Above = s.RebalanceAbove
	x := n.state(o.Name, s)
	if x.Map == nil || !x.Map.Complete() || !n.addLoads(&x, o.Name, s.Name) {
		return
	}
	p := b.Propose(now(), x)
	if len(p.Splits)+len(p.Moves)+len(p.Merges) == 0 {
		return
	}
	n.events.Record("rebalance-proposed", k, event.Int("splits", len(p.Splits)), event.Int("moves", len(p.Moves)),
		event.Int("merges", len(p.Merges)), event.Float("before", p.Before), event.Float("after", p.After))
	n.proposePlan(o.Name, s.Name, x.Map, p)
}

// addLoads adds the loads that the homes of a service report to x. It returns
// whether their total rate reaches minBalancedRate.
func (n *Node) addLoads(x *shard.State, organisation, service string) bool {
	x.Rates = make(map[shard.ID]float64)
	total := 0.0
	for _, u := range n.serviceLoads(organisation, service) {
		total += u.GetRate()
		for i, r := range u.GetShardRates() {
			x.Rates[shard.ID(i)] += r
		}
		for _, k := range u.GetHotKeys() {
			x.Hot = append(x.Hot, shard.HotKey{Key: k.GetKey(), Rate: k.GetRate()})
		}
	}
	return total >= minBalancedRate
}

// serviceLoads collects the loads of a service from all instances that hold one
// of its homes. Instances that don't answer are left out.
func (n *Node) serviceLoads(organisation, service string) []*schema.UpstreamLoad {
	q := &schema.LoadRequest{Organisation: organisation, Service: service}
	asked := map[string]bool{}
	var mu sync.Mutex
	var w sync.WaitGroup
	var l []*schema.UpstreamLoad
	for _, h := range n.dir.Homes(organisation, service) {
		if asked[h.Instance] || h.Released {
			continue
		}
		asked[h.Instance] = true
		w.Go(func() {
			r := n.instanceLoad(h.Instance, q)
			mu.Lock()
			defer mu.Unlock()
			l = append(l, r.GetUpstreams()...)
		})
	}
	w.Wait()
	return l
}

// instanceLoad returns the load that an instance reports for a service, empty if
// the call fails.
func (n *Node) instanceLoad(instance string, q *schema.LoadRequest) *schema.LoadReply {
	r := &schema.LoadReply{}
	if instance == n.self.ID {
		_ = (&Home{n}).Load(q, r)
		return r
	}
	i, ok := n.dir.Instance(instance)
	if !ok {
		return r
	}
	c, f := context.WithTimeout(n.ctx, planTimeout)
	defer f()
	if err := n.pool.Call(c, i.RPCAddress, "Home.Load", q, r); err != nil {
		return &schema.LoadReply{}
	}
	return r
}

// proposePlan sends the moves, splits and merges of a plan to the homes of the
// current owners.
func (n *Node) proposePlan(organisation, service string, m *shard.Map, p shard.Plan) {
	n.proposeMoves(organisation, service, p.Moves)
	requests := make(map[string]*schema.MoveRequest)
	requestFor := func(owner string) *schema.MoveRequest {
		r := requests[owner]
		if r == nil {
			r = &schema.MoveRequest{Organisation: organisation, Service: service, From: owner}
			requests[owner] = r
		}
		return r
	}
	for _, k := range p.Splits {
		_, owner, _ := m.Find(k.Key)
		r := requestFor(owner)
		r.SplitKeys = append(r.SplitKeys, k.Key)
	}
	for _, k := range p.Merges {
		_, owner, _ := m.FindHash(k)
		r := requestFor(owner)
		r.MergeHashes = append(r.MergeHashes, uint64(k))
	}
	for _, r := range requests {
		n.sendProposal(r)
	}
}
