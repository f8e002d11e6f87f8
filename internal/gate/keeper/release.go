package keeper

import (
	"context"
	"iter"
	"slices"
	"time"

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

// releaseAll releases the keys of moves. It yields those that became free, or failed to,
// in the order in which they did so.
func (k *Keeper) releaseAll(c context.Context, v *view.View, takeover int, moves []keys.Move) iter.Seq[[]freedMove] {
	freed := make(chan freedMove, len(moves))
	for _, m := range moves {
		k.run(func() {
			n := freedMove{Move: m}
			defer func() { freed <- n }()
			n.handover = k.release(c, v, takeover, m)
		})
	}
	return func(yield func([]freedMove) bool) {
		for left := len(moves); left > 0; {
			b := []freedMove{<-freed}
			for end := time.After(commitDelay); len(b) < left; {
				select {
				case m := <-freed:
					b = append(b, m)
					continue
				case <-end:
				}
				break
			}
			left -= len(b)
			if !yield(b) {
				return
			}
		}
	}
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
	n, err := func() (*schema.KeyRange, error) {
		// The renewals in progress have ended once the lock is taken, and later ones leave
		// out the range. The release doesn't hold up those of the target's other ranges.
		h.callMu.Lock()
		defer h.callMu.Unlock()
		return k.raiseFence(c, takeover, h, t, r, d)
	}()
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

// maxMoveRefusals is the number of times that the store may refuse the write of moves before
// those for balance are given up. A store that is only busy accepts the second attempt.
const maxMoveRefusals = 2

// regrantReleased grants released keys to their former owners again, after the
// store has refused the write of their moves, so that it was not applied. A grant
// that fails is left to the renewals.
func (k *Keeper) regrantReleased(c context.Context, v *view.View, takeover int, freed []freedMove) {
	released := slices.DeleteFunc(slices.Clone(freed), func(m freedMove) bool { return m.freedBy != freedByRelease })
	var rs []*schema.KeyRange
	for _, m := range released {
		rs = append(rs, m.Range)
	}
	k.forEachOwner(v, rs, func(i int, h *grantState, target *platform.Target) {
		if _, err := k.grantHigher(c, takeover, h, target, rs[i], k.hold, released[i].text); err != nil {
			k.logFailedCall("give-back-failed", rs[i], err)
		}
	})
	k.announce(c, v, &schema.KeysRequest{Service: k.service, Ranges: rs})
	k.log.Info().Str("event", "keys-given-back").Int("ranges", len(rs)).Int("keys", countKeys(rs)).Msg("")
}
