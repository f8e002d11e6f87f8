package syncer

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"dandelionrock.example/dandelionrock/clock"
	"dandelionrock.example/dandelionrock/peer"
)

// spread is how copies spread in one region while the store denies some of its
// instances: the decisions of this package with fixed intervals between them.
type spread struct {
	order  []peer.Instance
	index  map[string]int
	denied []bool
	// asOf is the time of the state that each instance has.
	asOf    []time.Duration
	deputy  []deputy
	standIn []time.Duration
	// next is the earliest time of the next read of the store.
	next  []time.Duration
	pulls []int
}

func newSpread(r *rand.Rand, count int, denied float64) *spread {
	times := func() []time.Duration { return make([]time.Duration, count) }
	s := &spread{index: map[string]int{}, denied: make([]bool, count), asOf: times(), deputy: make([]deputy, count), standIn: times(), next: times(), pulls: make([]int, count)}
	for i := range count {
		s.order = append(s.order, peer.Instance{ID: fmt.Sprint("i", i)})
		s.index[s.order[i].ID] = i
		s.denied[i] = i < readers || r.Float64() < denied
		s.standIn[i], s.pulls[i] = -standInTime, r.IntN(100)
		s.next[i] = time.Duration(r.Int64N(int64(pollInterval)))
	}
	return s
}

// read lets an instance read the store if it does so at this time.
func (s *spread) read(now time.Duration, i int) {
	age := now - s.asOf[i]
	if i >= readers && now-s.standIn[i] >= standInTime && !shouldStandIn(age, staleAfter, i-readers, len(s.order)-readers) {
		return
	}
	if now < s.next[i] {
		return
	}
	if s.denied[i] {
		s.next[i] = now + maxBackoff
		return
	}
	s.next[i] = now + pollInterval
	if age > staleAfter {
		s.standIn[i] = now
	}
	s.asOf[i] = now
}

// pull lets an instance ask another one.
func (s *spread) pull(now time.Duration, i int) {
	at := clock.Time(now)
	c := candidates(s.pulls[i], now-s.asOf[i], staleAfter, s.order, nil, s.deputy[i].current(at))
	p, ok := source(s.pulls[i], c, s.order[i].ID)
	s.pulls[i]++
	if !ok {
		return
	}
	j := s.index[p.ID]
	if now-s.asOf[i] > staleAfter && now-s.asOf[j] < staleAfter {
		s.deputy[i] = deputy{s.order[j].ID, at.Add(standInTime)}
	}
	s.asOf[i] = max(s.asOf[i], s.asOf[j])
}

// Replays a store that denies the readers of a region and a third of the others for
// nine seconds. Guards against instances of a large region that go on with an old
// configuration, and old targets, because they don't find the few that have read the
// new ones. All must know a change within the time in which it is to be in force.
func TestSpreadWhileReadersAreDenied(t *testing.T) {
	const (
		bound  = 4 * time.Second
		denial = 9 * time.Second
		step   = 50 * time.Millisecond
	)
	for _, count := range []int{4, 20, 70, 350} {
		for seed := range uint64(20) {
			s := newSpread(rand.New(rand.NewPCG(seed, 1)), count, 0.35)
			s.denied[len(s.denied)-1] = false
			// One more instance is tried each standInDelay until one is not denied.
			allowed := bound + time.Duration(slices.Index(s.denied, false)-readers)*standInDelay
			oldest := time.Duration(0)
			for now := step; now < denial+bound; now += step {
				if now == denial {
					clear(s.denied)
				}
				for i := range s.order {
					s.read(now, i)
					if (now+time.Duration(i)*step)%pullInterval == 0 {
						s.pull(now, i)
					}
					oldest = max(oldest, now-s.asOf[i])
				}
			}
			if oldest > allowed {
				t.Errorf("seed %d: a copy of %d instances is %v old, more than %v", seed, count, oldest, allowed)
			}
		}
	}
}
