// Package event records what a process decides and merges the records of
// several processes into one timeline.
//
// Events are ordered by a hybrid logical clock: a process that observes the
// clock of each message that it receives stamps its own events later than
// everything that the sender had recorded, whatever their wall clocks show.
package event

import (
	"sync/atomic"
	"time"
)

// counterBits is the width of the counter below the milliseconds of a stamp.
const counterBits = 16

// MaxAhead is how far an observed stamp may lie ahead of the wall clock. A
// stamp beyond it is ignored, so that one wrong clock doesn't carry the clocks
// of all processes along.
const MaxAhead = time.Minute

// Clock is a hybrid logical clock. A stamp has 48 bits of milliseconds since
// 1970 and 16 bits of a counter. The zero value reads the wall clock of the
// system. A Clock is safe for concurrent use and must not be copied.
type Clock struct {
	last atomic.Uint64
	wall func() time.Time
}

// NewClock returns a clock that reads the given wall clock.
func NewClock(wall func() time.Time) *Clock { return &Clock{wall: wall} }

// Now returns a stamp higher than every stamp that the clock has returned or
// observed. A counter that overflows advances the milliseconds.
func (c *Clock) Now() uint64 {
	p := c.physical()
	for {
		l := c.last.Load()
		n := max(p, l+1)
		if c.last.CompareAndSwap(l, n) {
			return n
		}
	}
}

// Observe takes note of a stamp of another process, which the next Now
// exceeds. A stamp more than MaxAhead in the future is ignored.
func (c *Clock) Observe(stamp uint64) {
	if stamp <= c.last.Load() || stamp > c.physical()+uint64(MaxAhead.Milliseconds())<<counterBits {
		return
	}
	for {
		l := c.last.Load()
		if stamp <= l || c.last.CompareAndSwap(l, stamp) {
			return
		}
	}
}

func (c *Clock) physical() uint64 {
	t := time.Now
	if c.wall != nil {
		t = c.wall
	}
	return uint64(max(t().UnixMilli(), 0)) << counterBits
}

// Time returns the milliseconds of a stamp as a time in UTC.
func Time(stamp uint64) time.Time { return time.UnixMilli(int64(stamp >> counterBits)).UTC() }
