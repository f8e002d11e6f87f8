// Package keys plans which target owns which keys of a service. It does no
// input or output.
package keys

import (
	"slices"
	"sort"

	"dandelionrock.example/dandelionrock/platform"
	"dandelionrock.example/dandelionrock/schema"
	"google.golang.org/protobuf/proto"
)

// Ranges are ranges of keys in ascending order that do not overlap.
type Ranges []*schema.KeyRange

// Find returns the range of a key, or nil.
func (r Ranges) Find(key uint32) *schema.KeyRange {
	i := sort.Search(len(r), func(i int) bool { return r[i].To >= key })
	if i == len(r) || r[i].From > key {
		return nil
	}
	return r[i]
}

// Replace returns the ranges with those of c in place of what they cover.
func (r Ranges) Replace(c ...*schema.KeyRange) Ranges {
	for _, n := range c {
		r = append(r.Without(n.From, n.To), n)
		slices.SortFunc(r, func(a, b *schema.KeyRange) int { return int(a.From) - int(b.From) })
	}
	return r
}

// Without returns a copy of the ranges without the keys from and to and those
// between.
func (r Ranges) Without(from, to uint32) Ranges {
	var out Ranges
	for _, v := range r {
		if v.To < from || v.From > to {
			out = append(out, v)
			continue
		}
		if v.From < from {
			out = append(out, part(v, v.From, from-1))
		}
		if v.To > to {
			out = append(out, part(v, to+1, v.To))
		}
	}
	return out
}

// part returns a part of a range with the same owner.
func part(r *schema.KeyRange, from, to uint32) *schema.KeyRange {
	return &schema.KeyRange{From: from, To: to, Target: r.Target, Born: r.Born, Fence: r.Fence}
}

// Refence returns the ranges with a new fence, neighbours of one owner joined.
func (r Ranges) Refence(fence uint64) Ranges {
	var out Ranges
	for _, v := range r {
		n := proto.CloneOf(v)
		n.Fence = fence
		if l := len(out) - 1; l >= 0 && out[l].Target == n.Target && out[l].Born == n.Born && out[l].To+1 == n.From {
			out[l].To = n.To
			continue
		}
		out = append(out, n)
	}
	return out
}

// Member is a target that may own keys.
type Member struct {
	ID     string
	Born   int64
	Weight float64
}

// Initial divides all keys among the members in proportion to their weights.
func Initial(m []Member, fence uint64) Ranges {
	total := 0.0
	for _, v := range m {
		total += v.Weight
	}
	var out Ranges
	from, sum := uint32(0), 0.0
	for i, v := range m {
		sum += v.Weight
		to := uint32(sum / total * (platform.MaxKey + 1))
		if i == len(m)-1 {
			to = platform.MaxKey + 1
		}
		if to > from {
			out = append(out, &schema.KeyRange{From: from, To: to - 1, Target: v.ID, Born: v.Born, Fence: fence})
			from = to
		}
	}
	return out
}

// BucketKeys is the number of neighbouring keys whose load is counted together.
const BucketKeys = 16

// Buckets is the number of buckets.
const Buckets = (platform.MaxKey + 1) / BucketKeys

// Load holds the requests a second for each bucket.
type Load [Buckets]float64

// of returns the load of the keys from and to and those between.
func (l *Load) of(from, to uint32) float64 {
	s := 0.0
	for b := from / BucketKeys; b <= to/BucketKeys; b++ {
		s += l[b] * float64(min(to, b*BucketKeys+BucketKeys-1)-max(from, b*BucketKeys)+1) / BucketKeys
	}
	return s
}

// Move gives keys to another target.
type Move struct {
	// Range are the keys with their present owner.
	Range *schema.KeyRange
	// Target and Born are the next owner.
	Target string
	Born   int64
}

const (
	// idleLoad is counted for each key, in requests a second, so that keys
	// without requests are spread, too.
	idleLoad = 1e-4
	// imbalance is how far a target's load may exceed the mean of all before
	// keys are moved away: moving makes keys unavailable for a moment.
	imbalance = 1.2
	// excess is the load in requests a second above the mean that is worth
	// moving keys: less is noise.
	excess = 1.0
	// maxRanges bounds the ranges of one target, which are granted one by one.
	maxRanges = 8
)

// plan is the state of planning.
type plan struct {
	load    *Load
	ranges  Ranges
	members []Member
	// loads holds the planned load of each member for its weight.
	loads []float64
	moves []Move
}

func newPlan(r Ranges, m []Member, l *Load) *plan {
	p := &plan{load: l, ranges: r, members: m, loads: make([]float64, len(m))}
	for _, v := range r {
		if i := p.index(v); i >= 0 {
			p.loads[i] += p.weight(v) / m[i].Weight
		}
	}
	return p
}

func (p *plan) weight(r *schema.KeyRange) float64 {
	return p.load.of(r.From, r.To) + idleLoad*float64(r.To-r.From+1)
}

