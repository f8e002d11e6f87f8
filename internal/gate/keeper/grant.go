package keeper

import (
	"context"
	"time"

	"dandelionrock.example/dandelionrock/clock"
	"dandelionrock.example/dandelionrock/internal/plan/hold"
	"dandelionrock.example/dandelionrock/platform"
	"dandelionrock.example/dandelionrock/schema"
	"github.com/cockroachdb/errors"
)

// renewTarget renews the grants of one target in sequence and stops at the
// first failure.
func (k *Keeper) renewTarget(c context.Context, h *grantState, at platform.Endpoint, rs []*schema.KeyRange) {
	h.callMu.Lock()
	defer h.callMu.Unlock()
	for _, r := range rs {
		if !k.mayRenew(r) {
			continue
		}
		if err := k.grant(c, h, at, r, k.hold, ""); err != nil {
			k.logFailedCall("grant-failed", r, err)
			break
		}
	}
	k.mu.Lock()
	h.renewing = false
	k.mu.Unlock()
}

// mayRenew reports whether the grant of a range may be renewed: this instance
// still has its authority, and the range is assigned as when the renewal was
// planned and is not being moved.
func (k *Keeper) mayRenew(r *schema.KeyRange) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.row == nil || clock.Boot().Sub(k.confirmed) > authority {
		return false
	}
	for _, v := range k.row.Ranges {
		if v.From == r.From && v.To == r.To && v.Target == r.Target && v.Fence == r.Fence && v.Born == r.Born {
			return !k.isPaused(v)
		}
	}
	return false
}

// grant sends one grant with hold time d and records its outcome. The caller
// holds the target's callMu.
func (k *Keeper) grant(c context.Context, h *grantState, at platform.Endpoint, r *schema.KeyRange, d time.Duration, handover string) error {
	c, stop := context.WithTimeout(c, hold.CallTimeout)
	defer stop()
	k.mu.Lock()
	if clock.Boot() < k.quietUntil {
		k.mu.Unlock()
		return errNotKeeper
	}
	before := h.hold.Begin(clock.Boot(), d)
	k.mu.Unlock()
	err := k.granter.Grant(c, at, keysOf(r), d, handover)
	k.mu.Lock()
	defer k.mu.Unlock()
	o := outcome(err)
	h.hold.End(clock.Boot(), before, r, d, o)
	k.fenceRefused = k.fenceRefused || o == hold.Refused
	return err
}

// outcome maps the error of a grant call to its outcome.
func outcome(err error) hold.Outcome {
	switch {
	case err == nil:
		return hold.Acknowledged
	case errors.Is(err, platform.ErrReplaced):
		return hold.Ended
	case errors.Is(err, platform.ErrNotSent):
		return hold.Unsent
	case errors.Is(err, platform.ErrFenced):
		return hold.Refused
	}
	return hold.Unknown
}

// logFailedCall logs a failed call to the owner of a range.
func (k *Keeper) logFailedCall(event string, r *schema.KeyRange, err error) {
	k.log.Warn().Str("event", event).Str("target", r.Target).Uint64("fence", r.Fence).Uint32("from", r.From).Err(err).Msg("")
}

func keysOf(r *schema.KeyRange) platform.Keys {
	return platform.Keys{From: int(r.From), To: int(r.To), Fence: platform.Fence(r.Fence)}
}
