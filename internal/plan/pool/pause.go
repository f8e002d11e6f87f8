package pool

import (
	"slices"
	"time"

	"dandelionrock.example/dandelionrock/clock"
)

const (
	// rejectPause and unreachablePause are the first pauses of a target that
	// rejected a request or could not be reached. They double with each failure
	// in a row, up to maxRejectPause and maxUnreachablePause.
	rejectPause         = 20 * time.Millisecond
	maxRejectPause      = 160 * time.Millisecond
	unreachablePause    = 250 * time.Millisecond
	maxUnreachablePause = 2 * time.Second
	// shortPause is the remaining pause up to which a target counts as available:
	// requests may wait for its end.
	shortPause = maxRejectPause
	// failuresBeforePause is the number of consecutive failures that don't pause
	// a target: some targets occasionally lose answers but remain usable.
	failuresBeforePause = 3
)

// nextPauseEnd returns the retry delay when all targets pause.
func (p *Pool) nextPauseEnd(now clock.Time) time.Duration {
	d := maxWait
	for _, m := range p.members {
		// Pauses are estimates, bars are certain.
		d = min(d, max(min(m.pausedUntil.Sub(now), maxRetry), m.barredUntil.Sub(now)))
	}
	return max(d, minRetry)
}

// availableAt returns when the target may get requests again.
func (m *member) availableAt() clock.Time { return max(m.pausedUntil, m.barredUntil) }

// Bar records that a run of a target wants no requests from this sender for a time.
func (p *Pool) Bar(now clock.Time, target string, born int64, d time.Duration) {
	if m := p.member(target, born); m != nil {
		m.barredUntil = max(m.barredUntil, now.Add(d))
	}
}

// barredBeyond reports whether all targets want no requests until a time or longer.
func (p *Pool) barredBeyond(t clock.Time) bool {
	return len(p.members) > 0 && !slices.ContainsFunc(p.members, func(m *member) bool { return m.barredUntil < t })
}

// pause pauses a target for a time that doubles with each failure in a row.
func (m *member) pause(now clock.Time, first, highest time.Duration) {
	m.pausedUntil = max(m.pausedUntil, now.Add(min(first<<min(m.failures, 8), highest)))
	m.failures++
}
