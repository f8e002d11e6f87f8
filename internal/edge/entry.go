package edge

import (
	"context"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync"
	"time"

	"dandelionrock.example/dandelionrock/internal/relay"
	"dandelionrock.example/dandelionrock/schema"
	"dandelionrock.example/dandelionrock/shard"
	"github.com/cockroachdb/errors"
)

// Target is the home to which the requests for a key are sent.
type Target struct {
	Organisation, Service string
	Shard                 shard.ID
	// Version is the version of the directory from which the target was read.
	Version  uint64
	Upstream string
	// Address is the RPC address of the home; empty for this instance.
	Address string
	Term    uint64
	// RoundTrip is the network delay to the home and back, 0 if unknown.
	RoundTrip time.Duration
}

// Resolver finds the home of the upstream that owns a key.
type Resolver interface {
	// Resolve returns the target of a key, or an error if the key has no home
	// at present. The target can be passed to Wait in both cases.
	Resolve(organisation, service, key string) (Target, error)
	// Wait blocks until the directory has changed since t was resolved. It
	// returns the error of c if c ends first.
	Wait(c context.Context, t Target) error
}

// Caller sends requests to homes on this instance and on other instances.
type Caller interface {
	// Call sends q and fills in r. An error that matches relay.ErrNotSent means
	// that the home didn't receive the request; after any other error it may
	// have received it.
	Call(c context.Context, t Target, q *schema.ForwardRequest, r *schema.ForwardReply) error
	// Cancel tells a home that a request is no longer needed.
	Cancel(c context.Context, t Target, requestID string)
}

const (
	minBackOff = 2 * time.Millisecond
	maxBackOff = 50 * time.Millisecond
	// watchDelay is the time after which an idempotent call starts to watch the
	// directory, so that it can be abandoned when its home is replaced. Calls
	// that are answered earlier save the cost of the watch.
	watchDelay = 100 * time.Millisecond
	// cancelTimeout bounds the sending of one cancellation.
	cancelTimeout = time.Second
	// maxCancels bounds the cancellations that are sent at a time. Further ones
	// are dropped; the home then stops at the deadline of the request.
	maxCancels = 256
)

var errHomeReplaced = errors.New("home was replaced")

// fault is a defect that tests inject to check that their oracle detects it.
type fault int

const (
	faultNone fault = iota
	// faultResend treats every request as idempotent.
	faultResend
	// faultForget returns the reply of the last attempt and ignores that an
	// earlier one may have run.
	faultForget
)

// Entry forwards requests to homes and retries them where that is safe. It
// implements Forwarder. Use NewEntry.
type Entry struct {
	resolver Resolver
	caller   Caller
	budget   func(organisation, account string) bool
	fault    fault

	// cancels is a semaphore for the cancellations that are being sent.
	cancels chan struct{}
	group   sync.WaitGroup
}

// NewEntry returns an entry. The function budget takes one retry from the retry
// budget of a client account and reports false if the budget is exhausted.
func NewEntry(r Resolver, c Caller, budget func(organisation, account string) bool) *Entry {
	return &Entry{resolver: r, caller: c, budget: budget, cancels: make(chan struct{}, maxCancels)}
}

// Close waits for the cancellations that are being sent. All calls of Forward
// must have returned.
func (e *Entry) Close() error {
	e.group.Wait()
	return nil
}

// forwarding is the state of one request across its attempts.
type forwarding struct {
	*Entry
	request  *schema.ForwardRequest
	id       string
	deadline time.Time
	attempts int
	backOff  time.Duration
	// mayHaveRun is set once an attempt may have run although its answer wasn't
	// received.
	mayHaveRun bool
	// retryReserved is set if the next retry was already taken from the budget.
	retryReserved bool
	// reason is the reason why the last attempt failed.
	reason string
}

// Forward implements Forwarder. The deadline is one minute if c has none.
func (e *Entry) Forward(c context.Context, q *schema.ForwardRequest) *schema.ForwardReply {
	f := &forwarding{Entry: e, request: q, id: q.RequestId, backOff: minBackOff}
	var ok bool
	if f.deadline, ok = c.Deadline(); !ok {
		f.deadline = time.Now().Add(time.Minute)
	}
	for {
		t, err := e.resolver.Resolve(q.Organisation, q.Service, q.Key)
		if err == nil {
			if r := f.attempt(c, t); r != nil {
				return r
			}
		} else {
			f.reason = ReasonNoOwner
		}
		if !f.wait(c, t) {
			return f.expired()
		}
	}
}

// attempt sends the request once. It returns the outcome, or nil if the request
// may be sent again.
func (f *forwarding) attempt(c context.Context, t Target) *schema.ForwardReply {
	left := time.Until(f.deadline)
	left -= t.RoundTrip + replyMargin(left)
	if left <= 0 || c.Err() != nil {
		return f.expired()
	}
	q, r := f.nextMessage(left), new(schema.ForwardReply)
	err := f.call(c, t, q, r)
	switch {
	case err == nil && r.Outcome == schema.Outcome_OUTCOME_ANSWERED:
		return r
	case err == nil && r.Outcome == schema.Outcome_OUTCOME_NOT_RUN:
		f.reason = r.Reason
		if r.Retry {
			return nil
		}
		if f.mayHaveRun && f.fault != faultForget {
			return f.unknown(r.Reason)
		}
		return r
	case err != nil && errors.Is(err, relay.ErrNotSent):
		f.reason = ReasonUnreachable
		return nil
	}
	f.mayHaveRun = true
	f.reason = ReasonInterrupted
	if err == nil {
		f.reason = r.Reason
	}
	if c.Err() != nil {
		f.reason = ReasonDeadline
	}
	return f.afterInterruption(r)
}

