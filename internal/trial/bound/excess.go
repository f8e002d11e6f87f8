package bound

import (
	"math"
	"slices"
	"time"
)

// step is the resolution of the times whose excess is computed.
const step = 250 * time.Millisecond

// window is a time in which at least excess demands can't be served in time.
type window struct {
	from, to time.Duration
	excess   int
}

// count holds numbers of demands.
type count struct {
	// known holds those that are known one by one, sampled those that stand for others,
	// and stood the sum of what these stand for.
	known, sampled, stood int
}

func (c *count) add(d Demand) {
	if d.Stands > 1 {
		c.sampled++
		c.stood += d.Stands
		return
	}
	c.known++
}

func (c count) minus(o count) count {
	return count{c.known - o.known, c.sampled - o.sampled, c.stood - o.stood}
}

// deviations is the number of standard deviations by which a sampled number is lowered.
const deviations = 3

// least returns the least number of demands that is taken as certain.
func (c count) least() float64 {
	if c.sampled == 0 {
		return float64(c.known)
	}
	s := float64(c.sampled)
	return float64(c.known) + max(s, float64(c.stood)*(1-deviations/math.Sqrt(s)))
}

// excess returns disjoint windows with what exceeds the pace in each, for demands that
// share targets, and those of the demands that the excess is of: pace is the number of
// slots, each divided by its factor. Demands of Unknown and Move are left out.
func (l *ledger) excess(of []int, pace float64) ([]window, []int) {
	if pace <= 0 || !slices.ContainsFunc(of, l.isOpen) {
		return nil, nil
	}
	var best []window
	var bestOf []int
	sum := 0
	for _, t := range l.distinct(of, func(d Demand) time.Duration { return d.Work }) {
		for _, o := range l.distinct(of, func(d Demand) time.Duration { return d.Objective }) {
			in := slices.DeleteFunc(slices.Clone(of), func(i int) bool {
				d := l.demands[i]
				return d.Work < t || d.Objective > o || l.causes[i] == Unknown || l.causes[i] == Move
			})
			ws := l.excessOf(in, pace/t.Seconds(), o)
			n := 0
			for _, w := range ws {
				n += w.excess
			}
			if n > sum {
				best, bestOf, sum = ws, in, n
			}
		}
	}
	return best, bestOf
}

// distinct returns the different values of first attempts in order, without 0.
func (l *ledger) distinct(of []int, value func(Demand) time.Duration) []time.Duration {
	m := map[time.Duration]bool{}
	for _, i := range of {
		if v := value(l.demands[i]); v > 0 && !l.demands[i].Returned {
			m[v] = true
		}
	}
	return sorted(m)
}

// excessOf returns the windows for demands with at most the objective, at a pace in requests
// a second.
func (l *ledger) excessOf(in []int, perSecond float64, objective time.Duration) []window {
	if len(in) == 0 {
		return nil
	}
	origin := l.demands[in[0]].At
	steps := int((l.demands[in[len(in)-1]].At-origin)/step) + 1
	// before, unserved and refused have the numbers before each step: all, those not in
	// time, and those that were refused.
	before, unserved, refused := make([]count, steps+1), make([]int, steps+1), make([]int, steps+1)
	for _, i := range in {
		s := int((l.demands[i].At-origin)/step) + 1
		before[s].add(l.demands[i])
		if l.demands[i].Outcome != InTime {
			unserved[s]++
		}
		if l.demands[i].Outcome == Refused {
			refused[s]++
		}
	}
	for s := 1; s <= steps; s++ {
		before[s].known += before[s-1].known
		before[s].sampled += before[s-1].sampled
		before[s].stood += before[s-1].stood
		unserved[s] += unserved[s-1]
		refused[s] += refused[s-1]
	}
	if c := before[steps]; float64(c.known+c.stood) <= perSecond*(step+objective).Seconds() {
		return nil
	}
	r := l.repeats(in)
	limit := int((r.limit + step - 1) / step)
	// sums has the largest excess of disjoint windows before each step, and starts the
	// start of the last of them if it ends there, or -1.
	sums, starts := make([]int, steps+1), make([]int, steps+1)
	for b := 1; b <= steps; b++ {
		sums[b], starts[b] = sums[b-1], -1
		for a := range b {
			w := time.Duration(b-a) * step
			n := r.first(before[b].minus(before[a]).least(), float64(refused[a]-refused[max(0, a-limit)]))
			e := int(math.Floor(n - perSecond*(w+objective).Seconds()))
			e = min(e, unserved[b]-unserved[a])
			if n := sums[a] + e; e > 0 && n > sums[b] {
				sums[b], starts[b] = n, a
			}
		}
	}
	var ws []window
	for b := steps; b > 0; {
		a := starts[b]
		if a < 0 {
			b--
			continue
		}
		ws = append(ws, window{origin + time.Duration(a)*step, origin + time.Duration(b)*step, sums[b] - sums[a]})
		b = a
	}
	slices.Reverse(ws)
	return ws
}
