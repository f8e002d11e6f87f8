package shard

// retireIdle adds to the plan the removal of shards of hot keys that have become
// idle: a merge if the shard has the same owner as the base shard, and otherwise
// a move to that owner. It does so only if more than half of MaxHot are in use,
// so that keys whose load varies keep their shards.
func (b *rebalancer) retireIdle(s State, r *Plan) {
	if 2*b.hotCount <= b.MaxHot {
		return
	}
	idle := b.MoveCost * hotCostFactor * b.mean / 2
	moved := map[ID]bool{}
	for _, m := range r.Moves {
		moved[m.Shard] = true
	}
	for n := range Blocks(s.Map.Count()) {
		k := s.Map.Block(n)
		if k == nil {
			continue
		}
		for _, o := range k.overrides {
			v, ok := s.Rates[o.ID]
			base := Base(o.Hash, s.Map.Count())
			if !ok || v >= idle || s.Frozen[o.ID] || moved[o.ID] || moved[base] {
				continue
			}
			e := k.entry(base)
			if to := b.find(e.Upstream); e.Upstream == o.Upstream {
				r.Merges = append(r.Merges, o.Hash)
			} else if to != nil && !to.Closed && len(r.Moves) < b.MaxMoves {
				r.Moves = append(r.Moves, Move{o.ID, o.Upstream, e.Upstream})
			}
		}
	}
}
