package clock

import (
	"fmt"
	"testing"
	"time"
)

// Guards against a stretched duration that is not longer, or a shrunk one that is
// not shorter, than the duration on the other clock.
func TestDrift(t *testing.T) {
	for _, d := range []time.Duration{0, time.Millisecond, time.Hour} {
		if got := DefaultDrift.Stretch(d); got <= d {
			t.Errorf("Stretch(%v) = %v, want more than %v", d, got, d)
		}
		if got := DefaultDrift.Shrink(d); got >= d {
			t.Errorf("Shrink(%v) = %v, want less than %v", d, got, d)
		}
	}
}

// Guards against a clock that runs backwards.
func TestBootIsMonotonic(t *testing.T) {
	a := Boot()
	if b := Boot(); b.Before(a) {
		t.Errorf("Boot() = %v after %v", b, a)
	}
}

func ExampleDrift() {
	fmt.Println(Drift(0.01).Stretch(time.Second))
	// Output: 1.010000001s
}
