package main

import (
	"math"
	"slices"
	"time"
)

// percentile returns the smallest sample that at least the fraction p of all
// samples don't exceed, and 0 without samples. It sorts x.
func percentile(x []time.Duration, p float64) time.Duration {
	if len(x) == 0 {
		return 0
	}
	slices.Sort(x)
	return x[min(max(int(math.Ceil(p*float64(len(x))))-1, 0), len(x)-1)]
}

// median returns the middle value, or the mean of the two in the middle; NaN
// without values.
func median(x []float64) float64 {
	n := len(x)
	if n == 0 {
		return math.NaN()
	}
	y := slices.Sorted(slices.Values(x))
	if n%2 == 1 {
		return y[n/2]
	}
	return (y[n/2-1] + y[n/2]) / 2
}

// gap returns the longest time without an answer between the loss and the end.
// The times of answers need not be sorted.
func gap(loss, end time.Time, answers []time.Time) time.Duration {
	l := []time.Time{loss}
	for _, t := range answers {
		if t.After(loss) && t.Before(end) {
			l = append(l, t)
		}
	}
	l = append(l, end)
	slices.SortFunc(l, time.Time.Compare)
	var g time.Duration
	for i := 1; i < len(l); i++ {
		g = max(g, l[i].Sub(l[i-1]))
	}
	return g
}

// imbalance returns the highest load over the mean load.
func imbalance(x []float64) float64 {
	var s float64
	for _, v := range x {
		s += v
	}
	if s == 0 {
		return math.NaN()
	}
	return slices.Max(x) * float64(len(x)) / s
}

// ms returns a duration in milliseconds.
func ms(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }
