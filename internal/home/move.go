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
	// movePoll is how often the mover looks whether the upstream has to be
	// evacuated. Answers of the upstream and requests that end wake it at once.
	movePoll = 100 * time.Millisecond
	// movingPoll is the same while shards are being moved: grants expire without
	// a signal.
	movingPoll = 10 * time.Millisecond
	// failurePause separates two events of the same failure, so that they don't
	// push the others out of the timeline.
	failurePause = 5 * time.Second
	// settleTimeout bounds one attempt to settle a transaction, after which the
	// mover looks at the state of the home again.
	settleTimeout = 2 * time.Second
	// storePause separates two attempts while the store does not answer.
	storePause = 250 * time.Millisecond
)

// Move asks for shards to be moved to other upstreams, for hot keys to get a
// shard of their own, and for such shards to be given up. Shards that the
// upstream does not own are ignored.
func (h *Home) Move(m *schema.MoveRequest) {
	h.mu.Lock()
	for _, t := range m.GetTargets() {
		if t.GetUpstream() != h.c.Upstream.Name {
			h.moves[shard.ID(t.GetShard())] = t.GetUpstream()
		}
	}
	for _, k := range m.GetSplitKeys() {
		h.splits[shard.Hash(h.c.Service.Name, k)] = true
	}
	for _, k := range m.GetMergeHashes() {
		h.planMerge(shard.KeyHash(k))
	}
	h.mu.Unlock()
	signal(h.moveNow)
}

func (h *Home) moveLoop() {
	for h.wait(h.moveNow, h.movePause()) {
		h.planEvacuation()
		if h.pendingTxn() {
			h.settle()
			continue
		}
		h.commitSplits()
		h.commitMoves()
	}
}

// movePause returns how long the mover may sleep without a signal.
func (h *Home) movePause() time.Duration {
	h.mu.Lock()
	defer h.mu.Unlock()
	if len(h.moves) > 0 || h.silent(h.c.Now()) > h.c.Lease.TTL/2 {
		return movingPoll
	}
	return movePoll
}

