package keys

import (
	"math"
	"slices"
	"sort"

	"dandelionrock.example/dandelionrock/schema"
)

// Move assigns a range of keys to another target.
type Move struct {
	// Range holds the keys with their current owner.
	Range *schema.KeyRange
	// Target and Born identify the next owner.
	Target string
	Born   int64
	// Observations counts the consecutive plans before this one in which the present owner
	// was overloaded.
	Observations int
}

const (
	// idleRate is added to the rate of each key, in requests per second, so that
	// keys without requests are distributed as well.
	idleRate = 1e-4
	// maxImbalance is the ratio of a target's utilisation to the mean above which
	// keys are moved away: a move makes its keys unavailable for a moment.
	maxImbalance = 1.15
	// busyUtilisation is the utilisation below which requests hardly queue, so
	// that a move gains nothing.
	busyUtilisation = 0.5
	// maxRanges is the number of ranges of a target at which its ranges are no
	// longer split: each range needs a grant of its own.
	maxRanges = 12
	// pieceLoad is the utilisation for which a separate piece is made when a
	// range of a lost target is split.
	pieceLoad = 0.15
	// maxPieces bounds the pieces of one range: each is granted and moved
	// separately.
	maxPieces = 4
	// minGain is the smallest utilisation for which keys are moved.
	minGain = 0.05
	// keyPriceRatio is the price of moving a key as a share of the median request rate
	// of a key: its requests wait and its next owner has to warm up.
	keyPriceRatio = 0.5
	// minKeyPrice is the least price of a key: keys without requests are not worth moving.
	minKeyPrice = 2 * idleRate
	// divisionRatio is the utilisation, as a multiple of the overload bound, above which
	// the hot ranges of a target are divided in one plan.
	divisionRatio = 2
	// hotDensity is the request rate of a key, as a multiple of the price of moving it,
	// above which a range is hot.
	hotDensity = 10
	// hotGain is the ratio of the new to the old utilisation below which a key
	// that alone keeps a target busy moves to a faster one. The service times of
	// loaded targets vary by about a quarter; a ratio closer to 1 would move the
	// key back and forth.
	hotGain = 0.7
)

// plan is a plan in progress.
type plan struct {
	rates   *Rates
	ranges  Ranges
	members []Member
	byID    map[string]int
	// loads holds the planned utilisation of each member: the request rate of its
	// keys divided by its weight.
	loads []float64
	// keyPrice is the request rate for which moving one key is worth nothing.
	keyPrice float64
	// rangeCounts holds the number of ranges of each member.
	rangeCounts []int
	// observations counts the consecutive plans before this one in which a
	// member was above the overload bound.
	observations []int
	moves        []Move
}

// newPlan returns a plan without moves. The rates may be nil if there are no
// ranges.
func newPlan(r Ranges, m []Member, l *Rates) *plan {
	p := &plan{rates: l, ranges: r, members: m, byID: map[string]int{}, loads: make([]float64, len(m)), rangeCounts: make([]int, len(m)), observations: make([]int, len(m))}
	for i, v := range m {
		p.byID[v.ID] = i
	}
	if l != nil {
		p.keyPrice = max(keyPriceRatio*l.median(), minKeyPrice)
	}
	for _, v := range r {
		if i := p.index(v); i >= 0 {
			p.loads[i] += p.rate(v) / m[i].Weight
			p.rangeCounts[i]++
		}
	}
	return p
}

// rate returns the requests per second for a range.
func (p *plan) rate(r *schema.KeyRange) float64 { return p.rateOf(r.From, r.To) }

// rateOf returns the requests per second for the keys from from to to, both included.
func (p *plan) rateOf(from, to uint32) float64 {
	return p.rates.Of(from, to) + idleRate*float64(to-from+1)
}

// index returns the member that owns a range, or -1.
func (p *plan) index(r *schema.KeyRange) int {
	if i, ok := p.byID[r.Target]; ok && p.members[i].Born == r.Born {
		return i
	}
	return -1
}

// leastLoaded returns the member with the lowest planned utilisation.
func (p *plan) leastLoaded() int {
	low := 0
	for i := range p.loads {
		if p.loads[i] < p.loads[low] {
			low = i
		}
	}
	return low
}

// move adds a move and updates the loads.
func (p *plan) move(r *schema.KeyRange, to int) {
	if i := p.index(r); i >= 0 {
		p.loads[i] -= p.rate(r) / p.members[i].Weight
	}
	p.loads[to] += p.rate(r) / p.members[to].Weight
	p.rangeCounts[to]++
	n := Move{Range: r, Target: p.members[to].ID, Born: p.members[to].Born}
	if i := p.index(r); i >= 0 {
		n.Observations = p.observations[i]
	}
	p.moves = append(p.moves, n)
}

// Utilisation returns the highest and the mean utilisation of the members.
func Utilisation(r Ranges, m []Member, l *Rates) (highest, mean float64) {
	for _, v := range newPlan(r, m, l).loads {
		highest = max(highest, v)
		mean += v / float64(len(m))
	}
	return highest, mean
}

// Owned reports whether every range is owned by one of the members. Without ranges it
// is true only if nobody could own any.
func Owned(r Ranges, m []Member) bool {
	if len(r) == 0 {
		return len(m) == 0
	}
	p := newPlan(nil, m, nil)
	return !slices.ContainsFunc(r, func(v *schema.KeyRange) bool { return p.index(v) < 0 })
}

