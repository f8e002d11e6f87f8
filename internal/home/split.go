package home

import (
	"dandelionrock.example/dandelionrock/shard"
)

// mergeTarget is the value in Home.moves for a shard that has to be merged into
// its base shard. No upstream has an empty name.
const mergeTarget = ""

// commitSplits commits a shard of its own for each key in h.splits. The new shard
// has the owner of the base shard.
func (h *Home) commitSplits() {
	h.mu.Lock()
	l := h.splits
	h.splits = make(map[shard.KeyHash]bool)
	h.mu.Unlock()
	if len(l) == 0 {
		return
	}
	t, err := h.txn(func(b *shard.Block) (*shard.Block, error) {
		x := b
		for k := range l {
			i := shard.Base(k, h.config.Service.ShardCount)
			e, ok := b.Entry(i)
			if !ok || e.Upstream != h.config.Upstream.Name {
				continue
			}
			if y, _, err := x.Split(k); err == nil {
				x = y
			}
		}
		return x, nil
	})
	h.commit(t, err)
}

// planMerge requests that the shard of a hot key is merged into its base shard.
// Like a move, the merge is committed once the upstream can no longer execute
// requests under the token of the shard. The caller holds mu.
func (h *Home) planMerge(k shard.KeyHash) {
	m := h.config.Directory.Map(h.config.Lease.Organisation, h.config.Service.Name)
	if m == nil {
		return
	}
	i, owner, _ := m.FindHash(k)
	b := shard.Base(k, m.Count())
	e, ok := m.Entry(b)
	if ok && i != b && owner == h.config.Upstream.Name && e.Upstream == owner {
		if _, busy := h.moves[i]; !busy {
			h.moves[i] = mergeTarget
		}
	}
}

// delayMoveAfterSplit keeps the new shard of a hot key from moving for as long as
// a request on the key that was dispatched under the base shard may be executed.
// An upstream that checks fences needs no delay: it refuses such a request by its
// older epoch. The caller holds mu.
func (h *Home) delayMoveAfterSplit(m *shard.Map, i shard.ID) {
	if h.fencingChecked() || uint32(i) < m.Count() || h.lease.Owned(i) {
		return
	}
	f := h.requests(i)
	f.mayRunUntil = max(f.mayRunUntil, h.config.Now().Add(h.config.Lease.Drift.Stretch(h.config.Lease.MaxRequest)))
}
