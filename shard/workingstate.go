package shard

import (
	"cmp"
	"slices"
)

// idleShare is the fraction of the mean shard rate that is added to the size of
// each shard, so that idle shards are spread evenly by their number.
const idleShare = 0.1

// equalLoadTolerance is the difference of loads, as a fraction of the mean load,
// up to which upstreams count as equally loaded. Among these, the region and the
// failure domain determine the destination.
const equalLoadTolerance = 0.02

// workingState is a copy of State that the planner modifies while it plans.
type workingState struct {
	// upstreams is sorted by name.
	upstreams []*owner
	// weight is the sum of the weights of the open upstreams.
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
	// hash and key are set for a hot key that has no shard of its own.
	hash KeyHash
	key  string
	// hot is whether the item is a single key.
	hot bool
	// frozen is whether only Evacuate may move the item.
	frozen bool
	// rate is in requests per second. size is rate plus idleShare of the mean
	// shard rate, or 1 if no rate is known.
	rate, size float64
}

// newWorkingState returns the working state for s. Owners that s.Upstreams does
// not list are added as closed upstreams.
func newWorkingState(s State) *workingState {
	w := &workingState{}
	byName := map[string]*owner{}
	add := func(u Upstream) *owner {
		o := &owner{Upstream: u}
		byName[u.Name] = o
		w.upstreams = append(w.upstreams, o)
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
	slices.SortFunc(w.upstreams, func(a, b *owner) int { return cmp.Compare(a.Name, b.Name) })
	return w
}

// items returns all shards with their rates.
func (s State) items() []item {
	rates, total := s.shardRates()
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

// shardRates returns the rate of each shard and their sum. Shards without a
// reported rate are treated as State.Rates describes.
func (s State) shardRates() (map[ID]float64, float64) {
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
	s.assignHotRates(rates)
	return rates, total
}

// assignHotRates moves the rate of a hot key from its base shard to its own
// shard if that shard is so new that its rate is not reported yet.
func (s State) assignHotRates(rates map[ID]float64) {
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

func (w *workingState) find(name string) *owner {
	p, ok := slices.BinarySearchFunc(w.upstreams, name, func(o *owner, n string) int { return cmp.Compare(o.Name, n) })
	if !ok {
		return nil
	}
	return w.upstreams[p]
}

func (w *workingState) move(i item, from, to *owner) {
	from.remove(i)
	to.add(i)
}

// meanSize returns the total size of all items per unit of open weight.
func (w *workingState) meanSize() float64 {
	s := 0.0
	for _, u := range w.upstreams {
		s += u.size
	}
	return s / w.weight
}

// leastLoaded returns the open upstream other than from that would be least
// loaded with size added, or nil. Among nearly equal ones, preferred decides.
func (w *workingState) leastLoaded(from *owner, size float64) *owner {
	var best *owner
	after := func(u *owner) float64 { return (u.size + size) / u.weight() }
	low := 0.0
	for _, u := range w.upstreams {
		if !u.Closed && u != from && (best == nil || after(u) < low) {
			best, low = u, after(u)
		}
	}
	if best == nil {
		return nil
	}
	limit := low + equalLoadTolerance*w.meanSize()
	for _, u := range w.upstreams {
		if !u.Closed && u != from && after(u) <= limit && preferred(from, u, best) {
			best = u
		}
	}
	return best
}

// preferred reports whether a is a better destination than b for an item of the
// upstream from.
func preferred(from, a, b *owner) bool {
	if x, y := a.Region == from.Region, b.Region == from.Region; x != y {
		return x
	}
	if x, y := a.FailureDomain != from.FailureDomain, b.FailureDomain != from.FailureDomain; x != y {
		return x
	}
	return tieBreak(from.Name, a.Name) < tieBreak(from.Name, b.Name)
}

// findDonor returns the most loaded open upstream other than to that has a
// movable shard which keeps the load of to within the limit, or nil, and of
// these shards the one whose size is closest to want.
func (w *workingState) findDonor(to *owner, want, limit float64) (*owner, item) {
	var from *owner
	var best item
	fits := func(i item) bool { return !i.frozen && (to.size+i.size)/to.weight() <= limit }
	for _, u := range w.upstreams {
		if u.Closed || u == to || from != nil && u.size/u.weight() <= from.size/from.weight()+1e-9 {
			continue
		}
		if i, ok := closest(u.items, want, fits); ok {
			from, best = u, i
		}
	}
	return from, best
}

// closest returns the item for which fits returns true and whose size is closest
// to want, or false if none fits.
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
