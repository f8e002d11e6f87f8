package home

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"

	"dandelionrock.example/dandelionrock/clock"
	"dandelionrock.example/dandelionrock/event"
	"dandelionrock.example/dandelionrock/route"
	"dandelionrock.example/dandelionrock/schema"
	"dandelionrock.example/dandelionrock/shard"
	"dandelionrock.example/dandelionrock/table"
)

const (
	// idleMovePoll is the interval at which moveLoop checks whether the upstream
	// has to be evacuated. Answers of the upstream and the end of requests wake it
	// at once.
	idleMovePoll = 100 * time.Millisecond
	// activeMovePoll is the interval while shards are moving, because no signal
	// is sent when a grant expires.
	activeMovePoll = 10 * time.Millisecond
	// failureEventInterval is the minimum interval between events for the same
	// failure, so that they don't displace other events from the timeline.
	failureEventInterval = 5 * time.Second
	// settleTimeout is the timeout of one attempt to settle a transaction.
	// Afterwards moveLoop checks the state of the home again.
	settleTimeout = 2 * time.Second
	// storeRetryDelay is the delay after a failed attempt to settle a
	// transaction.
	storeRetryDelay = 250 * time.Millisecond
)

// Move requests that shards move to other upstreams, that hot keys get a shard of
// their own, and that such shards are merged into their base shards. Shards that
// the upstream does not own are ignored.
func (h *Home) Move(m *schema.MoveRequest) {
	h.mu.Lock()
	for _, t := range m.GetTargets() {
		if t.GetUpstream() != h.config.Upstream.Name {
			h.moves[shard.ID(t.GetShard())] = t.GetUpstream()
		}
	}
	for _, k := range m.GetSplitKeys() {
		h.splits[shard.Hash(h.config.Service.Name, k)] = true
	}
	for _, k := range m.GetMergeHashes() {
		h.planMerge(shard.KeyHash(k))
	}
	h.mu.Unlock()
	signal(h.moveNow)
}

// moveLoop commits moves, splits and merges until the home is closed.
func (h *Home) moveLoop() {
	for h.wait(h.moveNow, h.movePollInterval()) {
		h.planEvacuation()
		if h.pendingTxn() {
			h.settle()
			continue
		}
		h.commitSplits()
		h.commitMoves()
	}
}

// movePollInterval returns how long moveLoop may wait without a signal.
func (h *Home) movePollInterval() time.Duration {
	h.mu.Lock()
	defer h.mu.Unlock()
	if len(h.moves) > 0 || h.silentFor(h.config.Now()) > h.config.Lease.TTL/2 {
		return activeMovePoll
	}
	return idleMovePoll
}

// planEvacuation requests moves of all shards if the upstream drains or has not
// answered for too long.
func (h *Home) planEvacuation() {
	h.mu.Lock()
	now := h.config.Now()
	d := max(h.config.Service.EvacuateAfter, h.config.Lease.TTL)
	due := h.synced && (h.drainingSince != 0 || h.silentFor(now) > d) && h.lease.State(now).Owned > 0
	h.mu.Unlock()
	if !due {
		return
	}
	l, err := h.config.Targets()
	if err != nil {
		if now.Sub(h.failureRecordedAt) > failureEventInterval {
			h.failureRecordedAt = now
			h.config.Events.Record("evacuation-failed", string(h.config.Key), event.Err(err))
		}
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	n := len(h.moves)
	for _, m := range l {
		if _, busy := h.moves[m.Shard]; !busy {
			h.moves[m.Shard] = m.To
		}
	}
	if n == 0 && len(h.moves) > 0 {
		h.config.Events.Record("evacuation-started", string(h.config.Key), event.Int("shards", len(h.moves)),
			event.Duration("silent", h.silentFor(now)))
	}
}

// release stops dispatching requests on the shards that have to move. It returns
// the new owners of those that the upstream can no longer act on.
func (h *Home) release() map[shard.ID]string {
	h.mu.Lock()
	defer h.mu.Unlock()
	now, ready, releasedNow := h.config.Now(), make(map[shard.ID]string), false
	for i, to := range h.moves {
		if !h.lease.Owned(i) {
			delete(h.moves, i)
			continue
		}
		releasedNow = releasedNow || !h.lease.Releasing(i)
		h.lease.Release(i)
		if ok, _ := h.lease.CanMove(now, i); ok && h.drained(now, i) {
			ready[i] = to
		}
	}
	if releasedNow {
		signal(h.renewNow)
	}
	return ready
}

// drained reports whether no request on the shard can still take effect. If the
// upstream checks fences and its grants have expired, requests in flight don't
// matter, because it refuses them. The caller holds mu.
func (h *Home) drained(now clock.Time, i shard.ID) bool {
	f := h.inFlight[i]
	if f == nil || f.count == 0 && f.mayRunUntil <= now {
		return true
	}
	return h.fencingChecked() && h.silentFor(now) > h.config.Lease.Drift.Stretch(h.config.Lease.TTL)
}

// commitMoves commits the new owners of all shards that release returns.
func (h *Home) commitMoves() {
	ready := h.release()
	if len(ready) == 0 {
		return
	}
	t, err := h.txn(func(b *shard.Block) (*shard.Block, error) {
		x := b
		for i, to := range ready {
			if shard.BlockOf(i, h.config.Service.ShardCount) != b.Number() {
				continue
			}
			e, ok := b.Entry(i)
			if !ok || e.Upstream != h.config.Upstream.Name {
				continue
			}
			y, err := h.moveOrMerge(x, i, to)
			if err != nil {
				return nil, err
			}
			x = y
		}
		return x, nil
	})
	h.commit(t, err)
}

// moveOrMerge returns b with a shard moved to another upstream, or merged into its
// base shard if to is mergeTarget.
func (h *Home) moveOrMerge(b *shard.Block, i shard.ID, to string) (*shard.Block, error) {
	if to != mergeTarget {
		return b.Move(i, to)
	}
	for _, o := range b.Overrides() {
		if o.ID == i {
			return b.Merge(o.Hash)
		}
	}
	return nil, shard.ErrNoShard
}

// txn returns a transaction that applies change to every block of the service.
// It is conditional on the versions of the home row and the blocks, so that it
// fails after a commit by another home or of another change.
func (h *Home) txn(change func(b *shard.Block) (*shard.Block, error)) (*table.Txn, error) {
	x := &table.Txn{ID: table.NewTxnID(), Checks: []table.Check{{Key: h.config.Key, Version: h.config.Version}}}
	for n := range shard.Blocks(h.config.Service.ShardCount) {
		r, ok := h.config.Directory.Row(route.BlockKey(h.config.Lease.Organisation, h.config.Service.Name, n))
		if !ok {
			continue
		}
		p, err := h.put(r, n, change)
		if err != nil {
			return nil, err
		}
		if p != nil {
			x.Puts = append(x.Puts, *p)
		}
	}
	return x, nil
}

// put returns the write of block n with change applied, or nil if change returned
// the block unchanged.
func (h *Home) put(r table.Row, n int, change func(b *shard.Block) (*shard.Block, error)) (*table.Put, error) {
	var m schema.BlockRow
	if err := proto.Unmarshal(r.Value, &m); err != nil {
		return nil, errors.Wrapf(err, "row %s", r.Key)
	}
	b, err := shard.Decode(h.config.Service.ShardCount, n, &m)
	if err != nil {
		return nil, err
	}
	x, err := change(b)
	if err != nil || x == b {
		return nil, err
	}
	v, err := proto.Marshal(x.Row())
	if err != nil {
		return nil, err
	}
	p := r.Put(v)
	return &p, nil
}

// pendingTxn reports whether there is a transaction whose result is not known.
func (h *Home) pendingTxn() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.pending != nil
}

