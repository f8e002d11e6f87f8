package bound

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"
)

// schedule runs demands first come, first served, with each key at one of the targets, and
// drops those that would be late. It returns the number of dropped ones.
func schedule(r *rand.Rand, s Service, demands []Demand) int {
	type target struct {
		slots  []time.Duration
		factor float64
	}
	var targets []target
	for _, t := range s.Targets {
		for range t.Count {
			targets = append(targets, target{make([]time.Duration, t.Slots), t.Factor})
		}
	}
	owner, dropped := map[int]int{}, 0
	for _, d := range demands {
		n, ok := owner[d.Key]
		if !ok {
			n = r.IntN(len(targets))
			owner[d.Key] = n
		}
		t := targets[n]
		free := slices.Index(t.slots, slices.Min(t.slots))
		end := max(t.slots[free], d.At) + time.Duration(float64(d.Work)*t.factor)
		if end > d.At+d.Objective {
			dropped++
			continue
		}
		t.slots[free] = end
	}
	return dropped
}

// Guards against a bound above what a schedule reaches: random loads of two kinds on a few
// targets, with spells of a hot key and of many requests.
func TestBoundHolds(t *testing.T) {
	p := gopter.DefaultTestParametersWithSeed(1)
	p.MinSuccessfulTests = 300
	q := gopter.NewProperties(p)
	bound := 0
	q.Property("a schedule leaves at least as many", prop.ForAll(func(seed uint64) bool {
		r := rand.New(rand.NewPCG(seed, 1))
		s := Service{Targets: []Targets{{1 + r.IntN(3), 1 + r.IntN(4), 0.5 + r.Float64()}, {1 + r.IntN(3), 1 + r.IntN(4), 0.5 + r.Float64()}}}
		keys, rate := 1+r.IntN(4), 1+r.IntN(40)
		var l []Demand
		for at := time.Duration(0); at < 20*time.Second; at += time.Duration(r.IntN(2000/rate)) * ms {
			k := 0
			if at < 10*time.Second {
				k = r.IntN(keys)
			}
			d := Demand{At: at, Service: "s", Kind: "lookup", Key: k, Work: 250 * ms, Objective: 1000 * ms, Outcome: Refused, Stands: 1}
			if r.IntN(3) == 0 {
				d.Kind, d.Work, d.Objective = "order", 310*ms, 1200*ms
			}
			l = append(l, d)
		}
		n := 0
		for _, row := range Table(Figures{Services: map[string]Service{"s": s}}, l, nil) {
			n += row.By[Key] + row.By[Room]
		}
		bound += n
		return n <= schedule(r, s, l)
	}, gen.UInt64()))
	q.TestingRun(t)
	if bound == 0 {
		t.Error("nothing was bound")
	}
}
