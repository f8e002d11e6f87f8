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
	// takeoverInterval is how often an instance looks for homes to take over, in
	// addition to changes that wake the takeover loop.
	takeoverInterval = 100 * time.Millisecond
	// takeoverTimeout bounds the commit of one takeover. After it, the outcome
	// becomes known when the row is next read from the table.
	takeoverTimeout = 3 * time.Second
	// probeTimeout bounds the probes that ask other instances about a suspect.
	probeTimeout = 150 * time.Millisecond
	// takeoverRetryDelay is the delay before a failed takeover of a home is tried
	// again, so that a failing store isn't overloaded.
	takeoverRetryDelay = 250 * time.Millisecond
	// probeRetryDelay is the delay before a takeover that the probes didn't confirm
	// is tried again. Other instances may have received the last heartbeat of a
	// lost instance slightly later than this one.
	probeRetryDelay = 50 * time.Millisecond
)

// takeoverLoop drops superseded homes and takes over homes without a live holder
// until the instance ends.
func (n *Node) takeoverLoop() {
	t := time.NewTicker(takeoverInterval)
	defer t.Stop()
	for {
		select {
		case <-n.ctx.Done():
			return
		case <-t.C:
		case <-n.takeovers.signal:
		}
		n.dropSuperseded()
		if n.mayCoordinate() {
			n.startTakeovers()
		}
	}
}

// mayCoordinate reports whether the instance may take over homes, plan and move
// homes: it isn't leaving, has loaded the directory, and the suspicion time has
// passed since it first read the list of instances, so that it has had time to
// hear those that are live.
func (n *Node) mayCoordinate() bool {
	l := n.listedAt.Load()
	return !n.leaving.Load() && n.directoryLoaded.Load() && l != 0 &&
		now().Sub(clock.Time(l)) > n.s.SuspectAfter
}

// dropSuperseded closes the homes whose row has a newer version: another instance
// has taken them over.
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
	// holder is the current holder; ok is whether there is one.
	holder route.Home
	ok     bool
	// holderStopped is whether the holder has ended its term, so that its hold time
	// need not pass.
	holderStopped bool
}

// startTakeovers starts the takeovers that are due for this instance.
func (n *Node) startTakeovers() {
	live := n.peers.Live()
	for _, o := range n.dir.Organisations() {
		for _, s := range o.Services {
			for _, u := range s.Upstreams {
				x := candidate{key: route.HomeKey(o.Name, s.Name, u.Name), organisation: o.Name, service: s, upstream: u}
				x.holder, x.ok = n.dir.Home(o.Name, s.Name, u.Name)
				n.considerTakeover(x, live)
			}
			for _, x := range n.orphans(o, s) {
				n.considerTakeover(x, live)
			}
		}
	}
}

// orphans returns the homes of upstreams that still own shards though the
// configuration no longer lists them. Their addresses aren't known, so that their
// shards can move only when all grants have expired.
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

// considerTakeover starts a takeover of the home if its holder doesn't run and the
// delay for this instance's rank among the successors has passed.
func (n *Node) considerTakeover(x candidate, live []peer.Instance) {
	if n.home(x.key) != nil || n.holderRuns(x) {
		n.takeovers.clearVacant(x.key)
		return
	}
	rank := -1
	for i, p := range peer.Successor(string(x.key), placeOf(x.upstream), live) {
		if p.ID == n.self.ID {
			rank = i
		}
	}
	if rank < 0 || !n.takeovers.due(x.key, rank) || !n.takeovers.begin(x.key) {
		return
	}
	n.work.Go(func() {
		defer n.takeovers.end(x.key)
		if x.ok && !x.holder.Released && !n.confirmHolderLost(x.holder) {
			n.takeovers.postpone(x.key, probeRetryDelay)
			return
		}
		x.holderStopped = n.takeovers.hasEnded(x.key, x.holder.Version)
		n.takeOver(x)
	})
}

