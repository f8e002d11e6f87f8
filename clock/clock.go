// Package clock provides a monotonic clock that keeps running while the machine is
// suspended, so that a process sees afterwards how much time has passed. It also
// corrects durations for the drift between two clocks.
package clock

import (
	"context"
	"time"

	"golang.org/x/sys/unix"
)

// Time is a reading of the boot clock, in nanoseconds since an arbitrary origin that
// is fixed until the machine restarts. Readings of different machines can't be
// compared.
type Time int64

// Add returns the time t + d.
func (t Time) Add(d time.Duration) Time { return t + Time(d) }

// Sub returns the duration t - u.
func (t Time) Sub(u Time) time.Duration { return time.Duration(t - u) }

// Before reports whether t is earlier than u.
func (t Time) Before(u Time) bool { return t < u }

// Drift is an upper bound on the difference between the rates of two clocks, as a
// fraction: 0.01 is 1 percent.
type Drift float64

// DefaultDrift is the bound on clock drift that is used unless another is set.
const DefaultDrift Drift = 0.01

// Stretch returns d lengthened by the drift. A caller that waits for this duration
// can be certain that d has passed on the other clock.
func (f Drift) Stretch(d time.Duration) time.Duration {
	return d + time.Duration(float64(d)*float64(f)) + 1
}

// Shrink returns d shortened by the drift. A caller that stops after this duration
// can be certain that d has not yet passed on the other clock.
func (f Drift) Shrink(d time.Duration) time.Duration {
	return d - time.Duration(float64(d)*float64(f)) - 1
}

// Boot returns the current reading of CLOCK_BOOTTIME. It panics if the system
// doesn't provide that clock.
func Boot() Time {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		panic("clock: CLOCK_BOOTTIME is not available: " + err.Error())
	}
	return Time(t.Nano())
}

// Sleep waits until d has passed or c has ended, whichever comes first.
func Sleep(c context.Context, d time.Duration) {
	if d <= 0 {
		return
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-c.Done():
	}
}

// Every calls f at intervals of d until c ends. The first call comes after one
// interval. A call that takes longer than d delays the next one. Every panics if d
// is not positive.
func Every(c context.Context, d time.Duration, f func()) {
	t := time.NewTicker(d)
	defer t.Stop()
	for {
		select {
		case <-c.Done():
			return
		case <-t.C:
			f()
		}
	}
}
