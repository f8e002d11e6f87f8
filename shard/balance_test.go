package shard

import (
	"cmp"
	"fmt"
	"math"
	"math/rand"
	"slices"
	"testing"
)

// traffic is the request rate of each key of a service.
type traffic struct {
	keys   []string
	hashes []KeyHash
	rates  []float64
}

// newTraffic returns keys whose rates are proportional to
// (rank + offset)^-exponent. The ranks begin at 1 and are assigned to the keys
// at random with the seed.
func newTraffic(keys int, exponent, offset float64, seed int64) traffic {
	t := traffic{make([]string, keys), make([]KeyHash, keys), make([]float64, keys)}
	for i, r := range rand.New(rand.NewSource(seed)).Perm(keys) {
		t.keys[i] = fmt.Sprintf("entry-%d", i)
		t.hashes[i] = Hash("quotes", t.keys[i])
		t.rates[i] = 1e6 * math.Pow(float64(r+1)+offset, -exponent)
	}
	return t
}

// fillReport sets the rates and hot keys of s to what homes would report. The
// hot keys are, for each upstream, the 64 with the highest rates that have no
// shard of their own.
func (t traffic) fillReport(s *State) {
	s.Rates, s.Hot = map[ID]float64{}, nil
	hot := map[string][]HotKey{}
	for i, k := range t.keys {
		id, o, _ := s.Map.FindHash(t.hashes[i])
		s.Rates[id] += t.rates[i]
		if uint32(id) < s.Map.Count() {
			hot[o] = append(hot[o], HotKey{k, t.rates[i]})
		}
	}
	for _, u := range s.Upstreams {
		h := hot[u.Name]
		slices.SortFunc(h, func(a, b HotKey) int { return cmp.Compare(b.Rate, a.Rate) })
		s.Hot = append(s.Hot, h[:min(64, len(h))]...)
	}
}

// loads returns the load of each upstream relative to the mean, highest first.
func (t traffic) loads(s State) []float64 {
	load, sum, r := map[string]float64{}, 0.0, []float64{}
	for i, h := range t.hashes {
		_, o, _ := s.Map.FindHash(h)
		load[o] += t.rates[i]
		sum += t.rates[i]
	}
	for _, u := range s.Upstreams {
		r = append(r, -load[u.Name]/sum*float64(len(s.Upstreams)))
	}
	slices.Sort(r)
	for i := range r {
		r[i] = -r[i]
	}
	return r
}

// movedShare returns the fraction of keys whose owner differs between two maps.
func (t traffic) movedShare(a, b *Map) float64 {
	n := 0
	for _, h := range t.hashes {
		_, x, _ := a.FindHash(h)
		if _, y, _ := b.FindHash(h); x != y {
			n++
		}
	}
	return float64(n) / float64(len(t.keys))
}

func upstreams(n int) []Upstream {
	r := make([]Upstream, n)
	for i := range r {
		r[i] = Upstream{
			Name: fmt.Sprintf("u%02d", i), Region: fmt.Sprintf("r%d", i%3), FailureDomain: fmt.Sprintf("d%d", i%6),
		}
	}
	return r
}

func newState(t testing.TB, count uint32, u []Upstream) State {
	t.Helper()
	m := NewMap("quotes", count)
	m = must(m.With(must(Initial(count, u))(t)...))(t)
	return State{Map: m, Upstreams: u}
}

// apply applies a plan to the map of s, in the way that homes commit it.
func (s *State) apply(t testing.TB, splits []HotKey, moves []Move, merges []KeyHash) {
	t.Helper()
	change := func(i ID, f func(*Block) (*Block, error)) {
		b := must(f(s.Map.Block(BlockOf(i, s.Map.Count()))))(t)
		s.Map = must(s.Map.With(must(Decode(s.Map.Count(), b.Number(), b.Row()))(t)))(t)
	}
	for _, k := range splits {
		h := s.Map.Hash(k.Key)
		change(Base(h, s.Map.Count()), func(b *Block) (*Block, error) {
			c, _, err := b.Split(h)
			return c, err
		})
	}
	for _, m := range moves {
		if e, ok := s.Map.Entry(m.Shard); !ok || e.Upstream != m.From || m.From == m.To {
			t.Fatalf("move %+v of a shard with owner %q", m, e.Upstream)
		}
		change(m.Shard, func(b *Block) (*Block, error) { return b.Move(m.Shard, m.To) })
	}
	for _, h := range merges {
		change(Base(h, s.Map.Count()), func(b *Block) (*Block, error) { return b.Merge(h) })
	}
}

