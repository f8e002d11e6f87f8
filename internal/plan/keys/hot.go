package keys

import (
	"math"

	"dandelionrock.example/dandelionrock/schema"
)

// hottestKeys returns the busiest key of each member.
func (p *plan) hottestKeys() []hotKey {
	hot := make([]hotKey, len(p.members))
	for _, r := range p.ranges {
		i := p.index(r)
		if i < 0 {
			continue
		}
		for k := r.From; k <= r.To; k++ {
			if n := p.rates.Of(k, k); n > hot[i].rate {
				hot[i] = hotKey{subrange(r, k, k), n}
			}
		}
	}
	return hot
}

// hotKey is a range of one key with its requests per second.
type hotKey struct {
	key  *schema.KeyRange
	rate float64
}

// moveHotKeys plans to move keys that alone keep their owner busy to faster
// targets, because a single key can't be split. The other keys of the faster
// targets are moved away afterwards.
func (p *plan) moveHotKeys(maxMoves int) {
	hot := p.hottestKeys()
	for i, h := range hot {
		now := h.rate / p.members[i].Weight
		if now < busyUtilisation || len(p.moves) >= maxMoves {
			continue
		}
		to, next := -1, hotGain*now
		for j, o := range hot {
			if n := (o.rate + h.rate) / p.members[j].Weight; j != i && n < next {
				to, next = j, n
			}
		}
		if to < 0 {
			continue
		}
		p.move(h.key, to)
		p.ranges = p.ranges.Without(h.key.From, h.key.To)
		hot[to].rate += h.rate
	}
}

// divideHotRanges plans to divide the hot ranges of members far above the overload bound:
// each piece goes to the member with the most room, and takes no more than it. The moves
// take few keys and are not counted: one move at a time would pass the same keys on from
// target to target.
func (p *plan) divideHotRanges() {
	bound := p.overloadBound()
	for i := range p.members {
		for p.loads[i]-p.standardError(i) > divisionRatio*bound {
			h := p.hotRange(i)
			if h == nil || !p.divide(i, h, bound) {
				break
			}
		}
	}
}

// hotRange returns the adjacent keys of a member that are worth most to move, or nil if
// they are not hot.
func (p *plan) hotRange(owner int) *schema.KeyRange {
	h := p.selectKeys(owner, math.Inf(1))
	if h == nil || p.rate(h) < hotDensity*p.keyPrice*float64(h.To-h.From+1) {
		return nil
	}
	return h
}

// divide moves keys of a hot range from its start until its owner is down to the bound or
// nobody has room. A key that nobody has room for stays. It reports whether it moved any.
func (p *plan) divide(owner int, h *schema.KeyRange, bound float64) bool {
	moved := false
	for from := h.From; from <= h.To && p.loads[owner] > bound; {
		to, room := p.mostRoom(bound)
		if room < minGain*p.members[to].Weight {
			break
		}
		count := p.prefixWithin(subrange(h, from, h.To), room)
		if count == 0 {
			from++
			continue
		}
		n := subrange(h, from, from+count-1)
		p.move(n, to)
		p.take(owner, n)
		from, moved = from+count, true
	}
	return moved
}

// mostRoom returns the member that can take the most requests per second up to a
// utilisation, and how many.
func (p *plan) mostRoom(bound float64) (to int, room float64) {
	for i, v := range p.loads {
		if n := (bound - v) * p.members[i].Weight; n > room {
			to, room = i, n
		}
	}
	return to, room
}
