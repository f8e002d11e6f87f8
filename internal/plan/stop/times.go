package stop

import (
	"math"
	"time"

	"dandelionrock.example/dandelionrock/clock"
)

const (
	// meanWeight is the weight of a new time in the moving average.
	meanWeight = 0.1
	// longestHalfLife is the time in which the longest time approaches the mean by
	// half.
	longestHalfLife = 30 * time.Second
)

// Times holds how long answers to requests of one kind take. The zero value knows none.
// It is not safe for concurrent use.
type Times struct {
	mean, longest time.Duration
	at            clock.Time
}

// Add adds the time of one answer.
func (t *Times) Add(now clock.Time, d time.Duration) {
	if t.at == 0 {
		t.mean, t.longest, t.at = d, d, now
		return
	}
	t.longest, t.at = max(t.Longest(now), d), now
	t.mean += time.Duration(meanWeight * float64(d-t.mean))
}

// Mean returns the moving average.
func (t *Times) Mean() time.Duration { return t.mean }

// Longest returns the longest time; one that is long past counts less.
func (t *Times) Longest(now clock.Time) time.Duration {
	f := math.Exp2(-float64(now.Sub(t.at)) / float64(longestHalfLife))
	return max(t.mean, t.mean+time.Duration(f*float64(t.longest-t.mean)))
}
