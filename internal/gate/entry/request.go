package entry

import (
	"context"
	"net/http"
	"time"

	"dandelionrock.example/dandelionrock/clock"
	"dandelionrock.example/dandelionrock/internal/gate/depot"
	"dandelionrock.example/dandelionrock/internal/gate/group"
	"dandelionrock.example/dandelionrock/internal/gate/warden"
	"dandelionrock.example/dandelionrock/internal/header"
	"dandelionrock.example/dandelionrock/internal/plan/pool"
	"dandelionrock.example/dandelionrock/internal/plan/realm"
	"dandelionrock.example/dandelionrock/internal/relay"
	"dandelionrock.example/dandelionrock/platform"
	"dandelionrock.example/dandelionrock/schema"
	"github.com/cockroachdb/errors"
)

const (
	// maxUnsent bounds the tries of a request that don't reach a target: each
	// costs a round trip to a home.
	maxUnsent = 4
	// keyWait is how long a request waits for an owner of its key before it is
	// refused.
	keyWait = 400 * time.Millisecond
	// ownerLostAfter is the time after which the keys of a missing owner are not
	// expected to get another owner within keyWait: the last grant must expire
	// first, or the store is unavailable.
	ownerLostAfter = 700 * time.Millisecond
	// retryAfterOwnerLost is the Retry-After of requests for such keys; a grant
	// lasts three seconds.
	retryAfterOwnerLost = 1200 * time.Millisecond
	// retryAfterNoTarget is the Retry-After if no target could run the request,
	// for example while its key has no owner.
	retryAfterNoTarget = 300 * time.Millisecond
	// retryAfterUnserved is the Retry-After if the home was unreachable or the
	// deadline passed.
	retryAfterUnserved = 200 * time.Millisecond
	// homeMargin is the time allowed for a home's reply after the deadline of a
	// request.
	homeMargin = 100 * time.Millisecond
)

// request is one request of a client.
type request struct {
	entry   *Entry
	route   *platform.Route
	service platform.Service
	// realm holds the regions in which the request may run.
	realm   realm.Realm
	key     uint32
	attempt string
	// config is the version of the configuration that the route is from.
	config uint64
	// target and home are those of the last try.
	target, home string
	// sentAt is when the last try began.
	sentAt clock.Time
	// begin is when the request arrived, and queued how long it then waited for
	// earlier requests on its connection.
	begin  clock.Time
	queued time.Duration
	// objective is when the response becomes late, end the deadline.
	objective, end clock.Time
	// account is the client account for the body, if that is large.
	account depot.Account
	// returned is set if the client had tried before.
	returned bool
	// message is the message to the home.
	message schema.SendRequest

	// crossed is set once the request has been sent to another region.
	crossed bool
	// sent counts the tries that may have reached a target, unsent the others.
	sent, unsent int
	// ran is set once a target may have run the request.
	ran bool
	// exclude holds the targets that are not tried again, for a keyed service by
	// ownerID, and full the failure domains.
	exclude, full []string
	// reply is the reply to respond with. If it is nil, status, reason and
	// retryAfter are.
	reply      *schema.SendReply
	status     int
	reason     string
	retryAfter time.Duration
}

// serve has the request executed and sets reply or status.
func (q *request) serve(c context.Context) {
	q.countRequest()
	if q.queued > 0 && clock.Boot() >= q.end {
		q.fail(http.StatusServiceUnavailable, "waited-behind", retryAfterUnserved)
		return
	}
	q.entry.Warden.Await(c)
	for {
		if !q.mayPass() {
			return
		}
		if left, ok := q.entry.Warden.Banned(q.message.Identity); ok {
			q.fail(http.StatusServiceUnavailable, warden.Reason, left)
			return
		}
		k, ok := q.chooseGroup(c)
		if !ok || !q.mayPass() {
			return
		}
		a, err := q.send(c, k)
		checkStatus(a)
		if c.Err() != nil {
			q.expire(a, err)
			return
		}
		if !q.handleResult(a, err, k.Value().id) {
			return
		}
	}
}

// checkStatus changes the outcome of a reply with a response whose status is none. Homes of
// earlier versions may pass one on.
func checkStatus(a *schema.SendReply) {
	if a.GetOutcome() == schema.SendOutcome_SEND_OUTCOME_ANSWERED && !header.IsFinal(int(a.Status)) {
		a.Outcome, a.Reason = schema.SendOutcome_SEND_OUTCOME_UNKNOWN, "no-answer"
	}
}

// expire ends a request whose deadline has passed or whose client has
// disconnected, given the result of the last try.
func (q *request) expire(a *schema.SendReply, err error) {
	if err == nil && a.Outcome == schema.SendOutcome_SEND_OUTCOME_ANSWERED {
		q.reply = a
		return
	}
	if err != nil && !errors.Is(err, relay.ErrNotSent) || err == nil && a.Outcome == schema.SendOutcome_SEND_OUTCOME_UNKNOWN {
		q.sent++
		q.ran = true
	}
	q.failDeadline()
}

