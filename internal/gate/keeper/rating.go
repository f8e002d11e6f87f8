package keeper

import (
	"math"
	"time"

	"dandelionrock.example/dandelionrock/clock"
	"dandelionrock.example/dandelionrock/internal/plan/quota"
	"dandelionrock.example/dandelionrock/schema"
)

const (
	// defaultServiceTime is used until a service time is known.
	defaultServiceTime = 200 * time.Millisecond
	// ratingHalfLife is the time in which earlier counts lose half of their
	// weight.
	ratingHalfLife = 2 * time.Second
	// ratingExpiry is the time without reports after which a rating is no
	// longer used.
	ratingExpiry = 10 * time.Second
	// minSuccessRatio is the lowest success ratio that is assumed of a target,
	// so that a failing one keeps some weight.
	minSuccessRatio = 0.1
	// minServiceTime is the lowest service time used.
	minServiceTime = time.Millisecond
	// minCapacity is the lowest capacity of a target in requests per second: a
	// target may name a limit of 0.
	minCapacity = 0.1
)

// rating holds the service time, the limit and the decaying counts of requests of a
// target. The zero value has no data.
type rating struct {
	updatedAt    clock.Time
	serviceTime  time.Duration
	sent, failed float64
	// limit is the rate that the target names, or quota.Unlimited.
	limit quota.Rate
}

func (r *rating) add(now clock.Time, t *schema.TargetCount) {
	f := math.Exp2(-float64(now.Sub(r.updatedAt)) / float64(ratingHalfLife))
	r.sent, r.failed = r.sent*f+float64(t.Sent), r.failed*f+float64(t.Failed)
	if t.ServiceMs > 0 {
		r.serviceTime = time.Duration(t.ServiceMs) * time.Millisecond
	}
	r.limit = quota.Unlimited
	if t.Limit != nil {
		r.limit = quota.Rate(*t.Limit)
	}
	r.updatedAt = now
}

// fresh reports whether the service time is known and has not expired.
func (r *rating) fresh(now clock.Time) bool {
	return r.serviceTime > 0 && now.Sub(r.updatedAt) < ratingExpiry
}

// capacity returns the estimated number of requests per second that a target
// can serve. It uses the mean service time if that of the target is not known.
func (r *rating) capacity(now clock.Time, slots int, mean time.Duration) float64 {
	service := mean
	if r.fresh(now) {
		service = max(r.serviceTime, minServiceTime)
	}
	successRatio := 1.0
	limit := quota.Unlimited
	if r.updatedAt != 0 && now.Sub(r.updatedAt) < ratingExpiry {
		limit = r.limit
	}
	if r.sent > 0 && now.Sub(r.updatedAt) < ratingExpiry {
		successRatio = max(1-r.failed/(r.sent+1), minSuccessRatio)
	}
	return max(min(float64(slots)/service.Seconds()*successRatio, float64(limit)), minCapacity)
}
