package router

import (
	"context"
	"time"

	"dandelionrock.example/dandelionrock/clock"
	"dandelionrock.example/dandelionrock/internal/gate/group"
	"dandelionrock.example/dandelionrock/internal/gate/keeper"
	"dandelionrock.example/dandelionrock/internal/gate/sender"
	"dandelionrock.example/dandelionrock/internal/state/view"
	"dandelionrock.example/dandelionrock/peer"
	"dandelionrock.example/dandelionrock/platform"
	"dandelionrock.example/dandelionrock/schema"
	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"
)

const (
	// registerInterval is the time between checks of the instance's own row.
	registerInterval = 500 * time.Millisecond
	// registerTimeout bounds a write of it.
	registerTimeout = 2 * time.Second
	// probeInterval is the time between questions to suspected instances.
	probeInterval = 500 * time.Millisecond
	probeTimeout  = 400 * time.Millisecond
	// forgetAfter is the time after which the row of a silent instance is
	// removed; the instance writes it again if it lives.
	forgetAfter = 15 * time.Second
	// loadInterval is the time between reports of the load of keys.
	loadInterval = time.Second
	loadTimeout  = 500 * time.Millisecond
)

// gate receives the calls of other instances.
type gate struct{ n *Instance }

// Send executes a request. A leaving instance takes none: it could end before
// the answer has come.
func (g *gate) Send(q *schema.SendRequest, a *schema.SendReply) error {
	if g.n.leaving.Load() {
		a.Outcome, a.Reason = schema.SendOutcome_SEND_OUTCOME_REFUSED, group.ReasonLeaving
		return nil
	}
	return g.n.homes.Send(q, a)
}

// Withdraw ends a request whose client has gone.
func (g *gate) Withdraw(q *schema.WithdrawRequest, a *schema.Empty) error {
	return g.n.homes.Withdraw(q, a)
}

// Keys takes news of the owners of keys.
func (g *gate) Keys(q *schema.KeysRequest, _ *schema.Empty) error {
	g.n.owners.Update(clock.Boot(), q)
	return nil
}

// storeLost is the age of the copies after which an instance lets others take
// over its duties at the store.
const storeLost = 4 * time.Second

// Ping tells which run of the instance answers, and whether others should take
// over its duties.
func (g *gate) Ping(q *schema.PingRequest, a *schema.PingReply) error {
	a.Incarnation, a.Leaving = g.n.self.Incarnation, g.n.leaving.Load()
	a.StoreLost = g.n.spread.Age() > storeLost
	g.n.mu.Lock()
	defer g.n.mu.Unlock()
	for _, k := range g.n.keepers {
		a.StoreLost = a.StoreLost || k.Denied(clock.Boot())
	}
	if q.Service != "" {
		k := g.n.keepers[q.Service]
		a.Keeps = k != nil && !k.Yield(q.Epoch)
	}
	return nil
}

// Load takes counts of requests for keys.
func (g *gate) Load(q *schema.KeyLoadRequest, _ *schema.Empty) error {
	g.n.mu.Lock()
	k := g.n.keepers[q.Service]
	g.n.mu.Unlock()
	if k != nil {
		k.Count(clock.Boot(), q)
	}
	return nil
}

// register keeps the instance's row in the directory.
func (n *Instance) register(c context.Context) {
	n.writeRow(c)
	clock.Every(c, registerInterval, func() {
		if n.leaving.Load() || n.spread.View().Incarnations[n.self.ID] == n.self.Incarnation {
			return
		}
		n.writeRow(c)
	})
}

func (n *Instance) writeRow(c context.Context) {
	c, stop := context.WithTimeout(c, registerTimeout)
	defer stop()
	m := &schema.InstanceRow{InstanceId: n.self.ID, Incarnation: n.self.Incarnation, RpcAddress: n.self.RPCAddress, Region: n.self.Region, FailureDomain: n.self.FailureDomain, Weight: n.settings.Processor * n.settings.Link}
	b, err := proto.Marshal(m)
	if err != nil {
		n.log.Error().Str("event", "register-failed").Err(err).Msg("")
		return
	}
	key := view.PrefixInstance + n.self.ID
	r, err := n.store.Commit(c, platform.Write{Put: []platform.Row{{Table: platform.TableOwn, Key: key, Value: b}}})
	if err != nil {
		n.log.Warn().Str("event", "register-failed").Err(err).Msg("")
		return
	}
	n.spread.Learn(key, b, r.Version)
}

// deregister removes the instance's row, in the background.
func (n *Instance) deregister() {
	n.group.Go(func() { n.forget(n.self.ID) })
}

