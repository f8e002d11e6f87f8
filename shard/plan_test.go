package shard

import (
	"maps"
	"math/rand"
	"slices"
	"testing"
	"time"
)

func shardCounts(s State) (r map[string]int) {
	r = map[string]int{}
	s.Map.All(func(_ ID, e Entry) bool {
		r[e.Upstream]++
		return true
	})
	return r
}

// Guards against an initial assignment that is not in proportion to the weights,
// and against shards assigned to closed upstreams.
func TestAssign(t *testing.T) {
	u := upstreams(5)
	u[1].Closed, u[2].Weight = true, 2
	for count := uint32(1); count <= 300; count++ {
		c := shardCounts(newState(t, count, u))
		for _, v := range u {
			want := float64(count) * v.weight() / 5
			if d := float64(c[v.Name]) - want; v.Closed && c[v.Name] != 0 || !v.Closed && (d >= 1 || d <= -1) {
				t.Errorf("%d shards: %s has %d, want about %f", count, v.Name, c[v.Name], want)
			}
		}
	}
	if _, err := Assign(1, u[1:2]); err == nil {
		t.Error("Assign to closed upstreams = nil, want an error")
	}
}

// Guards against more moves than necessary when one of 16 upstreams leaves and
// when it joins again, and against uneven load afterwards.
func TestLeaveAndJoinTargets(t *testing.T) {
	for _, measured := range []bool{false, true} {
		for seed := range int64(3) {
			s, f := newState(t, 256, upstreams(16)), newTraffic(100000, 0, 0, seed)
			report := func() {
				if measured {
					f.fillReport(&s)
				}
			}
			report()
			first, owned := s.Map, shardCounts(s)["u03"]
			s.Upstreams[3].Closed = true
			m, err := s.Evacuate("u03")
			if err != nil || len(m) != owned {
				t.Fatalf("Evacuate = %d moves, %v, want %d", len(m), err, owned)
			}
			s.apply(t, nil, m, nil)
			report()
			leave, left := f.movedShare(first, s.Map)*16, f.loads(s)[0]*15/16
			s.Upstreams[3].Closed = false
			second := s.Map
			if i := s.Idle(); len(i) != 1 || i[0] != "u03" {
				t.Fatalf("Idle = %v, want u03", i)
			}
			j := s.Join("u03")
			s.apply(t, nil, j, nil)
			report()
			join, load := f.movedShare(second, s.Map)*16, f.loads(s)
			t.Logf("measured=%t seed %d: leave moves %d shards, churn ratio %.3f, imbalance %.3f; join moves %d, churn ratio %.3f, imbalance %.3f",
				measured, seed, len(m), leave, left, len(j), join, load[0])
			if leave > 1.1 || join > 1.1 || left > 1.10 || load[0] > 1.10 {
				t.Error("a churn ratio or an imbalance is above 1.1")
			}
		}
	}
}

// Guards against a join that moves more than the upstream's share of the load to
// it. The heaviest shards exceed that share, so only the light ones may move.
func TestJoinTakesNoHeavyShard(t *testing.T) {
	u := []Upstream{{Name: "a"}, {Name: "b"}, {Name: "c", Closed: true}}
	s := newState(t, 6, u)
	s.Rates = map[ID]float64{0: 100, 1: 100, 2: 1, 3: 10, 4: 10, 5: 10}
	u[2].Closed = false
	m := s.Join("c")
	if len(m) != 2 || m[0].Shard < 2 || m[1].Shard < 2 {
		t.Errorf("Join = %+v, want two shards other than 0 and 1", m)
	}
}

// Guards against the evacuation of a whole failure domain that moves shards
// within that domain, and against concurrent evacuations that choose the same
// destinations.
func TestEvacuationSpreads(t *testing.T) {
	u := upstreams(16)
	s := newState(t, 256, u)
	got := map[string]int{}
	for i := range u {
		u[i].Closed = u[i].FailureDomain == "d1"
	}
	for _, v := range u {
		m, err := s.Evacuate(v.Name)
		if !v.Closed {
			continue
		}
		if err != nil {
			t.Fatal(err)
		}
		for _, n := range m {
			got[n.To]++
		}
	}
	low, high := 1000, 0
	for _, v := range u {
		if !v.Closed {
			low, high = min(low, got[v.Name]), max(high, got[v.Name])
		}
	}
	if got["u01"]+got["u07"]+got["u13"] != 0 || high > low+1 {
		t.Errorf("shards received: %v", got)
	}
}

// Guards against a plan that is proposed before the imbalance has lasted for
// Settle, and against a shard that moves again during its cooldown.
func TestBalancerWaits(t *testing.T) {
	s, f := newState(t, 64, upstreams(4)), newTraffic(10000, 1.1, 2, 1)
	f.fillReport(&s)
	b := Balancer{Policy: Policy{Above: 1.1}, Settle: 3 * time.Second}
	for now, want := range []bool{false, false, false, true, false, false, false, true} {
		p := b.Propose(Time(now)*Time(time.Second), s)
		if got := len(p.Splits) > 0; got != want {
			t.Errorf("second %d: splits proposed %t, want %t", now, got, want)
		}
	}
	for i := range 100 {
		p := b.Propose(Time(100+i)*Time(time.Second), s)
		s.apply(t, p.Splits, p.Moves, p.Merges)
		for _, m := range p.Moves {
			if !b.frozen(Time(100+i)*Time(time.Second), nil)[m.Shard] {
				t.Errorf("shard %d is not frozen after its move", m.Shard)
			}
		}
		f.fillReport(&s)
	}
	if l := f.loads(s); l[0] > 1.25 {
		t.Errorf("imbalance %.3f, want at most 1.25", l[0])
	}
}

// Guards against repeated moves that noise in the reported rates causes. The
// load stays the same for four minutes, and each rate is reported with an error
// of 10% standard deviation. The bound is on the base shards that are moved in
// the last two minutes.
func TestNoiseCausesNoChurn(t *testing.T) {
	for seed := range int64(3) {
		s, f := newState(t, 256, upstreams(16)), newTraffic(20000, 1.1, float64(2*seed), seed)
		b, r, late := Balancer{Policy: Policy{Above: 1.25}}, rand.New(rand.NewSource(seed)), 0
		for now := range 240 {
			f.fillReport(&s)
			for _, i := range slices.Sorted(maps.Keys(s.Rates)) {
				s.Rates[i] *= 1 + r.NormFloat64()/10
			}
			p := b.Propose(Time(now)*Time(time.Second), s)
			for _, m := range p.Moves {
				if now >= 120 && uint32(m.Shard) < s.Map.Count() {
					late++
				}
			}
			s.apply(t, p.Splits, p.Moves, p.Merges)
		}
		t.Logf("seed %d: %d base shards moved in the last two minutes, imbalance %.3f", seed, late, f.loads(s)[0])
		if late > 4 {
			t.Errorf("seed %d: %d base shards moved in the last two minutes, want at most 4", seed, late)
		}
	}
}