// failDeadline fails a request whose deadline has passed, or that was ended before
// because the instance is shutting down. The client may retry if the request was not run.
func (q *request) failDeadline() {
	if q.entry.Stop() != nil && clock.Boot() < q.end {
		q.fail(http.StatusServiceUnavailable, reasonLeaving, retryAfterLeaving)
		return
	}
	if q.ran {
		q.fail(http.StatusGatewayTimeout, "deadline", 0)
		return
	}
	q.fail(http.StatusServiceUnavailable, "deadline", retryAfterUnserved)
}

// fail sets the response to a request that has none of a target. Status 503
// states that the request was certainly not run; it becomes 502 if a target may
// have run it.
func (q *request) fail(status int, reason string, retryAfter time.Duration) {
	if q.ran && status == http.StatusServiceUnavailable {
		status = http.StatusBadGateway
	}
	q.status, q.reason, q.retryAfter = status, reason, retryAfter
}

// handleResult records the result of a try. It reports whether the request is
// tried again.
func (q *request) handleResult(a *schema.SendReply, err error, k group.ID) bool {
	if err != nil {
		return q.handleCallError(err)
	}
	switch a.Outcome {
	case schema.SendOutcome_SEND_OUTCOME_ANSWERED:
		q.sent++
		q.ran = true
		q.reply = a
		q.recordTime(clock.Boot(), clock.Boot().Sub(q.sentAt))
		return a.Status >= http.StatusInternalServerError && q.route.Idempotent && !q.service.Keyed && q.mayRetry(a)
	case schema.SendOutcome_SEND_OUTCOME_REFUSED:
		return q.handleRefusal(a, k)
	case schema.SendOutcome_SEND_OUTCOME_UNREACHABLE:
		q.unsent++
		q.exclude = append(q.exclude, q.excludeID(a))
		q.fail(http.StatusServiceUnavailable, a.Reason, retryAfterNoTarget)
		return q.unsent < maxUnsent
	case schema.SendOutcome_SEND_OUTCOME_REJECTED:
		q.sent++
		q.fail(http.StatusServiceUnavailable, a.Reason, retryAfterNoTarget)
		if q.service.Keyed && a.Status != http.StatusMisdirectedRequest {
			// The owner is the only target that can run the request and may have a
			// free slot by then: don't exclude it.
			a.Target = ""
		}
		return q.mayRetry(a)
	}
	q.sent++
	q.ran = true
	q.fail(http.StatusBadGateway, a.Reason, 0)
	if a.Accused || a.Crashed && q.message.Suspect {
		return false
	}
	q.message.Suspect = q.message.Suspect || a.Crashed
	if a.Reason == group.ReasonLeaving {
		// The home has ended the request; its target may run it again.
		a.Target = ""
	}
	return q.route.Idempotent && q.mayRetry(a)
}

// excludeID returns the entry of exclude for the target of a reply.
func (q *request) excludeID(a *schema.SendReply) string {
	if !q.service.Keyed {
		return a.Target
	}
	n, _ := q.entry.Owners.Find(clock.Boot(), q.service.Name, q.key)
	if n == nil {
		return a.Target
	}
	return q.ownerID(n)
}

// handleCallError is like handleResult for a call to a home that failed.
func (q *request) handleCallError(err error) bool {
	if errors.Is(err, relay.ErrNotSent) {
		q.unsent++
		q.fail(http.StatusServiceUnavailable, "home-unreachable", retryAfterUnserved)
		return q.unsent < maxUnsent
	}
	q.sent++
	q.ran = true
	q.fail(http.StatusBadGateway, "home-lost", 0)
	return q.route.Idempotent && q.mayRetry(&schema.SendReply{})
}

// handleRefusal is like handleResult for a request that the home did not send to
// a target.
func (q *request) handleRefusal(a *schema.SendReply, k group.ID) bool {
	q.unsent++
	q.fail(http.StatusServiceUnavailable, a.Reason, time.Duration(a.RetryMs)*time.Millisecond)
	if group.Unavailable(a.Reason) {
		return q.unsent < maxUnsent
	}
	if a.Reason == group.ReasonUnqueued {
		q.fail(http.StatusServiceUnavailable, reasonLeaving, retryAfterLeaving)
		return false
	}
	if a.Reason == warden.Reason {
		q.entry.Warden.Import([]*schema.Ban{a.Ban})
		return false
	}
	if q.service.Keyed {
		if a.Reason != pool.ReasonNoTarget {
			return false
		}
		q.exclude = append(q.exclude, q.excludeID(a))
		return q.unsent < maxUnsent
	}
	q.full = append(q.full, k.FailureDomain)
	return q.unsent < maxUnsent
}
