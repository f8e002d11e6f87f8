package entry

import (
	"dandelionrock.example/dandelionrock/clock"
	"dandelionrock.example/dandelionrock/internal/plan/budget"
	"dandelionrock.example/dandelionrock/schema"
)

// mayRetry reports whether the request may be sent to a target once more, by the
// route's attempts and the retry budget of its service, from which it takes one
// retry. It excludes the target of the reply, if any.
func (q *request) mayRetry(a *schema.SendReply) bool {
	if q.sent >= q.route.Attempts {
		return false
	}
	if !q.entry.takeRetry(q.service.Name) {
		q.entry.Log.Info().Str("event", "repeat-denied").Str("request", q.attempt).Str("service", q.service.Name).Msg("")
		return false
	}
	if a.Target != "" {
		q.exclude = append(q.exclude, q.excludeID(a))
	}
	return true
}

// takeRetry takes a retry from the budget of a service, or reports false.
func (e *Entry) takeRetry(service string) bool {
	n := len(e.Views.View().Instances)
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.budget(service).Retry(clock.Boot(), e.bound, n)
}

// budget returns the retry budget of a service; the caller holds mu.
func (e *Entry) budget(service string) *budget.Budget {
	b := e.budgets[service]
	if b == nil {
		b = &budget.Budget{}
		e.budgets[service] = b
	}
	return b
}

// countRequest counts the request in the retry budget of its service.
func (q *request) countRequest() {
	e := q.entry
	e.mu.Lock()
	defer e.mu.Unlock()
	e.budget(q.service.Name).Request(clock.Boot(), e.bound)
}
