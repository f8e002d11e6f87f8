package keys

import (
	"math"
	"sort"

	"dandelionrock.example/dandelionrock/schema"
)

// selectKeys returns adjacent keys of a member that are worth most to move, with a request
// rate up to want, or nil. A key that alone exceeds want stays where it is.
func (p *plan) selectKeys(owner int, want float64) *schema.KeyRange {
	var best *schema.KeyRange
	for _, r := range p.ranges {
		if p.index(r) != owner {
			continue
		}
		n := r
		if p.rangeCounts[owner] < maxRanges {
			n = p.bestSubrange(r, want)
		} else if p.rate(r) > want {
			continue
		}
		if n != nil && (best == nil || p.worth(n) > p.worth(best)) {
			best = n
		}
	}
	return best
}

// worth returns the request rate of a range less the price of its keys.
func (p *plan) worth(r *schema.KeyRange) float64 {
	return p.rate(r) - p.keyPrice*float64(r.To-r.From+1)
}

// bestSubrange returns the subrange of a range that is worth most of those whose request
// rate is at most want, or nil.
func (p *plan) bestSubrange(r *schema.KeyRange, want float64) *schema.KeyRange {
	var best *schema.KeyRange
	bestWorth := math.Inf(-1)
	// sum is the worth of the keys of r before a key. starts holds the keys from which a
	// subrange may begin, with ascending sums: the first one is the best of them.
	type start struct {
		key uint32
		sum float64
	}
	var starts []start
	sum := 0.0
	for to := r.From; ; to++ {
		for len(starts) > 0 && starts[len(starts)-1].sum >= sum {
			starts = starts[:len(starts)-1]
		}
		starts = append(starts, start{to, sum})
		sum += p.rateOf(to, to) - p.keyPrice
		for len(starts) > 0 && p.rateOf(starts[0].key, to) > want {
			starts = starts[1:]
		}
		if len(starts) > 0 && sum-starts[0].sum > bestWorth {
			best, bestWorth = subrange(r, starts[0].key, to), sum-starts[0].sum
		}
		if to == r.To {
			return best
		}
	}
}

// prefixWithin returns the number of keys in the longest prefix of a range whose
// request rate is at most want.
func (p *plan) prefixWithin(r *schema.KeyRange, want float64) uint32 {
	n := sort.Search(int(r.To-r.From+1), func(i int) bool { return p.rateOf(r.From, r.From+uint32(i)) > want })
	return uint32(n)
}
