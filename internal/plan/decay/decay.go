// Package decay implements exponential decay of counts. Instead of shrinking all
// old counts on each update, it increases the weight of new ones. Ratios of counts
// are then correct as they are; a count divided by the weight is its decayed value.
package decay

import (
	"math"
	"time"

	"dandelionrock.example/dandelionrock/clock"
)

// maxScale is the weight from which all counts are divided by it, long before a
// float64 loses precision.
const maxScale = 1 << 20

// Weight is the weight of new counts. The zero value is ready for use.
type Weight struct {
	// scale is the weight at time at; 0 before the first call of Advance.
	scale float64
	at    clock.Time
}

// Advance updates the weight to the given time; it doubles every half-life. When
// the weight has reached maxScale, Advance resets it to 1 and returns the number by
// which the caller must divide all counts, otherwise 1.
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

// Value returns the current weight.
func (w *Weight) Value() float64 { return w.scale }
