package pool

import (
	"bytes"
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"dandelionrock.example/dandelionrock/clock"
	"dandelionrock.example/dandelionrock/internal/plan/pace"
	"github.com/sebdah/goldie/v2"
)

// shared is a target on a machine that is shared with others: in a fifth of the time slices
// its work takes three times as long.
type shared struct {
	seed  uint64
	speed float64
}

const slice = 400 * time.Millisecond

func (s shared) factor(now clock.Time) float64 {
	if rand.New(rand.NewPCG(s.seed, uint64(time.Duration(now)/slice))).Float64() < 0.2 {
		return 3 * s.speed
	}
	return s.speed
}

// played counts the requests of a play.
type played struct{ offered, inTime, late, refused int }

// play offers requests at a rate to a target with six slots, which states its pace if states
// is set.
func (s shared) play(perSecond float64, states bool, o *played) {
	const aim, deadline = time.Second, 8 * time.Second
	var p Pool
	p.SetTargets([]Target{{ID: "t", Slots: 6}})
	arrivals, works := rand.New(rand.NewPCG(s.seed, 1)), rand.New(rand.NewPCG(s.seed, 2))
	var busy finishes
	begin := map[ID]clock.Time{}
	now := clock.Time(time.Minute)
	end, next := now.Add(30*time.Second), now
	handle := func(d Decision) {
		if d.Verdict == Refuse {
			o.refused++
		}
		if d.Verdict == Start {
			took := 350 * float64(time.Millisecond) * math.Exp(0.3*works.NormFloat64()-0.045) * s.factor(now)
			heap.Push(&busy, finish{at: now.Add(time.Duration(took)), begin: now, first: begin[d.ID]})
		}
	}
	for tick := now; next < end || len(busy) > 0; {
		switch {
		case len(busy) > 0 && busy[0].at <= min(next, tick):
			f := heap.Pop(&busy).(finish)
			now = f.at
			if states {
				p.State(now, "t", 0, pace.Factor(s.factor(now)))
			}
			p.Done(now, "t", 0, now.Sub(f.begin), Answered)
			if now.Sub(f.first) <= aim {
				o.inTime++
			} else {
				o.late++
			}
		case tick <= next:
			now, tick = tick, tick.Add(10*time.Millisecond)
		default:
			now, next = next, next.Add(time.Duration(arrivals.ExpFloat64()/perSecond*float64(time.Second)))
			if next >= end {
				next = math.MaxInt64
			}
			o.offered++
			id := ID(o.offered)
			begin[id] = now
			handle(p.Offer(now, Request{ID: id, Begin: now, Objective: now.Add(aim), Deadline: now.Add(deadline)}))
		}
		for _, d := range p.Next(now) {
			handle(d)
		}
	}
}

// Plays the same days on targets that state their pace and on ones that don't, at several
// loads. Guards against requests that begin in slow spells although they would end earlier
// after them, and against holds that cost more than they gain.
func TestSlowSpells(t *testing.T) {
	var b bytes.Buffer
	for _, speed := range []float64{0.7, 1.6} {
		for _, load := range []float64{0.6, 0.8, 1, 1.3} {
			var o [2]played
			for i, states := range []bool{false, true} {
				for seed := range uint64(20) {
					shared{seed, speed}.play(load*6/0.35/speed/1.4, states, &o[i])
				}
			}
			share := func(o played) float64 { return float64(o.inTime) / float64(o.offered) }
			fmt.Fprintf(&b, "factor %v, load %v: %.2f in time, with stated pace %.2f\n", speed, load, share(o[0]), share(o[1]))
			if share(o[1]) < share(o[0])-0.01 {
				t.Errorf("factor %v, load %v: %.3f are in time with stated pace, %.3f without", speed, load, share(o[1]), share(o[0]))
			}
		}
	}
	goldie.New(t).Assert(t, t.Name(), b.Bytes())
}
