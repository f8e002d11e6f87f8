// Package heavy finds the most frequent keys of a stream in bounded memory,
// with the Space-Saving algorithm of Metwally, Agrawal and El Abbadi (2005).
package heavy

import (
	"cmp"
	"container/heap"
	"slices"
)

// Item is a key with its estimated weight. The true weight since New, decayed
// like the sketch, lies between Weight - Excess and Weight.
type Item[K comparable] struct {
	Key    K
	Weight float64
	// Excess bounds by how much Weight is too high.
	Excess float64
}

// Sketch counts the heaviest keys of a stream. Every key whose weight exceeds
// the total weight divided by the capacity is in the sketch. It is not safe
// for concurrent use. Use New.
type Sketch[K comparable] struct {
	capacity int
	places   map[K]int
	// items is a heap with the lightest item first.
	items []Item[K]
	total float64
}

// New returns a sketch that holds n keys; n is at least 1.
func New[K comparable](n int) *Sketch[K] {
	n = max(n, 1)
	return &Sketch[K]{capacity: n, places: make(map[K]int, n), items: make([]Item[K], 0, n)}
}

// Add adds weight to a key, in time logarithmic in the capacity. A weight that
// is not positive is ignored.
func (s *Sketch[K]) Add(k K, weight float64) {
	if !(weight > 0) {
		return
	}
	s.total += weight
	if p, ok := s.places[k]; ok {
		s.items[p].Weight += weight
		heap.Fix((*order[K])(s), p)
		return
	}
	if len(s.items) < s.capacity {
		heap.Push((*order[K])(s), Item[K]{k, weight, 0})
		return
	}
	// The lightest key gives way. Its weight bounds what the new key may have
	// had before.
	least := s.items[0]
	delete(s.places, least.Key)
	s.items[0] = Item[K]{k, least.Weight + weight, least.Weight}
	s.places[k] = 0
	heap.Fix((*order[K])(s), 0)
}

// Top returns up to n keys, heaviest first.
func (s *Sketch[K]) Top(n int) []Item[K] {
	r := slices.Clone(s.items)
	slices.SortStableFunc(r, func(a, b Item[K]) int { return cmp.Compare(b.Weight, a.Weight) })
	return r[:max(0, min(n, len(r)))]
}

// Total returns the weight of all keys together, decayed.
func (s *Sketch[K]) Total() float64 { return s.total }

// Len returns the number of keys held.
func (s *Sketch[K]) Len() int { return len(s.items) }

// Decay multiplies all weights by f, between 0 and 1. Called at fixed
// intervals, it makes the weights follow a changing stream.
func (s *Sketch[K]) Decay(f float64) {
	f = min(max(f, 0), 1)
	s.total *= f
	for i := range s.items {
		s.items[i].Weight *= f
		s.items[i].Excess *= f
	}
}

// order implements heap.Interface without adding to the methods of Sketch.
type order[K comparable] Sketch[K]

func (o *order[K]) Len() int { return len(o.items) }

func (o *order[K]) Less(i, j int) bool { return o.items[i].Weight < o.items[j].Weight }

func (o *order[K]) Swap(i, j int) {
	o.items[i], o.items[j] = o.items[j], o.items[i]
	o.places[o.items[i].Key], o.places[o.items[j].Key] = i, j
}

func (o *order[K]) Push(x any) {
	i := x.(Item[K])
	o.places[i.Key] = len(o.items)
	o.items = append(o.items, i)
}

func (o *order[K]) Pop() any {
	n := len(o.items) - 1
	i := o.items[n]
	o.items = o.items[:n]
	delete(o.places, i.Key)
	return i
}