// afterInterruption handles an attempt that may have run. It returns nil if the
// request may be sent again, otherwise an outcome that says that it is unknown.
func (f *forwarding) afterInterruption(r *schema.ForwardReply) *schema.ForwardReply {
	if !f.request.Idempotent && f.fault != faultResend {
		m := f.unknown(f.reason)
		m.Upstream, m.Epoch, m.Home, m.Term = r.Upstream, r.Epoch, r.Home, r.Term
		return m
	}
	if !f.retryReserved && !f.budget(f.request.Organisation, f.request.ClientAccount) {
		return f.unknown(ReasonRetryBudget)
	}
	f.retryReserved = false
	return nil
}

// nextMessage returns the message of the next attempt, with left as its timeout.
// The first message is the request itself. Later ones are copies, because the
// home of an abandoned attempt may still read the earlier message.
func (f *forwarding) nextMessage(left time.Duration) *schema.ForwardRequest {
	f.attempts++
	q := f.request
	if f.attempts > 1 {
		q = &schema.ForwardRequest{
			RequestId: f.id + "." + strconv.Itoa(f.attempts), Organisation: q.Organisation, Service: q.Service,
			ClientAccount: q.ClientAccount, Key: q.Key, Method: q.Method, Path: q.Path, Headers: q.Headers, Body: q.Body,
			OrderId: q.OrderId, Attempt: q.Attempt, Idempotent: q.Idempotent, Clock: q.Clock,
		}
	}
	q.TimeoutUs = max(1, left.Microseconds())
	return q
}

// call sends one attempt, and a cancellation if the attempt is abandoned. An
// idempotent attempt is also abandoned when its home is replaced and the budget
// permits a retry.
func (f *forwarding) call(c context.Context, t Target, q *schema.ForwardRequest, r *schema.ForwardReply) error {
	if !f.request.Idempotent {
		err := f.caller.Call(c, t, q, r)
		f.cancelAfter(c, err, t, q)
		return err
	}
	w, stop := context.WithCancelCause(c)
	watchDone := make(chan struct{})
	timer := time.AfterFunc(watchDelay, func() {
		defer close(watchDone)
		if f.watchHome(w, t) {
			stop(errHomeReplaced)
		}
	})
	err := f.caller.Call(w, t, q, r)
	f.cancelAfter(w, err, t, q)
	stop(nil)
	if !timer.Stop() {
		<-watchDone
	}
	return err
}

// watchHome waits until the home is replaced and takes a retry from the budget.
// It reports false if the budget is exhausted or c ends first.
func (f *forwarding) watchHome(c context.Context, t Target) bool {
	for n := t; f.resolver.Wait(c, n) == nil; {
		var err error
		n, err = f.resolver.Resolve(t.Organisation, t.Service, f.request.Key)
		if err == nil && (n.Address != t.Address || n.Term != t.Term) {
			f.retryReserved = f.budget(f.request.Organisation, f.request.ClientAccount)
			return f.retryReserved
		}
	}
	return false
}

// cancelAfter sends a cancellation in the background if a call returned err
// because c has ended and the home may have received the request.
func (f *forwarding) cancelAfter(c context.Context, err error, t Target, q *schema.ForwardRequest) {
	if err == nil || c.Err() == nil || errors.Is(err, relay.ErrNotSent) {
		return
	}
	select {
	case f.cancels <- struct{}{}:
	default:
		return
	}
	id := q.RequestId
	f.group.Go(func() {
		c, stop := context.WithTimeout(context.Background(), cancelTimeout)
		defer stop()
		f.caller.Cancel(c, t, id)
		<-f.cancels
	})
}

// wait waits until the directory changes or the back-off time is over. It
// reports whether c permits another attempt.
func (f *forwarding) wait(c context.Context, t Target) bool {
	d := f.backOff/2 + rand.N(f.backOff/2)
	f.backOff = min(2*f.backOff, maxBackOff)
	if c.Err() != nil {
		return false
	}
	w, stop := context.WithTimeout(c, min(d, time.Until(f.deadline)))
	defer stop()
	_ = f.resolver.Wait(w, t)
	return c.Err() == nil
}

// expired returns the outcome of a request whose deadline leaves no time for
// another attempt.
func (f *forwarding) expired() *schema.ForwardReply {
	reason := f.reason
	if reason == "" {
		reason = ReasonDeadline
	}
	if f.mayHaveRun && f.fault != faultForget {
		return f.unknown(reason)
	}
	return &schema.ForwardReply{Outcome: schema.Outcome_OUTCOME_NOT_RUN, Reason: reason, Status: http.StatusGatewayTimeout}
}

func (f *forwarding) unknown(reason string) *schema.ForwardReply {
	return &schema.ForwardReply{Outcome: schema.Outcome_OUTCOME_UNKNOWN, Reason: reason}
}
