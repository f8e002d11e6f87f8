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
	// askKeeper is the interval at which the first instances in the order ask
	// the keeper whether it runs, askRarely that of the others.
	askKeeper = 500 * time.Millisecond
	askRarely = 3 * time.Second
	// askTimeout bounds one question.
	askTimeout = 500 * time.Millisecond
	// closeRanks is how many instances ask often.
	closeRanks = 2
	// lostAfter is the silence after which the first in the order takes over,
	// and rankDelay the additional time for each further one.
	lostAfter = 1200 * time.Millisecond
	rankDelay = 700 * time.Millisecond
	// firstWait is the time before the first assignment of a service, in which
	// its targets register, and firstDelay spreads the instances that make it.
	firstWait  = 2 * time.Second
	firstDelay = 500 * time.Millisecond
)

// watch is what an instance that is not the keeper knows of the keeper.
type watch struct {
	keeper, incarnation string
	// since is when the keeper was first seen, or the service was first seen
	// without one.
	since clock.Time
	asked clock.Time
	// silent is when the first of the questions was sent that have had no
	// answer in a row; 0 if the last one was answered.
	silent clock.Time
	// ended is when the keeper was found to have ended or to be shutting down;
	// 0 if it was not.
	ended clock.Time
	busy  bool
}

// watchKeeper takes the service over if it has no keeper or its keeper is lost.
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
		if now.Sub(w.since) >= firstWait+time.Duration(r)*firstDelay {
			k.takeOver(c, now, v, m)
		}
		return
	}
	if w.ended == 0 && v.Incarnations[m.Keeper] != m.Incarnation {
		w.ended = now
	}
	if m.Keeper == k.self.ID && m.Incarnation == k.self.Incarnation {
		// The row names this run, which has stepped down since.
		k.takeOver(c, now, v, m)
		return
	}
	if w.lost(now, r) {
		k.takeOver(c, now, v, m)
		return
	}
	k.ask(c, now, v, r)
}

// lost reports whether an instance of the given rank shall take over.
func (w *watch) lost(now clock.Time, rank int) bool {
	d := time.Duration(rank) * rankDelay
	if w.ended != 0 {
		return now.Sub(w.ended) >= d
	}
	return w.silent != 0 && now.Sub(w.silent) >= lostAfter+d
}

// rank returns the place of this instance among those that may succeed the
// keeper.
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

// ask asks the keeper whether it runs; the caller holds mu.
func (k *Keeper) ask(c context.Context, now clock.Time, v *view.View, rank int) {
	w := &k.watch
	interval := askKeeper
	if rank >= closeRanks && w.silent == 0 {
		interval = askRarely
	}
	i, ok := v.Instance(w.keeper)
	if w.busy || !ok || now.Sub(w.asked) < interval {
		return
	}
	w.busy, w.asked = true, now
	k.group.Go(func() { k.askOnce(c, now, i) })
}

func (k *Keeper) askOnce(c context.Context, now clock.Time, i peer.Instance) {
	c, stop := context.WithTimeout(c, askTimeout)
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
		if w.silent == 0 {
			w.silent = now
		}
		k.log.Debug().Str("event", "keeper-silent").Str("instance", i.ID).Err(err).Msg("")
	case a.Incarnation != w.incarnation || a.Leaving || a.StoreLost && k.spread.Age() < freshAge:
		w.ended = now
	default:
		w.silent = 0
	}
}

// takeOver makes this instance the keeper; the caller holds mu.
func (k *Keeper) takeOver(c context.Context, now clock.Time, v *view.View, m view.Map) {
	w := &k.watch
	if w.busy {
		return
	}
	w.busy = true
	n := &schema.KeyMap{Service: k.service, Epoch: m.Epoch + 1, Keeper: k.self.ID, Incarnation: k.self.Incarnation}
	if len(m.Ranges) == 0 && len(k.members(now, v)) > 0 {
		n.Ranges = keys.Initial(k.members(now, v), firstFence(n.Epoch))
	} else {
		n.Ranges = keys.Ranges(m.Ranges).Refence(firstFence(n.Epoch))
	}
	// The process of a keeper that has started again has ended for certain.
	ended := m.Keeper != "" && v.Incarnations[m.Keeper] != "" && v.Incarnations[m.Keeper] != m.Incarnation || m.Keeper == ""
	since := max(w.silent, w.ended)
	if since == 0 {
		// There was no keeper, or this run was it until it stepped down.
		since = w.since
	}
	silent := now.Sub(since)
	k.group.Go(func() { k.takeOverOnce(c, n, m, ended, silent) })
}

