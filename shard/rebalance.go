package shard

import (
	"cmp"
	"slices"
)

// Policy bounds the churn that a rebalance may cause. Loads are requests per
// second divided by the weight of the upstream; ratios are relative to the mean
// load of all open upstreams.
type Policy struct {
	// Above is the ratio of highest to mean load above which shards move. 1 or
	// less turns rebalancing off.
	Above float64
	// Below is the ratio at which the moves stop. The distance from Above keeps
	// small changes of load from causing moves. 0 means halfway between 1 and
	// Above.
	Below float64
	// MaxMoves bounds the moves and splits of one plan; 0 means 16.
	MaxMoves int
	// MaxHot bounds the shards of hot keys in the service; 0 means 256.
	MaxHot int
	// MoveCost is the part of the mean load by which the move of a base shard
	// must lower the load of its upstream; 0 means 0.02. The move of a hot key
	// must lower it by hotCost times as much, because it changes the owner of
	// one key only.
	MoveCost float64
}

// hotCost is the cost of moving a hot key relative to moving a base shard. It
// covers the write and the pause of the key.
const hotCost = 0.25

// urgentCost is the cost of moving a base shard away from an upstream that is
// still above the limit at which moves begin, relative to one that is only
// above the limit at which they stop. Hot keys have no such discount: it led to
// hundreds of splits with little effect.
const urgentCost = 0.25

// Plan is a proposal to balance the load.
type Plan struct {
	// Splits are keys that should get a shard of their own. A plan with splits
	// has no moves: the plan after it moves the new shards.
	Splits []HotKey
	Moves  []Move
	// Merges are keys whose shards are idle and have the owner of their base
	// shard.
	Merges []KeyHash
	// Before is the ratio of the highest load to the mean load, and After what
	// it should be after the moves, including those of the split keys.
	Before, After float64
	// Floor is the load of the heaviest item that can't be divided, as a ratio
	// to the mean load. No plan gets below it.
	Floor float64
}

// Rebalance proposes the splits and moves that bring the highest load below
// p.Above times the mean load. It moves hot keys before base shards.
func (s State) Rebalance(p Policy) Plan {
	p = p.withDefaults()
	b := newBalance(s, p)
	if b == nil {
		return Plan{}
	}
	r := Plan{Before: b.highest(), Floor: b.floor()}
	if p.Above > 1 {
		b.run()
	}
	r.After = b.highest()
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
	b.retire(s, &r)
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

// balance is a rebalance in progress.
type balance struct {
	*work
	Policy
	// open holds the upstreams that take part.
	open []*owner
	// mean is the mean load.
	mean  float64
	moved []*change
	// hot counts the shards of hot keys, with those that moved would add.
	hot int
}

// change is an item that has moved, perhaps more than once.
type change struct {
	item     item
	from, to *owner
}

// newBalance returns nil if no load is known.
func newBalance(s State, p Policy) *balance {
	b := &balance{work: newWork(s), Policy: p}
	total := 0.0
	for _, u := range b.ups {
		// Only measured load counts here, not the number of shards.
		u.size = u.rate
		for p := range u.items {
			u.items[p].size = u.items[p].rate
			if u.items[p].hot {
				b.hot++
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
	b.divide(s)
	return b
}

// divide takes the hot keys that have no shard of their own out of their base
// shards, as items that can move alone.
func (b *balance) divide(s State) {
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
			o.split(i, item{id: i, hash: h, key: k.Key, hot: true, rate: k.Rate})
		}
	}
}

// split makes k, which is part of base shard i, an item of its own.
func (o *owner) split(i ID, k item) {
	p := slices.IndexFunc(o.items, func(j item) bool { return j.id == i && !j.hot })
	k.size = min(k.rate, o.items[p].size)
	o.items[p].size -= k.size
	o.items = append(o.items, k)
}

// attached returns the hot keys that are still part of a base shard and move
// with it.
func (o *owner) attached(base item) (r []item) {
	for _, k := range o.items {
		if !base.hot && k.id == base.id && k.key != "" {
			r = append(r, k)
		}
	}
	return r
}

func (o *owner) load() float64 { return o.size / o.weight() }

func (b *balance) highest() float64 {
	m := 0.0
	for _, u := range b.open {
		m = max(m, u.load())
	}
	return m / b.mean
}

// floor returns the ratio below which no plan can get.
func (b *balance) floor() float64 {
	m, w := 0.0, 0.0
	for _, u := range b.open {
		w = max(w, u.weight())
		for _, i := range u.items {
			m = max(m, i.size)
		}
	}
	return m / w / b.mean
}

// run moves items until no upstream is above its limit or nothing that is
// worth its cost remains.
func (b *balance) run() {
	// started holds the upstreams that were above their limit in this run; it
	// maps to false once nothing more can be moved away.
	started := map[*owner]bool{}
	for len(b.moved) < b.MaxMoves {
		u := b.next(started)
		if u == nil {
			return
		}
		started[u] = b.relieve(u)
	}
}

// next returns the most loaded upstream that is above its limit, or nil.
func (b *balance) next(started map[*owner]bool) *owner {
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
// One whose heaviest item alone exceeds Below is freed of everything else, but
// not for the sake of small changes of load.
func (b *balance) limits(u *owner) (low, high float64) {
	m := 0.0
	for _, i := range u.items {
		m = max(m, i.size/u.weight())
	}
	band := (b.Above - b.Below) / 4
	return max(b.Below*b.mean, m), max(b.Above*b.mean, m+band*b.mean)
}

// relieve moves the item away from u that lowers the highest load most, hot
// keys first. It reports false if none is worth its cost.
func (b *balance) relieve(u *owner) bool {
	for _, hot := range []bool{true, false} {
		least := b.MoveCost * b.mean
		if hot {
			least *= hotCost
		}
		if _, high := b.limits(u); !hot && u.load() > high {
			least *= urgentCost
		}
		var best item
		var to *owner
		for _, i := range u.items {
			if i.hot != hot || i.frozen || i.key != "" && b.hot >= b.MaxHot {
				continue
			}
			whole := i
			for _, k := range u.attached(i) {
				whole.size += k.size
			}
			if t, g := b.gain(u, whole); g >= least {
				best, to, least = i, t, g+1e-12
			}
		}
		if to != nil {
			b.shift(best, u, to)
			return true
		}
	}
	return false
}

// gain returns the best destination for an item of u, and by how much the
// higher load of the two upstreams falls.
func (b *balance) gain(u *owner, i item) (*owner, float64) {
	t := b.least(u, i.size)
	if t == nil {
		return nil, 0
	}
	return t, u.load() - max((u.size-i.size)/u.weight(), (t.size+i.size)/t.weight())
}

func (b *balance) shift(i item, from, to *owner) {
	for _, k := range from.attached(i) {
		b.work.move(k, from, to)
	}
	b.work.move(i, from, to)
	p := slices.IndexFunc(b.moved, func(c *change) bool { return c.item.id == i.id && c.item.hash == i.hash })
	if p >= 0 {
		b.moved[p].to = to
		return
	}
	if i.key != "" {
		b.hot++
	}
	b.moved = append(b.moved, &change{i, from, to})
}
