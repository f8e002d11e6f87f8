package main

import (
	"math"
	"slices"
	"time"
)

// percentile returns the smallest sample v for which at least the fraction p of
// the samples are at most v, or 0 without samples. It sorts x.
func percentile(x []time.Duration, p float64) time.Duration {
	if len(x) == 0 {
		return 0
	}
	slices.Sort(x)
	return x[min(max(int(math.Ceil(p*float64(len(x))))-1, 0), len(x)-1)]
}

// median returns the middle value, or the mean of the two middle values, or NaN
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

// gap returns the longest time without an answer between begin and end. The
// answers need not be sorted.
func gap(begin, end time.Time, answers []time.Time) time.Duration {
	l := []time.Time{begin}
	for _, t := range answers {
		if t.After(begin) && t.Before(end) {
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

// imbalance returns the ratio of the highest load to the mean load, or NaN
// without load.
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
