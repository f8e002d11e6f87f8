package keeper

import (
	"context"
	"slices"
	"sync"
	"time"

	"dandelionrock.example/dandelionrock/clock"
	"dandelionrock.example/dandelionrock/internal/plan/keys"
	"dandelionrock.example/dandelionrock/internal/state/view"
	"dandelionrock.example/dandelionrock/platform"
	"dandelionrock.example/dandelionrock/schema"
	"github.com/cockroachdb/errors"
)

// AddLoad adds the counts of requests that an instance reports.
func (k *Keeper) AddLoad(now clock.Time, q *schema.KeyLoadRequest) {
	k.mu.Lock()
	defer k.mu.Unlock()
	for _, n := range q.Keys {
		k.load.Add(now, n.Key, float64(n.Count))
	}
	for _, t := range q.Targets {
		k.rating(t.Target).add(now, t)
	}
}

func (k *Keeper) rating(target string) *rating {
	r := k.ratings[target]
	if r == nil {
		r = &rating{}
		k.ratings[target] = r
	}
	return r
}

// assignment is what a plan is based on.
type assignment struct {
	takeover int
	// ranges holds the keys that may move, and coming those that are being moved, with
	// their next owners.
	ranges, coming keys.Ranges
	members        []keys.Member
	rates          *keys.Rates
}

// assignment returns the present assignment. The caller holds mu.
func (k *Keeper) assignment(now clock.Time, m []keys.Member) assignment {
	a := assignment{takeover: k.takeovers, ranges: k.row.Ranges, members: m}
	for _, p := range k.paused {
		a.ranges = a.ranges.Without(p.Range.From, p.Range.To)
		a.coming = append(a.coming, &schema.KeyRange{From: p.Range.From, To: p.Range.To, Target: p.Target, Born: p.Born, Fence: p.Range.Fence})
	}
	a.rates = k.load.Rates(now)
	return a
}

// move starts to plan the moves that are due, unless a plan or too many changes are in
// progress.
// It doesn't wait for the plan, so that renewals don't depend on it.
func (k *Keeper) move(c context.Context, now clock.Time, v *view.View) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.row == nil || k.rewriting || k.rewriteDue(now) || k.planning || k.changes >= maxChanges {
		return
	}
	m := k.members(now, v)
	ranges := k.row.Ranges
	for _, p := range k.paused {
		ranges = keys.Ranges(ranges).Without(p.Range.From, p.Range.To)
	}
	owned := len(ranges) == 0 && len(k.paused) > 0 || keys.Owned(ranges, m)
	balance := now.Sub(k.rebalancedAt) >= rebalanceInterval && k.syncer.Age() < maxFreshAge
	if owned && (!balance || !k.storeAnswers(c, now)) {
		return
	}
	k.planning = true
	a := k.assignment(now, m)
	k.run(func() {
		defer k.endPlan()
		if !owned && k.reassign(c, now, v, a) {
			return
		}
		// A move that has to wait for the grants of a lost target must not delay
		// the moves for balance.
		if balance {
			k.balance(c, now, v, a)
		}
	})
}

func (k *Keeper) endPlan() {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.planning = false
}

// reassign moves keys whose owners are not members. It reports false if none of them can
// move now. The caller doesn't hold mu.
func (k *Keeper) reassign(c context.Context, now clock.Time, v *view.View, a assignment) bool {
	moves := keys.Reassign(a.ranges, a.members, a.rates)
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.startChange(c, v, a, k.readyMoves(now, v, moves), whyOwnerLeft)
}

// balance moves keys to balance the load, if the store answers. The caller doesn't hold mu.
func (k *Keeper) balance(c context.Context, now clock.Time, v *view.View, a assignment) {
	k.mu.Lock()
	answers := k.storeAnswers(c, now)
	if answers {
		k.rebalancedAt = now
	}
	k.mu.Unlock()
	if !answers {
		return
	}
	moves := k.balancer.Plan(a.ranges, a.coming, a.members, a.rates, max(minMoveLimit, len(a.members)/targetsPerMove))
	highest, mean := keys.Utilisation(slices.Concat(a.ranges, a.coming), a.members, a.rates)
	k.meter.Utilisation(k.service, highest, mean)
	k.mu.Lock()
	defer k.mu.Unlock()
	k.startChange(c, v, a, moves, whyBalance)
}

// Reasons of moves, as logged.
const (
	whyOwnerLeft = "owner-left"
	whyBalance   = "rebalance"
)

// maxFreshAge is the age of this instance's copy of the targets up to which the
// store is taken to answer. Above it, keys are not moved for balance, since the
// commit may take long.
const maxFreshAge = 2 * time.Second

