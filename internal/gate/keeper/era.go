package keeper

import (
	"context"
	"time"

	"dandelionrock.example/dandelionrock/clock"
	"dandelionrock.example/dandelionrock/internal/plan/hold"
	"dandelionrock.example/dandelionrock/internal/state/view"
	"dandelionrock.example/dandelionrock/peer"
	"dandelionrock.example/dandelionrock/platform"
	"dandelionrock.example/dandelionrock/schema"
)

// A store that was restored from an older copy has lost the last writes of the row, and
// may give their versions out again. The keeper continues with the assignment that it
// wrote last: it writes it again, with an epoch of the new era. Epochs, and with them
// fences, of a new era are above all earlier ones, known or lost.
//
// An instance that takes over before that knows the lost writes only as far as they had
// reached it. It grants no keys until all grants of earlier keepers have expired.

// epochBits is the width of the part of an epoch that counts within an era.
const epochBits = 24

// eraOf returns the era of the store in which an epoch began.
func eraOf(epoch uint64) platform.Era { return platform.Era(epoch >> epochBits) }

// nextEpoch returns the epoch after another one, in an era of the store.
func nextEpoch(epoch uint64, e platform.Era) uint64 {
	return max(epoch+1, uint64(e)<<epochBits)
}

// restoredWait is the time in a new era before an instance takes over from a keeper that
// has not written its row again: the keeper needs about a second for that, and an
// instance that has just started learns the latest assignment from others.
const restoredWait = 3 * time.Second

// noteEra records the highest era that the instance knows of, and since when. The caller
// holds mu.
func (k *Keeper) noteEra(now clock.Time) {
	if e := max(k.store.Era(), k.syncer.OwnEra()); e > k.era {
		if k.era == 0 {
			k.firstEra = e
		}
		k.era, k.eraSince = e, now
	}
}

// mayBeLost reports whether writes of earlier keepers may be lost that came after the row
// with an epoch, which was replaced in an era.
func (k *Keeper) mayBeLost(epoch uint64, e platform.Era) bool {
	if eraOf(epoch) == 0 {
		// There was no row, or one of a version of the program without eras.
		return e > k.firstEra
	}
	return e > eraOf(epoch)
}

// settleTime is the time in a new era before the keeper writes its row again: a successor
// whose takeover the store has lost makes itself known within it.
const settleTime = time.Second

// eraSettled reports whether a new era has begun since the row was written, and successors
// have had time to make themselves known. The caller holds mu.
func (k *Keeper) eraSettled(now clock.Time) bool {
	return k.era > eraOf(k.row.Epoch) && now.Sub(k.eraSince) >= settleTime
}

// maxPause is the pause between two steps above which the instance counts as having stood
// still: others may have taken it for lost.
const maxPause = time.Second

// notePause records when the instance last stood still. The caller holds mu.
func (k *Keeper) notePause(now clock.Time) {
	if k.steppedAt != 0 && now.Sub(k.steppedAt) > maxPause {
		k.pausedAt = now
	}
	k.steppedAt = now
}

// mayHaveSuccessor reports whether another instance may have taken over from this keeper
// without its knowledge. The caller holds mu.
func (k *Keeper) mayHaveSuccessor(now clock.Time) bool {
	return now.Sub(k.confirmed) > authority || k.pausedAt != 0 && now.Sub(k.pausedAt) < authority
}

// awaitGrants makes the keeper wait until the grants of all earlier keepers have expired,
// of which any may still act. The caller holds mu.
func (k *Keeper) awaitGrants(now clock.Time) {
	k.predecessorEnd, k.predecessor = now.Add(hold.Longest(authority)+hold.LongestUnanswered(k.hold)), ""
	k.quietUntil, k.yielded = k.predecessorEnd, map[string]bool{}
	k.log.Warn().Str("event", "keys-withheld").Uint64("epoch", k.row.Epoch).Dur("for", k.quietUntil.Sub(now)).Msg("assignments may have been lost with the store")
}

// askAll ends the wait for the authority of unknown predecessors once every instance has
// answered that it does not keep the service. The caller holds mu.
func (k *Keeper) askAll(c context.Context, now clock.Time, v *view.View) {
	if k.yielded == nil || now >= k.quietUntil || now.Sub(k.predecessorPingedAt) < keeperPingInterval {
		return
	}
	k.predecessorPingedAt = now
	q := &schema.PingRequest{InstanceId: k.self.ID, Service: k.service, Epoch: k.row.Epoch}
	all := true
	for _, i := range v.Instances {
		if i.ID != k.self.ID && !k.yielded[i.ID] {
			all = false
			k.run(func() { k.askToYield(c, i, q) })
		}
	}
	if all && now.Sub(k.eraSince) >= restoredWait {
		k.yielded = nil
		k.endPredecessorAuthority(now)
		k.quietUntil = k.predecessorEnd
	}
}

// askToYield asks an instance to step down as the keeper of the service. An instance that
// has restarted answers for its earlier run, which has ended.
func (k *Keeper) askToYield(c context.Context, i peer.Instance, q *schema.PingRequest) {
	c, stop := context.WithTimeout(c, pingTimeout)
	defer stop()
	var a schema.PingReply
	err := k.pool.Call(c, i.RPCAddress, "Gate.Ping", q, &a)
	k.mu.Lock()
	defer k.mu.Unlock()
	if err == nil && !a.Keeps && k.yielded != nil && k.row != nil {
		k.yielded[i.ID] = true
	}
}
