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

// commit writes an assignment. A write without an answer may still be
// performed. It is sent again until it is settled: it succeeds, or the row shows
// whether an earlier try did. The error is ErrConflict, or that of c.
//
// Unless maxRefusals is untilSettled, it returns ErrRefused after so many tries if
// the store has refused all of them: the write was not performed and never will
// be.
func (k *Keeper) commit(c context.Context, m *schema.KeyMap, expect platform.Version, maxRefusals int) (platform.Version, clock.Time, error) {
	m.Nonce = rand.Uint64()
	k.mu.Lock()
	k.writing = m.Nonce
	k.mu.Unlock()
	b, err := proto.Marshal(m)
	if err != nil {
		return 0, 0, errors.Wrap(err, "encode keys")
	}
	key := view.PrefixKeys + k.service
	w := platform.Write{
		Expect: []platform.Condition{{Table: platform.TableOwn, Key: key, Version: expect}},
		Put:    []platform.Row{{Table: platform.TableOwn, Key: key, Value: b}},
	}
	refusals, doubt := 0, false
	for pause := minCommitPause; c.Err() == nil; pause = min(2*pause, maxCommitPause) {
		sent := clock.Boot()
		r, err := k.store.Commit(c, w)
		k.answered(sent, err == nil || errors.Is(err, platform.ErrConflict))
		if err == nil {
			k.spread.Learn(key, b, r.Version)
			return r.Version, sent, nil
		}
		if errors.Is(err, platform.ErrConflict) {
			return k.settle(r, m, b, sent)
		}
		k.log.Warn().Str("event", "commit-failed").Uint64("epoch", m.Epoch).Err(err).Msg("")
		doubt = doubt || !errors.Is(err, platform.ErrRefused)
		if refusals++; refusals == maxRefusals && !doubt {
			return 0, 0, err
		}
		clock.Sleep(c, pause)
	}
	return 0, 0, c.Err()
}

// untilSettled has a write tried however often the store refuses it.
const untilSettled = 0

// minCommitPause and maxCommitPause bound the time between two tries of a write;
// failed reads of the row are maxCommitPause apart.
const (
	minCommitPause = 150 * time.Millisecond
	maxCommitPause = 600 * time.Millisecond
)

// settle decides whether a conflict is due to an earlier try of the same write.
func (k *Keeper) settle(r platform.Rows, m *schema.KeyMap, b []byte, sent clock.Time) (platform.Version, clock.Time, error) {
	for _, v := range r.Rows {
		var n schema.KeyMap
		if v.Key != view.PrefixKeys+k.service || v.Value == nil {
			continue
		}
		if err := proto.Unmarshal(v.Value, &n); err != nil {
			return 0, 0, errors.Wrap(err, "decode keys")
		}
		if n.Nonce == m.Nonce {
			k.spread.Learn(v.Key, b, v.Version)
			return v.Version, sent, nil
		}
		k.spread.Learn(v.Key, v.Value, v.Version)
	}
	return 0, 0, platform.ErrConflict
}

// confirm reads the row from the store if it was not seen for some time; the
// caller holds mu.
func (k *Keeper) confirm(c context.Context, now clock.Time) {
	if now.Sub(k.confirmed) >= confirmInterval {
		k.startConfirm(c, now)
	}
}

// startConfirm reads the row unless it is being read; the caller holds mu.
func (k *Keeper) startConfirm(c context.Context, now clock.Time) {
	if k.confirming {
		return
	}
	k.confirming = true
	k.group.Go(func() { k.confirmOnce(c, now) })
}

// confirmOnce reads the row by a call sent at the given time or later. A row of
// another writer is left to compare.
func (k *Keeper) confirmOnce(c context.Context, sent clock.Time) {
	key := view.PrefixKeys + k.service
	r, err := k.store.Get(c, platform.TableOwn, key)
	k.answered(sent, err == nil)
	if err != nil {
		k.log.Debug().Str("event", "confirm-failed").Err(err).Msg("")
		clock.Sleep(c, maxCommitPause)
	} else if r.Value != nil {
		k.spread.Learn(key, r.Value, r.Version)
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	k.confirming = false
	if err == nil && k.row != nil && r.Version == k.version {
		k.confirmed = max(k.confirmed, sent)
	}
}

// answered records whether the store answered a call of the keeper.
func (k *Keeper) answered(sent clock.Time, ok bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	switch {
	case ok:
		k.failing, k.answeredAt = 0, clock.Boot()
	case k.failing == 0:
		k.failing = sent
	}
}

// justNow is the age up to which an answer of the store tells that it will take
// a write: one step to ask it and one to act on the answer.
const justNow = 2 * tick

// storeAnswers reports whether the store has just answered the keeper. If not,
// it asks the store, for a later step to know. The caller holds mu.
func (k *Keeper) storeAnswers(c context.Context, now clock.Time) bool {
	if k.answeredAt != 0 && now.Sub(k.answeredAt) <= justNow {
		return true
	}
	k.startConfirm(c, now)
	return false
}

// deniedAfter is the time without an answer of the store after which a keeper
// should be succeeded if others reach the store. It exceeds freshAge, so that
// nobody tries in an outage for all.
const deniedAfter = 2500 * time.Millisecond

// Denied reports whether the instance keeps the service and the store has not
// answered it for some time.
func (k *Keeper) Denied(now clock.Time) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.row != nil && k.failing != 0 && now.Sub(k.failing) > deniedAfter
}
