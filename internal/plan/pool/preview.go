package pool

import "dandelionrock.example/dandelionrock/clock"

// Preview returns what Offer would decide on a request now, without taking it in. It is
// for requests with large bodies, which need not be sent to a pool that has no room for
// them.
func (p *Pool) Preview(now clock.Time, r Request) Decision {
	d, _ := p.decide(now, r)
	return d
}

// decide returns the decision on a new request and the target that is to run it, if any.
func (p *Pool) decide(now clock.Time, r Request) (Decision, *member) {
	if len(p.members) == 0 {
		return Decision{r.ID, Refuse, "", noTargetRetry, ReasonNoTarget}, nil
	}
	if len(p.waiting) == 0 {
		if m := p.fastestFree(now, r); m != nil {
			return Decision{ID: r.ID, Verdict: Start, Target: m.ID}, m
		}
	}
	l := p.Load(now)
	if l.Slots == 0 {
		return Decision{r.ID, Refuse, "", p.nextPauseEnd(now), ReasonPaused}, nil
	}
	if !p.admits(now, p.loadBefore(now, l, r), r) {
		return Decision{r.ID, Refuse, "", p.retryAfter(now, l), l.full()}, nil
	}
	return Decision{ID: r.ID, Verdict: Wait}, nil
}
