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

// handover is the result of a release: the text that the old owner passes to
// the next one, and how the range became free.
type handover struct {
	text string
	// freedBy is how the range became free; empty if the owner may still hold
	// it.
	freedBy string
}

func (k *Keeper) releaseAll(c context.Context, v *view.View, takeover int, moves []keys.Move) []handover {
	out := make([]handover, len(moves))
	var g sync.WaitGroup
	for i, m := range moves {
		g.Go(func() { k.guard.Once("keeper", func() { out[i] = k.release(c, v, takeover, m) }) })
	}
	g.Wait()
	return out
}

// How a range became free, as logged.
const (
	freedByEnd         = "run-ended"
	freedByExpiry      = "grants-run-out"
	freedByReplacement = "address-replaced"
	freedByRelease     = "released"
)

// release makes sure that no target but the next owner of a range holds it: the
// owner's run has ended, its grants have expired, or the target releases the range
// when asked. An owner in the store is asked even if its grants have expired, since
// a delayed grant may still arrive.
func (k *Keeper) release(c context.Context, v *view.View, takeover int, m keys.Move) handover {
	r := m.Range
	k.mu.Lock()
	h := k.grantState(r)
	t := k.holder(v, r)
	if by := k.freedBy(clock.Boot(), v, m); by != "" && (t == nil || t.Born != r.Born) {
		k.mu.Unlock()
		return k.logFreed(r, by, "")
	}
	h.releaseAskedAt = clock.Boot()
	k.mu.Unlock()
	limit, d := releaseTimeout, k.hold
	switch {
	case t == nil:
		t, limit, d = v.Run(r.Target, r.Born), goneReleaseTimeout, min(goneHold, k.hold)
	case t.Born != r.Born:
		d = min(goneHold, k.hold)
	}
	if t == nil {
		return handover{}
	}
	c, stop := context.WithTimeout(c, limit)
	defer stop()
	h.callMu.Lock()
	defer h.callMu.Unlock()
	n, err := k.raiseFence(c, takeover, h, t, r, d)
	if errors.Is(err, platform.ErrReplaced) {
		return k.logFreed(r, freedByReplacement, "")
	}
	if err != nil {
		k.logFailedCall("grant-failed", r, err)
		return handover{}
	}
	s, err := k.granter.Release(c, t.Endpoint(), keysOf(n))
	if errors.Is(err, platform.ErrReplaced) {
		return k.logFreed(r, freedByReplacement, "")
	}
	if err != nil {
		k.logFailedCall("release-failed", r, err)
		return handover{}
	}
	return k.logFreed(n, freedByRelease, s)
}

// logFreed logs how a range became free and returns the result of its release.
func (k *Keeper) logFreed(r *schema.KeyRange, freedBy, text string) handover {
	k.log.Info().Str("event", "keys-taken").Str("target", r.Target).Uint64("fence", r.Fence).Uint32("from", r.From).Uint32("to", r.To).Str("how", freedBy).Msg("")
	return handover{text, freedBy}
}

// maxBalanceRefusals is the number of times that the store may refuse the write
// of moves for balance before they are given up. A store that is only busy
// accepts the second attempt.
const maxBalanceRefusals = 2

// regrantReleased grants released keys to their former owners again, after the
// store has refused the write of t.row, so that it was not applied. A grant
// that fails is left to the renewals.
func (k *Keeper) regrantReleased(c context.Context, v *view.View, t change, moves []keys.Move, hs []handover) {
	var released []*schema.KeyRange
	var handoverTexts []string
	for i, m := range moves {
		if hs[i].freedBy == freedByRelease {
			released = append(released, m.Range)
			handoverTexts = append(handoverTexts, hs[i].text)
		}
	}
	k.forEachOwner(v, released, func(i int, h *grantState, target *platform.Target) {
		if _, err := k.grantHigher(c, t.takeover, h, target, released[i], k.hold, handoverTexts[i]); err != nil {
			k.logFailedCall("give-back-failed", released[i], err)
		}
	})
	epoch := t.row.Epoch - 1
	k.announce(c, v, &schema.KeysRequest{Service: k.service, Epoch: epoch, Ranges: released})
	k.log.Info().Str("event", "keys-given-back").Uint64("epoch", epoch).Int("ranges", len(released)).Int("keys", countKeys(released)).Msg("")
}
