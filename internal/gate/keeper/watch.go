package keeper

import (
	"context"
	"time"

	"dandelionrock.example/dandelionrock/clock"
	"dandelionrock.example/dandelionrock/internal/plan/hold"
	"dandelionrock.example/dandelionrock/internal/plan/keys"
	"dandelionrock.example/dandelionrock/internal/state/view"
	"dandelionrock.example/dandelionrock/peer"
	"dandelionrock.example/dandelionrock/schema"
	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"
)

const (
	// keeperPingInterval is the interval at which the first instances in the
	// order of succession ping the keeper, distantPingInterval that of the
	// others.
	keeperPingInterval  = 500 * time.Millisecond
	distantPingInterval = 3 * time.Second
	// pingTimeout bounds one ping.
	pingTimeout = 500 * time.Millisecond
	// frequentPingRanks is the number of instances that ping at the shorter
	// interval.
	frequentPingRanks = 2
	// keeperLostAfter is the time without an answer after which the first
	// instance in the order of succession takes over; each further one waits
	// rankDelay longer.
	keeperLostAfter = 1200 * time.Millisecond
	rankDelay       = 700 * time.Millisecond
	// firstAssignmentWait is the time before the first assignment of a service,
	// in which its targets register. Each further instance in the order waits
	// firstAssignmentRankDelay longer.
	firstAssignmentWait      = 2 * time.Second
	firstAssignmentRankDelay = 500 * time.Millisecond
)

// watch is what an instance that is not the keeper knows about the keeper.
type watch struct {
	keeper, incarnation string
	// since is when this keeper was first seen, or the service was first seen
	// without one.
	since    clock.Time
	pingedAt clock.Time
	// silentSince is the send time of the first in the current run of
	// unanswered pings; 0 if the last one was answered.
	silentSince clock.Time
	// endedAt is when the keeper was found to have ended, to be shutting down
	// or to have lost the store; 0 if it was not.
	endedAt clock.Time
	// busy is set while a ping or a takeover is in progress.
	busy bool
}