// index returns the member that owns a range, or -1.
func (p *plan) index(r *schema.KeyRange) int {
	return slices.IndexFunc(p.members, func(m Member) bool { return m.ID == r.Target && m.Born == r.Born })
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
		p.loads[i] -= p.weight(r) / p.members[i].Weight
	}
	p.loads[to] += p.weight(r) / p.members[to].Weight
	p.moves = append(p.moves, Move{r, p.members[to].ID, p.members[to].Born})
}

// Rehome plans new owners for the ranges whose owners are no members. A target
// that runs again under its id keeps its keys.
func Rehome(r Ranges, m []Member, l *Load) []Move {
	if len(m) == 0 {
		return nil
	}
	p := newPlan(r, m, l)
	for _, v := range r {
		if p.index(v) >= 0 {
			continue
		}
		if i := slices.IndexFunc(m, func(m Member) bool { return m.ID == v.Target }); i >= 0 {
			p.move(v, i)
			continue
		}
		p.scatter(v)
	}
	return p.moves
}

// scatter gives the keys of a range to the members with the least load, in
// pieces no larger than a member's share.
func (p *plan) scatter(r *schema.KeyRange) {
	pieces := p.split(r)
	for _, n := range pieces {
		p.move(n, p.lowest())
	}
}

// scatterPieces is the number of pieces into which the keys of a lost target
// are divided, so that no single target doubles its load.
const scatterPieces = 4

// split divides a range into pieces of about the same load.
func (p *plan) split(r *schema.KeyRange) []*schema.KeyRange {
	piece := p.weight(r) / scatterPieces
	var out []*schema.KeyRange
	from := r.From
	sum := 0.0
	for b := r.From / BucketKeys; b <= r.To/BucketKeys; b++ {
		last := min(b*BucketKeys+BucketKeys-1, r.To)
		sum += p.weight(part(r, max(b*BucketKeys, r.From), last))
		if sum >= piece && last < r.To && len(out) < scatterPieces-1 {
			out = append(out, part(r, from, last))
			from, sum = last+1, 0
		}
	}
	return append(out, part(r, from, r.To))
}

// Owned reports whether all ranges belong to members.
func Owned(r Ranges, m []Member) bool {
	p := plan{members: m}
	return !slices.ContainsFunc(r, func(v *schema.KeyRange) bool { return p.index(v) < 0 })
}

// Rebalance plans moves from the member with the highest load to that with the
// lowest, if that is worth it. All owners are members.
func Rebalance(r Ranges, m []Member, l *Load, maxMoves int) []Move {
	if len(m) < 2 {
		return nil
	}
	p := newPlan(r, m, l)
	for len(p.moves) < maxMoves {
		if !p.level() {
			break
		}
	}
	return p.moves
}

// level plans one move; false if none is worth it.
func (p *plan) level() bool {
	mean := 0.0
	high := 0
	for i, v := range p.loads {
		mean += v / float64(len(p.loads))
		if v > p.loads[high] {
			high = i
		}
	}
	low := p.lowest()
	if !p.joins(low, mean) && (p.loads[high] < mean*imbalance || p.loads[high]-mean < excess) {
		return false
	}
	want := min(p.loads[high]-mean, mean-p.loads[low], (p.loads[high]-p.loads[low])/2)
	n := p.cut(high, want*p.members[high].Weight)
	if n == nil {
		return false
	}
	p.move(n, low)
	p.ranges = p.ranges.Replace(&schema.KeyRange{From: n.From, To: n.To, Target: p.members[low].ID, Born: p.members[low].Born})
	return true
}

// joins reports whether a member has hardly any keys, as one that has just
// come.
func (p *plan) joins(i int, mean float64) bool {
	return p.loads[i] < mean/4 && !slices.ContainsFunc(p.ranges, func(r *schema.KeyRange) bool { return r.Target == p.members[i].ID })
}

// cut returns keys of a member with about the wanted load: neighbours, from the
// start of one of its ranges, so that few ranges arise. It returns nil if the
// smallest piece is too large.
func (p *plan) cut(owner int, want float64) *schema.KeyRange {
	var best *schema.KeyRange
	bestWeight := 0.0
	owned := 0
	for _, r := range p.ranges {
		if p.index(r) != owner {
			continue
		}
		owned++
		n, w := p.prefix(r, want)
		if n != nil && w > bestWeight {
			best, bestWeight = n, w
		}
	}
	if owned >= maxRanges && best != nil && best.From != best.To && bestWeight < want/2 {
		return nil
	}
	return best
}

// prefix returns the longest run of buckets of a range whose load is at most
// the wanted one, starting at its first or, if that is too busy, at a later one.
func (p *plan) prefix(r *schema.KeyRange, want float64) (*schema.KeyRange, float64) {
	var best *schema.KeyRange
	bestWeight := 0.0
	from, sum := r.From, 0.0
	for b := r.From / BucketKeys; b <= r.To/BucketKeys; b++ {
		last := min(b*BucketKeys+BucketKeys-1, r.To)
		w := p.weight(part(r, max(b*BucketKeys, r.From), last))
		if sum+w > want {
			from, sum = last+1, 0
			continue
		}
		sum += w
		if sum > bestWeight {
			best, bestWeight = part(r, from, last), sum
		}
	}
	return best, bestWeight
}
