package node

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"

	"dandelionrock.example/dandelionrock/clock"
	"dandelionrock.example/dandelionrock/config"
	"dandelionrock.example/dandelionrock/event"
	"dandelionrock.example/dandelionrock/fence"
	"dandelionrock.example/dandelionrock/internal/home"
	"dandelionrock.example/dandelionrock/lease"
	"dandelionrock.example/dandelionrock/peer"
	"dandelionrock.example/dandelionrock/route"
	"dandelionrock.example/dandelionrock/schema"
	"dandelionrock.example/dandelionrock/shard"
	"dandelionrock.example/dandelionrock/table"
)

const (
	// takeInterval is how often an instance looks for homes to take over, apart
	// from changes that wake it.
	takeInterval = 100 * time.Millisecond
	// takeTimeout bounds one takeover, after which its outcome is looked up in
	// the table again.
	takeTimeout = 3 * time.Second
	// probeTimeout bounds the question whether others hear a suspect.
	probeTimeout = 150 * time.Millisecond
	// takePause separates the takeovers of one home, so that a failing store
	// isn't flooded.
	takePause = 250 * time.Millisecond
	// probePause separates two probes for one home. The others may hear the last
	// heartbeat of a lost instance slightly later.
	probePause = 50 * time.Millisecond
)

// takeLoop takes over homes until the instance ends.
func (n *Node) takeLoop() {
	t := time.NewTicker(takeInterval)
	defer t.Stop()
	for {
		select {
		case <-n.life.Done():
			return
		case <-t.C:
		case <-n.takes.signal:
		}
		n.dropSuperseded()
		if n.mayTake() {
			n.takeWanted()
		}
	}
}

// mayTake reports whether the instance knows enough of the others to take over:
// it has read the table and has listened for the suspicion time since it knew
// whom to listen to.
func (n *Node) mayTake() bool {
	l := n.listed.Load()
	return !n.leaving.Load() && n.polled.Load() && l != 0 &&
		now().Sub(clock.Time(l)) > n.s.SuspectAfter
}

// dropSuperseded ends the homes that another instance has taken over.
func (n *Node) dropSuperseded() {
	for k, h := range *n.homes.Load() {
		r, _ := n.dir.Row(k)
		if !h.Superseded() && r.Version <= h.Version() {
			continue
		}
		n.setHome(k, nil)
		n.events.Record("home-dropped", string(k), event.Uint("version", uint64(r.Version)))
		n.work.Go(func() { _ = h.Close() })
	}
}

// candidate is a home that may be taken over.
type candidate struct {
	key          table.Key
	organisation string
	service      *config.Service
	upstream     *config.Upstream
	// holder is the present holder; ok is whether there is one.
	holder route.Home
	ok     bool
	// stopped is whether the holder has stated that it acts no more.
	stopped bool
}

// takeWanted starts the takeovers that are due.
func (n *Node) takeWanted() {
	live := n.peers.Live()
	for _, o := range n.dir.Organisations() {
		for _, s := range o.Services {
			for _, u := range s.Upstreams {
				x := candidate{key: route.HomeKey(o.Name, s.Name, u.Name), organisation: o.Name, service: s, upstream: u}
				x.holder, x.ok = n.dir.Home(o.Name, s.Name, u.Name)
				n.consider(x, live)
			}
			for _, x := range n.orphans(o, s) {
				n.consider(x, live)
			}
		}
	}
}

// orphans returns the homes of upstreams that own shards though the
// configuration no longer lists them. Their addresses are not known, so that
// their shards move once all grants have expired.
func (n *Node) orphans(o *config.Organisation, s *config.Service) []candidate {
	m := n.dir.Map(o.Name, s.Name)
	if m == nil {
		return nil
	}
	var l []candidate
	seen := map[string]bool{}
	m.All(func(_ shard.ID, e shard.Entry) bool {
		if !seen[e.Upstream] && s.Upstream(e.Upstream) == nil {
			u := &config.Upstream{Name: e.Upstream, Slots: 1, Connections: 2, Fencing: config.FencingChecked}
			x := candidate{key: route.HomeKey(o.Name, s.Name, e.Upstream), organisation: o.Name, service: s, upstream: u}
			x.holder, x.ok = n.dir.Home(o.Name, s.Name, e.Upstream)
			l = append(l, x)
		}
		seen[e.Upstream] = true
		return true
	})
	return l
}

// consider takes the home over if its holder doesn't run and this instance is
// the successor.
func (n *Node) consider(x candidate, live []peer.Instance) {
	if n.home(x.key) != nil || n.held(x) {
		n.takes.settled(x.key)
		return
	}
	rank := -1
	for i, p := range peer.Successor(string(x.key), place(x.upstream), live) {
		if p.ID == n.self.ID {
			rank = i
		}
	}
	if rank < 0 || !n.takes.due(x.key, rank) || !n.takes.begin(x.key) {
		return
	}
	n.work.Go(func() {
		defer n.takes.end(x.key)
		if x.ok && !x.holder.Released && !n.confirmed(x.holder) {
			n.takes.putOff(x.key, probePause)
			return
		}
		x.stopped = n.takes.hasStopped(x.key, x.holder.Version)
		n.take(x)
	})
}

// held reports whether the holder of the home counts as alive.
func (n *Node) held(x candidate) bool {
	if !x.ok || x.holder.Released {
		return false
	}
	if x.holder.Instance == n.self.ID {
		// The home doesn't run here, so that the row is of an earlier run or of
		// a takeover whose outcome was not known.
		return false
	}
	n.peers.Expect(now(), x.holder.Instance, x.holder.Incarnation)
	return n.peers.Runs(now(), x.holder.Instance, x.holder.Incarnation)
}

