package router

import (
	"context"
	"maps"
	"time"

	"dandelionrock.example/dandelionrock/clock"
	"dandelionrock.example/dandelionrock/internal/gate/depot"
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
	// registerTimeout bounds a write or removal of an instance's row.
	registerTimeout = 2 * time.Second
	// probeInterval is the time between probes of suspected instances.
	probeInterval = 500 * time.Millisecond
	probeTimeout  = 400 * time.Millisecond
	// deleteRowAfter is the time after which the row of an instance that does
	// not answer is removed. The instance writes it again if it still runs.
	deleteRowAfter = 15 * time.Second
	// loadInterval is the time between reports of the load of keys.
	loadInterval = time.Second
	loadTimeout  = 500 * time.Millisecond
)

// gate handles the calls of other instances.
type gate struct{ n *Instance }

// Send executes a request. An instance that is shutting down refuses it, since
// it could end before the answer arrives, and one that has just started because it
// may not know the target yet. One without memory for it refuses it as well.
func (g *gate) Send(q *schema.SendRequest, a *schema.SendReply) (err error) {
	defer g.n.guard.Recover("send", &err)
	return g.send(q, a, int64(len(q.Body)))
}

// send is like Send for a request of whose body the given number of bytes is not counted
// yet.
func (g *gate) send(q *schema.SendRequest, a *schema.SendReply, body int64) error {
	if r := g.n.unavailable(); r != "" {
		a.Outcome, a.Reason = schema.SendOutcome_SEND_OUTCOME_REFUSED, r
		return nil
	}
	size := sizeOf(q) + body
	if g.n.bodies.Admit(size) != nil {
		a.Outcome, a.Reason, a.RetryMs = schema.SendOutcome_SEND_OUTCOME_REFUSED, reasonMemoryFull, retryAfterMemoryFull.Milliseconds()
		return nil
	}
	defer g.n.bodies.Hold(-size)
	err := g.n.homes.Send(q, a)
	g.n.bodies.Hold(int64(cap(a.Body)))
	return err
}

// unavailable returns the reason why this instance is not to be a home for other
// instances, or "".
func (n *Instance) unavailable() string {
	switch {
	case n.leaving.Load():
		return group.ReasonLeaving
	case n.starting():
		return group.ReasonStarting
	}
	return ""
}

// starting reports whether this instance has just started and may not know all targets
// yet, or requests that the others refuse.
func (n *Instance) starting() bool { return !n.syncer.KnowsTargets() || !n.warden.Learned() }

// Withdraw cancels a request whose client has disconnected.
func (g *gate) Withdraw(q *schema.WithdrawRequest, a *schema.Empty) (err error) {
	defer g.n.guard.Recover("withdraw", &err)
	if err := g.n.shelf.Drop(depot.Key{Entry: q.Entry, Call: q.Call}); err != nil {
		return err
	}
	return g.n.homes.Withdraw(q, a)
}

// Unqueue refuses a request that waits here.
func (g *gate) Unqueue(q *schema.WithdrawRequest, a *schema.Empty) (err error) {
	defer g.n.guard.Recover("unqueue", &err)
	return g.n.homes.Unqueue(q, a)
}

// Keys receives changes of the owners of keys.
func (g *gate) Keys(q *schema.KeysRequest, _ *schema.Empty) (err error) {
	defer g.n.guard.Recover("keys", &err)
	g.n.owners.Update(clock.Boot(), q)
	return nil
}

// storeLostAge is the age of the copy of the targets above which an instance
// reports that it has lost the store, so that others take over as keepers.
const storeLostAge = 4 * time.Second

// Ping returns the incarnation of the instance, whether it is shutting down or
// has lost the store, and whether it is the keeper of the service in the
// request. A higher epoch in the request makes it step down.
func (g *gate) Ping(q *schema.PingRequest, a *schema.PingReply) (err error) {
	defer g.n.guard.Recover("ping", &err)
	a.Incarnation, a.Leaving, a.Starting = g.n.self.Incarnation, g.n.leaving.Load(), g.n.starting()
	a.StoreLost = g.n.syncer.Age() > storeLostAge
	// A keeper that is busy must not hold up the other duties, which need mu.
	g.n.mu.Lock()
	keepers := maps.Clone(g.n.keepers)
	g.n.mu.Unlock()
	for _, k := range keepers {
		a.StoreLost = a.StoreLost || k.StoreLost(clock.Boot())
	}
	if q.Service != "" {
		k := keepers[q.Service]
		a.Keeps = k != nil && !k.StepDown(q.Epoch)
	}
	return nil
}

