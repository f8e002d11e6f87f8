package shard

// retire adds to the plan what gives up the shards of hot keys that have become
// idle: a merge where the owner is that of the base shard, else a move there.
// It does so only when more than half of p.MaxHot are in use, so that keys
// whose load comes and goes keep their shards.
func (b *balance) retire(s State, r *Plan) {
	if 2*b.hot <= b.MaxHot {
		return
	}
	idle := b.MoveCost * hotCost * b.mean / 2
	moved := map[ID]bool{}
	for _, m := range r.Moves {
		moved[m.Shard] = true
	}
	for n := range Blocks(s.Map.Count()) {
		k := s.Map.Block(n)
		if k == nil {
			continue
		}
		for _, o := range k.hot {
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
