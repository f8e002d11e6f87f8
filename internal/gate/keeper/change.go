package keeper

import (
	"context"
	"slices"
	"time"

	"dandelionrock.example/dandelionrock/clock"
	"dandelionrock.example/dandelionrock/internal/plan/keys"
	"dandelionrock.example/dandelionrock/internal/state/view"
	"dandelionrock.example/dandelionrock/platform"
	"dandelionrock.example/dandelionrock/schema"
	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"
)

const (
	// maxChanges bounds the changes in progress. One whose targets take long to release
	// their keys must not hold up the next one.
	maxChanges = 3
	// commitDelay is the time after the first release of a change, or after a commit, in
	// which further keys become free to be committed together: each commit is a call to
	// the store.
	commitDelay = 100 * time.Millisecond
	// maxAnnounceDelay is the longest time for which the announcement of new owners waits
	// for the answers to their grants.
	maxAnnounceDelay = 150 * time.Millisecond
)

// isPaused reports whether any key of a range is being moved. The caller holds
// mu.
func (k *Keeper) isPaused(r *schema.KeyRange) bool {
	return slices.ContainsFunc(k.paused, func(p keys.Move) bool { return p.Range.To >= r.From && p.Range.From <= r.To })
}

// startChange starts a series of moves, without those whose keys are being moved or have
// another owner since the plan. It reports whether there are any. The caller holds mu.
func (k *Keeper) startChange(c context.Context, v *view.View, a assignment, moves []keys.Move, why string) bool {
	if k.row == nil || k.rewriting || k.takeovers != a.takeover {
		return false
	}
	moves = slices.DeleteFunc(slices.Clone(moves), func(m keys.Move) bool {
		return k.isPaused(m.Range) || !isAssigned(k.row.Ranges, m.Range)
	})
	if len(moves) == 0 {
		return false
	}
	k.changes++
	k.paused = append(k.paused, moves...)
	t, epoch := k.takeovers, k.row.Epoch
	k.run(func() { k.moveAll(c, v, t, epoch, moves, why) })
	return true
}

// isAssigned reports whether keys are assigned as stated in r: keys without an owner are in
// no range.
func isAssigned(rs keys.Ranges, r *schema.KeyRange) bool {
	n := rs.Find(r.From)
	if n == nil {
		return r.Target == ""
	}
	return n.To >= r.To && n.Target == r.Target && n.Born == r.Born && n.Fence == r.Fence
}

// moveAll moves keys. Those that become free first are committed and granted first, since
// the keys are out of service meanwhile and a target ends its work on them before it
// releases them.
func (k *Keeper) moveAll(c context.Context, v *view.View, takeover int, epoch uint64, moves []keys.Move, why string) {
	defer k.endChange(takeover)
	var ranges []*schema.KeyRange
	for _, m := range moves {
		ranges = append(ranges, m.Range)
	}
	k.announce(c, v, &schema.KeysRequest{Service: k.service, Epoch: epoch, Ranges: ranges, Moving: true})
	begin := clock.Boot()
	for b := range k.releaseAll(c, v, takeover, moves) {
		k.moveFreed(c, v, takeover, b, why, begin)
	}
}

// freedMove is a move whose keys are free, or failed to become free.
type freedMove struct {
	keys.Move
	handover
}

// moveFreed commits the new owners of keys that are free and grants the keys to them.
func (k *Keeper) moveFreed(c context.Context, v *view.View, takeover int, freed []freedMove, why string, begin clock.Time) {
	failed := slices.DeleteFunc(slices.Clone(freed), func(m freedMove) bool { return m.freedBy != "" })
	k.unpause(takeover, failed)
	freed = slices.DeleteFunc(freed, func(m freedMove) bool { return m.freedBy == "" })
	if len(freed) == 0 {
		return
	}
	epoch, changed, err := k.commitFreed(c, takeover, freed, why)
	if errors.Is(err, platform.ErrRefused) {
		k.regrantReleased(c, v, takeover, freed)
	}
	if err != nil {
		k.log.Warn().Str("event", "move-failed").Uint64("epoch", epoch).Str("why", why).Int("ranges", len(freed)).Err(err).Msg("")
		k.unpause(takeover, freed)
		return
	}
	k.run(func() {
		defer k.unpause(takeover, freed)
		granted := make(chan struct{})
		k.run(func() {
			defer close(granted)
			k.grantAll(c, v, changed, textsOf(freed))
		})
		select {
		case <-granted:
		case <-time.After(maxAnnounceDelay):
		}
		k.announce(c, v, &schema.KeysRequest{Service: k.service, Epoch: epoch, Ranges: changed})
		<-granted
		n, took := countKeys(changed), clock.Boot().Sub(begin)
		k.meter.KeysMoved(k.service, why, n, took)
		if why == whyBalance {
			for _, m := range freed {
				k.meter.KeyRelieved(k.service, took+time.Duration(m.Observations+1)*rebalanceInterval)
			}
		}
		k.log.Info().Str("event", "keys-moved").Uint64("epoch", epoch).Str("why", why).Int("ranges", len(changed)).
			Int("keys", n).Dur("took", took).Msg("")
	})
}

