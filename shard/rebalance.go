package shard

import (
	"cmp"
	"slices"
)

// Policy determines when a rebalance moves shards and how many. The load of an
// upstream is its requests per second divided by its weight; ratios are relative
// to the mean load of all open upstreams.
type Policy struct {
	// Above is the ratio of the highest to the mean load above which shards are
	// moved. 1 or less disables the balancing of load.
	Above float64
	// Below is the ratio at which the moves stop. The distance between Below
	// and Above is a hysteresis: it keeps small changes of load from causing
	// moves. 0 means halfway between 1 and Above.
	Below float64
	// MaxMoves is the maximum number of moves and splits of one plan; 0 means
	// 16.
	MaxMoves int
	// MaxHot is the number of shards of hot keys in the service from which on
	// no keys are split; 0 means 256.
	MaxHot int
	// MoveCost is the fraction of the mean load by which the move of a base
	// shard must lower the higher load of the two upstreams; 0 means 0.02. The
	// move of a hot key need only lower it by a quarter of that, because it
	// changes the owner of one key only. The same holds for the move of a base
	// shard away from an upstream that is still above the limit at which moves
	// begin.
	MoveCost float64
}

// hotCostFactor is the cost of moving a hot key relative to moving a base shard.
// It covers the write to the table and the pause of the key.
const hotCostFactor = 0.25

// urgentCostFactor is the cost of moving a base shard away from an upstream that
// is still above the limit at which moves begin, relative to one that is only
// above the limit at which they stop. It does not apply to hot keys: there it
// caused hundreds of splits with little effect.
const urgentCostFactor = 0.25

// Plan is a proposal to balance the load.
type Plan struct {
	// Splits are keys that should be given their own shards. A plan with splits
	// has no moves: the next plan moves the new shards.
	Splits []HotKey
	Moves  []Move
	// Merges are the hashes of hot keys whose shards are idle and have the same
	// owner as their base shards.
	Merges []KeyHash
	// Before is the ratio of the highest load to the mean load. After is the
	// expected ratio after the moves, including those of the split keys.
	Before, After float64
	// Floor is the load of the heaviest shard or hot key, which cannot be
	// divided, on the upstream with the highest weight, as a ratio to the mean
	// load. No plan reaches a lower ratio.
	Floor float64
}

// Rebalance proposes splits and moves that bring the highest load below p.Above
// times the mean load, and merges of idle hot keys. It moves hot keys before
// base shards. The plan is empty if no load is known.
func (s State) Rebalance(p Policy) Plan {
	p = p.withDefaults()
	b := newRebalancer(s, p)
	if b == nil {
		return Plan{}
	}
	r := Plan{Before: b.highestRatio(), Floor: b.floorRatio()}
	if p.Above > 1 {
		b.run()
	}
	r.After = b.highestRatio()
	for _, i := range b.moved {
		if i.item.key != "" {
			r.Splits = append(r.Splits, HotKey{i.item.key, i.item.size})
		}
	}
	if len(r.Splits) > 0 {
		return r
	}
	for _, i := range b.moved {
		if i.from != i.to {
			r.Moves = append(r.Moves, Move{i.item.id, i.from.Name, i.to.Name})
		}
	}
	b.retireIdle(s, &r)
	return r
}

func (p Policy) withDefaults() Policy {
	if p.Below <= 0 {
		p.Below = (1 + p.Above) / 2
	}
	if p.MaxMoves <= 0 {
		p.MaxMoves = 16
	}
	if p.MaxHot <= 0 {
		p.MaxHot = 256
	}
	if p.MoveCost <= 0 {
		p.MoveCost = 0.02
	}
	return p
}

// rebalancer is the state of one call of Rebalance.
type rebalancer struct {
	*workingState
	Policy
	// open holds the upstreams that are not closed.
	open []*owner
	// mean is the mean load.
	mean  float64
	moved []*movedItem
	// hotCount is the number of shards of hot keys, including those that the
	// splits in moved would add.
	hotCount int
}

// movedItem is an item that was moved, perhaps more than once, with its first
// owner and its last.
type movedItem struct {
	item     item
	from, to *owner
}

// newRebalancer returns nil if the open upstreams have no measured load.
func newRebalancer(s State, p Policy) *rebalancer {
	b := &rebalancer{workingState: newWorkingState(s), Policy: p}
	total := 0.0
	for _, u := range b.upstreams {
		// Only the measured load counts here, without idleShare.
		u.size = u.rate
		for p := range u.items {
			u.items[p].size = u.items[p].rate
			if u.items[p].hot {
				b.hotCount++
			}
		}
		if !u.Closed {
			b.open = append(b.open, u)
			total += u.size
		}
	}
	if total <= 0 {
		return nil
	}
	b.mean = total / b.weight
	b.separateHotKeys(s)
	return b
}

