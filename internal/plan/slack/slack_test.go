package slack

import (
	"math/rand/v2"
	"testing"
	"time"

	"dandelionrock.example/dandelionrock/clock"
)

// client returns a random deadline of a first attempt: most clients state up to a
// sixth less than the limit, some a much shorter deadline, a few a longer one.
func client(r *rand.Rand, limit time.Duration) time.Duration {
	switch n := r.Float64(); {
	case n < 0.15:
		return 850*time.Millisecond + rand.N(150*time.Millisecond)
	case n < 0.18:
		return limit * 6 / 5
	}
	return limit - time.Duration(r.Float64()*float64(limit)/6)
}

// Simulates a route whose clients state different deadlines and whose requests are
// retries for a fifth. Guards against first attempts that are taken as retries and
// refused, and against retries that are served before requests that can still be
// in time.
func TestElapsed(t *testing.T) {
	for _, reused := range []float64{0, 0.5} {
		r := rand.New(rand.NewPCG(1, 2))
		var v Route
		now := clock.Time(time.Second)
		first, firstWrong, retries, retriesWrong := 0, 0, 0, 0
		for range 3000 {
			now = now.Add(100 * time.Millisecond)
			d := client(r, 5*time.Second)
			if r.Float64() < 0.8 {
				elapsed := v.Elapsed(now, d, r.Float64() < reused)
				if first++; elapsed > 0 {
					firstWrong++
				}
				continue
			}
			if d < 2*time.Second {
				continue
			}
			after := time.Second + time.Duration(r.Float64()*float64(2*time.Second))
			elapsed := v.Elapsed(now, d-after, false)
			if retries++; elapsed < after/2 || elapsed > after+time.Second {
				retriesWrong++
			}
		}
		if firstWrong > first/20 {
			t.Errorf("with %v on reused connections, %d of %d first attempts count as retries", reused, firstWrong, first)
		}
		if retriesWrong > retries/5 {
			t.Errorf("with %v on reused connections, the time of %d of %d retries is misjudged", reused, retriesWrong, retries)
		}
	}
}

// Guards against requests that all count as retries after their clients changed to
// a shorter deadline.
func TestElapsedAfterChange(t *testing.T) {
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
		t.Errorf("%d of 500 requests with a new deadline count as retries", wrong)
	}
}

// Guards against the first request of a route, or one with a longer deadline than
// all others, that counts as a retry.
func TestElapsedOfUnknown(t *testing.T) {
	var v Route
	if d := v.Elapsed(clock.Time(time.Second), time.Second, false); d != 0 {
		t.Errorf("Elapsed() = %v for the first request of a route", d)
	}
	for range 100 {
		v.Elapsed(clock.Time(time.Second), time.Second, true)
	}
	if d := v.Elapsed(clock.Time(time.Second), 3*time.Second, false); d != 0 {
		t.Errorf("Elapsed() = %v for a deadline longer than all others", d)
	}
}
