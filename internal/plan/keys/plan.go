package keys

import (
	"math"
	"slices"
	"sort"

	"dandelionrock.example/dandelionrock/schema"
)

// Move gives keys to another target.
type Move struct {
	// Range are the keys with their present owner.
	Range *schema.KeyRange
	// Target and Born are the next owner.
	Target string
	Born   int64
}

const (
	// idleRate is counted for each key, in requests a second, so that keys
	// without requests are spread, too.
	idleRate = 1e-4
	// imbalance is how far a target's utilisation may exceed the mean of all
	// before keys are moved away: moving makes keys unavailable for a moment.
	imbalance = 1.15
	// busy is the utilisation below which a target serves its requests without
	// much waiting, so that a move gains nothing.
	busy = 0.5
	// maxRanges bounds the ranges of one target, which are granted one by one.
	maxRanges = 12
	// pieceLoad is the utilisation of a target that is worth a piece of its own
	// when the keys of a lost target are divided, and maxPieces the highest
	// number of pieces of one range: each range is granted and moved by itself.
	pieceLoad = 0.15
	maxPieces = 4
	// minGain is the smallest utilisation that is worth a move.
	minGain = 0.05
	// hotGain is the part of its utilisation to which a key that alone keeps a
	// target busy must fall to be moved to a faster one. The service times of
	// loaded targets vary by about a quarter.
	hotGain = 0.7
)

// plan is the state of planning.
type plan struct {
	rates   *Rates
	ranges  Ranges
	members []Member
	byID    map[string]int
	// loads holds the planned utilisation of each member: the requests a second
	// for its keys by those that it can serve.
	loads []float64
	// owned counts the ranges of each member.
	owned []int
	// looks counts the plans in a row before this one that found a member to
	// have more load than the others.
	looks []int
	moves []Move
}

// newPlan returns a plan without moves. Without ranges it needs no rates.
func newPlan(r Ranges, m []Member, l *Rates) *plan {
	p := &plan{rates: l, ranges: r, members: m, byID: map[string]int{}, loads: make([]float64, len(m)), owned: make([]int, len(m)), looks: make([]int, len(m))}
	for i, v := range m {
		p.byID[v.ID] = i
	}
	for _, v := range r {
		if i := p.index(v); i >= 0 {
			p.loads[i] += p.rate(v) / m[i].Weight
			p.owned[i]++
		}
	}
	return p
}

func (p *plan) rate(r *schema.KeyRange) float64 {
	return p.rates.Of(r.From, r.To) + idleRate*float64(r.To-r.From+1)
}

// index returns the member that owns a range, or -1.
func (p *plan) index(r *schema.KeyRange) int {
	if i, ok := p.byID[r.Target]; ok && p.members[i].Born == r.Born {
		return i
	}
	return -1
}

func (p *plan) lowest() int {
	low := 0
	for i := range p.loads {
		if p.loads[i] < p.loads[low] {
			low = i
		}
	}
	return low
}

func (p *plan) move(r *schema.KeyRange, to int) {
	if i := p.index(r); i >= 0 {
		p.loads[i] -= p.rate(r) / p.members[i].Weight
	}
	p.loads[to] += p.rate(r) / p.members[to].Weight
	p.owned[to]++
	p.moves = append(p.moves, Move{r, p.members[to].ID, p.members[to].Born})
}

// Owned reports whether all ranges belong to members.
func Owned(r Ranges, m []Member) bool {
	p := newPlan(nil, m, nil)
	return !slices.ContainsFunc(r, func(v *schema.KeyRange) bool { return p.index(v) < 0 })
}

// Reassign plans new owners for the ranges whose owners are no members. A target
// that runs again under its id keeps its keys.
func Reassign(r Ranges, m []Member, l *Rates) []Move {
	if len(m) == 0 {
		return nil
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
			p.move(n, p.lowest())
		}
	}
	return p.moves
}

// split divides a range into pieces of about the same load.
func (p *plan) split(r *schema.KeyRange) []*schema.KeyRange {
	var out []*schema.KeyRange
	rest := r
	for n := min(int(p.rate(r)/p.members[p.lowest()].Weight/pieceLoad)+1, maxPieces); n > 1 && rest.From < rest.To; n-- {
		to := p.until(rest, p.rate(rest)/float64(n))
		if to >= rest.To {
			break
		}
		out = append(out, part(r, rest.From, to))
		rest = part(r, to+1, rest.To)
	}
	return append(out, rest)
}

// until returns the last key of the shortest run from the start of a range
// whose load is at least the wanted one.
func (p *plan) until(r *schema.KeyRange, want float64) uint32 {
	n := sort.Search(int(r.To-r.From), func(i int) bool { return p.rate(part(r, r.From, r.From+uint32(i))) >= want })
	return r.From + uint32(n)
}

// Balancer plans moves that level the load of targets. The zero value is ready.
type Balancer struct {
	// looks counts the plans in a row before which a target had more load than
	// the others, by its id.
	looks map[string]int
}

