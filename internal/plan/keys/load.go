package keys

import (
	"math"
	"time"

	"dandelionrock.example/dandelionrock/clock"
	"dandelionrock.example/dandelionrock/internal/plan/decay"
	"dandelionrock.example/dandelionrock/platform"
)

// halfLife is the time in which a counted request loses half of its weight: a
// key that becomes busy must be seen within seconds.
const halfLife = 2 * time.Second

// countedSeconds is the time over which plain counts would vary as much as those
// that fade with halfLife.
const countedSeconds = 2 * float64(halfLife) / float64(time.Second) / math.Ln2

// Load counts the requests for each key, recent ones more than old ones. The
// zero value has none. It is not safe for concurrent use.
type Load struct {
	counts [platform.MaxKey + 1]float64
	weight decay.Weight
}

// advance sets the weight of requests that are counted now.
func (l *Load) advance(now clock.Time) {
	d := l.weight.Advance(now, halfLife)
	if d == 1 {
		return
	}
	for i := range l.counts {
		l.counts[i] /= d
	}
}

// Add counts requests for a key.
func (l *Load) Add(now clock.Time, key uint32, n float64) {
	l.advance(now)
	if key < uint32(len(l.counts)) {
		l.counts[key] += n * l.weight.Now()
	}
}

// Rates returns the requests a second for all keys.
func (l *Load) Rates(now clock.Time) *Rates {
	l.advance(now)
	r := &Rates{}
	f := math.Ln2 / halfLife.Seconds() / l.weight.Now()
	for i, n := range l.counts {
		r.sums[i+1] = r.sums[i] + n*f
	}
	return r
}

// Rates holds the requests a second of all keys.
type Rates struct {
	// sums[k] is the rate of the keys below k.
	sums [platform.MaxKey + 2]float64
}

// Of returns the requests a second for the keys from and to and those between.
func (r *Rates) Of(from, to uint32) float64 { return r.sums[to+1] - r.sums[from] }
