// Package pool decides which requests a group of targets runs, which wait and
// which are refused. It does no input or output; the caller passes the time.
//
// The targets' slots are counted exactly, because one sender serves them all.
// A request waits only if it is expected to end before its latency objective.
// One that can't is served late if there is room for it, behind those that
// still can.
package pool

import (
	"slices"
	"time"

	"dandelionrock.example/dandelionrock/clock"
)

const (
	// meanWeight is the weight of a new service time in the mean; about ten
	// requests decide it.
	meanWeight = 0.2
	// firstMean is assumed of the service time before any request has ended.
	firstMean = 200 * time.Millisecond
	// coldFactor is how much slower than the mean a target that has just started
	// is assumed to be.
	coldFactor = 2
	// rejectPause and unreachablePause are the first pauses of a target that
	// rejected a request or could not be reached; they double with each in a
	// row up to the highest.
	rejectPause         = 20 * time.Millisecond
	maxRejectPause      = 160 * time.Millisecond
	unreachablePause    = 250 * time.Millisecond
	maxUnreachablePause = 2 * time.Second
	// shortPause is the rest of a pause for which requests may wait.
	shortPause = maxRejectPause
	// failuresBeforePause is how many failures in a row a target may have: some
	// targets lose answers now and then and are still of use.
	failuresBeforePause = 3
	// minRetry and maxRetry bound the time after which a refused request may
	// come back: not before a slot can be free, and soon enough to be served.
	minRetry = 100 * time.Millisecond
	maxRetry = 1500 * time.Millisecond
	// noTargetRetry is the time after which a target may have come.
	noTargetRetry = 500 * time.Millisecond
)

// ID identifies a request among those of a pool.
type ID uint64

// Request is what the decisions need to know of a request.
type Request struct {
	ID ID
	// Priority 0 is the highest.
	Priority int
	// Begin is when the request reached the pool.
	Begin clock.Time
	// Objective is when the request becomes late, Deadline when it must be over.
	Objective, Deadline clock.Time
	// Exclude names targets that must not run it.
	Exclude []string
}

// Verdict is what becomes of a request.
type Verdict int

// Verdicts.
const (
	Start Verdict = iota + 1
	Wait
	Refuse
)

// Reasons of refusals.
const (
	ReasonNoTarget = "no-target"
	ReasonPaused   = "targets-paused"
	ReasonFull     = "full"
	ReasonExpired  = "waited-too-long"
)

// Decision is the verdict on a request.
type Decision struct {
	ID      ID
	Verdict Verdict
	// Target runs the request, with Start.
	Target string
	// Retry is when the request may come back, with Refuse.
	Retry  time.Duration
	Reason string
}

// Result is how a request ended at its target.
type Result int

// Results.
const (
	// Answered requests give a service time.
	Answered Result = iota + 1
	// Rejected requests were not run by the target.
	Rejected
	// Failed requests got no usable answer.
	Failed
	// Unreachable targets were not sent the request.
	Unreachable
	// Cancelled requests tell nothing of the target.
	Cancelled
)

// Target is a member of a pool.
type Target struct {
	ID    string
	Slots int
	Cold  bool
	// Born tells the runs of a target apart.
	Born int64
}

type member struct {
	Target
	running int
	// mean is the mean service time; 0 if unknown.
	mean time.Duration
	// failures counts those in a row.
	failures int
	// until is the end of a pause.
	until clock.Time
}

// Pool is a group of targets with the requests that wait for them. The zero
// value has no targets. It is not safe for concurrent use.
type Pool struct {
	members []*member
	waiting []Request
	mean    time.Duration
}

// Load is a summary of a pool.
type Load struct {
	// Slots are those of targets that take requests.
	Slots, Running, Waiting int
	// Mean is the mean service time.
	Mean time.Duration
}

// Backlog returns how long a request that came now would wait for a slot.
func (l Load) Backlog() time.Duration {
	if l.Slots == 0 {
		return time.Hour
	}
	ahead := l.Running + l.Waiting + 1 - l.Slots
	if ahead <= 0 {
		return 0
	}
	return time.Duration(ahead) * l.Mean / time.Duration(l.Slots)
}

// SetTargets replaces the targets. Those that remain keep their counts.
func (p *Pool) SetTargets(t []Target) {
	old := p.members
	p.members = nil
	for _, v := range t {
		m := &member{Target: v}
		if i := slices.IndexFunc(old, func(o *member) bool { return o.ID == v.ID && o.Born == v.Born }); i >= 0 {
			m = old[i]
			m.Target = v
		}
		p.members = append(p.members, m)
	}
}

// Load returns the load of the targets that take requests at the given time.
func (p *Pool) Load(now clock.Time) Load {
	l := Load{Waiting: len(p.waiting), Mean: p.average()}
	for _, m := range p.members {
		if now.Add(shortPause) >= m.until {
			l.Slots += m.Slots
			l.Running += min(m.running, m.Slots)
		}
	}
	return l
}

func (p *Pool) average() time.Duration {
	if p.mean == 0 {
		return firstMean
	}
	return p.mean
}

// expect returns the expected service time of a target.
func (p *Pool) expect(m *member) time.Duration {
	d := m.mean
	if d == 0 {
		d = p.average()
	}
	if m.Cold {
		d = max(d, coldFactor*p.average())
	}
	return d
}

// Offer decides on a new request.
func (p *Pool) Offer(now clock.Time, r Request) Decision {
	if len(p.members) == 0 {
		return Decision{r.ID, Refuse, "", noTargetRetry, ReasonNoTarget}
	}
	if len(p.waiting) == 0 {
		if m := p.free(now, r); m != nil {
			return p.start(r, m)
		}
	}
	l := p.Load(now)
	if l.Slots == 0 {
		return Decision{r.ID, Refuse, "", p.nextPauseEnd(now), ReasonPaused}
	}
	if !p.admits(now, l, r) {
		return Decision{r.ID, Refuse, "", p.retry(l), ReasonFull}
	}
	p.waiting = append(p.waiting, r)
	return Decision{ID: r.ID, Verdict: Wait}
}

