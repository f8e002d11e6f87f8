package pool

import (
	"time"

	"dandelionrock.example/dandelionrock/clock"
	"dandelionrock.example/dandelionrock/internal/plan/quota"
)

// warmupBurst is the time for which a cold target's rate may be saved up. With it, two
// homes that send to a target in the same second keep within two and a half times the
// rate and a few requests.
const warmupBurst = 500 * time.Millisecond

// SetWarmup sets the rate of requests that each cold target takes from all senders
// together, or quota.Unlimited if it takes any. It must be called after SetTargets.
func (p *Pool) SetWarmup(now clock.Time, r quota.Rate) {
	p.warmupRate = r
	for _, m := range p.members {
		m.limitWarmup(now, r)
	}
}

// SetCold records that a run of a target has said that it stays cold for a time, which is
// 0 if it is warm. It reports whether that is a change. Its row in the store may know of
// it later.
func (p *Pool) SetCold(now clock.Time, target string, born int64, left time.Duration) bool {
	m := p.member(target, born)
	if m == nil {
		return false
	}
	before := m.isCold(now)
	m.coldUntil = now.Add(left)
	m.limitWarmup(now, p.warmupRate)
	return before != m.isCold(now)
}

// isCold reports whether the target is cold by its row or by its own word.
func (m *member) isCold(now clock.Time) bool { return m.Cold || now < m.coldUntil }

// limitWarmup limits the requests to the target if it is cold.
func (m *member) limitWarmup(now clock.Time, r quota.Rate) {
	switch {
	case !m.isCold(now):
		m.warmup.SetRate(now, quota.Unlimited)
	case m.warmup.Rate() != r:
		m.warmup.SetRate(now, r)
		// Another home may have used up the rate until now.
		m.warmup.Adopt(now, r, 0)
	}
}
