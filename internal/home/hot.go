package home

import (
	"dandelionrock.example/dandelionrock/shard"
)

// mergeTarget stands for the new owner of a shard that is given up. No upstream
// has an empty name.
const mergeTarget = ""

// commitSplits gives hot keys a shard of their own at their present owner.
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
			i := shard.Base(k, h.c.Service.ShardCount)
			e, ok := b.Entry(i)
			if !ok || e.Upstream != h.c.Upstream.Name {
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

// planMerge asks for the shard of a hot key to be merged into its base shard.
// Like a move, it waits until nothing is executed under the shard's token. The
// caller holds mu.
func (h *Home) planMerge(k shard.KeyHash) {
	m := h.c.Directory.Map(h.c.Lease.Organisation, h.c.Service.Name)
	if m == nil {
		return
	}
	i, owner, _ := m.FindHash(k)
	b := shard.Base(k, m.Count())
	e, ok := m.Entry(b)
	if ok && i != b && owner == h.c.Upstream.Name && e.Upstream == owner {
		if _, busy := h.moves[i]; !busy {
			h.moves[i] = mergeTarget
		}
	}
}

// holdSplit keeps the new shard of a hot key where it is for as long as a request
// on the key that was dispatched under the base shard may be executed. An
// upstream that checks fences refuses such a request by its older epoch. The
// caller holds mu.
func (h *Home) holdSplit(m *shard.Map, i shard.ID) {
	if h.checked() || uint32(i) < m.Count() || h.lease.Owned(i) {
		return
	}
	f := h.flight(i)
	f.until = max(f.until, h.c.Now().Add(h.c.Lease.Drift.Stretch(h.c.Lease.MaxRequest)))
}