// readyMoves returns the moves that can start now: those whose owners are live
// and due for a release, or can't hold their keys any more. If there are none,
// it returns those whose owners are gone from the store but may still be
// reachable; releasing these takes long. The caller holds mu.
func (k *Keeper) readyMoves(now clock.Time, v *view.View, moves []keys.Move) []keys.Move {
	var ready, gone []keys.Move
	for _, m := range moves {
		t := k.holder(v, m.Range)
		switch {
		case k.freedBy(now, v, m) != "", t != nil && k.releaseDue(now, m.Range, releaseInterval):
			ready = append(ready, m)
		case t == nil && v.Run(m.Range.Target, m.Range.Born) != nil && k.releaseDue(now, m.Range, goneReleaseInterval):
			gone = append(gone, m)
		}
	}
	if len(ready) > 0 {
		return ready
	}
	return gone
}

// freedBy returns why no target but the next owner can hold a range any more, or the
// empty string if one may: the owner's run has ended, or its last grant and those of
// earlier keepers have expired. A later run of the target may have received the owner's
// grants, and holds the range by them until they expire. The caller holds mu.
func (k *Keeper) freedBy(now clock.Time, v *view.View, m keys.Move) string {
	r := m.Range
	h := &k.grantState(r).hold
	switch {
	case h.HasEnded(r.Born):
		return freedByReplacement
	case v.Ended(r.Target, r.Born) && (m.Target == r.Target || v.LaterRun(r.Target, r.Born) == nil):
		return freedByEnd
	case h.Free(now) && now >= k.predecessorEnd:
		return freedByExpiry
	}
	return ""
}

// holder returns the run in the store that may hold a range: its owner, or a later run
// that may have received the owner's grants. It returns nil if there is none. The caller
// holds mu.
func (k *Keeper) holder(v *view.View, r *schema.KeyRange) *platform.Target {
	if k.grantState(r).hold.HasEnded(r.Born) {
		return nil
	}
	if t := v.Targets[r.Target]; t != nil && t.Born == r.Born {
		return t
	}
	return v.LaterRun(r.Target, r.Born)
}

// releaseDue reports whether the target that owns a range was last asked to release keys
// at least interval ago. The caller holds mu.
func (k *Keeper) releaseDue(now clock.Time, r *schema.KeyRange, interval time.Duration) bool {
	return now.Sub(k.grantState(r).releaseAskedAt) >= interval
}

// releaseInterval is the time between two attempts to make a target release
// keys, goneReleaseInterval that for a target that is gone from the store.
const (
	releaseInterval     = time.Second
	goneReleaseInterval = 3 * time.Second
)

// grantAll grants ranges to their new owners. A grant that fails is left to the
// renewals.
func (k *Keeper) grantAll(c context.Context, v *view.View, rs []*schema.KeyRange, handovers []string) {
	k.forEachOwner(v, rs, func(i int, h *grantState, t *platform.Target) {
		if err := k.grant(c, h, t.Endpoint(), rs[i], k.hold, handovers[i]); err != nil {
			k.logFailedCall("grant-failed", rs[i], err)
		}
	})
}

// forEachOwner calls f concurrently for each range whose owner has a known
// address, and waits for all of them. It holds the owner's callMu during the
// call.
func (k *Keeper) forEachOwner(v *view.View, rs []*schema.KeyRange, f func(i int, h *grantState, t *platform.Target)) {
	var g sync.WaitGroup
	for i, r := range rs {
		t := v.Run(r.Target, r.Born)
		if t == nil {
			continue
		}
		k.mu.Lock()
		h := k.grantState(r)
		k.mu.Unlock()
		g.Go(func() {
			h.callMu.Lock()
			defer h.callMu.Unlock()
			k.guard.Once("keeper", func() { f(i, h, t) })
		})
	}
	g.Wait()
}

// announceTimeout bounds the call to one instance. Instances that miss it learn
// of the move from the store.
const announceTimeout = 500 * time.Millisecond

// announce tells all instances that are not suspected of a move.
func (k *Keeper) announce(c context.Context, v *view.View, q *schema.KeysRequest) {
	k.owners.Update(clock.Boot(), q)
	for _, i := range v.Instances {
		if i.ID == k.self.ID || k.alive.Suspected(i) {
			continue
		}
		k.run(func() {
			c, stop := context.WithTimeout(c, announceTimeout)
			defer stop()
			if err := k.pool.Call(c, i.RPCAddress, "Gate.Keys", q, &schema.Empty{}); err != nil && !errors.Is(err, context.Canceled) {
				k.log.Debug().Str("event", "announce-failed").Str("instance", i.ID).Err(err).Msg("")
			}
		})
	}
}
