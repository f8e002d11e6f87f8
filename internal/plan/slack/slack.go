// Package slack estimates how much of its latency objective a request has left.
// The objective counts from the client's first attempt, but a request doesn't say
// whether it is a retry. A client that retries opens a new connection and states a
// deadline that is shorter by the time since its first attempt.
//
// First attempts differ as well: most state about the same deadline, some a much
// shorter one. So a deadline that many requests of a route state is taken as that
// of a first attempt, and an unusual one that is shorter than a usual one as that
// of a retry. The package performs no I/O.
package slack

import (
	"math"
	"time"

	"dandelionrock.example/dandelionrock/clock"
	"dandelionrock.example/dandelionrock/internal/plan/decay"
)

const (
	// bucketRatio is the ratio of the upper to the lower bound of a bucket.
	bucketRatio = 1.06
	// buckets is the number of buckets; they cover more than an hour.
	buckets = 260
	// halfLife is the time in which the weight of a counted deadline halves.
	halfLife = 20 * time.Second
	// usualShare is the share of a route's requests from which a deadline counts
	// as usual. The deadlines of retries spread over dozens of buckets.
	usualShare = 0.08
	// minCount is the total weight below which all deadlines count as usual.
	minCount = 4
	// newConnWeight is the weight of a request on a new connection, which may be a
	// retry. A request on a reused connection is a first attempt and has weight 1.
	newConnWeight = 0.1
)

// Route holds the distribution of the deadlines that the requests of a route state.
// The zero value is empty. It is not safe for concurrent use.
type Route struct {
	// counts holds the weight of each bucket, and total their sum.
	counts [buckets]float64
	total  float64
	weight decay.Weight
}

// Elapsed counts a request and estimates the time since its client's first attempt.
// reused states that the connection has served a request before.
func (r *Route) Elapsed(now clock.Time, deadline time.Duration, reused bool) time.Duration {
	r.advance(now)
	b := bucket(deadline)
	weight := newConnWeight
	if reused {
		weight = 1
	}
	r.counts[b] += weight * r.weight.Value()
	r.total += weight * r.weight.Value()
	if reused || r.total < minCount*r.weight.Value() || r.usual(b) {
		return 0
	}
	for up := b + 1; up < buckets; up++ {
		if r.usual(up) && r.counts[up] > 0 {
			return middle(up) - deadline
		}
	}
	return 0
}

// advance updates the weight of new counts to the given time.
func (r *Route) advance(now clock.Time) {
	d := r.weight.Advance(now, halfLife)
	if d == 1 {
		return
	}
	for i := range r.counts {
		r.counts[i] /= d
	}
	r.total /= d
}

// usual reports whether a bucket and its neighbours together reach usualShare.
func (r *Route) usual(b int) bool {
	sum := 0.0
	for i := max(b-1, 0); i <= min(b+1, buckets-1); i++ {
		sum += r.counts[i]
	}
	return sum >= usualShare*r.total
}

// bucket returns the bucket of a deadline.
func bucket(d time.Duration) int {
	if d <= time.Millisecond {
		return 0
	}
	return min(int(math.Log(float64(d)/float64(time.Millisecond))/math.Log(bucketRatio)), buckets-1)
}

// middle returns the deadline in the middle of a bucket.
func middle(b int) time.Duration {
	return time.Duration(math.Pow(bucketRatio, float64(b)+0.5) * float64(time.Millisecond))
}