// shorten ends the wait for a predecessor's authority once its run can grant
// nothing any more: it has started again, or says that it has stepped down. The
// caller holds mu.
func (k *Keeper) shorten(c context.Context, now clock.Time, v *view.View) {
	if k.predecessor == "" || now > k.predecessorEnd {
		return
	}
	if n := v.Incarnations[k.predecessor]; n != "" && n != k.predecessorRun {
		k.predecessorDone(now)
		return
	}
	i, ok := v.Instance(k.predecessor)
	if !ok || k.asking || now.Sub(k.askedPredecessor) < askKeeper {
		return
	}
	k.asking, k.askedPredecessor = true, now
	q := &schema.PingRequest{InstanceId: k.self.ID, Service: k.service, Epoch: k.row.Epoch}
	k.group.Go(func() { k.askPredecessor(c, i, q) })
}

// predecessorDone leaves only the last grants of the predecessor to be waited
// for; the caller holds mu.
func (k *Keeper) predecessorDone(now clock.Time) {
	k.predecessor = ""
	k.predecessorEnd = min(k.predecessorEnd, now.Add(hold.LongestUnanswered(k.hold)))
}

func (k *Keeper) askPredecessor(c context.Context, i peer.Instance, q *schema.PingRequest) {
	c, stop := context.WithTimeout(c, askTimeout)
	defer stop()
	var a schema.PingReply
	err := k.pool.Call(c, i.RPCAddress, "Gate.Ping", q, &a)
	k.mu.Lock()
	defer k.mu.Unlock()
	k.asking = false
	if err == nil && !a.Keeps && k.predecessor == i.ID {
		k.predecessorDone(clock.Boot())
	}
}

// Yield makes this instance stop to keep the service if a successor has an
// epoch that is higher than its own. It reports whether the instance keeps it no
// more.
func (k *Keeper) Yield(epoch uint64) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.row != nil && k.row.Epoch < epoch {
		k.log.Warn().Str("event", "keeper-yielded").Uint64("epoch", k.row.Epoch).Uint64("their-epoch", epoch).Msg("")
		k.row = nil
	}
	return k.row == nil
}

func (k *Keeper) takeOverOnce(c context.Context, n *schema.KeyMap, m view.Map, ended bool, silent time.Duration) {
	version, sent, err := k.commit(c, n, m.Version, untilSettled)
	k.mu.Lock()
	defer k.mu.Unlock()
	k.watch = watch{since: clock.Boot()}
	if err != nil {
		k.log.Warn().Str("event", "take-over-failed").Uint64("epoch", n.Epoch).Err(errors.Wrap(err, "take over")).Msg("")
		return
	}
	now := clock.Boot()
	k.tenure++
	k.row, k.version, k.confirmed = proto.CloneOf(n), version, sent
	k.holds, k.paused = map[owner]*holding{}, nil
	k.moving, k.fenced, k.raised = false, false, 0
	k.predecessorEnd, k.predecessor = now, ""
	if m.Keeper != "" {
		k.predecessorEnd = now.Add(hold.LongestInFlight(k.hold))
	}
	if !ended {
		k.predecessorEnd = now.Add(hold.Longest(authority) + hold.LongestUnanswered(k.hold))
		k.predecessor, k.predecessorRun = m.Keeper, m.Incarnation
	}
	k.log.Info().Str("event", "keeper-took-over").Uint64("epoch", n.Epoch).Str("from", m.Keeper).Bool("ended", ended).Dur("silent", silent).Msg("")
}
