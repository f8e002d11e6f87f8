package decay

import (
	"math"
	"testing"
	"time"

	"dandelionrock.example/dandelionrock/clock"
)

// Guards against counts that fade at another rate once they have been divided,
// and against time that goes back.
func TestCountHalves(t *testing.T) {
	var w Weight
	now := clock.Time(time.Second)
	w.Advance(now, time.Second)
	count, want := w.Now(), 1.0
	for range 100 {
		now = now.Add(500 * time.Millisecond)
		count /= w.Advance(now, time.Second)
		w.Advance(now.Add(-time.Second), time.Second)
		want /= math.Sqrt2
		if got := count / w.Now(); math.Abs(got-want) > want/1e6 {
			t.Fatalf("the count has faded to %v, want %v", got, want)
		}
	}
}
