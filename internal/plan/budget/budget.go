// Package budget bounds how often requests are sent to a second target. All
// instances share one bound; each keeps to its part of it.
package budget

import (
	"time"

	"dandelionrock.example/dandelionrock/clock"
)

// steps is the number of parts of a window; the oldest part is dropped as a
// whole.
const steps = 10

// reserve is the part of the budget that is not used, for instances that were
// added or restarted within a window.
const reserve = 0.2

// Bound is the budget of all instances for one service.
type Bound struct {
	// Ratio is the number of repeats for each request.
	Ratio  float64
	Window time.Duration
	// Allowance is the number of repeats in a window without any request.
	Allowance int
}

// Budget counts the requests and repeats of one instance for one service. The
// zero value is empty. It is not safe for concurrent use.
type Budget struct {
	requests, repeats [steps]int
	// step is the number of the newest part since the clock's origin.
	step int64
}

// Request counts a request.
func (b *Budget) Request(now clock.Time, w Bound) {
	b.advance(now, w)
	b.requests[b.step%steps]++
}

// Repeat reports whether a repeat is within the budget of one of n instances,
// and counts it if so.
func (b *Budget) Repeat(now clock.Time, w Bound, n int) bool {
	b.advance(now, w)
	limit := (1 - reserve) * (w.Ratio*float64(sum(b.requests)) + float64(w.Allowance)/float64(max(n, 1)))
	if float64(sum(b.repeats)+1) > limit {
		return false
	}
	b.repeats[b.step%steps]++
	return true
}

func (b *Budget) advance(now clock.Time, w Bound) {
	s := int64(now) / max(int64(w.Window)/(steps-1), 1)
	for n := min(s-b.step, steps); n > 0; n-- {
		i := (s - n + 1) % steps
		b.requests[i], b.repeats[i] = 0, 0
	}
	b.step = max(b.step, s)
}

func sum(a [steps]int) int {
	n := 0
	for _, v := range a {
		n += v
	}
	return n
}