func (n *Instance) forget(id string) {
	c, stop := context.WithTimeout(context.Background(), registerTimeout)
	defer stop()
	w := platform.Write{Delete: []platform.Row{{Table: platform.TableOwn, Key: view.PrefixInstance + id}}}
	if _, err := n.store.Commit(c, w); err != nil {
		n.log.Warn().Str("event", "forget-failed").Str("instance-forgotten", id).Err(err).Msg("")
		return
	}
	n.log.Info().Str("event", "instance-forgotten").Str("instance-forgotten", id).Msg("")
}

// follow adapts to changes of the view.
func (n *Instance) follow(c context.Context) {
	for c.Err() == nil {
		changed := n.spread.Changed()
		n.adopt(n.spread.View())
		select {
		case <-changed:
		case <-c.Done():
		}
	}
	n.stopKeepers()
}

func (n *Instance) adopt(v *view.View) {
	for s, m := range v.Maps {
		n.owners.Adopt(s, m.Epoch, m.Ranges)
	}
	n.lines.Keep(func(p sender.Target) bool {
		t := v.Targets[p.ID]
		return t != nil && t.Born == p.Born && t.Address == p.Address && !t.Leaving
	})
	if v.Desired == nil {
		return
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	for s, d := range v.Desired.Services {
		if d.Keyed && n.keepers[s] == nil {
			n.keepers[s] = keeper.New(keeper.Options{
				Service: s, Self: n.self, Spread: n.spread, Store: n.store, Granter: n.granter, Pool: n.pool, Alive: n.alive,
				Owners: n.owners, Log: n.log, MaxHold: n.settings.MaxHold, Leaving: n.leaving.Load,
			})
		}
	}
}

func (n *Instance) stopKeepers() {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, k := range n.keepers {
		if err := k.Close(); err != nil {
			n.log.Warn().Str("event", "keeper-close-failed").Err(err).Msg("")
		}
	}
}

// probe asks suspected instances whether they answer again.
func (n *Instance) probe(c context.Context) {
	clock.Every(c, probeInterval, func() {
		v := n.spread.View()
		suspects := n.alive.Suspects(v)
		n.mu.Lock()
		old := n.suspected
		n.suspected = map[string]time.Time{}
		for _, i := range suspects {
			since, ok := old[i.ID]
			if !ok {
				since = time.Now()
			}
			n.suspected[i.ID] = since
		}
		n.mu.Unlock()
		for _, i := range suspects {
			n.group.Go(func() { n.probeOne(c, v, i) })
		}
	})
}

func (n *Instance) probeOne(c context.Context, v *view.View, i peer.Instance) {
	c, stop := context.WithTimeout(c, probeTimeout)
	defer stop()
	var a schema.PingReply
	err := n.pool.Call(c, i.RPCAddress, "Gate.Ping", &schema.PingRequest{InstanceId: n.self.ID}, &a)
	if err == nil && a.Incarnation == i.Incarnation && !a.Leaving {
		if n.alive.Clear(i.ID) {
			n.log.Info().Str("event", "instance-regained").Str("peer", i.ID).Msg("")
		}
		return
	}
	if errors.Is(c.Err(), context.Canceled) {
		return
	}
	n.mu.Lock()
	since, ok := n.suspected[i.ID]
	delete(n.suspected, i.ID)
	n.suspected[i.ID] = since
	n.mu.Unlock()
	first := n.alive.Nearest(v, "directory", peer.Place{})
	if ok && time.Since(since) > forgetAfter && len(first) > 0 && first[0].ID == n.self.ID {
		n.forget(i.ID)
	}
}

// reportLoads tells the keepers how busy the keys are.
func (n *Instance) reportLoads(c context.Context) {
	clock.Every(c, loadInterval, func() {
		v := n.spread.View()
		for s, m := range v.Maps {
			q := n.entry.TakeCounts(s)
			if len(q.Keys) == 0 && len(q.Targets) == 0 {
				continue
			}
			n.reportLoad(c, v, m.Keeper, q)
		}
	})
}

func (n *Instance) reportLoad(c context.Context, v *view.View, keeper string, q *schema.KeyLoadRequest) {
	if keeper == n.self.ID {
		_ = (&gate{n}).Load(q, nil)
		return
	}
	i, ok := v.Instance(keeper)
	if !ok || n.alive.Suspected(i) {
		return
	}
	c, stop := context.WithTimeout(c, loadTimeout)
	defer stop()
	if err := n.pool.Call(c, i.RPCAddress, "Gate.Load", q, &schema.Empty{}); err != nil {
		n.log.Debug().Str("event", "load-report-failed").Str("peer", keeper).Err(err).Msg("")
	}
}