// holderRuns reports whether the home has a holder that counts as alive.
func (n *Node) holderRuns(x candidate) bool {
	if !x.ok || x.holder.Released {
		return false
	}
	if x.holder.Instance == n.self.ID {
		// The home doesn't run on this instance, so that the row was written by an
		// earlier run or by a takeover whose outcome wasn't known.
		return false
	}
	n.peers.Expect(now(), x.holder.Instance, x.holder.Incarnation)
	return n.peers.Runs(now(), x.holder.Instance, x.holder.Incarnation)
}

// confirmHolderLost asks the other live instances whether they hear the holder of
// a home, and reports whether their answers allow a takeover. An instance that is
// partitioned only from the holder must not take over.
func (n *Node) confirmHolderLost(x route.Home) bool {
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
	c, f := context.WithTimeout(n.ctx, probeTimeout)
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

// takeOver commits a home row with the next term for this instance and starts the
// home.
func (n *Node) takeOver(x candidate) {
	var old route.Home
	if x.ok && !x.holder.Released && !x.holderStopped {
		old = x.holder
	}
	takenAt := time.Now()
	m := &schema.HomeRow{
		InstanceId:   n.self.ID,
		Incarnation:  n.self.Incarnation,
		Term:         uint64(x.holder.Term) + 1,
		TakenMs:      takenAt.UnixMilli(),
		HoldMs:       lease.StatedHold(x.service.HoldTime, old.Hold).Milliseconds(),
		TtlMs:        max(x.service.GrantTTL, old.TTL).Milliseconds(),
		MaxRequestMs: max(x.service.MaxTimeout, old.MaxRequest).Milliseconds(),
	}
	v, err := proto.Marshal(m)
	if err != nil {
		n.log.Error().Err(err).Str("home", string(x.key)).Msg("failed to encode home row")
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
	c, f := context.WithTimeout(n.ctx, takeoverTimeout)
	defer f()
	if err := table.Settle(c, n.store, t); err != nil {
		n.takeoverFailed(c, x, err)
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
	n.startHome(x, l, rows[0], takenAt)
	n.takeovers.clearVacant(x.key)
	n.announce(rows)
}

// takeoverFailed records a failed takeover and postpones the next one. After a
// conflict, it also reads the row that another instance has changed.
func (n *Node) takeoverFailed(c context.Context, x candidate, err error) {
	n.events.Record("takeover-failed", string(x.key), event.Err(err))
	n.scope.Counter("takeovers_failed").Inc(1)
	n.takeovers.postpone(x.key, takeoverRetryDelay)
	if !errors.Is(err, table.ErrConflict) {
		return
	}
	if l, err := n.store.Read(c, x.key); err == nil {
		n.apply(l)
	}
}

// startHome starts the home for a term that this instance has committed.
func (n *Node) startHome(x candidate, l lease.Config, r table.Row, takenAt time.Time) {
	h := home.New(home.Config{
		Key: x.key, Version: r.Version, CommitTime: takenAt, Lease: l,
		Service: x.service, Upstream: x.upstream, Instance: n.self.ID,
		Directory: homeDirectory{n.dir, n, x.key}, Store: n.store,
		Granter: home.NewGrantClient(x.upstream.Address, n.dial),
		Sender: home.NewUpstream(home.UpstreamOptions{
			Address: x.upstream.Address, Connections: x.upstream.Connections - 1,
			MaxAnswer: int64(x.service.MaxAnswer), Dial: n.dial,
		}),
		Announce: n.announce,
		Targets: func() ([]shard.Move, error) {
			return n.evacuationTargets(x.organisation, x.service.Name, x.upstream.Name)
		},
		Weight: func(a string) int { return n.weight(x.organisation, a) },
		Events: n.events, Now: now,
	})
	n.setHome(x.key, h)
	n.log.Info().Str("home", string(x.key)).Uint64("term", uint64(l.Term)).Msg("home taken over")
	n.scope.Counter("homes_taken").Inc(1)
}

// weight returns the weight of a client account, 1 if it isn't configured.
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
