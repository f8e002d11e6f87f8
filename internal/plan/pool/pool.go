// Package pool decides which requests a group of targets runs, which wait and
// which are refused. It performs no I/O; the caller passes the time.
//
// The count of used slots is exact, because one sender serves all targets of a
// group. A request waits only if it is expected to end before its latency
// objective. One that can't meet its objective is served late, after those that
// can, if the expected wait is short.
package pool

import (
	"slices"
	"time"

	"dandelionrock.example/dandelionrock/clock"
	"dandelionrock.example/dandelionrock/internal/plan/pace"
	"dandelionrock.example/dandelionrock/internal/plan/quota"
)

const (
	// meanWeight is the weight of a new service time in the moving average, which
	// thereby covers about the last ten requests.
	meanWeight = 0.2
	// initialMean is the service time assumed before any request has ended.
	initialMean = 200 * time.Millisecond
	// coldFactor is the assumed ratio of a cold target's service time to the mean.
	coldFactor = 2
	// minRetry and maxRetry bound the retry delay of a refused request: not before
	// a slot can be free, and soon enough to be served.
	minRetry = 100 * time.Millisecond
	maxRetry = 1500 * time.Millisecond
	// noTargetRetry is the retry delay if the group has no targets yet.
	noTargetRetry = 500 * time.Millisecond
)

// Target is a member of a pool.
type Target struct {
	ID string
	// Slots is the number of requests that it runs at a time.
	Slots int
	// Cold targets have started recently and are still slow.
	Cold bool
	// Born tells the runs of a target apart.
	Born int64
}

// member is a target with its current state.
type member struct {
	Target
	running int
	// suspects counts the running requests that may be about to crash the target.
	suspects int
	// mean is the mean service time; 0 if unknown.
	mean time.Duration
	// failures counts consecutive failures.
	failures int
	// pausedUntil is when the target may get requests again.
	pausedUntil clock.Time
	// barredUntil is until when the target wants no requests from this sender.
	barredUntil clock.Time
	quota       quota.Quota
	// warmup bounds the requests while the target is cold.
	warmup quota.Quota
	// coldUntil is until when the target has said that it is cold.
	coldUntil clock.Time
	// finder knows the pace of a target that states it.
	finder pace.Finder
}

// Pool holds the targets of a group and the requests that wait for them. The zero
// value has no targets. It is not safe for concurrent use.
type Pool struct {
	members []*member
	waiting []Request
	mean    time.Duration
	// found is the mean service time by the paces found out, or 0.
	found time.Duration
	// warmupRate is the rate of cold targets; see SetWarmup.
	warmupRate quota.Rate
	// promised holds when refused requests were told to retry, for those that are
	// still to come because of limits.
	promised []clock.Time
}

// Load summarises the load of a pool.
type Load struct {
	// Slots and Running count the slots of the targets that take requests and those
	// in use, Waiting the requests in the queue.
	Slots, Running, Waiting int
	// Mean is the mean service time.
	Mean time.Duration
	// Wait is how long a new request would wait because of the limits of the
	// targets.
	Wait time.Duration
	// limit is the reason for Wait.
	limit string
}

// Backlog returns how long a new request would wait for a slot and the limits of the
// targets.
func (l Load) Backlog() time.Duration { return max(l.slotWait(), l.Wait) }

// slotWait returns how long a new request would wait for a slot.
func (l Load) slotWait() time.Duration {
	if l.Slots == 0 {
		return time.Hour
	}
	ahead := l.Running + l.Waiting + 1 - l.Slots
	if ahead <= 0 {
		return 0
	}
	return time.Duration(ahead) * l.Mean / time.Duration(l.Slots)
}

// full returns the reason for which a request can't wait.
func (l Load) full() string {
	if l.Wait > l.slotWait() {
		return l.limit
	}
	return ReasonFull
}

// SetTargets replaces the targets. A run of a target that was known before keeps
// its state.
func (p *Pool) SetTargets(t []Target) {
	old := p.members
	p.members = nil
	for _, v := range t {
		m := &member{Target: v, warmup: quota.Quota{Burst: warmupBurst}}
		if i := slices.IndexFunc(old, func(o *member) bool { return o.ID == v.ID && o.Born == v.Born }); i >= 0 {
			m = old[i]
			m.Target = v
		}
		p.members = append(p.members, m)
	}
	p.found = p.foundMean()
}

// Load returns the load of the targets that take requests at the given time or
// within shortPause.
func (p *Pool) Load(now clock.Time) Load {
	l := Load{Waiting: len(p.waiting), Mean: p.meanTime(), Wait: p.limitedWait(now, len(p.waiting)+1), limit: p.limitReason(now)}
	for _, m := range p.members {
		if now.Add(shortPause) >= m.availableAt() {
			l.Slots += m.Slots
			l.Running += min(m.running, m.Slots)
		}
	}
	return l
}

// start counts a request as running at m.
func (p *Pool) start(now clock.Time, r Request, m *member) Decision {
	m.running++
	if r.Suspect {
		m.suspects++
	}
	m.quota.Send(now)
	m.warmup.Send(now)
	return Decision{ID: r.ID, Verdict: Start, Target: m.ID}
}

// member returns the member for a run of a target, or nil.
func (p *Pool) member(target string, born int64) *member {
	i := slices.IndexFunc(p.members, func(m *member) bool { return m.ID == target && m.Born == born })
	if i < 0 {
		return nil
	}
	return p.members[i]
}

// DoneSuspect records the end of a suspect at a run of a target, in addition to Done.
func (p *Pool) DoneSuspect(target string, born int64) {
	if m := p.member(target, born); m != nil {
		m.suspects = max(m.suspects-1, 0)
	}
}

// Done records the end of a request at a run of a target.
func (p *Pool) Done(now clock.Time, target string, born int64, took time.Duration, result Result) {
	m := p.member(target, born)
	if m == nil {
		return
	}
	m.running = max(m.running-1, 0)
	switch result {
	case Answered:
		p.answered(now, m, took)
	case Rejected:
		m.pause(now, rejectPause, maxRejectPause)
	case Unreachable:
		m.pause(now, unreachablePause, maxUnreachablePause)
	case Failed:
		m.failures++
		if took > p.expectedTime(now, m) {
			m.mean = movingAverage(p.expectedTime(now, m), took)
			m.finder.Done(now, took)
		}
		if m.failures > failuresBeforePause {
			m.failures--
			m.pause(now, rejectPause, maxRejectPause)
		}
	case Cancelled:
	}
}

// Cancel removes a waiting request. It reports whether the request was waiting.
func (p *Pool) Cancel(id ID) bool {
	n := len(p.waiting)
	p.waiting = slices.DeleteFunc(p.waiting, func(r Request) bool { return r.ID == id })
	return len(p.waiting) < n
}
