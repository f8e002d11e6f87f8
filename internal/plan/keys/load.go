package keys

import (
	"math"
	"slices"
	"time"

	"dandelionrock.example/dandelionrock/clock"
	"dandelionrock.example/dandelionrock/internal/plan/decay"
	"dandelionrock.example/dandelionrock/platform"
)

// halfLife is the time in which the weight of a counted request halves: a key
// that becomes busy must be detected within seconds.
const halfLife = 2 * time.Second

// effectiveSeconds is the length in seconds of the window over which an unweighted
// count has the same relative variance as the decaying one.
const effectiveSeconds = 2 * float64(halfLife) / float64(time.Second) / math.Ln2

// Load counts the requests for each key with exponential decay. The zero value is
// empty. It is not safe for concurrent use.
type Load struct {
	counts [platform.MaxKey + 1]float64
	weight decay.Weight
}

// advance updates the weight of new counts to the given time.
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
		l.counts[key] += n * l.weight.Value()
	}
}

// Rates returns the request rates of all keys.
func (l *Load) Rates(now clock.Time) *Rates {
	l.advance(now)
	r := &Rates{}
	f := math.Ln2 / halfLife.Seconds() / l.weight.Value()
	for i, n := range l.counts {
		r.sums[i+1] = r.sums[i] + n*f
	}
	return r
}

// Rates holds the request rate of each key, per second, as prefix sums.
type Rates struct {
	// sums[k] is the total rate of the keys below k.
	sums [platform.MaxKey + 2]float64
}

// Of returns the requests per second for the keys from from to to, both
// included.
func (r *Rates) Of(from, to uint32) float64 { return r.sums[to+1] - r.sums[from] }

// medianBlock is the number of adjacent keys whose requests are taken together for the
// median: most keys have none within a few seconds.
const medianBlock = 256

// median returns the requests per second for a key in the block of keys in the middle, by
// load. Few busy keys don't change it.
func (r *Rates) median() float64 {
	var blocks []float64
	for k := 0; k+medianBlock <= len(r.sums)-1; k += medianBlock {
		blocks = append(blocks, r.sums[k+medianBlock]-r.sums[k])
	}
	slices.Sort(blocks)
	return blocks[len(blocks)/2] / medianBlock
}