// Reassign plans new owners for the ranges whose owners are not members. A target
// that was restarted under its id keeps its keys. Without ranges, it divides the key space
// among the members; the ranges of these moves have no owner.
func Reassign(r Ranges, m []Member, l *Rates) []Move {
	if len(m) == 0 {
		return nil
	}
	if len(r) == 0 {
		var moves []Move
		for _, n := range Initial(m, 0) {
			moves = append(moves, Move{Range: &schema.KeyRange{From: n.From, To: n.To}, Target: n.Target, Born: n.Born})
		}
		return moves
	}
	p := newPlan(r, m, l)
	for _, v := range r {
		if p.index(v) >= 0 {
			continue
		}
		if i, ok := p.byID[v.Target]; ok {
			p.move(v, i)
			continue
		}
		for _, n := range p.split(v) {
			p.move(n, p.leastLoaded())
		}
	}
	return p.moves
}

// split divides a range into pieces of about equal load.
func (p *plan) split(r *schema.KeyRange) []*schema.KeyRange {
	var out []*schema.KeyRange
	rest := r
	for n := min(int(p.rate(r)/p.members[p.leastLoaded()].Weight/pieceLoad)+1, maxPieces); n > 1 && rest.From < rest.To; n-- {
		to := p.prefixReaching(rest, p.rate(rest)/float64(n))
		if to >= rest.To {
			break
		}
		out = append(out, subrange(r, rest.From, to))
		rest = subrange(r, to+1, rest.To)
	}
	return append(out, rest)
}

// prefixReaching returns the last key of the shortest prefix of a range whose
// request rate is at least want, or the last key of the range.
func (p *plan) prefixReaching(r *schema.KeyRange, want float64) uint32 {
	n := sort.Search(int(r.To-r.From), func(i int) bool { return p.rateOf(r.From, r.From+uint32(i)) >= want })
	return r.From + uint32(n)
}

// Balancer plans moves that balance the load of targets. The zero value is ready
// for use. It is not safe for concurrent use.
type Balancer struct {
	// observations counts the consecutive plans up to the last one in which a
	// target was above the overload bound, by its id.
	observations map[string]int
}

// Plan returns moves from the members with the highest utilisation to those with
// the lowest, as long as each gains enough, until there are maxMoves; those that divide a
// hot range are not bounded. Ranges whose owners are not members don't move. coming holds
// the keys that are being moved, with their next owners. It is called at about equal
// intervals.
func (b *Balancer) Plan(r, coming Ranges, m []Member, l *Rates, maxMoves int) []Move {
	if len(m) < 2 {
		return nil
	}
	p := newPlan(slices.Concat(r, coming), m, l)
	p.ranges = r
	observed, bound := map[string]int{}, p.overloadBound()
	for i, v := range m {
		if p.loads[i] > bound {
			p.observations[i] = b.observations[v.ID]
			observed[v.ID] = b.observations[v.ID] + 1
		}
	}
	b.observations = observed
	p.moveHotKeys(maxMoves)
	p.divideHotRanges()
	// stuck marks members without a move that gains enough.
	stuck := make([]bool, len(m))
	for len(p.moves) < maxMoves {
		high := p.mostOverloaded(stuck)
		if high < 0 {
			break
		}
		if !p.moveFrom(high) {
			stuck[high] = true
		}
	}
	p.fillEmpty(maxMoves)
	return p.moves
}

// overloadBound returns the utilisation above which a member counts as
// overloaded.
func (p *plan) overloadBound() float64 {
	mean := 0.0
	for _, v := range p.loads {
		mean += v / float64(len(p.loads))
	}
	return max(busyUtilisation, mean*maxImbalance)
}

// standardError returns the standard error of a member's utilisation, with
// requests that arrive at random: it falls with the number of consecutive
// observations.
func (p *plan) standardError(i int) float64 {
	n := effectiveSeconds * p.members[i].Weight * float64(1+p.observations[i])
	return math.Sqrt(max(p.loads[i], 0) / n)
}

// mostOverloaded returns the member with the highest utilisation among those that
// exceed the overload bound by more than the standard error and are not stuck,
// or -1.
func (p *plan) mostOverloaded(stuck []bool) int {
	bound, high := p.overloadBound(), -1
	for i, v := range p.loads {
		if !stuck[i] && v-p.standardError(i) > bound && (high < 0 || v > p.loads[high]) {
			high = i
		}
	}
	return high
}

// moveFrom plans one move from a member to the least loaded one. It reports
// whether it found one that gains enough.
func (p *plan) moveFrom(high int) bool {
	low := p.leastLoaded()
	want := (p.loads[high] - p.loads[low]) / 2
	if want < minGain {
		return false
	}
	n := p.selectKeys(high, want*min(p.members[high].Weight, p.members[low].Weight))
	if n == nil || p.rate(n)/p.members[high].Weight < minGain {
		return false
	}
	p.move(n, low)
	p.take(high, n)
	return true
}

// take takes keys that move from the ranges of a member. Keys move at most once in a plan:
// all its grants carry one fence.
func (p *plan) take(owner int, n *schema.KeyRange) {
	rest := p.ranges.Without(n.From, n.To)
	p.rangeCounts[owner] += len(rest) - len(p.ranges)
	p.ranges = rest
}
