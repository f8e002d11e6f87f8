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

// grantTimeout bounds one exchange of a grant, as a fraction of the time to
// live. A lost message must leave time for another one before grants expire.
const grantTimeout = 2

// renewals is the number of renewals within one time to live.
const renewals = 5

func (h *Home) renewLoop() {
	p := h.c.Lease.TTL / renewals
	for h.wait(h.renewNow, p) {
		h.renew()
	}
}

// renew exchanges one grant message with the upstream.
func (h *Home) renew() {
	h.mu.Lock()
	sent := h.c.Now()
	m, ok := h.lease.Grant(sent)
	h.mu.Unlock()
	if !ok {
		return
	}
	c, f := context.WithTimeout(h.life, h.c.Lease.TTL/grantTimeout)
	defer f()
	a, err := h.c.Granter.Grant(c, m)
	if err != nil {
		// The shards of an upstream that doesn't answer have to be known, too.
		signal(h.confirmNow)
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	now := h.c.Now()
	if err := h.lease.Answer(sent, now, a); errors.Is(err, lease.ErrSuperseded) {
		h.c.Events.Record("home-superseded", string(h.c.Key), event.Uint("term", a.GetTerm()))
		return
	}
	h.watchDrain(now)
	if h.lease.NeedsConfirm() || !h.synced {
		signal(h.confirmNow)
	}
	if m.GetBootId() == "" {
		signal(h.renewNow)
	}
	signal(h.moveNow)
}

// watchDrain records when the upstream began to drain. The caller holds mu.
func (h *Home) watchDrain(now clock.Time) {
	switch {
	case !h.lease.Draining() && !h.evicted:
		h.leaving = 0
	case h.leaving == 0:
		h.leaving = now
		h.c.Events.Record("upstream-draining", string(h.c.Key))
	}
}

const (
	// confirmations is the number of reads of the home row within one hold time,
	// so that some may fail.
	confirmations = 4
	// confirmPause and maxConfirmPause bound the pause after a failed read of the
	// home row. It doubles with each failure and varies by a half, so that the
	// homes don't read together when the store comes back.
	confirmPause    = 50 * time.Millisecond
	maxConfirmPause = 5 * time.Second
)

func (h *Home) confirmLoop() {
	p := confirmPause
	for h.wait(h.confirmNow, h.c.Lease.Hold/confirmations) {
		if !h.needsConfirm() || h.confirm() {
			p = confirmPause
			continue
		}
		if !h.wait(nil, p/2+rand.N(p)) {
			return
		}
		p = min(2*p, maxConfirmPause, h.c.Lease.Hold/confirmations)
		signal(h.confirmNow)
	}
}

func (h *Home) needsConfirm() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.lease.Superseded() {
		return false
	}
	due := h.lease.State(h.c.Now()).ConfirmedFor < h.c.Lease.Hold*(confirmations-1)/confirmations
	return due || h.lease.NeedsConfirm() || !h.synced
}

// confirm reads the home row and the shards in one read and reports whether
// the read succeeded.
func (h *Home) confirm() bool {
	k := []table.Key{h.c.Key}
	n := shard.Blocks(h.c.Service.ShardCount)
	for i := range n {
		k = append(k, route.BlockKey(h.c.Lease.Organisation, h.c.Service.Name, i))
	}
	sent := h.c.Now()
	rows, err := h.c.Store.Read(h.life, k...)
	if err != nil {
		return false
	}
	h.c.Directory.Apply(rows...)
	h.ObserveRow(sent, rows[0])
	h.mu.Lock()
	h.synced = true
	h.mu.Unlock()
	h.Sync()
	signal(h.renewNow)
	return true
}

// ObserveRow takes the home row as read by a read that was sent at the given
// time.
func (h *Home) ObserveRow(sent clock.Time, r table.Row) {
	h.mu.Lock()
	defer h.mu.Unlock()
	switch {
	case r.Version == h.c.Version:
		h.lease.Confirm(sent)
	case r.Version > h.c.Version:
		h.lease.Supersede()
	}
}
