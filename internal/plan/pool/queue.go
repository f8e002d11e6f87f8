package pool

import (
	"slices"
	"time"

	"dandelionrock.example/dandelionrock/clock"
)

// Offer decides on a new request.
func (p *Pool) Offer(now clock.Time, r Request) Decision {
	d, m := p.decide(now, r)
	switch d.Verdict {
	case Start:
		return p.start(now, r, m)
	case Wait:
		p.waiting = append(p.waiting, r)
	}
	return d
}

// loadBefore returns the load that a new request would find if only the waiting requests
// that start before it counted.
func (p *Pool) loadBefore(now clock.Time, l Load, r Request) Load {
	behind := 0
	for _, w := range p.waiting {
		if compare(now, l.Mean, w, r) > 0 {
			behind++
		}
	}
	if behind > 0 {
		l.Waiting -= behind
		l.Wait = p.limitedWait(now, l.Waiting+1)
	}
	return l
}

// admits reports whether a request may wait. It may if it is expected to meet its
// objective. If it would be late even without a wait, it may if it is expected to
// end before its deadline after a wait of at most the mean service time.
func (p *Pool) admits(now clock.Time, l Load, r Request) bool {
	finish := now.Add(l.Backlog() + l.Mean)
	if finish <= r.Objective {
		return true
	}
	if finish > r.Deadline {
		return false
	}
	return r.missesObjective(now, l.Mean) && l.Backlog() <= l.Mean
}

// missesObjective reports whether a request that started now would be late.
func (r Request) missesObjective(now clock.Time, mean time.Duration) bool {
	return now.Add(mean) > r.Objective
}

// retryAfter returns the retry delay of a refused request. Requests that are refused
// because of limits are told to retry at the rate that is free.
func (p *Pool) retryAfter(now clock.Time, l Load) time.Duration {
	d := l.Backlog()
	if l.full() != ReasonFull {
		p.promised = slices.DeleteFunc(p.promised, func(t clock.Time) bool { return t <= now })
		d = max(d, p.limitedWait(now, l.Waiting+len(p.promised)+1))
		p.promised = append(p.promised, now.Add(min(d, maxRetry)))
	}
	return min(max(d, minRetry), maxRetry)
}

// Next starts the waiting requests that can start now and refuses those that have
// expired.
func (p *Pool) Next(now clock.Time) []Decision {
	if len(p.waiting) == 0 {
		return nil
	}
	l := p.Load(now)
	slices.SortStableFunc(p.waiting, func(a, b Request) int { return compare(now, l.Mean, a, b) })
	var out []Decision
	keep := p.waiting[:0]
	for _, r := range p.waiting {
		if reason := p.hopeless(now, r, len(keep)+1, l); reason != "" {
			retry := p.retryAfter(now, p.Load(now))
			if reason == ReasonPaused {
				retry = p.nextPauseEnd(now)
			}
			out = append(out, Decision{r.ID, Refuse, "", retry, reason})
			continue
		}
		if m := p.fastestFree(now, r); m != nil {
			out = append(out, p.start(now, r, m))
			continue
		}
		keep = append(keep, r)
	}
	clear(p.waiting[len(keep):])
	p.waiting = keep
	return out
}

// hopeless returns the reason for which a waiting request, the n-th in the queue, is to
// be refused, or "". l is the load before any of them starts.
func (p *Pool) hopeless(now clock.Time, r Request, n int, l Load) string {
	switch {
	case len(p.members) == 0:
		return ReasonNoTarget
	case p.expired(now, r, l.Mean):
		return ReasonExpired
	case p.outOfReach(now, n, r, l.Mean):
		return p.limitReason(now)
	case p.barredBeyond(r.Deadline.Add(-l.Mean)):
		return ReasonPaused
	case p.overtaken(now, r, n, l):
		return ReasonOvertaken
	}
	return ""
}

// overtaken reports whether the n-th waiting request can't be in time behind more urgent
// ones that arrived after it, and would wait for more than the mean service time to be
// served late.
func (p *Pool) overtaken(now clock.Time, r Request, n int, l Load) bool {
	if l.Slots == 0 {
		return false
	}
	l.Waiting, l.Wait = n-1, 0
	wait := l.slotWait()
	return wait > l.Mean && now.Add(wait+l.Mean) > r.Objective
}

// expired reports whether a waiting request is to be refused: it can't end before
// its deadline, or it is late and has waited for more than two mean service times.
func (p *Pool) expired(now clock.Time, r Request, mean time.Duration) bool {
	return now.Add(mean/2) > r.Deadline || now > r.Objective && now.Sub(r.Begin) > 2*mean
}

// compare orders waiting requests: first those that can meet their objective, by
// priority and objective, then the others by priority and arrival.
func compare(now clock.Time, mean time.Duration, a, b Request) int {
	lateA, lateB := a.missesObjective(now, mean), b.missesObjective(now, mean)
	switch {
	case lateA != lateB && lateB:
		return -1
	case lateA != lateB:
		return 1
	case a.Priority != b.Priority:
		return a.Priority - b.Priority
	case lateA:
		return int(a.Begin.Sub(b.Begin))
	}
	return int(a.Objective.Sub(b.Objective))
}