// watchKeeper takes over the service if it has no keeper or its keeper is lost.
func (k *Keeper) watchKeeper(c context.Context, now clock.Time, v *view.View, m view.Map, known bool) {
	if k.leaving() || len(v.Services[k.service]) == 0 {
		return
	}
	r, ok := k.rank(v, m, known)
	if !ok {
		return
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	w := &k.watch
	if !known {
		m = view.Map{KeyMap: &schema.KeyMap{}}
	}
	if w.keeper != m.Keeper || w.incarnation != m.Incarnation || w.since == 0 {
		*w = watch{keeper: m.Keeper, incarnation: m.Incarnation, since: now, busy: w.busy}
	}
	if !known {
		if now.Sub(w.since) >= firstAssignmentWait+time.Duration(r)*firstAssignmentRankDelay {
			k.takeOver(c, now, v, m)
		}
		return
	}
	if w.endedAt == 0 && v.Incarnations[m.Keeper] != m.Incarnation {
		w.endedAt = now
	}
	restoring := k.era > eraOf(m.Epoch) && now.Sub(k.eraSince) < restoredWait
	if m.Keeper == k.self.ID && m.Incarnation == k.self.Incarnation && !restoring {
		// The row names this run, which has stepped down: take over again.
		k.takeOver(c, now, v, m)
		return
	}
	if w.lost(now, r) && !restoring {
		k.takeOver(c, now, v, m)
		return
	}
	k.pingKeeper(c, now, v, r)
}

// lost reports whether an instance of the given rank should take over.
func (w *watch) lost(now clock.Time, rank int) bool {
	d := time.Duration(rank) * rankDelay
	if w.endedAt != 0 {
		return now.Sub(w.endedAt) >= d
	}
	return w.silentSince != 0 && now.Sub(w.silentSince) >= keeperLostAfter+d
}

// rank returns the position of this instance in the order of succession, which
// leaves out the keeper and suspected instances. It returns false if this
// instance is not in the order.
func (k *Keeper) rank(v *view.View, m view.Map, known bool) (int, bool) {
	n := 0
	for _, i := range k.alive.Nearest(v, view.PrefixKeys+k.service, peer.Place{}) {
		if i.ID == k.self.ID {
			return n, true
		}
		if !known || i.ID != m.Keeper {
			n++
		}
	}
	return 0, false
}

// pingKeeper pings the keeper if that is due. The caller holds mu.
func (k *Keeper) pingKeeper(c context.Context, now clock.Time, v *view.View, rank int) {
	w := &k.watch
	interval := keeperPingInterval
	if rank >= frequentPingRanks && w.silentSince == 0 {
		interval = distantPingInterval
	}
	i, ok := v.Instance(w.keeper)
	if w.busy || !ok || now.Sub(w.pingedAt) < interval {
		return
	}
	w.busy, w.pingedAt = true, now
	k.run(func() { k.pingKeeperOnce(c, now, i) })
}

func (k *Keeper) pingKeeperOnce(c context.Context, now clock.Time, i peer.Instance) {
	c, stop := context.WithTimeout(c, pingTimeout)
	defer stop()
	var a schema.PingReply
	err := k.pool.Call(c, i.RPCAddress, "Gate.Ping", &schema.PingRequest{InstanceId: k.self.ID}, &a)
	k.mu.Lock()
	defer k.mu.Unlock()
	w := &k.watch
	w.busy = false
	if w.keeper != i.ID {
		return
	}
	switch {
	case err != nil:
		if w.silentSince == 0 {
			w.silentSince = now
		}
		k.log.Debug().Str("event", "keeper-silent").Str("instance", i.ID).Err(err).Msg("")
	case a.Incarnation != w.incarnation || a.Leaving || a.StoreLost && k.syncer.Age() < maxFreshAge:
		w.endedAt = now
	default:
		w.silentSince = 0
	}
}

// takeOver starts to make this instance the keeper. The caller holds mu.
func (k *Keeper) takeOver(c context.Context, now clock.Time, v *view.View, m view.Map) {
	w := &k.watch
	if w.busy {
		return
	}
	w.busy = true
	n := &schema.KeyMap{Service: k.service, Epoch: nextEpoch(m.Epoch, k.era), Keeper: k.self.ID, Incarnation: k.self.Incarnation}
	if len(m.Ranges) == 0 && len(k.members(now, v)) > 0 {
		n.Ranges = keys.Initial(k.members(now, v), firstFence(n.Epoch))
	} else {
		n.Ranges = keys.Ranges(m.Ranges).Refence(firstFence(n.Epoch))
	}
	// A keeper with a new incarnation has restarted: its old process has ended.
	predecessorEnded := m.Keeper != "" && v.Incarnations[m.Keeper] != "" && v.Incarnations[m.Keeper] != m.Incarnation || m.Keeper == ""
	since := max(w.silentSince, w.endedAt)
	if since == 0 {
		// There was no keeper, or this run was the keeper until it stepped
		// down.
		since = w.since
	}
	silence := now.Sub(since)
	k.run(func() { k.takeOverOnce(c, n, m, predecessorEnded, silence) })
}

// checkPredecessor ends the wait for a predecessor's authority once that run
// can send no more grants: its instance has restarted, or it answers that it
// has stepped down. The caller holds mu.
func (k *Keeper) checkPredecessor(c context.Context, now clock.Time, v *view.View) {
	if k.predecessor == "" || now > k.predecessorEnd {
		return
	}
	if n := v.Incarnations[k.predecessor]; n != "" && n != k.predecessorRun {
		k.endPredecessorAuthority(now)
		return
	}
	i, ok := v.Instance(k.predecessor)
	if !ok || k.pingingPredecessor || now.Sub(k.predecessorPingedAt) < keeperPingInterval {
		return
	}
	k.pingingPredecessor, k.predecessorPingedAt = true, now
	q := &schema.PingRequest{InstanceId: k.self.ID, Service: k.service, Epoch: k.row.Epoch}
	k.run(func() { k.pingPredecessor(c, i, q) })
}

// endPredecessorAuthority reduces the wait to the expiry of the last grants of
// the predecessor. The caller holds mu.
func (k *Keeper) endPredecessorAuthority(now clock.Time) {
	k.predecessor = ""
	k.predecessorEnd = min(k.predecessorEnd, now.Add(hold.LongestUnanswered(k.hold)))
}

func (k *Keeper) pingPredecessor(c context.Context, i peer.Instance, q *schema.PingRequest) {
	c, stop := context.WithTimeout(c, pingTimeout)
	defer stop()
	var a schema.PingReply
	err := k.pool.Call(c, i.RPCAddress, "Gate.Ping", q, &a)
	k.mu.Lock()
	defer k.mu.Unlock()
	k.pingingPredecessor = false
	if err == nil && !a.Keeps && k.predecessor == i.ID {
		k.endPredecessorAuthority(clock.Boot())
	}
}

// StepDown makes this instance stop keeping the service if the epoch of a
// successor is higher than its own. It reports whether the instance is not or no
// longer the keeper.
func (k *Keeper) StepDown(epoch uint64) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.row != nil && k.row.Epoch < epoch {
		k.log.Warn().Str("event", "keeper-yielded").Uint64("epoch", k.row.Epoch).Uint64("their-epoch", epoch).Msg("")
		k.row = nil
	}
	return k.row == nil
}

func (k *Keeper) takeOverOnce(c context.Context, n *schema.KeyMap, m view.Map, predecessorEnded bool, silence time.Duration) {
	version, sent, err := k.commit(c, n, storedAs(m.KeyMap, m.Version), unlimitedRefusals)
	k.mu.Lock()
	defer k.mu.Unlock()
	k.watch = watch{since: clock.Boot()}
	if err != nil {
		k.log.Warn().Str("event", "take-over-failed").Uint64("epoch", n.Epoch).Err(errors.Wrap(err, "take over")).Msg("")
		return
	}
	now := clock.Boot()
	k.takeovers++
	k.row, k.version, k.confirmed = proto.CloneOf(n), version, sent
	k.grantStates, k.paused = map[string]*grantState{}, nil
	k.changes, k.rewriting, k.fenceRefused, k.raisedFences = 0, false, false, 0
	k.predecessorEnd, k.predecessor = now, ""
	if m.Keeper != "" {
		k.predecessorEnd = now.Add(hold.LongestInFlight(k.hold))
	}
	if !predecessorEnded {
		k.predecessorEnd = now.Add(hold.Longest(authority) + hold.LongestUnanswered(k.hold))
		k.predecessor, k.predecessorRun = m.Keeper, m.Incarnation
	}
	k.quietUntil, k.yielded = 0, nil
	if k.mayBeLost(m.Epoch, version.Era()) {
		k.awaitGrants(now)
	}
	k.log.Info().Str("event", "keeper-took-over").Uint64("epoch", n.Epoch).Str("from", m.Keeper).Bool("ended", predecessorEnded).Dur("silent", silence).Msg("")
}
