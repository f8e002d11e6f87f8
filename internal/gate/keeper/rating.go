package keeper

import (
	"math"
	"time"

	"dandelionrock.example/dandelionrock/clock"
	"dandelionrock.example/dandelionrock/schema"
)

const (
	// assumedService is the service time that is assumed before any is known.
	assumedService = 200 * time.Millisecond
	// ratingMemory is the time in which what is known of a target loses half of
	// its weight.
	ratingMemory = 2 * time.Second
	// ratingTime is the time after which nothing is known of a target that was
	// sent no request.
	ratingTime = 10 * time.Second
	// minSound is the smallest part of its capacity that a failing target is
	// credited with.
	minSound = 0.1
	// minService bounds a service time from below.
	minService = time.Millisecond
)

// rating tells how a target deals with requests. The zero value knows nothing.
type rating struct {
	at           clock.Time
	service      time.Duration
	sent, failed float64
}

func (r *rating) add(now clock.Time, t *schema.TargetCount) {
	f := math.Exp2(-float64(now.Sub(r.at)) / float64(ratingMemory))
	r.sent, r.failed = r.sent*f+float64(t.Sent), r.failed*f+float64(t.Failed)
	if t.ServiceMs > 0 {
		r.service = time.Duration(t.ServiceMs) * time.Millisecond
	}
	r.at = now
}

// fresh reports whether the service time is known.
func (r *rating) fresh(now clock.Time) bool {
	return r.service > 0 && now.Sub(r.at) < ratingTime
}

// capacity returns the requests a second that a target can serve.
func (r *rating) capacity(now clock.Time, slots int, mean time.Duration) float64 {
	service := mean
	if r.fresh(now) {
		service = max(r.service, minService)
	}
	sound := 1.0
	if r.sent > 0 && now.Sub(r.at) < ratingTime {
		sound = max(1-r.failed/(r.sent+1), minSound)
	}
	return float64(slots) / service.Seconds() * sound
}