// confirmed asks the other live instances whether they hear the holder of a
// home. An instance that is cut off from the holder alone must not take over.
func (n *Node) confirmed(x route.Home) bool {
	if x.Instance == n.self.ID {
		return true
	}
	var l []peer.Instance
	for _, p := range n.peers.Live() {
		if p.ID != n.self.ID && p.ID != x.Instance {
			l = append(l, p)
		}
	}
	var mu sync.Mutex
	var w sync.WaitGroup
	var answers []peer.Answer
	c, f := context.WithTimeout(n.life, probeTimeout)
	defer f()
	for _, p := range l {
		w.Go(func() {
			var r schema.ProbeReply
			if n.pool.Call(c, p.RPCAddress, "Peer.Probe", &schema.ProbeRequest{InstanceId: x.Instance}, &r) != nil {
				return
			}
			mu.Lock()
			defer mu.Unlock()
			answers = append(answers, peer.Answer{Hears: r.GetHears(), Incarnation: r.GetIncarnation()})
		})
	}
	w.Wait()
	return peer.Confirmed(x.Incarnation, len(l), answers)
}

// take commits the next term of a home for this instance and starts it.
func (n *Node) take(x candidate) {
	var old route.Home
	if x.ok && !x.holder.Released && !x.stopped {
		old = x.holder
	}
	taken := time.Now()
	m := &schema.HomeRow{
		InstanceId:   n.self.ID,
		Incarnation:  n.self.Incarnation,
		Term:         uint64(x.holder.Term) + 1,
		TakenMs:      taken.UnixMilli(),
		HoldMs:       lease.StatedHold(x.service.HoldTime, old.Hold).Milliseconds(),
		TtlMs:        max(x.service.GrantTTL, old.TTL).Milliseconds(),
		MaxRequestMs: max(x.service.MaxTimeout, old.MaxRequest).Milliseconds(),
	}
	v, err := proto.Marshal(m)
	if err != nil {
		n.log.Error().Err(err).Str("home", string(x.key)).Msg("home row can't be encoded")
		return
	}
	r, ok := n.dir.Row(x.key)
	if !ok {
		r.Key = x.key
	}
	if r.Version != x.holder.Version {
		return
	}
	before := now()
	t := table.Txn{ID: table.NewTxnID(), Puts: []table.Put{r.Put(v)}}
	c, f := context.WithTimeout(n.life, takeTimeout)
	defer f()
	if err := table.Settle(c, n.store, t); err != nil {
		n.takeFailed(c, x, err)
		return
	}
	l := lease.Config{
		Organisation: x.organisation, Service: x.service.Name, Upstream: x.upstream.Name, Instance: n.self.ID,
		Term: fence.Term(m.Term), Hold: x.service.HoldTime, PredecessorHold: old.Hold,
		PredecessorTTL: old.TTL, PredecessorMaxRequest: old.MaxRequest,
		TTL: x.service.GrantTTL, MaxRequest: x.service.MaxTimeout, Drift: clock.DefaultDrift,
		Fencing: x.upstream.Fencing, CommittedAt: now(), ConfirmedAt: before,
	}
	rows := t.Rows()
	n.start(x, l, rows[0], taken)
	n.takes.settled(x.key)
	n.announce(rows)
}

// takeFailed records a takeover that didn't succeed, and reads the row if
// another instance was first.
func (n *Node) takeFailed(c context.Context, x candidate, err error) {
	n.events.Record("takeover-failed", string(x.key), event.Err(err))
	n.scope.Counter("takeovers_failed").Inc(1)
	n.takes.putOff(x.key, takePause)
	if !errors.Is(err, table.ErrConflict) {
		return
	}
	if l, err := n.store.Read(c, x.key); err == nil {
		n.apply(l)
	}
}

// start runs the home of a term that this instance has committed.
func (n *Node) start(x candidate, l lease.Config, r table.Row, taken time.Time) {
	h := home.New(home.Config{
		Key: x.key, Version: r.Version, CommitTime: taken, Lease: l,
		Service: x.service, Upstream: x.upstream, Instance: n.self.ID,
		Directory: homeDirectory{n.dir, n, x.key}, Store: n.store,
		Granter: home.NewGrantClient(x.upstream.Address, n.dial),
		Sender: home.NewUpstream(home.UpstreamOptions{
			Address: x.upstream.Address, Connections: x.upstream.Connections - 1,
			MaxAnswer: int64(x.service.MaxAnswer), Dial: n.dial,
		}),
		Announce: n.announce,
		Targets: func() ([]shard.Move, error) {
			return n.targets(x.organisation, x.service.Name, x.upstream.Name)
		},
		Weight: func(a string) int { return n.weight(x.organisation, a) },
		Events: n.events, Now: now,
	})
	n.setHome(x.key, h)
	n.log.Info().Str("home", string(x.key)).Uint64("term", uint64(l.Term)).Msg("home taken")
	n.scope.Counter("homes_taken").Inc(1)
}

// weight returns the weight of a client account.
func (n *Node) weight(organisation, account string) int {
	if o := n.dir.Organisation(organisation); o != nil {
		for _, a := range o.Accounts {
			if a.Name == account {
				return a.Weight
			}
		}
	}
	return 1
}
