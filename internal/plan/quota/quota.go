// Package quota spends the rate of requests that a target takes from all senders
// together. It performs no I/O; the caller passes the time.
package quota

import (
	"math"
	"slices"
	"time"

	"dandelionrock.example/dandelionrock/clock"
)

// Rate is a number of requests per second.
type Rate float64

// Unlimited is the rate of a target that names none.
var Unlimited = Rate(math.Inf(1))

const (
	// Window is the period over which Recent counts requests.
	Window = 4 * time.Second
	// burstTime is the default of Quota.Burst.
	burstTime = time.Second
	// debtTime bounds the time for which a target gets nothing because it got more
	// than its rate right before it named it.
	debtTime = time.Second
	// probeRate is the lowest rate that is used: only a response shows that a rate
	// has been raised.
	probeRate Rate = 0.25
)

// Use counts requests that a rate allowed.
type Use struct {
	// Used is the number of requests that were sent, Unused that of further ones
	// that could have been sent.
	Used, Unused float64
}

// Quota is a token bucket with the rate that a target names. The zero value is
// unlimited. It is not safe for concurrent use.
type Quota struct {
	// Burst is the time for which a rate may be saved up, in addition to one request. It
	// must not change; 0 stands for burstTime.
	Burst time.Duration
	// rate applies only if limited is set.
	rate    Rate
	limited bool
	// tokens is the number of requests that may be sent at time at. It is negative
	// while earlier requests are paid off.
	tokens float64
	at     clock.Time
	use    Use
	// heard is when the target last named its rate, or none.
	heard clock.Time
	// sent holds the times of the requests of the last Window, in ascending order.
	sent []clock.Time
}

// SetRate sets the rate that the target names in a response, or Unlimited if it names
// none. It reports whether that is a change.
func (q *Quota) SetRate(now clock.Time, r Rate) bool {
	q.heard = now
	if q.Rate() == r {
		return false
	}
	q.advance(now)
	if !q.limited {
		q.use = Use{}
		q.at = now
		q.tokens = max(q.burst(r)-float64(q.sentSince(now.Add(-debtTime))), -r.per(debtTime))
	}
	q.rate, q.limited = r, r != Unlimited
	q.tokens = min(q.tokens, q.burst(r))
	return true
}

// Adopt records that another sender has reported a rate that the target named to it, at
// the given age. It sets that rate, unless the target has responded to this sender within
// the last Window. The other sender may have used up the rate until its report.
func (q *Quota) Adopt(now clock.Time, r Rate, age time.Duration) {
	if q.heard == 0 || now.Sub(q.heard) >= Window {
		q.SetRate(now, r)
	}
	if q.limited {
		q.advance(now)
		q.tokens = min(q.tokens, q.rate.per(age))
	}
}

// Rate returns the rate that the target has named, or Unlimited.
func (q *Quota) Rate() Rate {
	if !q.limited {
		return Unlimited
	}
	return q.rate
}

// Send counts a request that is sent now.
func (q *Quota) Send(now clock.Time) {
	q.advance(now)
	q.discard(now)
	q.sent = append(q.sent, now)
	if q.limited {
		q.tokens--
		q.use.Used++
	}
}

// MaySend reports whether a request may be sent now.
func (q *Quota) MaySend(now clock.Time) bool { return q.Within(now, 0) >= 1 }

// Within returns how many requests may be sent within d from now; infinitely many
// without a limit.
func (q *Quota) Within(now clock.Time, d time.Duration) float64 {
	if !q.limited {
		return math.Inf(1)
	}
	q.advance(now)
	return q.tokens + q.rate.per(d)
}

// Use returns what was used of the rate since the target began to name one.
func (q *Quota) Use(now clock.Time) Use {
	q.advance(now)
	return q.use
}

// Recent returns the number of requests of the last Window.
func (q *Quota) Recent(now clock.Time) int { return q.sentSince(now.Add(-Window)) }

// advance adds the tokens up to the given time.
func (q *Quota) advance(now clock.Time) {
	if !q.limited || now <= q.at {
		return
	}
	q.tokens += q.rate.per(now.Sub(q.at))
	q.at = now
	if lost := q.tokens - q.burst(q.rate); lost > 0 {
		q.tokens -= lost
		q.use.Unused += lost
	}
}

// per returns the number of requests that a rate allows in d.
func (r Rate) per(d time.Duration) float64 { return float64(max(r, probeRate)) * d.Seconds() }

// burst returns the number of requests that a rate allows at once.
func (q *Quota) burst(r Rate) float64 {
	if q.Burst > 0 {
		return 1 + r.per(q.Burst)
	}
	return 1 + r.per(burstTime)
}

func (q *Quota) sentSince(t clock.Time) int {
	i := slices.IndexFunc(q.sent, func(s clock.Time) bool { return s > t })
	if i < 0 {
		return 0
	}
	return len(q.sent) - i
}

// discard removes the requests that are older than Window.
func (q *Quota) discard(now clock.Time) {
	i := 0
	for i < len(q.sent) && now.Sub(q.sent[i]) >= Window {
		i++
	}
	q.sent = slices.Delete(q.sent, 0, i)
}
