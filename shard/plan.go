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

// Upstream describes an upstream to the planner.
type Upstream struct {
	Name          string
	Region        string
	FailureDomain string
	// Weight is the capacity relative to other upstreams, such as the number
	// of slots; 0 means 1.
	Weight float64
	// Closed upstreams, such as draining or unreachable ones, receive no
	// shards.
	Closed bool
}

// Move is a proposed change of a shard's owner.
type Move struct {
	Shard ID
	From  string
	To    string
}

// HotKey is a key with a high request rate, as reported by a home.
type HotKey struct {
	Key string
	// Rate is in requests per second.
	Rate float64
}

// State is the planner's input for one service. Its methods propose changes and
// do not modify it; equal states give equal proposals.
type State struct {
	Map *Map
	// Upstreams have distinct names. An owner that is not listed counts as
	// closed.
	Upstreams []Upstream
	// Rates holds the requests per second of shards, as reported by homes. If
	// no shard of an upstream is reported, its shards count with the mean rate
	// of the shards of all upstreams with reports. If only some are reported,
	// the others of that upstream count as idle.
	Rates map[ID]float64
	// Hot holds the keys that homes report as hot.
	Hot []HotKey
	// Frozen shards are not moved by Join and Rebalance.
	Frozen map[ID]bool
}

// Assign returns the initial owner of each of count shards. Each upstream that
// is not closed receives a run of consecutive shards, in the order of the names,
// whose length is in proportion to its weight to within one shard. With runs
// instead of a round robin, an evacuation changes few table rows, so that few
// writers compete for a row. It returns ErrNoUpstream if all upstreams are
// closed.
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

// Initial returns the initial blocks of a service with count shards, with the
// owners that Assign returns. It returns ErrNoUpstream if all upstreams are
// closed, and ErrBlock if an upstream that owns shards has no name.
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

// Idle returns the sorted names of the upstreams that may receive shards and own
// none. The caller passes them to Join.
func (s State) Idle() []string {
	var r []string
	for _, u := range newWorkingState(s).upstreams {
		if !u.Closed && len(u.items) == 0 {
			r = append(r, u.Name)
		}
	}
	return r
}

// Evacuate proposes new owners for all shards of an upstream. The heaviest shard
// comes first, and each goes to the least loaded upstream. Among nearly equally
// loaded ones Evacuate prefers the region of the evacuated upstream, then a
// failure domain other than its own, because a failure domain can fail as a
// whole. It returns ErrNoUpstream if no upstream may receive the shards.
//
// Closed upstreams whose names sort before the given one are planned as if they
// had been evacuated before. Homes that evacuate the upstreams of a failure
// domain concurrently therefore do not all choose the same destinations.
func (s State) Evacuate(name string) ([]Move, error) {
	w := newWorkingState(s)
	for _, from := range w.upstreams {
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

// evacuate moves all items away from an upstream and returns the moves. It
// returns ErrNoUpstream.
func (w *workingState) evacuate(from *owner) ([]Move, error) {
	var r []Move
	for _, i := range slices.SortedStableFunc(slices.Values(from.items), compareBySize) {
		to := w.leastLoaded(from, i.size)
		if to == nil {
			return nil, ErrNoUpstream
		}
		w.move(i, from, to)
		r = append(r, Move{i.id, from.Name, to.Name})
	}
	return r, nil
}

// Join proposes the shards to move to an upstream, up to its share of the number
// of shards, rounded down, or up to its share of the measured load. Each comes
// from the most loaded upstream that has a shard within that load, and is the
// one whose size is closest to the remaining load per remaining shard. Join
// returns nil for a closed or unknown upstream.
func (s State) Join(name string) []Move {
	w := newWorkingState(s)
	to := w.find(name)
	if to == nil || to.Closed {
		return nil
	}
	share := to.weight() / w.weight
	count, load := 0, 0.0
	for _, u := range w.upstreams {
		if !u.Closed {
			count += len(u.items)
			load += u.size
		}
	}
	var r []Move
	for n := int(share*float64(count)+1e-9) - len(to.items); n > 0; n-- {
		from, i := w.findDonor(to, (share*load-to.size)/float64(n), load/w.weight*(1+equalLoadTolerance))
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

// tieBreak returns the sort key of the destination to among otherwise equal
// ones. The order differs by the source, so that evacuations planned from
// different views of the table do not all choose the same destination.
func tieBreak(from, to string) uint64 {
	return uint64(hash(xxhash.Sum64String(from), to))
}

// compareBySize sorts the largest item first, and equal ones by ID.
func compareBySize(a, b item) int {
	return cmp.Or(cmp.Compare(b.size, a.size), cmp.Compare(a.id, b.id))
}
