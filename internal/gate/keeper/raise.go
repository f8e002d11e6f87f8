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

// goneHold is the time for which a target that is gone from the store is granted
// keys to raise their fence: its last grant must run out before it is asked
// again, or keys whose owner hears the keeper and can't answer would never be
// free.
const goneHold = time.Second

// raiseTries is how often a target is sent a grant with a higher fence.
const raiseTries = 3

// raiseFence makes sure, before a target is asked to release keys, that it will
// refuse all grants that it may not have received yet: those of earlier keepers,
// and those that it has not answered. It returns the range with the fence that
// the target has acknowledged. The caller holds the target's calls.
func (k *Keeper) raiseFence(c context.Context, tenure int, h *holding, t *platform.Target, r *schema.KeyRange, d time.Duration) (*schema.KeyRange, error) {
	k.mu.Lock()
	done := h.hold.Settled(r)
	k.mu.Unlock()
	if done {
		return r, nil
	}
	return k.grantHigher(c, tenure, h, t, r, d, "")
}

// grantHigher grants a range to its owner with a higher fence, and returns it
// with that fence. The caller holds the target's calls.
func (k *Keeper) grantHigher(c context.Context, tenure int, h *holding, t *platform.Target, r *schema.KeyRange, d time.Duration, handover string) (*schema.KeyRange, error) {
	var err error
	for range raiseTries {
		n, ok := k.higher(tenure, r)
		if !ok {
			return nil, errNotKeeper
		}
		err = k.grant(c, h, t.Endpoint(), n, d, handover)
		if err == nil {
			k.raise(tenure, n)
			return n, nil
		}
		if errors.Is(err, platform.ErrReplaced) || errors.Is(err, platform.ErrFenced) {
			break
		}
	}
	return nil, err
}

// errNotKeeper reports that the instance is no longer the keeper.
var errNotKeeper = errors.New("not the keeper any more")

// higher returns a range with a higher fence of the present epoch; false if the
// keeper may no longer act.
func (k *Keeper) higher(tenure int, r *schema.KeyRange) (*schema.KeyRange, bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.row == nil || k.tenure != tenure || clock.Boot().Sub(k.confirmed) > authority {
		return nil, false
	}
	k.raised++
	n := proto.CloneOf(r)
	n.Fence = firstFence(k.row.Epoch) + k.raised
	return n, true
}

// raise records the fence that a target has acknowledged. A fence without an
// answer is not recorded: should it come into force, the next renewal under the
// old one is refused, and all fences are raised.
func (k *Keeper) raise(tenure int, n *schema.KeyRange) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.row == nil || k.tenure != tenure {
		return
	}
	k.row.Ranges = keys.Ranges(k.row.Ranges).Replace(n)
}

// fenceBits is the part of a fence that counts the grants with which a keeper
// raises the fence within an epoch.
const fenceBits = 16

// firstFence returns the lowest fence of an epoch.
func firstFence(epoch uint64) uint64 { return epoch << fenceBits }

// refence raises the fences of all keys after a target has refused one; the
// caller holds mu.
func (k *Keeper) refence(c context.Context) {
	k.moving, k.fenced = true, false
	t := tenure{k.tenure, proto.CloneOf(k.row), k.version}
	k.group.Go(func() {
		defer k.moved(t.number)
		t.row.Epoch++
		t.row.Ranges = keys.Ranges(t.row.Ranges).Refence(firstFence(t.row.Epoch))
		n, sent, err := k.commit(c, t.row, t.version, untilSettled)
		if err != nil || !k.adopt(t, n, sent) {
			k.log.Warn().Str("event", "refence-failed").Uint64("epoch", t.row.Epoch).Err(err).Msg("")
			return
		}
		k.renewNow()
	})
}

// renewNow makes all grants due.
func (k *Keeper) renewNow() {
	k.mu.Lock()
	defer k.mu.Unlock()
	for _, h := range k.holds {
		h.renewed = 0
	}
}
