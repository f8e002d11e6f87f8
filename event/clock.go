// Package event records the decisions of a process and merges the events of
// several processes into one timeline.
//
// Events are ordered by a hybrid logical clock. If a process observes the stamp
// in each message that it receives, its later events have higher stamps than all
// events that the sender recorded before the message, even if their wall clocks
// differ.
package event

import (
	"sync/atomic"
	"time"
)

// counterBits is the number of low bits of a stamp that hold the counter.
const counterBits = 16

// MaxAhead is how far an observed stamp may be ahead of the wall clock. Stamps
// further ahead are ignored, so that one wrong clock doesn't advance the clocks of
// all processes.
const MaxAhead = time.Minute

// Clock is a hybrid logical clock. The upper 48 bits of a stamp hold the
// milliseconds since the Unix epoch, the lower 16 bits a counter. The zero value
// reads the system clock. A Clock is safe for concurrent use and must not be
// copied.
type Clock struct {
	last atomic.Uint64
	wall func() time.Time
}

// NewClock returns a clock that reads the wall clock by calling wall.
func NewClock(wall func() time.Time) *Clock { return &Clock{wall: wall} }

// Now returns a stamp that is higher than every stamp that the clock has returned
// or accepted in Observe. If the counter overflows, the milliseconds advance.
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

// Observe advances the clock to a stamp of another process, so that later stamps
// are higher. A stamp that is more than MaxAhead ahead of the wall clock is
// ignored.
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

// physical returns the wall clock as a stamp whose counter is 0.
func (c *Clock) physical() uint64 {
	t := time.Now
	if c.wall != nil {
		t = c.wall
	}
	return uint64(max(t().UnixMilli(), 0)) << counterBits
}

// Time returns the wall clock time of a stamp in UTC, in milliseconds.
func Time(stamp uint64) time.Time { return time.UnixMilli(int64(stamp >> counterBits)).UTC() }
