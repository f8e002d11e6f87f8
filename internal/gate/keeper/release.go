package keeper

import (
	"context"
	"sync"

	"dandelionrock.example/dandelionrock/clock"
	"dandelionrock.example/dandelionrock/internal/plan/keys"
	"dandelionrock.example/dandelionrock/internal/state/view"
	"dandelionrock.example/dandelionrock/platform"
	"dandelionrock.example/dandelionrock/schema"
	"github.com/cockroachdb/errors"
)

// handover is the result of a release.
type handover struct {
	text string
	// how tells how the owner came to hold the keys no more; empty if it may
	// still hold them.
	how string
}

func (k *Keeper) releaseAll(c context.Context, v *view.View, tenure int, moves []keys.Move) []handover {
	out := make([]handover, len(moves))
	var g sync.WaitGroup
	for i, m := range moves {
		g.Go(func() { out[i] = k.release(c, v, tenure, m.Range) })
	}
	g.Wait()
	return out
}

// How a range came free, as it is logged.
const (
	takenEnded    = "run-ended"
	takenRunOut   = "grants-run-out"
	takenReplaced = "address-replaced"
	takenReleased = "released"
)

// release takes a range from its owner.
func (k *Keeper) release(c context.Context, v *view.View, tenure int, r *schema.KeyRange) handover {
	k.mu.Lock()
	h := k.holding(r)
	t := v.Run(r.Target, r.Born)
	answers := k.answers(v, r)
	if !answers && k.free(clock.Boot(), v, r) {
		k.mu.Unlock()
		if v.Ended(r.Target, r.Born) {
			return k.taken(r, takenEnded, "")
		}
		return k.taken(r, takenRunOut, "")
	}
	h.asked = clock.Boot()
	k.mu.Unlock()
	if t == nil {
		return handover{}
	}
	limit, d := goneTimeout, min(goneHold, k.hold)
	if answers {
		limit, d = releaseTimeout, k.hold
	}
	c, stop := context.WithTimeout(c, limit)
	defer stop()
	h.calls.Lock()
	defer h.calls.Unlock()
	n, err := k.raiseFence(c, tenure, h, t, r, d)
	if errors.Is(err, platform.ErrReplaced) {
		return k.taken(r, takenReplaced, "")
	}
	if err != nil {
		k.failed("grant-failed", r, err)
		return handover{}
	}
	s, err := k.granter.Release(c, t.Endpoint(), keysOf(n))
	if errors.Is(err, platform.ErrReplaced) {
		return k.taken(r, takenReplaced, "")
	}
	if err != nil {
		k.failed("release-failed", r, err)
		return handover{}
	}
	return k.taken(n, takenReleased, s)
}

// taken logs that a target holds a range no more, and how that is known.
func (k *Keeper) taken(r *schema.KeyRange, how, text string) handover {
	k.log.Info().Str("event", "keys-taken").Str("target", r.Target).Uint64("fence", r.Fence).Uint32("from", r.From).Uint32("to", r.To).Str("how", how).Msg("")
	return handover{text, how}
}

// balanceRefusals is how often the store may refuse a write of moves for balance
// before they are given up: a store that is only busy takes the second one.
const balanceRefusals = 2

// giveBack grants keys that were released to their owners again, after the write
// of t.row was not performed. A grant that fails is left to renewals.
func (k *Keeper) giveBack(c context.Context, v *view.View, t tenure, moves []keys.Move, hs []handover) {
	var back []*schema.KeyRange
	var passed []string
	for i, m := range moves {
		if hs[i].how == takenReleased {
			back = append(back, m.Range)
			passed = append(passed, hs[i].text)
		}
	}
	k.eachOwner(v, back, func(i int, h *holding, target *platform.Target) {
		if _, err := k.grantHigher(c, t.number, h, target, back[i], k.hold, passed[i]); err != nil {
			k.failed("give-back-failed", back[i], err)
		}
	})
	epoch := t.row.Epoch - 1
	k.announce(c, v, &schema.KeysRequest{Service: k.service, Epoch: epoch, Ranges: back})
	k.log.Info().Str("event", "keys-given-back").Uint64("epoch", epoch).Int("ranges", len(back)).Int("keys", count(back)).Msg("")
}
