package pool

import (
	"slices"
	"time"

	"dandelionrock.example/dandelionrock/clock"
)

// meanTime returns the mean service time of the pool.
func (p *Pool) meanTime() time.Duration {
	switch {
	case p.found != 0:
		return p.found
	case p.mean == 0:
		return initialMean
	}
	return p.mean
}

// expectedTime returns the expected service time of a target.
func (p *Pool) expectedTime(now clock.Time, m *member) time.Duration {
	if m.finder.Known() {
		return m.finder.Expect(now)
	}
	d := m.mean
	if d == 0 {
		d = p.meanTime()
	}
	if m.isCold(now) {
		d = max(d, coldFactor*p.meanTime())
	}
	return d
}

// fastestFree returns the target with a free slot and the lowest cost for r, or
// nil. It also returns nil if that target is in use, is expected to take more than
// twice the mean time and to miss r's objective, while r could meet the objective
// at the mean service time: waiting for another target then takes less time. So it does
// if waiting for the end of a slow spell takes less time.
func (p *Pool) fastestFree(now clock.Time, r Request) *member {
	var best *member
	for _, m := range p.members {
		if m.running >= m.Slots || now < m.availableAt() || !m.maySend(now) || slices.Contains(r.Exclude, m.ID) || r.Suspect && m.suspects > 0 {
			continue
		}
		if best == nil || p.costFor(now, m, r) < p.costFor(now, best, r) {
			best = m
		}
	}
	if best != nil && best.finder.Hold(now) {
		return nil
	}
	if best == nil || now.Add(p.expectedTime(now, best)) <= r.Objective || r.missesObjective(now, p.meanTime()) {
		return best
	}
	if p.expectedTime(now, best) > 2*p.meanTime() && len(p.members) > 1 && best.running > 0 {
		return nil
	}
	return best
}

// cost orders targets by expected service time, increased with the fraction of
// their slots in use and with consecutive failures.
func (p *Pool) cost(now clock.Time, m *member) time.Duration {
	d := p.expectedTime(now, m)
	return d + d*time.Duration(m.running)/time.Duration(4*m.Slots) + d*time.Duration(m.failures)
}

// suspectFactor is the factor of the cost of a target that would run a suspect beside
// other requests.
const suspectFactor = 4

// costFor is the cost of a target for a request. Suspects and others are kept apart where
// possible.
func (p *Pool) costFor(now clock.Time, m *member, r Request) time.Duration {
	if m.suspects > 0 || r.Suspect && m.running > 0 {
		return suspectFactor * p.cost(now, m)
	}
	return p.cost(now, m)
}
