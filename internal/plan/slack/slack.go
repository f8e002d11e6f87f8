// Package slack estimates how much of its latency objective a request has left.
// The objective counts from a client's first attempt, but nothing in a request
// says whether it is the first. A client that returns states a deadline that is
// shorter by the time it has used, and comes on a new connection.
//
// First attempts differ, too: most state about the same deadline, some a much
// shorter one. So a deadline that many requests of a route state is taken for
// that of a first attempt, and only one between those that are usual for that of
// a client that returns. It does no input or output.
package slack

import (
	"math"
	"time"

	"dandelionrock.example/dandelionrock/clock"
	"dandelionrock.example/dandelionrock/internal/plan/decay"
)

const (
	// bucketRatio is the ratio of the bounds of a bucket of deadlines.
	bucketRatio = 1.06
	// buckets reach beyond an hour.
	buckets = 260
	// halfLife is the time in which a counted deadline loses half of its weight.
	halfLife = 20 * time.Second
	// usualShare is the share of the requests of a route that must state about a
	// deadline for it to be usual. Deadlines of returning clients spread over
	// dozens of buckets.
	usualShare = 0.08
	// minCount is the weight of the requests below which all deadlines are taken
	// as usual.
	minCount = 4
	// newWeight is the weight of a request on a new connection, which may be that
	// of a returning client; one on a kept connection is a first attempt.
	newWeight = 0.1
)

// Route holds the deadlines that the requests of a route state. The zero value
// has none. It is not safe for concurrent use.
type Route struct {
	// counts holds the weights by bucket, and total their sum.
	counts [buckets]float64
	total  float64
	weight decay.Weight
}

// Elapsed counts a request and returns the estimate of how long ago its client made
// the first attempt. kept tells that the connection has served a request before.
func (r *Route) Elapsed(now clock.Time, deadline time.Duration, kept bool) time.Duration {
	r.advance(now)
	b := bucket(deadline)
	weight := newWeight
	if kept {
		weight = 1
	}
	r.counts[b] += weight * r.weight.Now()
	r.total += weight * r.weight.Now()
	if kept || r.total < minCount*r.weight.Now() || r.usual(b) {
		return 0
	}
	for up := b + 1; up < buckets; up++ {
		if r.usual(up) && r.counts[up] > 0 {
			return middle(up) - deadline
		}
	}
	return 0
}

// advance sets the weight of requests that are counted now.
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

// usual reports whether many requests state a deadline of a bucket or of its
// neighbours.
func (r *Route) usual(b int) bool {
	sum := 0.0
	for i := max(b-1, 0); i <= min(b+1, buckets-1); i++ {
		sum += r.counts[i]
	}
	return sum >= usualShare*r.total
}

func bucket(d time.Duration) int {
	if d <= time.Millisecond {
		return 0
	}
	return min(int(math.Log(float64(d)/float64(time.Millisecond))/math.Log(bucketRatio)), buckets-1)
}

// middle returns a deadline in the middle of a bucket.
func middle(b int) time.Duration {
	return time.Duration(math.Pow(bucketRatio, float64(b)+0.5) * float64(time.Millisecond))
}
