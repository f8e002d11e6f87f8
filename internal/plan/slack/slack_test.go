package slack

import (
	"math/rand/v2"
	"testing"
	"time"

	"dandelionrock.example/dandelionrock/clock"
)

// client draws the deadline of a first attempt: most clients state up to a sixth
// less than the usual limit, some a much shorter one, a few a longer one.
func client(r *rand.Rand, limit time.Duration) time.Duration {
	switch n := r.Float64(); {
	case n < 0.15:
		return 850*time.Millisecond + rand.N(150*time.Millisecond)
	case n < 0.18:
		return limit * 6 / 5
	}
	return limit - time.Duration(r.Float64()*float64(limit)/6)
}

// Replays a route whose clients state different deadlines, with a fifth of the
// requests from clients that return. Guards against first attempts that are
// taken for late ones and refused, and against returning clients that are
// served before those that can still be in time.
func TestUsed(t *testing.T) {
	for _, kept := range []float64{0, 0.5} {
		r := rand.New(rand.NewPCG(1, 2))
		var v Route
		now := clock.Time(time.Second)
		first, firstWrong, returned, returnedWrong := 0, 0, 0, 0
		for range 3000 {
			now = now.Add(100 * time.Millisecond)
			d := client(r, 5*time.Second)
			if r.Float64() < 0.8 {
				used := v.Elapsed(now, d, r.Float64() < kept)
				if first++; used > 0 {
					firstWrong++
				}
				continue
			}
			if d < 2*time.Second {
				continue
			}
			after := time.Second + time.Duration(r.Float64()*float64(2*time.Second))
			used := v.Elapsed(now, d-after, false)
			if returned++; used < after/2 || used > after+time.Second {
				returnedWrong++
			}
		}
		if firstWrong > first/20 {
			t.Errorf("with %v on kept connections, %d of %d first attempts count as late", kept, firstWrong, first)
		}
		if returnedWrong > returned/5 {
			t.Errorf("with %v on kept connections, %d of %d returning clients are misjudged", kept, returnedWrong, returned)
		}
	}
}

// Guards against a change of the clients' deadlines that makes all of them seem
// to return.
func TestUsedAfterChange(t *testing.T) {
	var v Route
	now := clock.Time(time.Second)
	for range 500 {
		now = now.Add(20 * time.Millisecond)
		v.Elapsed(now, 5*time.Second, false)
	}
	wrong := 0
	for range 500 {
		now = now.Add(20 * time.Millisecond)
		if v.Elapsed(now, 2*time.Second, false) > 0 {
			wrong++
		}
	}
	if wrong > 100 {
		t.Errorf("%d of 500 requests with a new deadline count as late", wrong)
	}
}

// Guards against a first request, or one with a longer deadline than the others,
// that counts as late.
func TestUsedOfUnknown(t *testing.T) {
	var v Route
	if d := v.Elapsed(clock.Time(time.Second), time.Second, false); d != 0 {
		t.Errorf("Used() = %v for the first request of a route", d)
	}
	for range 100 {
		v.Elapsed(clock.Time(time.Second), time.Second, true)
	}
	if d := v.Elapsed(clock.Time(time.Second), 3*time.Second, false); d != 0 {
		t.Errorf("Used() = %v for a deadline longer than all others", d)
	}
}
