// Package budget limits how often requests are sent to a target again. All
// instances share one retry budget; each stays within its share.
package budget

import (
	"time"

	"dandelionrock.example/dandelionrock/clock"
)

// parts is the number of parts into which a window is divided; the oldest part
// is dropped as a whole.
const parts = 10

// reserve is the fraction of the budget that stays unused, because instances that
// were added or restarted within a window begin with empty counts.
const reserve = 0.2

// Bound is the budget of one service, shared by all instances.
type Bound struct {
	// Ratio is the number of retries allowed per request.
	Ratio float64
	// Window is the time over which requests and retries are counted.
	Window time.Duration
	// Allowance is the number of retries in a window that are allowed without any
	// request.
	Allowance int
}

// Budget counts the requests and retries of one instance for one service. The
// zero value is empty. It is not safe for concurrent use.
type Budget struct {
	requests, retries [parts]int
	// newest is the number of the newest part, counted from the clock's origin.
	newest int64
}

// Request counts a request.
func (b *Budget) Request(now clock.Time, w Bound) {
	b.advance(now, w)
	b.requests[b.newest%parts]++
}

// Retry reports whether a retry is within the share of one of n instances, and
// counts it if so.
func (b *Budget) Retry(now clock.Time, w Bound, n int) bool {
	b.advance(now, w)
	limit := (1 - reserve) * (w.Ratio*float64(sum(b.requests)) + float64(w.Allowance)/float64(max(n, 1)))
	if float64(sum(b.retries)+1) > limit {
		return false
	}
	b.retries[b.newest%parts]++
	return true
}

// advance clears the parts that have become too old.
func (b *Budget) advance(now clock.Time, w Bound) {
	s := int64(now) / max(int64(w.Window)/(parts-1), 1)
	for n := min(s-b.newest, parts); n > 0; n-- {
		i := (s - n + 1) % parts
		b.requests[i], b.retries[i] = 0, 0
	}
	b.newest = max(b.newest, s)
}

func sum(a [parts]int) int {
	n := 0
	for _, v := range a {
		n += v
	}
	return n
}