// planEvacuation asks for all shards to be moved once the upstream drains or
// has been silent for too long.
func (h *Home) planEvacuation() {
	h.mu.Lock()
	now := h.c.Now()
	d := max(h.c.Service.EvacuateAfter, h.c.Lease.TTL)
	due := h.synced && (h.leaving != 0 || h.silent(now) > d) && h.lease.State(now).Owned > 0
	h.mu.Unlock()
	if !due {
		return
	}
	l, err := h.c.Targets()
	if err != nil {
		if now.Sub(h.failed) > failurePause {
			h.failed = now
			h.c.Events.Record("evacuation-failed", string(h.c.Key), event.Err(err))
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
		h.c.Events.Record("evacuation-started", string(h.c.Key), event.Int("shards", len(h.moves)),
			event.Duration("silent", h.silent(now)))
	}
}

// release stops the dispatch on the shards that shall move, and returns those
// that the upstream can no longer act on, with their new owners.
func (h *Home) release() map[shard.ID]string {
	h.mu.Lock()
	defer h.mu.Unlock()
	now, ready, fresh := h.c.Now(), make(map[shard.ID]string), false
	for i, to := range h.moves {
		if !h.lease.Owned(i) {
			delete(h.moves, i)
			continue
		}
		fresh = fresh || !h.lease.Releasing(i)
		h.lease.Release(i)
		if ok, _ := h.lease.CanMove(now, i); ok && h.drained(now, i) {
			ready[i] = to
		}
	}
	if fresh {
		signal(h.renewNow)
	}
	return ready
}

// drained reports whether no request on the shard can be executing. Requests of
// an upstream whose grants have expired don't count: it refuses their effect.
// The caller holds mu.
func (h *Home) drained(now clock.Time, i shard.ID) bool {
	f := h.flights[i]
	if f == nil || f.count == 0 && f.until <= now {
		return true
	}
	return h.checked() && h.silent(now) > h.c.Lease.Drift.Stretch(h.c.Lease.TTL)
}

// commitMoves commits the new owners of all shards that are ready.
func (h *Home) commitMoves() {
	ready := h.release()
	if len(ready) == 0 {
		return
	}
	t, err := h.txn(func(b *shard.Block) (*shard.Block, error) {
		x := b
		for i, to := range ready {
			if shard.BlockOf(i, h.c.Service.ShardCount) != b.Number() {
				continue
			}
			e, ok := b.Entry(i)
			if !ok || e.Upstream != h.c.Upstream.Name {
				continue
			}
			y, err := h.change(x, i, to)
			if err != nil {
				return nil, err
			}
			x = y
		}
		return x, nil
	})
	h.commit(t, err)
}

// change returns b with a shard moved, or merged into its base shard if that is
// what it was released for.
func (h *Home) change(b *shard.Block, i shard.ID, to string) (*shard.Block, error) {
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

// txn builds a transaction that applies change to every block of the service.
// It is conditional on the home row and on the blocks, so that it can't land
// after another home or another change has come first.
func (h *Home) txn(change func(b *shard.Block) (*shard.Block, error)) (*table.Txn, error) {
	x := &table.Txn{ID: table.NewTxnID(), Checks: []table.Check{{Key: h.c.Key, Version: h.c.Version}}}
	for n := range shard.Blocks(h.c.Service.ShardCount) {
		r, ok := h.c.Directory.Row(route.BlockKey(h.c.Lease.Organisation, h.c.Service.Name, n))
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

// put returns the write of a changed block, or nil if change left it as it was.
func (h *Home) put(r table.Row, n int, change func(b *shard.Block) (*shard.Block, error)) (*table.Put, error) {
	var m schema.BlockRow
	if err := proto.Unmarshal(r.Value, &m); err != nil {
		return nil, errors.Wrapf(err, "row %s", r.Key)
	}
	b, err := shard.Decode(h.c.Service.ShardCount, n, &m)
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

func (h *Home) pendingTxn() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.pending != nil
}

// commit makes t the pending transaction and settles it.
func (h *Home) commit(t *table.Txn, err error) {
	if err != nil || len(t.Puts) == 0 {
		if err != nil {
			h.c.Events.Record("move-failed", string(h.c.Key), event.Err(err))
		}
		return
	}
	h.mu.Lock()
	h.pending = t
	h.mu.Unlock()
	h.settle()
}

// settle finds out what becomes of the pending transaction. While that is not
// known, the shards stay released: the write may still take effect.
func (h *Home) settle() {
	h.mu.Lock()
	t := h.pending
	h.mu.Unlock()
	c, f := context.WithTimeout(h.life, settleTimeout)
	err := table.Settle(c, h.c.Store, *t)
	f()
	switch {
	case err == nil:
		h.finish(t)
	case errors.Is(err, table.ErrAmbiguous):
		h.mu.Lock()
		t.Repeat = true
		h.mu.Unlock()
		h.wait(nil, storePause)
	case errors.Is(err, table.ErrConflict):
		h.abandon(err)
		h.confirm()
	default:
		h.abandon(err)
		h.wait(nil, storePause)
	}
}

// finish applies and announces the rows of a committed transaction.
func (h *Home) finish(t *table.Txn) {
	rows := t.Rows()
	h.c.Directory.Apply(rows...)
	m := h.c.Directory.Map(h.c.Lease.Organisation, h.c.Service.Name)
	h.mu.Lock()
	h.pending = nil
	n := 0
	for i := range h.moves {
		if e, ok := m.Entry(i); !ok || e.Upstream != h.c.Upstream.Name {
			h.lease.Remove(i)
			delete(h.moves, i)
			n++
		}
	}
	evacuated := n > 0 && (h.leaving != 0 || h.silent(h.c.Now()) > h.c.Lease.TTL)
	h.mu.Unlock()
	h.c.Announce(rows)
	if evacuated {
		// The requests that wait need not wait for the slots of an upstream that
		// may be frozen: the entry sends them to the new owners.
		h.gate.Clear()
	}
	h.Sync()
	h.c.Events.Record("move-committed", string(h.c.Key), event.Int("shards", n), event.String("transaction", string(t.ID)))
}

// abandon forgets a transaction that is known never to take effect. Shards of an
// upstream that still serves are dispatched to again.
func (h *Home) abandon(err error) {
	h.mu.Lock()
	h.pending = nil
	for i := range h.moves {
		if h.leaving == 0 && h.silent(h.c.Now()) <= h.c.Lease.TTL {
			h.lease.Restore(i)
			delete(h.moves, i)
		}
	}
	h.mu.Unlock()
	signal(h.renewNow)
	h.c.Events.Record("move-abandoned", string(h.c.Key), event.Err(err))
}
