package pool

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"dandelionrock.example/dandelionrock/clock"
	"dandelionrock.example/dandelionrock/internal/plan/pace"
	"github.com/sebdah/goldie/v2"
)

// sharedMachine returns a factor that is three times the usual one in a fifth of the slices
// of 400 ms.
func sharedMachine(seed uint64, usual pace.Factor) func(clock.Time) pace.Factor {
	return func(now clock.Time) pace.Factor {
		if rand.New(rand.NewPCG(seed, uint64(time.Duration(now)/(400*time.Millisecond)))).Float64() < 0.2 {
			return 3 * usual
		}
		return usual
	}
}

// Plays the same days on targets that state their pace and on ones that don't, at several
// loads. Guards against requests that begin in slow spells although they would end earlier
// after them, and against holds that cost more than they gain.
func TestSlowSpells(t *testing.T) {
	const work = 350 * time.Millisecond
	play := func(usual pace.Factor, load float64, states bool) float64 {
		var inTime, offered int
		for seed := range uint64(20) {
			s := newSimulation(t, []server{{id: "t", slots: 6, serviceTime: work, factor: sharedMachine(seed, usual), states: states}})
			s.random, s.objective, s.deadline, s.retries = rand.New(rand.NewPCG(seed, 7)), time.Second, 8*time.Second, 0
			s.run(load*6/work.Seconds()/float64(usual)/1.4, 30*time.Second)
			inTime, offered = inTime+s.inTime, offered+s.offered
		}
		return float64(inTime) / float64(offered)
	}
	var b bytes.Buffer
	for _, usual := range []pace.Factor{0.7, 1.6} {
		for _, load := range []float64{0.6, 0.8, 1, 1.3} {
			without, with := play(usual, load, false), play(usual, load, true)
			fmt.Fprintf(&b, "factor %v, load %v: %.2f in time, with stated pace %.2f\n", usual, load, without, with)
			if with < without-0.01 {
				t.Errorf("factor %v, load %v: %.3f are in time with stated pace, %.3f without", usual, load, with, without)
			}
		}
	}
	goldie.New(t).Assert(t, t.Name(), b.Bytes())
}