// admits reports whether a request may wait: if it is expected to end before
// it is late, or, if that can't be, after a wait no longer than the time that it
// had for its objective, and before its end.
func (p *Pool) admits(now clock.Time, l Load, r Request) bool {
	finish := now.Add(l.Backlog() + l.Mean)
	if finish <= r.Objective {
		return true
	}
	if finish > r.Deadline {
		return false
	}
	return r.hopeless(now, l.Mean) && l.Backlog() <= l.Mean
}

// hopeless reports whether a request would be late even if it started now.
func (r Request) hopeless(now clock.Time, mean time.Duration) bool {
	return now.Add(mean) > r.Objective
}

func (p *Pool) retry(l Load) time.Duration {
	return min(max(l.Backlog(), minRetry), maxRetry)
}

func (p *Pool) nextPauseEnd(now clock.Time) time.Duration {
	d := maxRetry
	for _, m := range p.members {
		d = min(d, m.until.Sub(now))
	}
	return max(d, minRetry)
}

// free returns the fastest target with a free slot for r, or nil. A target so
// slow that waiting for another one takes less time is left alone.
func (p *Pool) free(now clock.Time, r Request) *member {
	var best *member
	for _, m := range p.members {
		if m.running >= m.Slots || now < m.until || slices.Contains(r.Exclude, m.ID) {
			continue
		}
		if best == nil || p.cost(m) < p.cost(best) {
			best = m
		}
	}
	if best == nil || now.Add(p.expect(best)) <= r.Objective || r.hopeless(now, p.average()) {
		return best
	}
	if p.expect(best) > 2*p.average() && len(p.members) > 1 && best.running > 0 {
		return nil
	}
	return best
}

// cost orders targets: the fastest first, among equals the one with more free
// slots, those with failures last.
func (p *Pool) cost(m *member) time.Duration {
	d := p.expect(m)
	return d + d*time.Duration(m.running)/time.Duration(4*m.Slots) + d*time.Duration(m.failures)
}

func (p *Pool) start(r Request, m *member) Decision {
	m.running++
	return Decision{ID: r.ID, Verdict: Start, Target: m.ID}
}

// Done reports the end of a request at a target.
func (p *Pool) Done(now clock.Time, target string, born int64, took time.Duration, result Result) {
	i := slices.IndexFunc(p.members, func(m *member) bool { return m.ID == target && m.Born == born })
	if i < 0 {
		return
	}
	m := p.members[i]
	m.running = max(m.running-1, 0)
	switch result {
	case Answered:
		m.failures = 0
		m.mean = blend(m.mean, took)
		p.mean = blend(p.mean, took)
	case Rejected:
		m.pause(now, rejectPause, maxRejectPause)
	case Unreachable:
		m.pause(now, unreachablePause, maxUnreachablePause)
	case Failed:
		m.failures++
		if took > p.expect(m) {
			m.mean = blend(p.expect(m), took)
		}
		if m.failures > failuresBeforePause {
			m.failures--
			m.pause(now, rejectPause, maxRejectPause)
		}
	case Cancelled:
	}
}

func (m *member) pause(now clock.Time, first, highest time.Duration) {
	m.until = max(m.until, now.Add(min(first<<min(m.failures, 8), highest)))
	m.failures++
}

func blend(mean, d time.Duration) time.Duration {
	if mean == 0 {
		return d
	}
	return mean + time.Duration(meanWeight*float64(d-mean))
}

// Next starts the waiting requests that now can, and refuses those that have
// become hopeless.
func (p *Pool) Next(now clock.Time) []Decision {
	if len(p.waiting) == 0 {
		return nil
	}
	mean := p.average()
	slices.SortStableFunc(p.waiting, func(a, b Request) int { return compare(now, mean, a, b) })
	var out []Decision
	keep := p.waiting[:0]
	for _, r := range p.waiting {
		if p.expired(now, r, mean) {
			out = append(out, Decision{r.ID, Refuse, "", p.retry(p.Load(now)), ReasonExpired})
			continue
		}
		if m := p.free(now, r); m != nil {
			out = append(out, p.start(r, m))
			continue
		}
		keep = append(keep, r)
	}
	clear(p.waiting[len(keep):])
	p.waiting = keep
	return out
}

// expired reports whether a request has waited in vain: it can't end in time,
// or all its targets are gone.
func (p *Pool) expired(now clock.Time, r Request, mean time.Duration) bool {
	return now.Add(mean/2) > r.Deadline || len(p.members) == 0 || now > r.Objective && now.Sub(r.Begin) > 2*mean
}

// compare orders waiting requests: those that can still meet their objective
// first, by priority and then by objective; then the others in their order.
func compare(now clock.Time, mean time.Duration, a, b Request) int {
	ha, hb := a.hopeless(now, mean), b.hopeless(now, mean)
	switch {
	case ha != hb && hb:
		return -1
	case ha != hb:
		return 1
	case a.Priority != b.Priority:
		return a.Priority - b.Priority
	case ha:
		return int(a.Begin.Sub(b.Begin))
	}
	return int(a.Objective.Sub(b.Objective))
}

// Cancel forgets a waiting request. It reports whether it was waiting.
func (p *Pool) Cancel(id ID) bool {
	n := len(p.waiting)
	p.waiting = slices.DeleteFunc(p.waiting, func(r Request) bool { return r.ID == id })
	return len(p.waiting) < n
}