// commit makes t the pending transaction and tries to settle it. It does nothing
// if t is empty, and only records err if that is not nil.
func (h *Home) commit(t *table.Txn, err error) {
	if err != nil || len(t.Puts) == 0 {
		if err != nil {
			h.config.Events.Record("move-failed", string(h.config.Key), event.Err(err))
		}
		return
	}
	h.mu.Lock()
	h.pending = t
	h.mu.Unlock()
	h.settle()
}

// settle tries to learn the result of the pending transaction. Until the result
// is known, the shards stay released, because the write may still take effect.
func (h *Home) settle() {
	h.mu.Lock()
	t := h.pending
	h.mu.Unlock()
	c, f := context.WithTimeout(h.ctx, settleTimeout)
	err := table.Settle(c, h.config.Store, *t)
	f()
	switch {
	case err == nil:
		h.applyCommitted(t)
	case errors.Is(err, table.ErrAmbiguous):
		h.mu.Lock()
		t.Repeat = true
		h.mu.Unlock()
		h.wait(nil, storeRetryDelay)
	case errors.Is(err, table.ErrConflict):
		h.abandon(err)
		h.confirm()
	default:
		h.abandon(err)
		h.wait(nil, storeRetryDelay)
	}
}

// applyCommitted applies the rows of a committed transaction to the directory and
// announces them.
func (h *Home) applyCommitted(t *table.Txn) {
	rows := t.Rows()
	h.config.Directory.Apply(rows...)
	m := h.config.Directory.Map(h.config.Lease.Organisation, h.config.Service.Name)
	h.mu.Lock()
	h.pending = nil
	n := 0
	for i := range h.moves {
		if e, ok := m.Entry(i); !ok || e.Upstream != h.config.Upstream.Name {
			h.lease.Remove(i)
			delete(h.moves, i)
			n++
		}
	}
	evacuated := n > 0 && (h.drainingSince != 0 || h.silentFor(h.config.Now()) > h.config.Lease.TTL)
	h.mu.Unlock()
	h.config.Announce(rows)
	if evacuated {
		// Queued requests must not wait for the slots of an upstream that may hang.
		// The entry sends them to the new owners.
		h.gate.Clear()
	}
	h.Sync()
	h.config.Events.Record("move-committed", string(h.config.Key), event.Int("shards", n), event.String("transaction", string(t.ID)))
}

// abandon discards a transaction that will certainly not take effect. If the
// upstream still serves, requests are dispatched to its shards again.
func (h *Home) abandon(err error) {
	h.mu.Lock()
	h.pending = nil
	for i := range h.moves {
		if h.drainingSince == 0 && h.silentFor(h.config.Now()) <= h.config.Lease.TTL {
			h.lease.Restore(i)
			delete(h.moves, i)
		}
	}
	h.mu.Unlock()
	signal(h.renewNow)
	h.config.Events.Record("move-abandoned", string(h.config.Key), event.Err(err))
}
