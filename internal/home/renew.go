package home

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/cockroachdb/errors"

	"dandelionrock.example/dandelionrock/clock"
	"dandelionrock.example/dandelionrock/event"
	"dandelionrock.example/dandelionrock/lease"
	"dandelionrock.example/dandelionrock/route"
	"dandelionrock.example/dandelionrock/shard"
	"dandelionrock.example/dandelionrock/table"
)

// grantTimeoutsPerTTL is the TTL divided by the timeout of one grant message. After
// a lost message, there must be time for another one before the grants expire.
const grantTimeoutsPerTTL = 2

// renewalsPerTTL is the number of renewals within the TTL of a grant.
const renewalsPerTTL = 5

// renewLoop renews the grants until the home is closed.
func (h *Home) renewLoop() {
	p := h.config.Lease.TTL / renewalsPerTTL
	for h.wait(h.renewNow, p) {
		h.renew()
	}
}

// renew exchanges one grant message with the upstream.
func (h *Home) renew() {
	h.mu.Lock()
	sent := h.config.Now()
	m, ok := h.lease.Grant(sent)
	h.mu.Unlock()
	if !ok {
		return
	}
	c, f := context.WithTimeout(h.ctx, h.config.Lease.TTL/grantTimeoutsPerTTL)
	defer f()
	a, err := h.config.Granter.Grant(c, m)
	if err != nil {
		// The first read of the shards must not depend on an answer: the shards of
		// an upstream that doesn't answer have to be evacuated.
		signal(h.confirmNow)
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	now := h.config.Now()
	if err := h.lease.Answer(sent, now, a); errors.Is(err, lease.ErrSuperseded) {
		h.config.Events.Record("home-superseded", string(h.config.Key), event.Uint("term", a.GetTerm()))
		return
	}
	h.updateDraining(now)
	if h.lease.NeedsConfirm() || !h.synced {
		signal(h.confirmNow)
	}
	if m.GetBootId() == "" {
		signal(h.renewNow)
	}
	signal(h.moveNow)
}

// updateDraining sets drainingSince according to the latest answer of the upstream.
// The caller holds mu.
func (h *Home) updateDraining(now clock.Time) {
	switch {
	case !h.lease.Draining() && !h.evacuate:
		h.drainingSince = 0
	case h.drainingSince == 0:
		h.drainingSince = now
		h.config.Events.Record("upstream-draining", string(h.config.Key))
	}
}

const (
	// readsPerHold is the number of reads of the home row within the hold time.
	// The term stays confirmed if some of them fail.
	readsPerHold = 4
	// minConfirmBackoff and maxConfirmBackoff limit the backoff after a failed
	// read of the home row. The backoff doubles with each failure and has a jitter
	// of one half, so that the homes don't read at the same time when the store
	// recovers.
	minConfirmBackoff = 50 * time.Millisecond
	maxConfirmBackoff = 5 * time.Second
)

// confirmLoop confirms the term until the home is closed.
func (h *Home) confirmLoop() {
	p := minConfirmBackoff
	for h.wait(h.confirmNow, h.config.Lease.Hold/readsPerHold) {
		if !h.needsConfirm() || h.confirm() {
			p = minConfirmBackoff
			continue
		}
		if !h.wait(nil, p/2+rand.N(p)) {
			return
		}
		p = min(2*p, maxConfirmBackoff, h.config.Lease.Hold/readsPerHold)
		signal(h.confirmNow)
	}
}

// needsConfirm reports whether the home row has to be read now.
func (h *Home) needsConfirm() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.lease.Superseded() {
		return false
	}
	due := h.lease.State(h.config.Now()).ConfirmedFor < h.config.Lease.Hold*(readsPerHold-1)/readsPerHold
	return due || h.lease.NeedsConfirm() || !h.synced
}

// confirm reads the home row and all blocks of the service in one read. It reports
// whether the read succeeded.
func (h *Home) confirm() bool {
	k := []table.Key{h.config.Key}
	n := shard.Blocks(h.config.Service.ShardCount)
	for i := range n {
		k = append(k, route.BlockKey(h.config.Lease.Organisation, h.config.Service.Name, i))
	}
	sent := h.config.Now()
	rows, err := h.config.Store.Read(h.ctx, k...)
	if err != nil {
		return false
	}
	h.config.Directory.Apply(rows...)
	h.ObserveRow(sent, rows[0])
	h.mu.Lock()
	h.synced = true
	h.mu.Unlock()
	h.Sync()
	signal(h.renewNow)
	return true
}

// ObserveRow processes the version of the home row returned by a read that was
// sent at the given time. The version of this term confirms the term; a higher one
// supersedes it.
func (h *Home) ObserveRow(sent clock.Time, r table.Row) {
	h.mu.Lock()
	defer h.mu.Unlock()
	switch {
	case r.Version == h.config.Version:
		h.lease.Confirm(sent)
	case r.Version > h.config.Version:
		h.lease.Supersede()
	}
}
