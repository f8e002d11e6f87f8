// Package keys plans which target owns which keys of a service. It performs no
// I/O.
package keys

import (
	"slices"
	"sort"

	"dandelionrock.example/dandelionrock/platform"
	"dandelionrock.example/dandelionrock/schema"
	"google.golang.org/protobuf/proto"
)

// Ranges holds ranges of keys in ascending order that do not overlap.
type Ranges []*schema.KeyRange

// Find returns the range that contains a key, or nil.
func (r Ranges) Find(key uint32) *schema.KeyRange {
	i := sort.Search(len(r), func(i int) bool { return r[i].To >= key })
	if i == len(r) || r[i].From > key {
		return nil
	}
	return r[i]
}

// Replace returns the ranges with the keys covered by c assigned as in c.
func (r Ranges) Replace(c ...*schema.KeyRange) Ranges {
	for _, n := range c {
		r = append(r.Without(n.From, n.To), n)
		slices.SortFunc(r, func(a, b *schema.KeyRange) int { return int(a.From) - int(b.From) })
	}
	return r
}

// Without returns a copy of the ranges without the keys from from to to, both
// included.
func (r Ranges) Without(from, to uint32) Ranges {
	var out Ranges
	for _, v := range r {
		if v.To < from || v.From > to {
			out = append(out, v)
			continue
		}
		if v.From < from {
			out = append(out, subrange(v, v.From, from-1))
		}
		if v.To > to {
			out = append(out, subrange(v, to+1, v.To))
		}
	}
	return out
}

// subrange returns the keys from from to to with the owner and fence of r.
func subrange(r *schema.KeyRange, from, to uint32) *schema.KeyRange {
	return &schema.KeyRange{From: from, To: to, Target: r.Target, Born: r.Born, Fence: r.Fence}
}

// Refence returns the ranges with a new fence. Adjacent ranges of one owner are
// merged.
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
	ID string
	// Born tells the runs of a target apart.
	Born int64
	// Weight is the target's capacity in requests per second.
	Weight float64
}

// Initial divides the key space among the members in proportion to their
// weights.
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
