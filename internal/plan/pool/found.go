package pool

import (
	"time"

	"dandelionrock.example/dandelionrock/clock"
	"dandelionrock.example/dandelionrock/internal/plan/pace"
)

// Pace is what the pool has found out about the pace of a target that states it.
type Pace struct {
	// Slow is set in a slow spell, and Held if requests wait for its end. Lies is set if the
	// stated pace is ignored.
	Slow, Held, Lies bool
	// Mean is the mean service time.
	Mean time.Duration
}

// State records the pace that a run of a target states. It reports whether the target has
// become slow or is no longer.
func (p *Pool) State(now clock.Time, target string, born int64, x pace.Factor) (Pace, bool) {
	m := p.member(target, born)
	if m == nil {
		return Pace{}, false
	}
	changed := m.finder.State(now, x)
	p.found = p.foundMean()
	return Pace{m.finder.Slow(), m.finder.Hold(now), m.finder.Lies(), m.finder.Mean()}, changed
}

// Held returns the targets from which requests are held back in a slow spell although they
// have free slots.
func (p *Pool) Held(now clock.Time) []string {
	if len(p.waiting) == 0 {
		return nil
	}
	var out []string
	for _, m := range p.members {
		if m.running < m.Slots && m.finder.Hold(now) {
			out = append(out, m.ID)
		}
	}
	return out
}

// answered records the service time of a request at m.
func (p *Pool) answered(now clock.Time, m *member, took time.Duration) {
	m.failures = 0
	m.mean = movingAverage(m.mean, took)
	p.mean = movingAverage(p.mean, took)
	m.finder.Done(now, took)
	p.found = p.foundMean()
}

// foundMean returns the mean service time of the targets whose pace is known, or 0. Each
// counts as often as it serves requests.
func (p *Pool) foundMean() time.Duration {
	n, rate := 0, 0.0
	for _, m := range p.members {
		if m.finder.Known() {
			n++
			rate += 1 / m.finder.Mean().Seconds()
		}
	}
	if n == 0 {
		return 0
	}
	return time.Duration(float64(n) / rate * float64(time.Second))
}

// movingAverage returns the exponential moving average; a mean of 0 is none.
func movingAverage(mean, d time.Duration) time.Duration {
	if mean == 0 {
		return d
	}
	return mean + time.Duration(meanWeight*float64(d-mean))
}
