package shard

import (
	"cmp"
	"slices"
)

// idleShare is the part of the mean shard rate that is added to each shard, so
// that idle shards are spread by number.
const idleShare = 0.1

// nearlyEqual is the difference of loads, as a part of the mean load, up to
// which upstreams count as equally loaded for the choice by region.
const nearlyEqual = 0.02

// work is the state in the form that the planner changes while it plans.
type work struct {
	// ups is sorted by name.
	ups []*owner
	// weight is the sum over open upstreams.
	weight float64
}

// owner is an upstream with its shards.
type owner struct {
	Upstream
	items []item
	// size and rate are the sums over items.
	size, rate float64
}

// item is a shard, or a hot key that is still part of its base shard.
type item struct {
	id ID
	// hash is set for hot keys.
	hash KeyHash
	// key is set for a hot key that has no shard of its own.
	key string
	// hot tells that the item is a single key.
	hot bool
	// frozen tells that only Evacuate may move the item.
	frozen bool
	// rate is in requests per second; size is rate plus idleShare, or 1 if no
	// rate is known.
	rate, size float64
}

func newWork(s State) *work {
	w := &work{}
	byName := map[string]*owner{}
	add := func(u Upstream) *owner {
		o := &owner{Upstream: u}
		byName[u.Name] = o
		w.ups = append(w.ups, o)
		return o
	}
	for _, u := range s.Upstreams {
		add(u)
		if !u.Closed {
			w.weight += u.weight()
		}
	}
	items := s.items()
	for _, i := range items {
		e, _ := s.Map.Entry(i.id)
		o := byName[e.Upstream]
		if o == nil {
			o = add(Upstream{Name: e.Upstream, Closed: true})
		}
		o.add(i)
	}
	slices.SortFunc(w.ups, func(a, b *owner) int { return cmp.Compare(a.Name, b.Name) })
	return w
}

// items returns all shards with their rates.
func (s State) items() []item {
	rates, total := s.rates()
	var r []item
	s.Map.All(func(i ID, _ Entry) bool {
		r = append(r, item{id: i, hot: uint32(i) >= s.Map.Count(), frozen: s.Frozen[i], rate: rates[i]})
		return true
	})
	for i := range r {
		r[i].size = 1
		if total > 0 {
			r[i].size = r[i].rate + idleShare*total/float64(len(r))
		}
	}
	return r
}

// rates returns the rate of each shard and their sum, with the gaps of the
// reports filled.
func (s State) rates() (map[ID]float64, float64) {
	rates, reported := map[ID]float64{}, map[string]bool{}
	sum, known := 0.0, 0
	s.Map.All(func(i ID, e Entry) bool {
		if v, ok := s.Rates[i]; ok {
			rates[i], reported[e.Upstream] = v, true
		}
		return true
	})
	s.Map.All(func(i ID, e Entry) bool {
		if reported[e.Upstream] {
			sum += rates[i]
			known++
		}
		return true
	})
	total := sum
	s.Map.All(func(i ID, e Entry) bool {
		if !reported[e.Upstream] && sum > 0 {
			rates[i] = sum / float64(known)
			total += rates[i]
		}
		return true
	})
	s.carry(rates)
	return rates, total
}

// carry moves the rate of a hot key from its base shard to its own shard if
// that shard is so new that its rate isn't reported yet.
func (s State) carry(rates map[ID]float64) {
	for _, k := range s.Hot {
		h := s.Map.Hash(k.Key)
		i, _, _ := s.Map.FindHash(h)
		if b := Base(h, s.Map.Count()); i != b {
			if _, ok := s.Rates[i]; !ok {
				r := min(k.Rate, rates[b])
				rates[i] = r
				rates[b] -= r
			}
		}
	}
}

func (w *work) find(name string) *owner {
	p, ok := slices.BinarySearchFunc(w.ups, name, func(o *owner, n string) int { return cmp.Compare(o.Name, n) })
	if !ok {
		return nil
	}
	return w.ups[p]
}

func (w *work) move(i item, from, to *owner) {
	from.remove(i)
	to.add(i)
}

func (w *work) meanSize() float64 {
	s := 0.0
	for _, u := range w.ups {
		s += u.size
	}
	return s / w.weight
}

// least returns the open upstream other than from that is least loaded after
// it has received size, or nil.
func (w *work) least(from *owner, size float64) *owner {
	var best *owner
	after := func(u *owner) float64 { return (u.size + size) / u.weight() }
	low := 0.0
	for _, u := range w.ups {
		if !u.Closed && u != from && (best == nil || after(u) < low) {
			best, low = u, after(u)
		}
	}
	if best == nil {
		return nil
	}
	limit := low + nearlyEqual*w.meanSize()
	for _, u := range w.ups {
		if !u.Closed && u != from && after(u) <= limit && prefer(from, u, best) {
			best = u
		}
	}
	return best
}

// prefer tells whether a is a better destination than b for what leaves from.
func prefer(from, a, b *owner) bool {
	if x, y := a.Region == from.Region, b.Region == from.Region; x != y {
		return x
	}
	if x, y := a.FailureDomain != from.FailureDomain, b.FailureDomain != from.FailureDomain; x != y {
		return x
	}
	return rank(from.Name, a.Name) < rank(from.Name, b.Name)
}

// donor returns the most loaded open upstream other than to that has a shard
// that may move and keeps the load of to within the limit, and of these shards
// the one whose size is closest to the wanted one; or nil.
func (w *work) donor(to *owner, want, limit float64) (*owner, item) {
	var from *owner
	var best item
	fits := func(i item) bool { return !i.frozen && (to.size+i.size)/to.weight() <= limit }
	for _, u := range w.ups {
		if u.Closed || u == to || from != nil && u.size/u.weight() <= from.size/from.weight()+1e-9 {
			continue
		}
		if i, ok := closest(u.items, want, fits); ok {
			from, best = u, i
		}
	}
	return from, best
}

// closest returns the item that fits and whose size is closest to the wanted
// one.
func closest(items []item, want float64, fits func(item) bool) (item, bool) {
	var best item
	found := false
	for _, i := range items {
		if fits(i) && (!found || distance(i.size, want) < distance(best.size, want)) {
			best, found = i, true
		}
	}
	return best, found
}

func distance(a, b float64) float64 { return max(a-b, b-a) }

func (o *owner) add(i item) {
	o.items = append(o.items, i)
	o.size += i.size
	o.rate += i.rate
}

func (o *owner) remove(i item) {
	p := slices.IndexFunc(o.items, func(j item) bool { return j.id == i.id && j.hash == i.hash })
	o.items = slices.Delete(o.items, p, p+1)
	o.size -= i.size
	o.rate -= i.rate
}
