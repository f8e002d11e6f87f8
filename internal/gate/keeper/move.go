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
	"google.golang.org/protobuf/proto"
)

// Count adds what an instance reports of the requests that it sent.
func (k *Keeper) Count(now clock.Time, q *schema.KeyLoadRequest) {
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

// move starts the moves that are due, unless others are in progress.
func (k *Keeper) move(c context.Context, now clock.Time, v *view.View) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.row == nil || k.moving {
		return
	}
	m := k.members(now, v)
	if k.fenced {
		k.refence(c)
		return
	}
	var moves []keys.Move
	why := whyOwnerLeft
	if !keys.Owned(k.row.Ranges, m) {
		moves = k.ripe(now, v, keys.Reassign(k.row.Ranges, m, k.load.Rates(now)))
	}
	// Keys that can't be taken yet from a target that is gone don't hold up others.
	if len(moves) == 0 && now.Sub(k.rebalanced) >= rebalanceInterval && k.spread.Age() < freshAge && k.storeAnswers(c, now) {
		k.rebalanced = now
		moves, why = k.balancer.Plan(k.row.Ranges, m, k.load.Rates(now), max(minMoves, len(m)/movesShare)), whyBalance
	}
	if len(moves) == 0 {
		return
	}
	k.moving = true
	t := tenure{k.tenure, proto.CloneOf(k.row), k.version}
	for _, n := range moves {
		k.paused = append(k.paused, n.Range)
	}
	k.group.Go(func() { k.moveAll(c, v, t, moves, why) })
}

// tenure is the state of the assignment at the begin of a change.
type tenure struct {
	number  int
	row     *schema.KeyMap
	version platform.Version
}

// adopt makes a committed change the state of the keeper, unless it is no
// longer the one that began it.
func (k *Keeper) adopt(t tenure, version platform.Version, sent clock.Time) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.row == nil || k.tenure != t.number {
		return false
	}
	k.row, k.version, k.confirmed, k.raised = t.row, version, max(k.confirmed, sent), 0
	return true
}

// refresh takes over the fences that were raised since a change began. It
// reports whether the keeper is still the one that began it.
func (k *Keeper) refresh(t tenure) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.row == nil || k.tenure != t.number {
		return false
	}
	t.row.Ranges = proto.CloneOf(k.row).Ranges
	return true
}

// Reasons of moves, as they are logged.
const (
	whyOwnerLeft = "owner-left"
	whyBalance   = "rebalance"
)

// freshAge is the age of the copies up to which the store is taken to answer:
// keys are not moved for balance when a commit may take long.
const freshAge = 2 * time.Second

// isPaused reports whether keys of a range are being moved; the caller holds mu.
func (k *Keeper) isPaused(r *schema.KeyRange) bool {
	return slices.ContainsFunc(k.paused, func(p *schema.KeyRange) bool { return p.To >= r.From && p.From <= r.To })
}

// ripe returns the moves that can be made now: those whose owners answer, or
// can't hold their keys any more. Without any, it returns those whose owners are
// gone from the store and may still be reached; asking them takes long.
func (k *Keeper) ripe(now clock.Time, v *view.View, moves []keys.Move) []keys.Move {
	var ready, gone []keys.Move
	for _, m := range moves {
		switch {
		case k.free(now, v, m.Range), k.answers(v, m.Range) && k.askable(now, v, m.Range, askInterval):
			ready = append(ready, m)
		case !k.answers(v, m.Range) && k.askable(now, v, m.Range, askGoneInterval):
			gone = append(gone, m)
		}
	}
	if len(ready) > 0 {
		return ready
	}
	return gone
}

// free reports whether the owner of a range holds no keys any more: its run has
// ended, or its last grant and those of a predecessor have run out. The caller
// holds mu.
func (k *Keeper) free(now clock.Time, v *view.View, r *schema.KeyRange) bool {
	if v.Ended(r.Target, r.Born) {
		return true
	}
	h := &k.holding(r).hold
	return h.HasEnded() || h.Free(now) && now >= k.predecessorEnd
}

// answers reports whether the owner of a range runs and can be asked to release
// it. It must be asked even if its grants have run out: one of them may still
// be on its way. The caller holds mu.
func (k *Keeper) answers(v *view.View, r *schema.KeyRange) bool {
	t := v.Targets[r.Target]
	return t != nil && t.Born == r.Born && !k.holding(r).hold.HasEnded()
}

// askable reports whether the owner of a range has an address and was last asked
// to release it a while ago. The caller holds mu.
func (k *Keeper) askable(now clock.Time, v *view.View, r *schema.KeyRange, interval time.Duration) bool {
	return v.Run(r.Target, r.Born) != nil && now.Sub(k.holding(r).asked) >= interval
}

