package keeper

import (
	"context"
	"errors"
	"time"

	"dandelionrock.example/dandelionrock/clock"
	"dandelionrock.example/dandelionrock/internal/plan/keys"
	"dandelionrock.example/dandelionrock/platform"
	"dandelionrock.example/dandelionrock/schema"
	"google.golang.org/protobuf/proto"
)

// goneHold is the hold time of grants that raise the fence of a target that is
// gone from the store, or was restarted. Such a grant must expire before the next attempt.
// Otherwise the keys of an owner that receives the calls but can't answer would
// never become free.
const goneHold = time.Second

// raiseAttempts is the number of attempts at a grant with a higher fence.
const raiseAttempts = 3

// raiseFence makes sure, before a target is asked to release keys, that it will
// refuse every grant that may still be in flight: those of earlier keepers, and
// those that it has not answered. A later run than the owner has seen none of the
// owner's fences. It returns the range with the fence that the target has
// acknowledged. The caller holds the target's callMu.
func (k *Keeper) raiseFence(c context.Context, takeover int, h *grantState, t *platform.Target, r *schema.KeyRange, d time.Duration) (*schema.KeyRange, error) {
	k.mu.Lock()
	settled := h.hold.Settled(r)
	k.mu.Unlock()
	if settled && t.Born == r.Born {
		return r, nil
	}
	return k.grantHigher(c, takeover, h, t, r, d, "")
}

// grantHigher grants a range to its owner with a higher fence, and returns it
// with that fence. The caller holds the target's callMu.
func (k *Keeper) grantHigher(c context.Context, takeover int, h *grantState, t *platform.Target, r *schema.KeyRange, d time.Duration, handover string) (*schema.KeyRange, error) {
	var err error
	for range raiseAttempts {
		n, ok := k.withHigherFence(takeover, r)
		if !ok {
			return nil, errNotKeeper
		}
		err = k.grant(c, h, t.Endpoint(), n, d, handover)
		if err == nil {
			k.recordFence(takeover, n)
			return n, nil
		}
		if errors.Is(err, platform.ErrReplaced) || errors.Is(err, platform.ErrFenced) {
			break
		}
	}
	return nil, err
}

// errNotKeeper is returned when the instance is no longer the keeper or its
// authority has expired.
var errNotKeeper = errors.New("no longer the keeper")

// withHigherFence returns a copy of a range with a higher fence of the current
// epoch; false if the instance is no longer the keeper or its authority has
// expired.
func (k *Keeper) withHigherFence(takeover int, r *schema.KeyRange) (*schema.KeyRange, bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.row == nil || k.takeovers != takeover || clock.Boot().Sub(k.confirmed) > authority {
		return nil, false
	}
	k.raisedFences++
	n := proto.CloneOf(r)
	n.Fence = firstFence(k.row.Epoch) + k.raisedFences
	return n, true
}

// recordFence records a fence that a target has acknowledged. A fence without
// an answer is not recorded: if it takes effect later, the target refuses the
// next renewal under the old fence, and all fences are raised.
func (k *Keeper) recordFence(takeover int, n *schema.KeyRange) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.row == nil || k.takeovers != takeover {
		return
	}
	k.row.Ranges = keys.Ranges(k.row.Ranges).Replace(n)
}

// fenceCounterBits is the width of the low part of a fence, which counts the
// fences raised within an epoch. The epoch is the high part.
const fenceCounterBits = 16

// firstFence returns the lowest fence of an epoch.
func firstFence(epoch uint64) uint64 { return epoch << fenceCounterBits }

// rewrite raises all fences if a target has refused a grant, or a new era of the store
// has begun since the row was written. In a new era it does so even without authority,
// which the row that is lost can't give any more.
func (k *Keeper) rewrite(c context.Context, now clock.Time) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.row != nil && !k.rewriting && k.changes == 0 && len(k.paused) == 0 && k.rewriteDue(now) {
		k.raiseAllFences(c)
	}
}

// rewriteDue reports whether all fences are to be raised. The caller holds mu.
func (k *Keeper) rewriteDue(now clock.Time) bool {
	return k.fenceRefused && now.Sub(k.confirmed) <= authority || k.eraSettled(now)
}

// raiseAllFences writes the assignment with a new epoch. The caller holds mu.
func (k *Keeper) raiseAllFences(c context.Context) {
	k.rewriting, k.fenceRefused = true, false
	t := k.newChange()
	era := k.era
	k.run(func() {
		defer k.endRewrite(t.takeover)
		t.row.Epoch = nextEpoch(t.row.Epoch, era)
		t.row.Ranges = keys.Ranges(t.row.Ranges).Refence(firstFence(t.row.Epoch))
		n, sent, err := k.commit(c, t.row, t.old, unlimitedRefusals)
		if err != nil || !k.applyChange(t, n, sent, nil) {
			k.log.Warn().Str("event", "refence-failed").Uint64("epoch", t.row.Epoch).Err(err).Msg("")
			return
		}
		k.log.Info().Str("event", "fences-raised").Uint64("epoch", t.row.Epoch).Msg("")
		k.renewNow()
	})
}

// endRewrite ends the write of all fences, if it belongs to the given takeover.
func (k *Keeper) endRewrite(takeover int) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.takeovers == takeover {
		k.rewriting = false
	}
}

// renewNow makes the renewals of all grants due.
func (k *Keeper) renewNow() {
	k.mu.Lock()
	defer k.mu.Unlock()
	for _, h := range k.grantStates {
		h.renewedAt = 0
	}
}