// Crash receives the report of a target that has crashed.
func (g *gate) Crash(q *schema.CrashReport, a *schema.CrashReply) (err error) {
	defer g.n.guard.Recover("crash", &err)
	g.n.warden.Report(q, a)
	return nil
}

// Answered tells whether a target has answered a request.
func (g *gate) Answered(q *schema.AnsweredRequest, a *schema.AnsweredReply) (err error) {
	defer g.n.guard.Recover("answered", &err)
	g.n.warden.HasAnswered(q, a)
	return nil
}

// Acquit receives the acquittal of a request.
func (g *gate) Acquit(q *schema.AnsweredRequest, _ *schema.Empty) (err error) {
	defer g.n.guard.Recover("acquit", &err)
	g.n.warden.Acquit(q)
	return nil
}

// Hazards tells what this instance knows of requests that crash targets.
func (g *gate) Hazards(_ *schema.Empty, a *schema.HazardsReply) (err error) {
	defer g.n.guard.Recover("hazards", &err)
	g.n.warden.Hazards(a)
	return nil
}

// Ban receives the ban of a request.
func (g *gate) Ban(q *schema.Ban, _ *schema.Empty) (err error) {
	defer g.n.guard.Recover("ban", &err)
	g.n.warden.Import([]*schema.Ban{q})
	return nil
}

// targetLeaves records that a run of a target has said to this instance that it leaves,
// and tells the others.
func (n *Instance) targetLeaves(id string, born int64) {
	if n.syncer.TargetLeaves(id, born) {
		n.herald.Tell("Gate.Leaving", func() proto.Message { return &schema.LeavingNotice{Target: id, Born: born} })
	}
}

// Leaving receives the notice of a target that leaves.
func (g *gate) Leaving(q *schema.LeavingNotice, _ *schema.Empty) (err error) {
	defer g.n.guard.Recover("leaving", &err)
	g.n.syncer.TargetLeaves(q.Target, q.Born)
	return nil
}

// Load receives counts of requests for keys.
func (g *gate) Load(q *schema.KeyLoadRequest, _ *schema.Empty) (err error) {
	defer g.n.guard.Recover("load", &err)
	g.n.mu.Lock()
	k := g.n.keepers[q.Service]
	g.n.mu.Unlock()
	if k != nil {
		k.AddLoad(clock.Boot(), q)
	}
	return nil
}

// weight returns the share of the work that the instance takes, relative to others.
func (n *Instance) weight() float64 {
	s := n.inForce.Load()
	return s.Processor * s.Link
}

// register writes the instance's row to the directory, and again if it is missing
// or the instance's weight has changed.
func (n *Instance) register(c context.Context) {
	n.writeRow(c)
	clock.Every(c, registerInterval, func() {
		v := n.syncer.View()
		i, _ := v.Instance(n.self.ID)
		if n.leaving.Load() || i.Incarnation == n.self.Incarnation && i.Weight == n.weight() {
			return
		}
		n.writeRow(c)
	})
}

func (n *Instance) writeRow(c context.Context) {
	c, stop := context.WithTimeout(c, registerTimeout)
	defer stop()
	m := &schema.InstanceRow{InstanceId: n.self.ID, Incarnation: n.self.Incarnation, RpcAddress: n.self.RPCAddress, Region: n.self.Region, FailureDomain: n.self.FailureDomain, Weight: n.weight()}
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
	n.syncer.Learn(key, b, r.Version)
}

// deregister removes the instance's row in the background.
func (n *Instance) deregister() {
	n.group.Go(func() { n.guard.Once("register", func() { n.deleteRow(n.self.ID) }) })
}

func (n *Instance) deleteRow(id string) {
	c, stop := context.WithTimeout(context.Background(), registerTimeout)
	defer stop()
	w := platform.Write{Delete: []platform.Row{{Table: platform.TableOwn, Key: view.PrefixInstance + id}}}
	if _, err := n.store.Commit(c, w); err != nil {
		n.log.Warn().Str("event", "forget-failed").Str("instance-forgotten", id).Err(err).Msg("")
		return
	}
	n.log.Info().Str("event", "instance-forgotten").Str("instance-forgotten", id).Msg("")
}