// askInterval is the time between two tries to make a target release keys, and
// askGoneInterval that for a target that is gone from the store.
const (
	askInterval     = time.Second
	askGoneInterval = 3 * time.Second
)

// moveAll releases keys, commits their new owners and grants the keys to them.
func (k *Keeper) moveAll(c context.Context, v *view.View, t tenure, moves []keys.Move, why string) {
	defer k.moved(t.number)
	begin, row := clock.Boot(), t.row
	var ranges []*schema.KeyRange
	for _, m := range moves {
		ranges = append(ranges, m.Range)
	}
	k.announce(c, v, &schema.KeysRequest{Service: k.service, Epoch: row.Epoch, Ranges: ranges, Moving: true})
	handovers := k.releaseAll(c, v, t.number, moves)
	if !k.refresh(t) {
		return
	}
	row.Epoch++
	changed, passed := reassign(row.Epoch, moves, handovers)
	if len(changed) == 0 {
		return
	}
	row.Ranges = keys.Ranges(row.Ranges).Replace(changed...)
	maxRefusals := untilSettled
	if why == whyBalance {
		maxRefusals = balanceRefusals
	}
	n, sent, err := k.commit(c, row, t.version, maxRefusals)
	if errors.Is(err, platform.ErrRefused) {
		k.giveBack(c, v, t, moves, handovers)
	}
	if err != nil || !k.adopt(t, n, sent) {
		k.log.Warn().Str("event", "move-failed").Uint64("epoch", row.Epoch).Str("why", why).Int("ranges", len(changed)).Err(err).Msg("")
		return
	}
	k.grantAll(c, v, changed, passed)
	k.announce(c, v, &schema.KeysRequest{Service: k.service, Epoch: row.Epoch, Ranges: changed})
	k.log.Info().Str("event", "keys-moved").Uint64("epoch", row.Epoch).Str("why", why).Int("ranges", len(changed)).
		Int("keys", count(changed)).Dur("took", clock.Boot().Sub(begin)).Msg("")
}

// reassign returns the ranges that came free with their next owners, and the
// handover for each of them.
func reassign(epoch uint64, moves []keys.Move, hs []handover) ([]*schema.KeyRange, []string) {
	var rs []*schema.KeyRange
	var passed []string
	for i, m := range moves {
		if hs[i].how != "" {
			rs = append(rs, &schema.KeyRange{From: m.Range.From, To: m.Range.To, Target: m.Target, Born: m.Born, Fence: firstFence(epoch)})
			passed = append(passed, hs[i].text)
		}
	}
	return rs, passed
}

func count(rs []*schema.KeyRange) int {
	n := 0
	for _, r := range rs {
		n += int(r.To-r.From) + 1
	}
	return n
}

// moved ends a series of moves.
func (k *Keeper) moved(tenure int) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.tenure == tenure {
		k.moving = false
		k.paused = nil
	}
}

// grantAll grants ranges to their new owners. Renewals follow up on a grant
// that fails.
func (k *Keeper) grantAll(c context.Context, v *view.View, rs []*schema.KeyRange, handovers []string) {
	k.eachOwner(v, rs, func(i int, h *holding, t *platform.Target) {
		if err := k.grant(c, h, t.Endpoint(), rs[i], k.hold, handovers[i]); err != nil {
			k.failed("grant-failed", rs[i], err)
		}
	})
}

// eachOwner calls f for each range whose owner has an address, for all at a time,
// and waits. It holds the owner's calls meanwhile.
func (k *Keeper) eachOwner(v *view.View, rs []*schema.KeyRange, f func(i int, h *holding, t *platform.Target)) {
	var g sync.WaitGroup
	for i, r := range rs {
		t := v.Run(r.Target, r.Born)
		if t == nil {
			continue
		}
		k.mu.Lock()
		h := k.holding(r)
		k.mu.Unlock()
		g.Go(func() {
			h.calls.Lock()
			defer h.calls.Unlock()
			f(i, h, t)
		})
	}
	g.Wait()
}

// announceTimeout bounds the news to one instance; the others read the store.
const announceTimeout = 500 * time.Millisecond

// announce tells all instances of a move.
func (k *Keeper) announce(c context.Context, v *view.View, q *schema.KeysRequest) {
	k.owners.Update(clock.Boot(), q)
	for _, i := range v.Instances {
		if i.ID == k.self.ID || k.alive.Suspected(i) {
			continue
		}
		k.group.Go(func() {
			c, stop := context.WithTimeout(c, announceTimeout)
			defer stop()
			if err := k.pool.Call(c, i.RPCAddress, "Gate.Keys", q, &schema.Empty{}); err != nil && !errors.Is(err, context.Canceled) {
				k.log.Debug().Str("event", "announce-failed").Str("instance", i.ID).Err(err).Msg("")
			}
		})
	}
}
