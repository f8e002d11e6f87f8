package decay

import (
	"math"
	"testing"
	"time"

	"dandelionrock.example/dandelionrock/clock"
)

// Guards against counts that decay at another rate after the weight was reset, and
// against an effect of times that go back.
func TestCountHalves(t *testing.T) {
	var w Weight
	now := clock.Time(time.Second)
	w.Advance(now, time.Second)
	count, want := w.Value(), 1.0
	for range 100 {
		now = now.Add(500 * time.Millisecond)
		count /= w.Advance(now, time.Second)
		w.Advance(now.Add(-time.Second), time.Second)
		want /= math.Sqrt2
		if got := count / w.Value(); math.Abs(got-want) > want/1e6 {
			t.Fatalf("the count has decayed to %v, want %v", got, want)
		}
	}
}