// separateHotKeys makes the hot keys that have no shard of their own items of
// their own, which can be moved without their base shards.
func (b *rebalancer) separateHotKeys(s State) {
	hot := slices.Clone(s.Hot)
	slices.SortFunc(hot, func(x, y HotKey) int {
		return cmp.Or(cmp.Compare(y.Rate, x.Rate), cmp.Compare(x.Key, y.Key))
	})
	seen := map[KeyHash]bool{}
	for _, k := range hot {
		h := s.Map.Hash(k.Key)
		i, name, _ := s.Map.FindHash(h)
		if seen[h] || uint32(i) >= s.Map.Count() || s.Frozen[i] || k.Key == "" {
			continue
		}
		seen[h] = true
		if o := b.find(name); o != nil && !o.Closed {
			o.separate(i, item{id: i, hash: h, key: k.Key, hot: true, rate: k.Rate})
		}
	}
}

// separate removes the load of the hot key k from the base shard i and adds k as
// an item of its own.
func (o *owner) separate(i ID, k item) {
	p := slices.IndexFunc(o.items, func(j item) bool { return j.id == i && !j.hot })
	k.size = min(k.rate, o.items[p].size)
	o.items[p].size -= k.size
	o.items = append(o.items, k)
}

// attached returns the hot keys of a base shard that have no shard of their own,
// which move together with the base shard.
func (o *owner) attached(base item) (r []item) {
	for _, k := range o.items {
		if !base.hot && k.id == base.id && k.key != "" {
			r = append(r, k)
		}
	}
	return r
}

// load returns the load relative to the weight.
func (o *owner) load() float64 { return o.size / o.weight() }

// highestRatio returns the ratio of the highest load to the mean load.
func (b *rebalancer) highestRatio() float64 {
	m := 0.0
	for _, u := range b.open {
		m = max(m, u.load())
	}
	return m / b.mean
}

// floorRatio returns Plan.Floor.
func (b *rebalancer) floorRatio() float64 {
	m, w := 0.0, 0.0
	for _, u := range b.open {
		w = max(w, u.weight())
		for _, i := range u.items {
			m = max(m, i.size)
		}
	}
	return m / w / b.mean
}

// run moves items until no upstream is above its limit, no move is worth its
// cost, or MaxMoves items have moved.
func (b *rebalancer) run() {
	// started holds the upstreams from which items were to be moved in this
	// run. The value is false once no further move is worth its cost.
	started := map[*owner]bool{}
	for len(b.moved) < b.MaxMoves {
		u := b.mostOverloaded(started)
		if u == nil {
			return
		}
		started[u] = b.moveBest(u)
	}
}

// mostOverloaded returns the most loaded upstream that is above its limit, or
// nil. The limit is the lower one for upstreams in started; those without a
// further worthwhile move are skipped.
func (b *rebalancer) mostOverloaded(started map[*owner]bool) *owner {
	var r *owner
	for _, u := range b.open {
		limit, high := b.limits(u)
		more, ok := started[u]
		if !ok {
			limit = high
		}
		if l := u.load(); (more || !ok) && l > limit && (r == nil || l > r.load()) {
			r = u
		}
	}
	return r
}

// limits returns the loads at which moves away from an upstream stop and begin.
// If the heaviest item alone exceeds Below, all other items may be moved away.
// The moves then begin no lower than a quarter of the hysteresis above the load
// of that item, so that small changes of load do not cause moves.
func (b *rebalancer) limits(u *owner) (low, high float64) {
	m := 0.0
	for _, i := range u.items {
		m = max(m, i.size/u.weight())
	}
	band := (b.Above - b.Below) / 4
	return max(b.Below*b.mean, m), max(b.Above*b.mean, m+band*b.mean)
}

// moveBest moves the item of u with the highest gain to its best destination,
// and considers base shards only if no move of a hot key is worth its cost. It
// reports whether it moved an item.
func (b *rebalancer) moveBest(u *owner) bool {
	for _, hot := range []bool{true, false} {
		least := b.MoveCost * b.mean
		if hot {
			least *= hotCostFactor
		}
		if _, high := b.limits(u); !hot && u.load() > high {
			least *= urgentCostFactor
		}
		var best item
		var to *owner
		for _, i := range u.items {
			if i.hot != hot || i.frozen || i.key != "" && b.hotCount >= b.MaxHot {
				continue
			}
			whole := i
			for _, k := range u.attached(i) {
				whole.size += k.size
			}
			if t, g := b.bestDestination(u, whole); g >= least {
				best, to, least = i, t, g+1e-12
			}
		}
		if to != nil {
			b.moveItem(best, u, to)
			return true
		}
	}
	return false
}

// bestDestination returns the best destination for an item of u, or nil, and the
// gain: by how much the higher load of the two upstreams decreases.
func (b *rebalancer) bestDestination(u *owner, i item) (*owner, float64) {
	t := b.leastLoaded(u, i.size)
	if t == nil {
		return nil, 0
	}
	return t, u.load() - max((u.size-i.size)/u.weight(), (t.size+i.size)/t.weight())
}

// moveItem moves an item with its attached hot keys and records it in moved.
func (b *rebalancer) moveItem(i item, from, to *owner) {
	for _, k := range from.attached(i) {
		b.workingState.move(k, from, to)
	}
	b.workingState.move(i, from, to)
	p := slices.IndexFunc(b.moved, func(c *movedItem) bool { return c.item.id == i.id && c.item.hash == i.hash })
	if p >= 0 {
		b.moved[p].to = to
		return
	}
	if i.key != "" {
		b.hotCount++
	}
	b.moved = append(b.moved, &movedItem{i, from, to})
}
