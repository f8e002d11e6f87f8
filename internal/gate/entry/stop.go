package entry

import (
	"maps"
	"net/http"
	"time"

	"dandelionrock.example/dandelionrock/clock"
	"dandelionrock.example/dandelionrock/internal/plan/stop"
	"dandelionrock.example/dandelionrock/schema"
)

const (
	// reasonLeaving states that this instance is shutting down.
	reasonLeaving = "instance-leaving"
	// retryAfterLeaving is the Retry-After of an instance that is shutting down: any
	// other instance can run the request at once.
	retryAfterLeaving = 100 * time.Millisecond
)

// mayPass reports whether the request may be passed on, by the schedule of the shutdown if
// there is one, and limits its deadline. Otherwise it fails the request, which another
// instance can still run.
func (q *request) mayPass() bool {
	s := q.entry.Stop()
	if s == nil {
		return true
	}
	now := clock.Boot()
	if s.MayPass(now, q.expectedTime(now), q.ran) {
		q.end = min(q.end, s.AnswerBy)
		return true
	}
	q.fail(http.StatusServiceUnavailable, reasonLeaving, retryAfterLeaving)
	return false
}

// expectedTime returns the time that is allowed for the answer during a shutdown: the
// longest one that is usual, if the request can't be repeated after a connection that ends
// without an answer, or else the mean.
func (q *request) expectedTime(now clock.Time) time.Duration {
	e := q.entry
	e.mu.Lock()
	defer e.mu.Unlock()
	t := e.times[q.route.Name]
	left := q.end.Sub(now)
	switch {
	case q.route.Idempotent && t == nil:
		return 0
	case q.route.Idempotent:
		return min(t.Mean(), left)
	case t == nil:
		return left
	}
	return min(t.Longest(now), left)
}

// recordTime records how long an answer took.
func (q *request) recordTime(now clock.Time, d time.Duration) {
	e := q.entry
	e.mu.Lock()
	defer e.mu.Unlock()
	t := e.times[q.route.Name]
	if t == nil {
		t = &stop.Times{}
		e.times[q.route.Name] = t
	}
	t.Add(now, d)
}

// EndRequests ends the requests in progress, because the instance is about to end. Their
// clients are told so, and get the responses that are ready behind.
func (e *Entry) EndRequests() { e.end() }

// Unqueue asks the homes to refuse the requests of this instance that wait there, because
// it is shutting down: they have not run, and others can still run them. A request that
// has just been sent may be missed, so that Unqueue is called several times.
func (e *Entry) Unqueue() {
	e.mu.Lock()
	calls := maps.Clone(e.calling)
	e.mu.Unlock()
	for call, i := range calls {
		q := &schema.WithdrawRequest{Entry: e.Self.ID, Call: call}
		if i.ID == e.Self.ID {
			_ = e.Homes.Unqueue(q, nil)
			continue
		}
		e.tell(i, "Gate.Unqueue", q)
	}
}