// rebalanceUntilStable rebalances until a plan is empty, and returns the last
// plan and the numbers of moves, splits and plans.
func (t traffic) rebalanceUntilStable(b testing.TB, s *State, y Policy) (p Plan, moves, splits, plans int) {
	b.Helper()
	for ; plans < 50; plans++ {
		t.fillReport(s)
		p = s.Rebalance(y)
		if len(p.Splits)+len(p.Moves)+len(p.Merges) == 0 {
			return p, moves, splits, plans
		}
		s.apply(b, p.Splits, p.Moves, p.Merges)
		moves, splits = moves+len(p.Moves), splits+len(p.Splits)
	}
	b.Errorf("the plan is not empty after %d plans", plans)
	return p, moves, splits, plans
}

// Guards against a load that stays uneven, against needless moves, and against
// rebalancing that does not end, with 16 upstreams and 256 shards. With Zipf
// rates without an offset the hottest key alone exceeds the mean load. The bound
// is then the floor plus the quarter of the hysteresis that limits adds to it.
func TestRebalanceTargets(t *testing.T) {
	for _, x := range []struct {
		name             string
		keys             int
		exponent, offset float64
		want, churn      float64
	}{
		{"uniform", 100000, 0, 0, 1.10, 0},
		{"zipf 1.1", 100000, 1.1, 0, 1.25, 0.10},
		{"zipf 1.1", 300000, 1.1, 0, 1.25, 0.10},
		{"zipf 1.1, offset 2", 100000, 1.1, 2, 1.25, 0.01},
		{"zipf 1.1, offset 10", 100000, 1.1, 10, 1.25, 0.01},
	} {
		for seed := range int64(3) {
			s, f := newState(t, 256, upstreams(16)), newTraffic(x.keys, x.exponent, x.offset, seed)
			first, before := s.Map, f.loads(s)
			p, moves, splits, plans := f.rebalanceUntilStable(t, &s, Policy{Above: 1.25})
			got, churn := f.loads(s), f.movedShare(first, s.Map)
			t.Logf("%s, %d keys, seed %d: imbalance %.3f -> %.3f, second highest %.3f, floor %.3f, %.2f%% of keys moved, %d moves, %d splits, %d plans",
				x.name, x.keys, seed, before[0], got[0], got[1], p.Floor, 100*churn, moves, splits, plans)
			if got[0] > max(x.want, p.Floor+0.032) || got[1] > x.want || churn > x.churn {
				t.Errorf("imbalance %.3f, second highest %.3f, floor %.3f, churn %.3f", got[0], got[1], p.Floor, churn)
			}
		}
	}
}

// Guards against overrides that accumulate as the hot keys change.
func TestIdleHotShardsAreMerged(t *testing.T) {
	s, y := newState(t, 64, upstreams(4)), Policy{Above: 1.1, MaxHot: 8}
	for seed := range int64(12) {
		f := newTraffic(5000, 1.1, 2, seed)
		f.rebalanceUntilStable(t, &s, y)
		n := 0
		for _, b := range s.Map.blocks {
			n += len(b.overrides)
		}
		if l := f.loads(s); n > y.MaxHot/2 || l[0] > 1.25 {
			t.Errorf("seed %d: %d overrides, imbalance %.3f", seed, n, l[0])
		}
	}
}

// Guards against endless plans. When MaxHot is reached, a base shard moves
// together with its hot keys, and a plan that ignores their load moves the base
// shard back and forth.
func TestBaseShardMovesWithHotKeys(t *testing.T) {
	s := newState(t, 4, upstreams(2))
	hot := HotKey{Key: "hot", Rate: 60}
	i, _, _ := s.Map.Find(hot.Key)
	cold := "cold"
	for n := 0; Base(s.Map.Hash(cold), 4) == i; n++ {
		cold = fmt.Sprint("cold", n)
	}
	s.apply(t, []HotKey{{Key: cold}}, nil, nil)
	s.Rates, s.Hot = map[ID]float64{0: 0, 1: 0, 2: 0, 3: 0, 4: 0}, []HotKey{hot}
	s.Rates[i] = 100
	if p := s.Rebalance(Policy{Above: 1.25, MaxHot: 1}); len(p.Splits)+len(p.Moves) != 0 {
		t.Errorf("plan %+v, want none", p)
	}
}
