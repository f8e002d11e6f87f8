// Package hold tracks how long a target may hold keys by the grants that it was
// sent. It performs no I/O; the caller passes the time and the outcome of each
// call.
//
// A grant names its target, but not the run of it. After a restart, the new run
// takes grants that were meant for the one before, so that one Hold covers all
// runs of a target.
//
// A grant without an answer may take effect later, even after newer ones, and its
// TTL counts from its arrival. So a target may hold keys until the last grant that
// it was sent has expired by the target's own clock, and it is certain to refuse a
// delayed grant only once it has acknowledged a higher fence.
package hold

import (
	"time"

	"dandelionrock.example/dandelionrock/clock"
	"dandelionrock.example/dandelionrock/internal/plan/keys"
	"dandelionrock.example/dandelionrock/schema"
)

const (
	// Drift bounds how much slower the clock of a target may run, as specified by
	// the platform.
	Drift clock.Drift = 0.02
	// CallTimeout bounds the call of one grant.
	CallTimeout = 700 * time.Millisecond
	// deliveryMargin covers the network delay of a grant that arrives after its call
	// has timed out.
	deliveryMargin = 300 * time.Millisecond
)

// Outcome is how the call of a grant ended.
type Outcome int

// Outcomes of a call.
const (
	// Acknowledged grants are in force.
	Acknowledged Outcome = iota + 1
	// Unsent grants were never sent.
	Unsent
	// Refused grants have a lower fence than the target has seen.
	Refused
	// Ended states that another target has the address, so that the run has ended.
	Ended
	// Unknown grants may be in force or may take effect later.
	Unknown
)

// Hold is the state of the grants of a target. The zero value has no grants.
type Hold struct {
	// expiry is when the last grant has expired at the latest.
	expiry clock.Time
	// acknowledged holds the ranges of the grants by this keeper that the target
	// has acknowledged. Before that, a delayed grant of an earlier keeper may still
	// take effect after a release.
	acknowledged keys.Ranges
	// unansweredFence is the highest fence of grants without an answer.
	unansweredFence uint64
	// ended is set if another target had the address of a run; lastEnded is the
	// latest such run.
	ended     bool
	lastEnded int64
}

// Longest returns the longest time for which a target may hold keys by a grant for
// d that was just acknowledged.
func Longest(d time.Duration) time.Duration { return Drift.Stretch(d) }

// LongestInFlight returns the longest time for which a target may hold keys by a
// grant for d whose sender has just ended.
func LongestInFlight(d time.Duration) time.Duration { return deliveryMargin + Longest(d) }

// LongestUnanswered returns the longest time for which a target may hold keys by a
// grant for d whose call begins now.
func LongestUnanswered(d time.Duration) time.Duration { return CallTimeout + LongestInFlight(d) }

// Begin records the start of a call that grants keys for d. It returns the
// previous expiry, which is passed to End.
func (h *Hold) Begin(now clock.Time, d time.Duration) clock.Time {
	before := h.expiry
	h.expiry = max(h.expiry, now.Add(LongestUnanswered(d)))
	return before
}

// End records the outcome of a grant; before is the result of its Begin. No other
// grant may be sent to the target between the two.
func (h *Hold) End(now, before clock.Time, r *schema.KeyRange, d time.Duration, o Outcome) {
	switch o {
	case Acknowledged:
		// Earlier grants without an answer may expire later than this one.
		h.expiry = max(before, now.Add(Longest(d)))
		h.acknowledged = h.acknowledged.Replace(r)
	case Unsent, Refused:
		h.expiry = before
	case Ended:
		h.expiry = before
		h.ended, h.lastEnded = true, max(h.lastEnded, r.Born)
	case Unknown:
		h.unansweredFence = max(h.unansweredFence, r.Fence)
	}
}

// Settled reports whether the target will refuse all delayed grants of a range: it
// has acknowledged the range with its fence, and all grants without an answer have
// lower fences.
func (h *Hold) Settled(r *schema.KeyRange) bool {
	a := h.acknowledged.Find(r.From)
	return a != nil && a.To >= r.To && a.Fence == r.Fence && r.Fence > h.unansweredFence
}

// Free reports whether the target certainly holds no keys by grants of this
// keeper.
func (h *Hold) Free(now clock.Time) bool { return now >= h.expiry }

// HasEnded reports whether another target had the address of a run that began at
// born, so that no run of the target holds keys by the grants sent there.
func (h *Hold) HasEnded(born int64) bool { return h.ended && born <= h.lastEnded }