// followView applies each change of the view until c ends, and then closes the
// keepers.
func (n *Instance) followView(c context.Context) {
	for c.Err() == nil {
		changed := n.syncer.Changed()
		n.applyView(n.syncer.View())
		select {
		case <-changed:
		case <-c.Done():
		}
	}
	n.stopKeepers()
}

func (n *Instance) applyView(v *view.View) {
	n.meter.SetEra(uint64(n.syncer.OwnEra()))
	n.homes.FollowView(v)
	for s, m := range v.Maps {
		n.owners.Adopt(s, m.Epoch, m.Ranges)
	}
	n.connections.Keep(func(p sender.Target) bool {
		t := v.Targets[p.ID]
		return t != nil && t.Born == p.Born && t.Address == p.Address && t.Open()
	})
	if v.Desired == nil {
		return
	}
	n.meter.SetConfiguration(v.Desired.Version)
	n.warnOfBodies()
	n.mu.Lock()
	defer n.mu.Unlock()
	for s, d := range v.Desired.Services {
		if d.Keyed && n.keepers[s] == nil {
			n.keepers[s] = keeper.New(keeper.Options{
				Service: s, Self: n.self, Syncer: n.syncer, Store: n.store, Granter: n.granter, Pool: n.pool, Alive: n.alive,
				Owners: n.owners, Log: n.log, MaxHold: n.settings.MaxHold, Region: n.entry.Region, Leaving: n.leaving.Load, Guard: n.guard, Meter: n.meter,
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

// probe asks suspected instances periodically whether they answer again.
func (n *Instance) probe(c context.Context) {
	clock.Every(c, probeInterval, func() {
		v := n.syncer.View()
		suspects := n.alive.Suspects(v)
		n.mu.Lock()
		old := n.suspectedSince
		n.suspectedSince = map[string]time.Time{}
		for _, i := range suspects {
			since, ok := old[i.ID]
			if !ok {
				since = time.Now()
			}
			n.suspectedSince[i.ID] = since
		}
		n.mu.Unlock()
		for _, i := range suspects {
			n.group.Go(func() { n.guard.Once("probe", func() { n.probeOne(c, v, i) }) })
		}
	})
}

func (n *Instance) probeOne(c context.Context, v *view.View, i peer.Instance) {
	c, stop := context.WithTimeout(c, probeTimeout)
	defer stop()
	var a schema.PingReply
	err := n.pool.Call(c, i.RPCAddress, "Gate.Ping", &schema.PingRequest{InstanceId: n.self.ID}, &a)
	if err == nil && a.Incarnation == i.Incarnation && !a.Leaving && !a.Starting {
		if n.alive.Clear(i.ID) {
			n.log.Info().Str("event", "instance-regained").Str("peer", i.ID).Msg("")
		}
		return
	}
	if errors.Is(c.Err(), context.Canceled) {
		return
	}
	n.mu.Lock()
	since, ok := n.suspectedSince[i.ID]
	delete(n.suspectedSince, i.ID)
	n.suspectedSince[i.ID] = since
	n.mu.Unlock()
	first := n.alive.Nearest(v, "directory", peer.Place{})
	if ok && time.Since(since) > deleteRowAfter && len(first) > 0 && first[0].ID == n.self.ID {
		n.deleteRow(i.ID)
	}
}

// reportLoads sends the counts of requests to the keepers.
func (n *Instance) reportLoads(c context.Context) {
	clock.Every(c, loadInterval, func() {
		v := n.syncer.View()
		for s, m := range v.Maps {
			q := n.entry.TakeCounts(s)
			if len(q.Keys) == 0 && len(q.Targets) == 0 {
				continue
			}
			n.reportLoad(c, v, m.Keeper, q)
		}
	})
}

func (n *Instance) reportLoad(c context.Context, v *view.View, keeperID string, q *schema.KeyLoadRequest) {
	if keeperID == n.self.ID {
		_ = (&gate{n}).Load(q, nil)
		return
	}
	i, ok := v.Instance(keeperID)
	if !ok || n.alive.Suspected(i) {
		return
	}
	c, stop := context.WithTimeout(c, loadTimeout)
	defer stop()
	if err := n.pool.Call(c, i.RPCAddress, "Gate.Load", q, &schema.Empty{}); err != nil {
		n.log.Debug().Str("event", "load-report-failed").Str("peer", keeperID).Err(err).Msg("")
	}
}
