package pool

import (
	"math"
	"time"

	"dandelionrock.example/dandelionrock/clock"
	"dandelionrock.example/dandelionrock/internal/plan/quota"
)

// Limit is the rate of requests that a run of a target takes from all senders
// together.
type Limit struct {
	Target string
	Born   int64
	Rate   quota.Rate
	// Recent is the number of requests that the pool has sent to the target within
	// the last quota.Window, and Use what was used of the rate.
	Recent int
	Use    quota.Use
}

func (m *member) limit(now clock.Time) Limit {
	return Limit{m.ID, m.Born, m.quota.Rate(), m.quota.Recent(now), m.quota.Use(now)}
}

// maySend reports whether the limits of the target let a request start now.
func (m *member) maySend(now clock.Time) bool { return m.within(now, 0) >= 1 }

// within returns how many requests may start within d from now.
func (m *member) within(now clock.Time, d time.Duration) float64 {
	if !m.isCold(now) {
		return m.quota.Within(now, d)
	}
	return min(m.quota.Within(now, d), m.warmup.Within(now, d))
}

// SetLimit records the rate that a run of a target names, which may be
// quota.Unlimited. It returns the limit, and whether it has changed.
func (p *Pool) SetLimit(now clock.Time, target string, born int64, r quota.Rate) (Limit, bool) {
	m := p.member(target, born)
	if m == nil {
		return Limit{}, false
	}
	changed := m.quota.SetRate(now, r)
	return m.limit(now), changed
}

// AdoptLimit records the rate that a run of a target has named to another sender, which
// reported it at the given age; see quota.Quota.Adopt.
func (p *Pool) AdoptLimit(now clock.Time, target string, born int64, r quota.Rate, age time.Duration) {
	if m := p.member(target, born); m != nil {
		m.quota.Adopt(now, r, age)
	}
}

// Limits returns the limits of the targets that name one.
func (p *Pool) Limits(now clock.Time) []Limit {
	var out []Limit
	for _, m := range p.members {
		if m.quota.Rate() != quota.Unlimited {
			out = append(out, m.limit(now))
		}
	}
	return out
}

// limited reports whether any target names a limit.
func (p *Pool) limited(now clock.Time) bool { return p.limitReason(now) != "" }

// limitReason returns the reason for which requests wait for limits of the targets, or "".
func (p *Pool) limitReason(now clock.Time) string {
	reason := ""
	for _, m := range p.members {
		if m.quota.Rate() != quota.Unlimited {
			return ReasonLimited
		}
		if m.isCold(now) && m.warmup.Rate() != quota.Unlimited {
			reason = ReasonCold
		}
	}
	return reason
}

// outOfReach reports whether the limits of the targets don't let the n-th waiting
// request end before its deadline.
func (p *Pool) outOfReach(now clock.Time, n int, r Request, mean time.Duration) bool {
	d := p.limitedWait(now, n)
	return d > 0 && now.Add(d+mean) > r.Deadline
}

// maxWait is the wait that is assumed if no target is to be expected to become free.
const maxWait = time.Hour

// limitedWait returns how long the n-th further request is expected to wait, with
// regard to the limits of the targets; 0 if there are none.
func (p *Pool) limitedWait(now clock.Time, n int) time.Duration {
	if !p.limited(now) || p.startsWithin(now, 0) >= float64(n) {
		return 0
	}
	// The number of starts grows with the time, so the time is found by bisection.
	low, high := time.Duration(0), time.Millisecond
	for p.startsWithin(now, high) < float64(n) {
		if low, high = high, 2*high; high > maxWait {
			return maxWait
		}
	}
	for high-low > time.Millisecond {
		if mid := (low + high) / 2; p.startsWithin(now, mid) < float64(n) {
			low = mid
		} else {
			high = mid
		}
	}
	return high
}

// startsWithin returns how many requests the targets are expected to start within d
// from now: as many as their slots and their limits allow.
func (p *Pool) startsWithin(now clock.Time, d time.Duration) float64 {
	sum := 0.0
	for _, m := range p.members {
		if now.Add(shortPause) < m.pausedUntil {
			continue
		}
		slots := float64(m.Slots-m.running) + float64(m.Slots)*float64(d)/float64(p.meanTime())
		sum += max(0, math.Floor(min(slots, m.within(now, d))))
	}
	return sum
}
