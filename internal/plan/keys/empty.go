package keys

import "dandelionrock.example/dandelionrock/schema"

// fillEmpty plans to give keys to members without any: each gets half of the longest range.
// Keys that have an owner with room when they become busy need not move then.
func (p *plan) fillEmpty(maxMoves int) {
	for i := range p.members {
		if p.rangeCounts[i] > 0 {
			continue
		}
		n := p.longestRange()
		if n == nil || len(p.moves) >= maxMoves {
			return
		}
		n = subrange(n, n.From+(n.To-n.From)/2+1, n.To)
		owner := p.index(n)
		p.move(n, i)
		p.take(owner, n)
	}
}

// longestRange returns the longest range that can be split and is owned by a member, or nil.
func (p *plan) longestRange() *schema.KeyRange {
	var out *schema.KeyRange
	for _, r := range p.ranges {
		if r.To > r.From && p.index(r) >= 0 && (out == nil || r.To-r.From > out.To-out.From) {
			out = r
		}
	}
	return out
}
