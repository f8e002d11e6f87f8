package shard

import (
	"cmp"
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"
)

// ErrNoUpstream reports that no upstream may receive shards.
var ErrNoUpstream = errors.New("no upstream may receive shards")

// Upstream is an upstream as the planner sees it.
type Upstream struct {
	Name          string
	Region        string
	FailureDomain string
	// Weight is the capacity relative to other upstreams, such as the number
	// of slots; 0 means 1.
	Weight float64
	// Closed upstreams, such as draining or unreachable ones, get no shard.
	Closed bool
}

// Move is a proposed change of a shard's owner.
type Move struct {
	Shard ID
	From  string
	To    string
}

// HotKey is a key that a home reports as hot.
type HotKey struct {
	Key string
	// Rate is in requests per second.
	Rate float64
}

// State is what the planner knows of one service. The methods propose changes
// and don't change the state; equal states give equal proposals.
type State struct {
	Map *Map
	// Upstreams have distinct names. An owner that is missing here counts as
	// closed.
	Upstreams []Upstream
	// Rates holds the requests per second of shards, as reported by homes. If
	// no shard of an upstream is reported, its shards count with the mean rate
	// of the reported ones. Otherwise those left out count as idle.
	Rates map[ID]float64
	// Hot holds the keys that homes report as hot.
	Hot []HotKey
	// Frozen shards are not moved by Join and Rebalance.
	Frozen map[ID]bool
}

// Assign returns the first owner of each of count shards: consecutive runs in
// the order of the upstreams' names, with numbers in proportion to the weights
// and within one shard of it. Runs instead of turns let an evacuation touch few
// table rows, and so few writers compete for a row. It returns ErrNoUpstream.
func Assign(count uint32, upstreams []Upstream) ([]string, error) {
	open := slices.DeleteFunc(slices.Clone(upstreams), func(u Upstream) bool { return u.Closed })
	if len(open) == 0 {
		return nil, ErrNoUpstream
	}
	slices.SortFunc(open, func(a, b Upstream) int { return cmp.Compare(a.Name, b.Name) })
	total, sum := 0.0, 0.0
	for _, u := range open {
		total += u.weight()
	}
	r := make([]string, 0, count)
	for _, u := range open {
		sum += u.weight()
		for len(r) < int(math.Round(float64(count)*sum/total)) {
			r = append(r, u.Name)
		}
	}
	return r, nil
}

// Initial returns the first blocks of a service. It returns ErrNoUpstream or
// ErrBlock.
func Initial(count uint32, upstreams []Upstream) ([]*Block, error) {
	o, err := Assign(count, upstreams)
	if err != nil {
		return nil, err
	}
	var r []*Block
	for n := range Blocks(count) {
		b, err := NewBlock(count, n, o[n*BlockSize:min(len(o), (n+1)*BlockSize)])
		if err != nil {
			return nil, err
		}
		r = append(r, b)
	}
	return r, nil
}

// Idle returns the names of the upstreams that may receive shards and own none,
// sorted. They are to Join.
func (s State) Idle() []string {
	var r []string
	for _, u := range newWork(s).ups {
		if !u.Closed && len(u.items) == 0 {
			r = append(r, u.Name)
		}
	}
	return r
}

// Evacuate proposes new owners for all shards of an upstream, heaviest shard
// first, each for the least loaded upstream. Among nearly equal ones it prefers
// the region of the evacuated upstream, then a failure domain other than its
// own, because a failure domain can fail as a whole. It returns ErrNoUpstream.
//
// Shards of closed upstreams whose names come first count as if they had been
// evacuated before. So homes that evacuate a failure domain side by side don't
// all choose the same destinations.
func (s State) Evacuate(name string) ([]Move, error) {
	w := newWork(s)
	for _, from := range w.ups {
		if from.Name != name && !from.Closed {
			continue
		}
		m, err := w.evacuate(from)
		if err != nil || from.Name == name {
			return m, err
		}
	}
	return nil, nil
}

func (w *work) evacuate(from *owner) ([]Move, error) {
	var r []Move
	for _, i := range slices.SortedStableFunc(slices.Values(from.items), heaviest) {
		to := w.least(from, i.size)
		if to == nil {
			return nil, ErrNoUpstream
		}
		w.move(i, from, to)
		r = append(r, Move{i.id, from.Name, to.Name})
	}
	return r, nil
}

// Join proposes the shards that an upstream takes over, up to its share of the
// number of shards, rounded down, or up to its share of the measured load. Each
// comes from the most loaded upstream that has a fitting one, and is the one
// that brings the joining upstream closest to its share of the load.
func (s State) Join(name string) []Move {
	w := newWork(s)
	to := w.find(name)
	if to == nil || to.Closed {
		return nil
	}
	share := to.weight() / w.weight
	count, load := 0, 0.0
	for _, u := range w.ups {
		if !u.Closed {
			count += len(u.items)
			load += u.size
		}
	}
	var r []Move
	for n := int(share*float64(count)+1e-9) - len(to.items); n > 0; n-- {
		from, i := w.donor(to, (share*load-to.size)/float64(n), load/w.weight*(1+nearlyEqual))
		if from == nil {
			break
		}
		w.move(i, from, to)
		r = append(r, Move{i.id, from.Name, name})
	}
	return r
}

func (u Upstream) weight() float64 {
	if u.Weight > 0 {
		return u.Weight
	}
	return 1
}

// rank orders upstreams that are otherwise equal. It differs by the name of the
// upstream that is left, so that evacuations planned from different views don't
// all choose the same destination.
func rank(from, to string) uint64 {
	return uint64(hash(xxhash.Sum64String(from), to))
}

func heaviest(a, b item) int {
	return cmp.Or(cmp.Compare(b.size, a.size), cmp.Compare(a.id, b.id))
}
