// Package heavy finds the keys of greatest weight in a stream in bounded memory,
// with the Space-Saving algorithm of Metwally, Agrawal and El Abbadi (2005).
package heavy

import (
	"cmp"
	"container/heap"
	"slices"
)

// Item is a key with its estimated weight. The true weight of the key, with the same
// decay, lies between Weight - Excess and Weight.
type Item[K comparable] struct {
	Key    K
	Weight float64
	// Excess is the largest amount by which Weight may exceed the true weight.
	Excess float64
}

// Sketch estimates the weights of the heaviest keys of a stream. It holds every key
// whose weight exceeds the total weight divided by the capacity. It is not safe for
// concurrent use. Create one with New.
type Sketch[K comparable] struct {
	capacity int
	// index maps each key to the index of its item.
	index map[K]int
	// items is a min-heap by weight.
	items []Item[K]
	total float64
}

// New returns an empty sketch with a capacity of n keys. If n is less than 1, the
// capacity is 1.
func New[K comparable](n int) *Sketch[K] {
	n = max(n, 1)
	return &Sketch[K]{capacity: n, index: make(map[K]int, n), items: make([]Item[K], 0, n)}
}

// Add adds weight to the weight of k. It ignores a weight that is not positive. Add
// takes time logarithmic in the capacity.
func (s *Sketch[K]) Add(k K, weight float64) {
	if !(weight > 0) {
		return
	}
	s.total += weight
	if p, ok := s.index[k]; ok {
		s.items[p].Weight += weight
		heap.Fix((*itemHeap[K])(s), p)
		return
	}
	if len(s.items) < s.capacity {
		heap.Push((*itemHeap[K])(s), Item[K]{k, weight, 0})
		return
	}
	// Replace the lightest key. Its weight is an upper bound on the weight that
	// k had before, because k is not in the sketch.
	lightest := s.items[0]
	delete(s.index, lightest.Key)
	s.items[0] = Item[K]{k, lightest.Weight + weight, lightest.Weight}
	s.index[k] = 0
	heap.Fix((*itemHeap[K])(s), 0)
}

// Top returns the n heaviest keys, or all if the sketch holds fewer, sorted by
// descending weight.
func (s *Sketch[K]) Top(n int) []Item[K] {
	r := slices.Clone(s.items)
	slices.SortStableFunc(r, func(a, b Item[K]) int { return cmp.Compare(b.Weight, a.Weight) })
	return r[:max(0, min(n, len(r)))]
}

// Total returns the total weight of the stream, decayed. It includes keys that the
// sketch no longer holds.
func (s *Sketch[K]) Total() float64 { return s.total }

// Len returns the number of keys in the sketch.
func (s *Sketch[K]) Len() int { return len(s.items) }

// Decay multiplies all weights by f, which is clamped to the range from 0 to 1. If
// it is called at regular intervals, recent weights count more than old ones.
func (s *Sketch[K]) Decay(f float64) {
	f = min(max(f, 0), 1)
	s.total *= f
	for i := range s.items {
		s.items[i].Weight *= f
		s.items[i].Excess *= f
	}
}

// itemHeap implements heap.Interface for the items of a Sketch, so that its methods
// are not exported methods of Sketch.
type itemHeap[K comparable] Sketch[K]

func (o *itemHeap[K]) Len() int { return len(o.items) }

func (o *itemHeap[K]) Less(i, j int) bool { return o.items[i].Weight < o.items[j].Weight }

func (o *itemHeap[K]) Swap(i, j int) {
	o.items[i], o.items[j] = o.items[j], o.items[i]
	o.index[o.items[i].Key], o.index[o.items[j].Key] = i, j
}

func (o *itemHeap[K]) Push(x any) {
	i := x.(Item[K])
	o.index[i.Key] = len(o.items)
	o.items = append(o.items, i)
}

func (o *itemHeap[K]) Pop() any {
	n := len(o.items) - 1
	i := o.items[n]
	o.items = o.items[:n]
	delete(o.index, i.Key)
	return i
}
