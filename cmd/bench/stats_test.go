package main

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"dandelionrock.example/dandelionrock/internal/header"
)

// TestPercentile guards against ranks that are off by one, which would hide the
// slowest sample of a small set.
func TestPercentile(t *testing.T) {
	r := rand.New(rand.NewPCG(1, 1))
	for _, n := range []int{1, 2, 3, 99, 100, 101, 1000} {
		x := make([]time.Duration, n)
		for i, v := range r.Perm(n) {
			x[i] = time.Duration(v + 1)
		}
		for _, p := range []float64{0, 0.01, 0.5, 0.9, 0.99, 1} {
			v, below := percentile(x, p), 0
			for _, d := range x {
				if d < v {
					below++
				}
			}
			// The samples are 1 to n, so that v of them don't exceed v.
			if float64(v) < p*float64(n) || below > 0 && float64(below) >= p*float64(n) {
				t.Errorf("percentile %v of 1 to %d is %d", p, n, v)
			}
		}
	}
	if v := percentile(nil, 0.99); v != 0 {
		t.Errorf("percentile of no samples is %v", v)
	}
}

// TestMedian guards against a median that depends on the order of the values.
func TestMedian(t *testing.T) {
	for _, c := range []struct {
		x    []float64
		want float64
	}{{[]float64{3}, 3}, {[]float64{9, 1}, 5}, {[]float64{5, 1, 9}, 5}, {[]float64{4, 1, 9, 6}, 5}} {
		if v := median(c.x); v != c.want {
			t.Errorf("median of %v is %v, want %v", c.x, v, c.want)
		}
	}
	if !math.IsNaN(median(nil)) {
		t.Error("median of nothing is a number")
	}
}

// TestGap guards against a gap that ignores the time from the failure to the
// first answer or from the last answer to the end.
func TestGap(t *testing.T) {
	b := time.Unix(1000, 0)
	for name, c := range map[string]struct {
		answers []int
		want    int
	}{
		"no answer":          {nil, 1000},
		"answers before":     {[]int{-300, -100}, 1000},
		"answers after":      {[]int{1100}, 1000},
		"first answer late":  {[]int{700, 750, 900}, 700},
		"answer in flight":   {[]int{10, 640, 700, 950}, 630},
		"stops again":        {[]int{100, 200, 300}, 700},
		"answers out of row": {[]int{900, 100, 500, 300, 700}, 200},
	} {
		var l []time.Time
		for _, m := range c.answers {
			l = append(l, b.Add(time.Duration(m)*time.Millisecond))
		}
		if g := gap(b, b.Add(time.Second), l); g != time.Duration(c.want)*time.Millisecond {
			t.Errorf("%s: gap is %v, want %d ms", name, g, c.want)
		}
	}
}

// TestImbalance guards against a mean that ignores upstreams without load.
func TestImbalance(t *testing.T) {
	if v := imbalance([]float64{0, 0, 2, 4}); v != 4/1.5 {
		t.Errorf("imbalance is %v", v)
	}
	if !math.IsNaN(imbalance([]float64{0, 0})) {
		t.Error("imbalance without load is a number")
	}
}

// TestCountViolations guards against violations that are not counted (orders that
// are answered but never run, run twice, or run although refused), and against
// counting orders whose outcome permits what happened.
func TestCountViolations(t *testing.T) {
	const a, n, u, b = header.Answered, header.NotRun, header.Unknown, outcomeBroken
	for name, c := range map[string]struct {
		outcomes []string
		runs     uint64
		want     counts
	}{
		"answered":              {[]string{a}, 1, counts{}},
		"answered later":        {[]string{b, u, n, a}, 1, counts{}},
		"lost":                  {[]string{a}, 0, counts{Lost: 1}},
		"twice":                 {[]string{a}, 2, counts{Twice: 1}},
		"twice and unknown":     {[]string{u, u}, 2, counts{Twice: 1, Unknown: 1}},
		"refused":               {[]string{n, n}, 0, counts{}},
		"refused but run":       {[]string{n, n}, 1, counts{FalseNotRun: 1}},
		"refused but run twice": {[]string{n}, 2, counts{FalseNotRun: 1, Twice: 1}},
		"unknown, run":          {[]string{u}, 1, counts{Unknown: 1}},
		"unknown, not run":      {[]string{b}, 0, counts{Unknown: 1}},
		"run before a refusal":  {[]string{b, n}, 1, counts{Unknown: 1}},
	} {
		c.want.Orders = 1
		if x := countViolations([]order{{"o", c.outcomes}}, map[string]uint64{"o": c.runs, "other": 2}); x != c.want {
			t.Errorf("%s: %+v, want %+v", name, x, c.want)
		}
	}
}

// TestMatches guards against accepting an answer to another request.
func TestMatches(t *testing.T) {
	c := &call{key: "key-1", path: "/n/1-1", order: "o-1"}
	for b, want := range map[string]bool{
		`{"key":"key-1","order-id":"o-1","path":"/n/1-1"}`:  true,
		`{"key":"key-11","order-id":"o-1","path":"/n/1-1"}`: false,
		`{"key":"key-1","order-id":"o-2","path":"/n/1-1"}`:  false,
		`{"key":"key-1","order-id":"o-1","path":"/n/1-12"}`: false,
		``: false,
	} {
		if c.matches([]byte(b)) != want {
			t.Errorf("matches(%s) is %t", b, !want)
		}
	}
}