// commitFreed writes the assignment with the new owners of keys that are free. It returns
// the epoch and the ranges of the new owners.
func (k *Keeper) commitFreed(c context.Context, takeover int, freed []freedMove, why string) (uint64, []*schema.KeyRange, error) {
	for {
		epoch, changed, err := k.tryCommit(c, takeover, freed)
		if why == whyBalance || !errors.Is(err, platform.ErrRefused) {
			return epoch, changed, err
		}
		clock.Sleep(c, maxCommitBackoff)
	}
}

// tryCommit is one attempt of commitFreed. Changes take turns, as each write is based on
// the one before.
func (k *Keeper) tryCommit(c context.Context, takeover int, freed []freedMove) (uint64, []*schema.KeyRange, error) {
	k.commitMu.Lock()
	defer k.commitMu.Unlock()
	k.mu.Lock()
	if k.row == nil || k.takeovers != takeover {
		k.mu.Unlock()
		return 0, nil, errNotKeeper
	}
	t := k.newChange()
	k.mu.Unlock()
	t.row.Epoch++
	changed := assignFreed(t.row.Epoch, freed)
	t.row.Ranges = keys.Ranges(t.row.Ranges).Replace(changed...)
	version, sent, err := k.commit(c, t.row, t.old, maxMoveRefusals)
	if err == nil && !k.applyChange(t, version, sent, changed) {
		err = errNotKeeper
	}
	return t.row.Epoch, changed, err
}

// change is the state of the assignment at the start of a write.
type change struct {
	takeover int
	// row is the assignment to write, and old the one that it replaces.
	row *schema.KeyMap
	old stored
}

// newChange returns a change of the present assignment. The caller holds mu.
func (k *Keeper) newChange() change {
	return change{k.takeovers, proto.CloneOf(k.row), storedAs(k.row, k.version)}
}

// applyChange makes a committed change the state of the keeper. If only some ranges have
// changed, the others keep the fences that were raised meanwhile. It reports false if the
// instance has stepped down or become the keeper anew since the change began.
func (k *Keeper) applyChange(t change, version platform.Version, sent clock.Time, changed []*schema.KeyRange) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.row == nil || k.takeovers != t.takeover {
		return false
	}
	succeeded := version.Era() > t.old.version.Era() && k.mayHaveSuccessor(clock.Boot())
	if len(changed) > 0 {
		t.row.Ranges = keys.Ranges(k.row.Ranges).Replace(changed...)
	}
	k.row, k.version, k.confirmed, k.raisedFences = t.row, version, max(k.confirmed, sent), 0
	if succeeded {
		k.awaitGrants(clock.Boot())
	}
	return true
}

// assignFreed returns the ranges that became free with their new owners.
func assignFreed(epoch uint64, freed []freedMove) []*schema.KeyRange {
	var rs []*schema.KeyRange
	for _, m := range freed {
		rs = append(rs, &schema.KeyRange{From: m.Range.From, To: m.Range.To, Target: m.Target, Born: m.Born, Fence: firstFence(epoch)})
	}
	return rs
}

// textsOf returns the texts to hand over.
func textsOf(freed []freedMove) []string {
	var ts []string
	for _, m := range freed {
		ts = append(ts, m.text)
	}
	return ts
}

func countKeys(rs []*schema.KeyRange) int {
	n := 0
	for _, r := range rs {
		n += int(r.To-r.From) + 1
	}
	return n
}

// unpause ends the pause of keys that have been moved or stay with their owners.
func (k *Keeper) unpause(takeover int, moves []freedMove) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.takeovers != takeover {
		return
	}
	k.paused = slices.DeleteFunc(k.paused, func(p keys.Move) bool {
		return slices.ContainsFunc(moves, func(m freedMove) bool { return m.Range.From == p.Range.From && m.Range.To == p.Range.To })
	})
}

// endChange ends a change, if it belongs to the given takeover.
func (k *Keeper) endChange(takeover int) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.takeovers == takeover {
		k.changes--
	}
}
