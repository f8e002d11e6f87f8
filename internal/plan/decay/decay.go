// Package decay weighs counts so that older ones count less. Instead of
// shrinking all old counts at each new one, it lets the weight of new ones grow;
// ratios of counts need no further step.
package decay

import (
	"math"
	"time"

	"dandelionrock.example/dandelionrock/clock"
)

// maxScale is the weight of a new count at which all counts are divided by it,
// long before a float64 loses precision.
const maxScale = 1 << 20

// Weight is the weight of what is counted now. The zero value is ready for use.
type Weight struct {
	// scale is the weight at the time at; 0 before the first call of Advance.
	scale float64
	at    clock.Time
}

// Advance lets a weight grow to its value at the given time: it doubles in a half
// life. When it has become too large, Advance sets it back to 1 and returns the
// number by which the caller must divide all counts, otherwise 1.
func (w *Weight) Advance(now clock.Time, halfLife time.Duration) float64 {
	if w.scale == 0 {
		w.scale, w.at = 1, now
	}
	if now <= w.at {
		return 1
	}
	w.scale *= math.Exp2(float64(now.Sub(w.at)) / float64(halfLife))
	w.at = now
	if w.scale < maxScale {
		return 1
	}
	d := w.scale
	w.scale = 1
	return d
}

// Now returns the present weight.
func (w *Weight) Now() float64 { return w.scale }
