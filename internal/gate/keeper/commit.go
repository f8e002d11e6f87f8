package keeper

import (
	"context"
	"math/rand/v2"
	"time"

	"dandelionrock.example/dandelionrock/clock"
	"dandelionrock.example/dandelionrock/internal/state/view"
	"dandelionrock.example/dandelionrock/platform"
	"dandelionrock.example/dandelionrock/schema"
	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"
)

// commit writes an assignment to the store in place of another one. A write without
// an answer may still be applied, so commit retries until the result is known: the write
// succeeds, or a conflict shows whether an earlier attempt was applied. If the store has
// lost the replaced row, the write replaces what it has. It returns ErrConflict if
// another write came first, the error of c, or an error if a row can't be encoded or
// decoded.
//
// Unless maxRefusals is unlimitedRefusals, it returns ErrRefused after that
// many attempts if the store refused all of them: the write was not and will
// not be applied.
func (k *Keeper) commit(c context.Context, m *schema.KeyMap, old stored, maxRefusals int) (platform.Version, clock.Time, error) {
	m.Nonce, m.Marked = rand.Uint64(), true
	k.mu.Lock()
	k.writeNonce = m.Nonce
	k.mu.Unlock()
	b, err := proto.Marshal(m)
	if err != nil {
		return 0, 0, errors.Wrap(err, "encode keys")
	}
	key := view.PrefixKeys + k.service
	refusals, ambiguous := 0, false
	for backoff := minCommitBackoff; c.Err() == nil; backoff = min(2*backoff, maxCommitBackoff) {
		sent := clock.Boot()
		r, err := k.store.Commit(c, k.write(old, key, b, m.Nonce))
		k.recordAnswer(sent, err == nil || errors.Is(err, platform.ErrConflict))
		if err == nil {
			k.syncer.Learn(key, b, r.Version)
			return r.Version, sent, nil
		}
		if errors.Is(err, platform.ErrConflict) {
			version, found, err := k.resolveConflict(r, m, b, old)
			if version != 0 || err != nil {
				return version, sent, err
			}
			old = found
			clock.Sleep(c, minCommitBackoff)
			continue
		}
		k.log.Warn().Str("event", "commit-failed").Uint64("epoch", m.Epoch).Err(err).Msg("")
		ambiguous = ambiguous || !errors.Is(err, platform.ErrRefused)
		if refusals++; refusals == maxRefusals && !ambiguous {
			return 0, 0, err
		}
		clock.Sleep(c, backoff)
	}
	return 0, 0, c.Err()
}

// unlimitedRefusals makes commit retry however often the store refuses the
// write.
const unlimitedRefusals = 0

// minCommitBackoff and maxCommitBackoff bound the time between two attempts of
// a write. After a failed read of the row, the next one waits for
// maxCommitBackoff.
const (
	minCommitBackoff = 150 * time.Millisecond
	maxCommitBackoff = 600 * time.Millisecond
)

// resolveConflict decides by the row that the store has in place of the one to be
// replaced. It returns the version of the write if an earlier attempt has succeeded,
// which the nonce shows, or else the row to replace if the store has lost the old one.
// Otherwise it returns ErrConflict.
func (k *Keeper) resolveConflict(r platform.Rows, m *schema.KeyMap, b []byte, old stored) (platform.Version, stored, error) {
	key := view.PrefixKeys + k.service
	found, value, err := findStored(r, key)
	switch {
	case err != nil:
		return 0, stored{}, err
	case found.nonce == m.Nonce:
		k.syncer.Learn(key, b, found.version)
		return found.version, stored{}, nil
	case old.wasLost(found, r.Era):
		k.log.Warn().Str("event", "row-lost").Uint64("epoch", m.Epoch).Uint64("found", found.epoch).Uint64("era", uint64(r.Era)).Msg("")
		return 0, found, nil
	case value != nil:
		k.syncer.Learn(key, value, found.version)
	}
	return 0, stored{}, platform.ErrConflict
}

// findStored returns the row with a key among those of a conflict, and its value.
func findStored(r platform.Rows, key string) (stored, []byte, error) {
	for _, v := range r.Rows {
		if v.Table == platform.TableMarkers || v.Key != key || v.Value == nil {
			continue
		}
		var n schema.KeyMap
		if err := proto.Unmarshal(v.Value, &n); err != nil {
			return stored{}, nil, errors.Wrap(err, "decode keys")
		}
		return storedAs(&n, v.Version), v.Value, nil
	}
	return stored{}, nil, nil
}

// confirmIfDue reads the row from the store if it was last confirmed at least
// confirmInterval ago. The caller holds mu.
func (k *Keeper) confirmIfDue(c context.Context, now clock.Time) {
	if now.Sub(k.confirmed) >= confirmInterval {
		k.startConfirm(c, now)
	}
}

// startConfirm reads the row in the background unless a read is in progress.
// The caller holds mu.
func (k *Keeper) startConfirm(c context.Context, now clock.Time) {
	if k.confirming {
		return
	}
	k.confirming = true
	k.run(func() { k.confirmOnce(c, now) })
}

// confirmOnce reads the row by a call sent at the given time or later. A row of
// another writer goes into the view, where reconcile finds it.
func (k *Keeper) confirmOnce(c context.Context, sent clock.Time) {
	key := view.PrefixKeys + k.service
	r, err := k.store.Get(c, platform.TableOwn, key)
	k.recordAnswer(sent, err == nil)
	if err != nil {
		k.log.Debug().Str("event", "confirm-failed").Err(err).Msg("")
		clock.Sleep(c, maxCommitBackoff)
	} else if r.Value != nil {
		k.syncer.Learn(key, r.Value, r.Version)
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	k.confirming = false
	if err == nil && k.row != nil && r.Version == k.version {
		k.confirmed = max(k.confirmed, sent)
	}
	k.noteEra(clock.Boot())
}

// recordAnswer records whether the store answered a call of the keeper that was
// sent at the given time.
func (k *Keeper) recordAnswer(sent clock.Time, ok bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	switch {
	case ok:
		k.failingSince, k.answeredAt = 0, clock.Boot()
	case k.failingSince == 0:
		k.failingSince = sent
	}
}

// maxAnswerAge is the age up to which an answer of the store is taken to show
// that it will accept a write: one step to read from it and one to act on the
// answer.
const maxAnswerAge = 2 * tick

// storeAnswers reports whether the store answered the keeper within
// maxAnswerAge. If not, it starts a read, whose answer a later step will see.
// The caller holds mu.
func (k *Keeper) storeAnswers(c context.Context, now clock.Time) bool {
	if k.answeredAt != 0 && now.Sub(k.answeredAt) <= maxAnswerAge {
		return true
	}
	k.startConfirm(c, now)
	return false
}

// storeLostAfter is the time without an answer of the store after which another
// instance should take over if it reaches the store. It exceeds maxFreshAge, so
// that nobody tries to take over when the store is out of reach for all.
const storeLostAfter = 2500 * time.Millisecond

// StoreLost reports whether this instance is the keeper and the store has not
// answered it for more than storeLostAfter.
func (k *Keeper) StoreLost(now clock.Time) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.row != nil && k.failingSince != 0 && now.Sub(k.failingSince) > storeLostAfter
}