// Plan returns moves from the members with the highest utilisation to those with
// the lowest, as far as they are worth it. Ranges whose owners are no members stay
// where they are. It is called at about equal intervals.
func (b *Balancer) Plan(r Ranges, m []Member, l *Rates, maxMoves int) []Move {
	if len(m) < 2 {
		return nil
	}
	p := newPlan(r, m, l)
	looks, bound := map[string]int{}, p.bound()
	for i, v := range m {
		if p.loads[i] > bound {
			p.looks[i] = b.looks[v.ID]
			looks[v.ID] = b.looks[v.ID] + 1
		}
	}
	b.looks = looks
	p.promote(maxMoves)
	// stuck members can't give away any more.
	stuck := make([]bool, len(m))
	for len(p.moves) < maxMoves {
		high := p.highest(stuck)
		if high < 0 {
			break
		}
		if !p.relieve(high) {
			stuck[high] = true
		}
	}
	return p.moves
}

// hottest returns the busiest key of each member with its range and rate.
func (p *plan) hottest() []hotKey {
	hot := make([]hotKey, len(p.members))
	for _, r := range p.ranges {
		i := p.index(r)
		if i < 0 {
			continue
		}
		for k := r.From; k <= r.To; k++ {
			if n := p.rates.Of(k, k); n > hot[i].rate {
				hot[i] = hotKey{part(r, k, k), n}
			}
		}
	}
	return hot
}

// hotKey is a range of one key with its requests a second.
type hotKey struct {
	key  *schema.KeyRange
	rate float64
}

// promote plans to move keys that alone keep their owner busy to faster targets:
// such a key can't be divided. Other keys of those targets then move away.
func (p *plan) promote(maxMoves int) {
	hot := p.hottest()
	for i, h := range hot {
		now := h.rate / p.members[i].Weight
		if now < busy || len(p.moves) >= maxMoves {
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

// bound returns the utilisation above which a member has more load than the
// others.
func (p *plan) bound() float64 {
	mean := 0.0
	for _, v := range p.loads {
		mean += v / float64(len(p.loads))
	}
	return max(busy, mean*imbalance)
}

// chance returns how far a member's utilisation may be off because its requests
// arrive at random: one standard deviation of the mean of all looks at it.
func (p *plan) chance(i int) float64 {
	n := countedSeconds * p.members[i].Weight * float64(1+p.looks[i])
	return math.Sqrt(max(p.loads[i], 0) / n)
}

// highest returns the member that most needs to give keys away, or -1. One that
// may have more load than the others by chance keeps its keys.
func (p *plan) highest(stuck []bool) int {
	bound, high := p.bound(), -1
	for i, v := range p.loads {
		if !stuck[i] && v-p.chance(i) > bound && (high < 0 || v > p.loads[high]) {
			high = i
		}
	}
	return high
}

// relieve plans one move away from a member; false if none is worth it.
func (p *plan) relieve(high int) bool {
	low := p.lowest()
	want := (p.loads[high] - p.loads[low]) / 2
	if want < minGain {
		return false
	}
	n := p.cut(high, want*min(p.members[high].Weight, p.members[low].Weight))
	if n == nil || p.rate(n)/p.members[high].Weight < minGain {
		return false
	}
	p.move(n, low)
	p.owned[high]++
	// Keys move once in a plan.
	p.ranges = p.ranges.Without(n.From, n.To)
	return true
}

// cut returns neighbouring keys of a member with as much of the wanted load as
// possible, or nil. A key that alone has more load stays where it is.
func (p *plan) cut(owner int, want float64) *schema.KeyRange {
	var best *schema.KeyRange
	bestRate := 0.0
	for _, r := range p.ranges {
		if p.index(r) != owner {
			continue
		}
		if p.rate(r) <= want {
			if p.rate(r) > bestRate {
				best, bestRate = r, p.rate(r)
			}
			continue
		}
		if p.owned[owner] >= maxRanges {
			continue
		}
		if n := p.longest(r, want); n != nil && p.rate(n) > bestRate {
			best, bestRate = n, p.rate(n)
		}
	}
	return best
}

// longest returns the run of keys at the start or the end of a range, or beside
// its busiest key, that has the most load within the wanted one.
func (p *plan) longest(r *schema.KeyRange, want float64) *schema.KeyRange {
	var best *schema.KeyRange
	for from := r.From; ; {
		to := p.within(part(r, from, r.To), want)
		if to >= from {
			n := part(r, from, to)
			if best == nil || p.rate(n) > p.rate(best) {
				best = n
			}
		}
		next := max(to, from) + 1
		if to < from {
			next = from + 1
		}
		if next > r.To {
			return best
		}
		from = next
	}
}

// within returns the last key of the longest run from the start of a range
// whose load is within the wanted one; one less than the start if there is none.
func (p *plan) within(r *schema.KeyRange, want float64) uint32 {
	n := sort.Search(int(r.To-r.From+1), func(i int) bool { return p.rate(part(r, r.From, r.From+uint32(i))) > want })
	return r.From + uint32(n) - 1
}
